"""The admitted requests of an entry that have no final answer yet."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from figspread.clock import Clock
from figspread.direct.requests.request_state import RequestPhase, RequestState


class _Running(msgspec.Struct, frozen=True, eq=False):
    state: RequestState
    timeout: asyncio.Timeout


class RunningRequests:
    """Limits the time of requests and counts them by phase.

    `is_expired` tells whether `expire` has ended it.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without requests."""
        self._clock = clock
        self._running: list[_Running] = []
        self.is_expired = False

    @asynccontextmanager
    async def limit_time(self, state: RequestState) -> AsyncIterator[None]:
        """Raise `TimeoutError` in the body at the request's deadline, or `expire`."""
        timeout = asyncio.timeout(state.deadline_s - self._clock.now())
        running = _Running(state, timeout)
        async with timeout:
            self._running.append(running)
            try:
                yield
            finally:
                self._running.remove(running)

    def expire(self) -> None:
        """End the time of all requests now."""
        self.is_expired = True
        now = asyncio.get_running_loop().time()
        for running in self._running:
            if not running.timeout.expired():
                running.timeout.reschedule(now)

    def count_phases(self) -> dict[str, int]:
        """Return how many requests are in each phase, by its name."""
        counts = {phase.value: 0 for phase in RequestPhase}
        for running in self._running:
            counts[running.state.phase.value] += 1
        return counts
