"""The listeners of an entry, and the limits of what their clients send."""

from collections.abc import Callable

import msgspec

from figspread.direct.lifecycle.caller_connections import CallerConnections
from figspread.direct.lifecycle.probe_answers import PROBE_CONNECTIONS
from figspread.http1.buffers import BufferPool
from figspread.http1.caller import CallerConnection, RequestHandler
from figspread.http1.caller_shares import (
    CallerShares,
    Closing,
    make_connection_table,
)
from figspread.http1.listening import Listener
from figspread.http1.requests import CallerLimits
from figspread.policy.process_shares import ProcessShares
from figspread.telemetry.closing_reports import ClosingReports


class ListenerHooks(msgspec.Struct, frozen=True):
    """What an entry does with requests, and what it knows of itself.

    `get_limits` returns the limits in force for one request.
    """

    serve: RequestHandler
    answer_probe: RequestHandler
    get_limits: Callable[[], CallerLimits]
    is_leaving: Callable[[], bool]
    report_exception: Callable[[Exception], None]


class Listeners:
    """Accepts connections of callers, and of health checks apart from them.

    `callers` has the callers' connections.
    """

    def __init__(
        self,
        hooks: ListenerHooks,
        shares: ProcessShares,
        answers: BufferPool,
        closings: ClosingReports,
    ) -> None:
        """Start without a listener; `answers` is shared with upstreams."""
        self._hooks = hooks
        self._shares = shares
        self._closings = closings
        self._caller_shares = CallerShares(
            BufferPool(shares.request_bytes),
            answers,
            make_connection_table(shares.callers),
            report=self._report,
        )
        self._probe_shares = CallerShares(
            connections=make_connection_table(PROBE_CONNECTIONS),
            report=self._report,
        )
        self.callers = CallerConnections(
            self._make_caller, self._caller_shares.connections
        )
        self._probes = CallerConnections(
            self._make_probe, self._probe_shares.connections
        )
        self._listeners: list[Listener] = []

    async def open_for_callers(self, address: str) -> None:
        """Listen for callers on `address`, an `ip:port`."""
        self._listeners.append(
            await Listener.open(
                self.callers.accept, address, self._shares.accepts
            )
        )

    async def open_for_probes(self, address: str) -> None:
        """Listen for health checks and requests for metrics."""
        self._listeners.append(
            await Listener.open(self._probes.accept, address, PROBE_CONNECTIONS)
        )

    async def close_gently(self) -> None:
        """Accept the connections that wait, then stop listening."""
        for listener in self._listeners:
            await listener.close_gently()

    def close(self) -> None:
        """Stop listening at once, and close the callers' connections."""
        self.callers.close()
        for listener in self._listeners:
            listener.close()

    def _get_limits(self) -> CallerLimits:
        limits = self._hooks.get_limits()
        longest_bytes = self._shares.longest_body_bytes
        if limits.body_bytes <= longest_bytes:
            return limits
        # There would never be memory for a longer one.
        return msgspec.structs.replace(limits, body_bytes=longest_bytes)

    def _make_caller(self) -> CallerConnection:
        return CallerConnection(
            self._hooks.serve,
            self._get_limits,
            self._hooks.is_leaving,
            self._hooks.report_exception,
            self._caller_shares,
        )

    def _make_probe(self) -> CallerConnection:
        return CallerConnection(
            self._hooks.answer_probe,
            CallerLimits,
            bool,
            self._hooks.report_exception,
            self._probe_shares,
        )

    def _report(self, closing: Closing) -> None:
        self._closings.record(closing.value)
