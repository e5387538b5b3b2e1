"""Notices when this process has stood still."""

import asyncio
from typing import Final

from figspread.clock import Clock
from figspread.inner.heartbeat import Sleep

LOOP_BEAT_S: Final = 0.1


class LoopHeartbeat:
    """Beats on the event loop; a late beat says that the loop stood still.

    Messages that were waiting meanwhile are as old as the beat is late, and
    nobody can tell from them.
    """

    def __init__(self, clock: Clock, sleep: Sleep = asyncio.sleep) -> None:
        """Start as if the loop had run until now."""
        self._clock = clock
        self._sleep = sleep
        self._due = clock.now() + LOOP_BEAT_S

    def lag_s(self) -> float:
        """Return how late the next beat is, in seconds."""
        return max(0, self._clock.now() - self._due)

    async def run(self) -> None:
        """Beat until cancelled."""
        while True:
            self._due = self._clock.now() + LOOP_BEAT_S
            await self._sleep(LOOP_BEAT_S)
