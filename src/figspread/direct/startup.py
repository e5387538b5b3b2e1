"""Lets requests wait until an entry has a configuration and upstreams."""

import asyncio
from contextlib import suppress

from figspread.clock import Clock
from figspread.policy.startup import startup_retry_after_s, startup_wait_s


class StartupGate:
    """Opens once, when the entry can serve its first request."""

    def __init__(self, clock: Clock) -> None:
        """Start closed."""
        self._clock = clock
        self._started_s = clock.now()
        self._opened = asyncio.Event()

    @property
    def is_open(self) -> bool:
        """Whether the entry has a configuration and upstreams."""
        return self._opened.is_set()

    @property
    def retry_after_s(self) -> float:
        """When a request that waited in vain should come back, in seconds."""
        return startup_retry_after_s(self._clock.now() - self._started_s)

    def open(self) -> None:
        """Let all requests through, now and later."""
        self._opened.set()

    async def wait(self, time_left_s: float) -> bool:
        """Wait for a part of `time_left_s`; return whether the gate is open."""
        if not self.is_open:
            with suppress(TimeoutError):
                async with asyncio.timeout(startup_wait_s(time_left_s)):
                    await self._opened.wait()
        return self.is_open
