"""Lets requests wait until an entry has state that is not outdated."""

import asyncio
from contextlib import suppress

from figspread.clock import Clock
from figspread.policy.startup import (
    NEWER_STATE_WAIT_S,
    PEER_WAIT_S,
    startup_retry_after_s,
    startup_wait_s,
)


class StartupGate:
    """Opens once, when the entry can serve its first request.

    It needs a configuration and upstreams, and for a moment waits for peers,
    since the store may have gone back to a copy that is older than theirs, and
    for the records of what crashes upstreams and those of evacuations.
    """

    def __init__(
        self, clock: Clock, *, awaits_evacuations: bool = False
    ) -> None:
        """Start closed."""
        self._clock = clock
        self._started_s = clock.now()
        self._opened = asyncio.Event()
        self._state_since_s: float | None = None
        self._version = 0
        self._newest_heard: int | None = None
        self._has_quarantines = False
        self.has_evacuations = not awaits_evacuations

    @property
    def is_open(self) -> bool:
        """Whether the entry has a configuration and upstreams."""
        return self._opened.is_set()

    @property
    def retry_after_s(self) -> float:
        """When a request that waited in vain should come back, in seconds."""
        return startup_retry_after_s(self._clock.now() - self._started_s)

    def record_state(self, version: int) -> None:
        """Record that the entry has upstreams and a configuration."""
        self._version = version
        if self._state_since_s is None:
            self._state_since_s = self._clock.now()
        self.update()

    def record_peer(self, version: int) -> None:
        """Record the version of the configuration that a peer has."""
        self._newest_heard = max(self._newest_heard or 0, version)
        self.update()

    def record_quarantines(self) -> None:
        """Record that what crashes upstreams has been read, or can't be."""
        self._has_quarantines = True
        self.update()

    def record_evacuations(self) -> None:
        """Record that the store or a peer has told of the evacuations."""
        if not self.has_evacuations:
            self.has_evacuations = True
            self.update()

    def expect_no_peers(self) -> None:
        """Record that there are no other entries."""
        self.record_peer(0)

    def update(self) -> None:
        """Open if it is time; call this at short intervals."""
        if self._state_since_s is None or self.is_open:
            return
        waited_s = self._clock.now() - self._state_since_s
        is_informed = self._has_quarantines and self.has_evacuations
        if not is_informed and waited_s < PEER_WAIT_S:
            return
        if self._newest_heard is None:
            is_due = waited_s >= PEER_WAIT_S
        else:
            is_behind = self._version < self._newest_heard
            is_due = not is_behind or waited_s >= NEWER_STATE_WAIT_S
        if is_due:
            self._opened.set()

    async def wait(self, time_left_s: float) -> bool:
        """Wait for a part of `time_left_s`; return whether the gate is open."""
        if not self.is_open:
            with suppress(TimeoutError):
                async with asyncio.timeout(startup_wait_s(time_left_s)):
                    await self._opened.wait()
        return self.is_open
