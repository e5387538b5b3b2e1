"""Tells for how long an entry has seen the same other entries."""

from collections import deque
from collections.abc import Collection
from typing import Final

from figspread.ids import PeerId

# A share that has risen counts only after this time, and so does a change of
# the members: other entries may notice it that much later.
SETTLING_S: Final = 1.0
# Entries look at their members twice a second. After a longer pause the process
# was stopped, and others may have taken its place.
STOPPED_S: Final = 1.5


class OwnerStability:
    """The members that an entry sees, since when, and their share of all."""

    def __init__(self, now: float) -> None:
        """Start without members at clock time `now`."""
        self.since_s = now
        self._updated_s = now
        self._members: frozenset[PeerId] = frozenset()
        self._shares: deque[tuple[float, float]] = deque()

    def update(
        self, now: float, members: Collection[PeerId], share: float
    ) -> bool:
        """Record what the entry sees; return whether its process was stopped."""
        was_stopped = now - self._updated_s > STOPPED_S
        self._updated_s = now
        seen = frozenset(members)
        if was_stopped or seen != self._members:
            self._members = seen
            self.since_s = now
        # Only shares below all later ones can be the smallest.
        while self._shares and self._shares[-1][1] > share:
            self._shares.pop()
        if not self._shares or self._shares[-1][1] < share:
            self._shares.append((now, share))
        # The first one held until the next one was seen.
        while len(self._shares) > 1 and self._shares[1][0] <= now - SETTLING_S:
            self._shares.popleft()
        return was_stopped

    @property
    def share(self) -> float:
        """The smallest share within the last `SETTLING_S`."""
        return self._shares[0][1] if self._shares else 0

    def is_stable(self, now: float) -> bool:
        """Return whether the members have been the same for `SETTLING_S`."""
        return now >= self.since_s + SETTLING_S
