"""Finds out at once whether an upstream whose connection broke has crashed."""

import asyncio
from typing import Final

from figspread.direct.model import Upstream
from figspread.direct.state.crashes import CrashTracker
from figspread.direct.state.registry import UpstreamRegistry
from figspread.http1.client import Unreachable, open_connection
from figspread.ids import UpstreamId

# A host that is up refuses or accepts a connection within milliseconds.
PROBE_TIMEOUT_S: Final = 1.0
# Bounds how long the end of an answer is held back. A connection opens within
# a round trip of a few milliseconds; the rest is for a busy host. A lost packet
# is sent again after 1 s only, and callers of plain services wait 0.32 s.
ALIVE_TIMEOUT_S: Final = 0.2
# A process that dies closes its sockets one after the other, and a relay
# accepts connections for a dead process and then closes them. Both take a few
# milliseconds, so a probe's connection has to stay open for longer than that.
ALIVE_SETTLE_S: Final = 0.05


class CrashProbe:
    """Opens connections to upstreams to find out whether they have crashed.

    It reports refusals as crashes. Without it a crash would be recognized when
    the upstream's record expires, some seconds later.
    """

    def __init__(
        self, crashes: CrashTracker, registry: UpstreamRegistry
    ) -> None:
        """Report crashes to `crashes`; `registry` has the newest starts."""
        self._crashes = crashes
        self._registry = registry
        self._tasks: dict[tuple[UpstreamId, int], asyncio.Task[None]] = {}

    def start(self, upstream: Upstream) -> None:
        """Probe an upstream, unless a probe of this start of it runs."""
        run = (upstream.upstream, upstream.started_ms)
        if run not in self._tasks:
            task = asyncio.create_task(self._probe(upstream))
            self._tasks[run] = task
            task.add_done_callback(lambda _: self._tasks.pop(run, None))

    async def confirm_alive(self, upstream: Upstream) -> bool:
        """Return whether this start of an upstream has not ended by now.

        It takes `ALIVE_TIMEOUT_S` and `ALIVE_SETTLE_S` at most. A refusal is not
        reported as a crash.
        """
        try:
            conn = await open_connection(
                upstream.address, timeout_s=ALIVE_TIMEOUT_S
            )
        except Unreachable:
            return False
        try:
            await asyncio.sleep(ALIVE_SETTLE_S)
            is_open = conn.is_reusable
        finally:
            conn.close('only probed')
        known = self._registry.upstreams_by_id.get(upstream.upstream)
        return (
            is_open
            and known is not None
            and known.started_ms == upstream.started_ms
        )

    async def _probe(self, upstream: Upstream) -> None:
        try:
            conn = await open_connection(
                upstream.address, timeout_s=PROBE_TIMEOUT_S
            )
        except Unreachable as exc:
            # No answer at all may as well mean that the network is cut.
            if exc.is_refused:
                self._crashes.record_crash(upstream.upstream)
            return
        conn.close('only probed')
