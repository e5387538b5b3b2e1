"""Decides when an entry should fetch newer state from a peer."""

from typing import Final

from figspread.clock import Clock

# An entry that is behind waits this long before it asks a peer, since the store
# may deliver the change first.
FETCH_DELAY_S: Final = 0.3
# Time after which an unanswered peer is given up and another one may be asked.
FETCH_TIMEOUT_S: Final = 1.0


class VersionLag:
    """Compares the newest version that peers announced with the own one.

    `Peers` has one for the configuration and one for the store's revision.
    Only one peer is asked at a time: all others announce the same version, and
    a copy from each of them would fill the link for seconds.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without any announced version."""
        self._clock = clock
        self._newest = 0
        self._behind_since_s: float | None = None
        self._asked_at_s = float('-inf')

    def record_announced(self, number: int) -> None:
        """Record the version that a peer announced."""
        self._newest = max(self._newest, number)

    def is_due(self, own: int, delay_s: float = FETCH_DELAY_S) -> bool:
        """Return whether `own` has been behind for `delay_s`.

        It is due at once for an entry that has no version yet, and never while
        a peer's answer is awaited.
        """
        if own >= self._newest:
            self._behind_since_s = None
            return False
        now = self._clock.now()
        if self._behind_since_s is None:
            self._behind_since_s = now
        if now - self._asked_at_s < FETCH_TIMEOUT_S:
            return False
        return not own or now - self._behind_since_s >= delay_s

    def record_question(self) -> None:
        """Record that a peer has been asked for its version."""
        self._asked_at_s = self._clock.now()

    def record_answer(self) -> None:
        """Record that the peer has answered, so that another may be asked."""
        self._asked_at_s = float('-inf')
