"""The share of one entry in the fleet's budget of repeated sends.

The budget counts sends beyond the first of each request over a sliding
window, summed over all entries. Entries don't ask each other: each one keeps
to the ratio of its own requests and to its part of the slack.
"""

from collections import deque
from typing import Final

from figspread.clock import Clock

# Part of the allowance that is used, since windows of entries differ.
CAUTION: Final = 0.75


class RepeatBudget:
    """Lets repeats through within a window of `window_s` seconds."""

    def __init__(
        self,
        clock: Clock,
        *,
        ratio: float,
        slack: float,
        window_s: float,
    ) -> None:
        """Allow `ratio` repeats a request, and `slack` in all entries."""
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._firsts: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self.entries = 1

    def note_first(self) -> None:
        """Count a request."""
        self._firsts.append(self._clock.now())

    def take(self) -> bool:
        """Count a repeat if there is allowance for it."""
        now = self._clock.now()
        for times in (self._firsts, self._repeats):
            while times and times[0] < now - self._window_s:
                times.popleft()
        own = self._ratio * len(self._firsts)
        allowed = own + self._slack / self.entries
        if len(self._repeats) + 1 > allowed * CAUTION:
            return False
        self._repeats.append(now)
        return True
