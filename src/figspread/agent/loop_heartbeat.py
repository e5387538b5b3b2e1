"""Measures how long the event loop of this process was blocked."""

import asyncio
from typing import Final

from figspread.clock import Clock
from figspread.inner.heartbeat import Sleep

LOOP_HEARTBEAT_INTERVAL_S: Final = 0.1


class LoopHeartbeat:
    """A periodic task whose delay shows that the event loop was blocked.

    Messages received after a blockage may have waited for as long as the
    heartbeat is late, and carry nothing that shows their age.
    """

    def __init__(self, clock: Clock, sleep: Sleep = asyncio.sleep) -> None:
        """Start without lag; the first heartbeat is due after one interval."""
        self._clock = clock
        self._sleep = sleep
        self._due_at = clock.now() + LOOP_HEARTBEAT_INTERVAL_S

    def lag_s(self) -> float:
        """Return by how many seconds the next heartbeat is overdue."""
        return max(0, self._clock.now() - self._due_at)

    async def run(self) -> None:
        """Schedule heartbeats until cancelled."""
        while True:
            self._due_at = self._clock.now() + LOOP_HEARTBEAT_INTERVAL_S
            await self._sleep(LOOP_HEARTBEAT_INTERVAL_S)
