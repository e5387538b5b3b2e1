"""Ends the requests of an entry before it stops."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from figspread.clock import Clock
from figspread.direct.lifecycle.caller_connections import CallerConnections
from figspread.direct.requests.serving import RequestServer
from figspread.policy.planned_stop import StopSchedule
from figspread.telemetry.logs import Log

# Interval of checks for running requests once the listeners are closed, and the time
# before the first one: a request on the last accepted connection may arrive meanwhile.
CHECK_INTERVAL_S: Final = 0.02


class Drain:
    """Waits for the requests of an entry, and answers those that take too long."""

    def __init__(
        self,
        server: RequestServer,
        conns: CallerConnections,
        clock: Clock,
        log: Log,
    ) -> None:
        """Drain the requests of `server`, on `conns`."""
        self._server = server
        self._conns = conns
        self._clock = clock
        self._log = log

    async def run(
        self,
        started_s: float,
        schedule: StopSchedule,
        close_listeners: Callable[[], Awaitable[None]],
    ) -> None:
        """Return when all requests have ended, or when they must have.

        `started_s` is the clock time at which the stop was asked for.
        """
        self._log_requests('shutdown started', started_s)
        self._server.begin_stop(schedule)
        await asyncio.sleep(schedule.accept_until_s - self._clock.now())
        await close_listeners()
        await self._wait_until_idle(schedule.answers_due_s)
        self._server.end_requests()
        await self._wait_until_idle(schedule.close_due_s)
        self._log_requests('shutdown finished', started_s)

    async def _wait_until_idle(self, until_s: float) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self._conns.count_busy() or self._clock.now() >= until_s:
                return

    def _log_requests(self, event: str, started_s: float) -> None:
        self._log.info(
            event,
            requests=self._conns.count_busy(),
            **self._server.running.count_phases(),
            unsent_bytes=self._conns.unsent_bytes,
            after_s=round(self._clock.now() - started_s, 2),
        )
