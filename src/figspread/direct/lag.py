"""Decides when an entry should fetch newer state from a peer."""

from typing import Final

from figspread.clock import Clock

# An entry that is behind waits this long before it asks a peer, since the store
# may deliver the change first.
FETCH_DELAY_S: Final = 0.3


class VersionLag:
    """Compares the newest version that peers announced with the own one.

    `Peers` has one for the configuration and one for the store's revision.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without any announced version."""
        self._clock = clock
        self._newest = 0
        self._behind_since_s: float | None = None

    def record_announced(self, number: int) -> None:
        """Record the version that a peer announced."""
        self._newest = max(self._newest, number)

    def is_due(self, own: int) -> bool:
        """Return whether `own` has been behind for `FETCH_DELAY_S`.

        It is due at once for an entry that has no version yet.
        """
        if own >= self._newest:
            self._behind_since_s = None
            return False
        now = self._clock.now()
        if self._behind_since_s is None:
            self._behind_since_s = now
        return not own or now - self._behind_since_s >= FETCH_DELAY_S
