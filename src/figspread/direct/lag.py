"""Tells when an entry should ask a peer for what is newer there."""

from typing import Final

from figspread.clock import Clock

# An entry that is behind asks after this time: the store may be faster.
BEHIND_S: Final = 0.3


class Lag:
    """Compares the newest number heard of with the entry's own one."""

    def __init__(self, clock: Clock) -> None:
        """Start without having heard of any."""
        self._clock = clock
        self._newest = 0
        self._since: float | None = None

    def hear(self, number: int) -> None:
        """Note what a peer has."""
        self._newest = max(self._newest, number)

    def is_due(self, own: int) -> bool:
        """Tell whether `own` has been behind for `BEHIND_S`.

        An entry that has nothing at all asks at once.
        """
        if own >= self._newest:
            self._since = None
            return False
        now = self._clock.now()
        if self._since is None:
            self._since = now
        return not own or now - self._since >= BEHIND_S
