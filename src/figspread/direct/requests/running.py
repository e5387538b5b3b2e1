"""The admitted requests of an entry that have no final answer yet."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from figspread.clock import Clock
from figspread.direct.requests.request_state import RequestPhase, RequestState


class RunningRequests:
    """Limits the time of requests and counts them by phase."""

    def __init__(self, clock: Clock) -> None:
        """Start without requests."""
        self._clock = clock
        self._states: list[RequestState] = []

    @asynccontextmanager
    async def limit_time(self, state: RequestState) -> AsyncIterator[None]:
        """Raise `TimeoutError` in the body at the request's deadline."""
        self._states.append(state)
        try:
            async with asyncio.timeout(state.deadline_s - self._clock.now()):
                yield
        finally:
            self._states = [one for one in self._states if one is not state]

    def count_phases(self) -> dict[str, int]:
        """Return how many requests are in each phase, by its name."""
        counts = {phase.value: 0 for phase in RequestPhase}
        for state in self._states:
            counts[state.phase.value] += 1
        return counts
