"""One entry's part of the fleet-wide budget for repeated sends.

The budget limits sends beyond the first of each request within a sliding
window, summed over all entries. Entries don't coordinate: each one applies
the ratio to its own requests and takes an equal part of the slack.
"""

from collections import deque
from typing import Final

import msgspec

from figspread.clock import Clock

# Share of the allowance that is used, since the windows of entries are not
# aligned.
SAFETY_FACTOR: Final = 0.75


class BudgetUse(msgspec.Struct, frozen=True):
    """What decides whether one more repeat is allowed: counts of the window.

    `entries` is the number of entries that share the slack.
    """

    requests: int
    repeats: int
    allowed: float
    entries: int


class RepeatBudget:
    """Limits repeated sends within a sliding window of `window_s` seconds."""

    def __init__(
        self,
        clock: Clock,
        *,
        ratio: float,
        slack: float,
        window_s: float,
    ) -> None:
        """Allow `ratio` repeats per request plus `slack` in the whole fleet."""
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._first_sends: deque[float] = deque()
        self._repeated_sends: deque[float] = deque()
        self.entries = 1

    def record_first_send(self) -> None:
        """Record the first send of a request."""
        now = self._clock.now()
        self._forget_before(now - self._window_s)
        self._first_sends.append(now)

    def try_spend(self) -> bool:
        """Record a repeat and return `True` if the budget allows it."""
        use = self.describe()
        if use.repeats + 1 > use.allowed:
            return False
        self._repeated_sends.append(self._clock.now())
        return True

    def describe(self) -> BudgetUse:
        """Return what has been sent within the window, and what is allowed."""
        self._forget_before(self._clock.now() - self._window_s)
        earned = self._ratio * len(self._first_sends)
        allowed = (earned + self._slack / self.entries) * SAFETY_FACTOR
        return BudgetUse(
            len(self._first_sends),
            len(self._repeated_sends),
            allowed,
            self.entries,
        )

    def _forget_before(self, from_s: float) -> None:
        for send_times in (self._first_sends, self._repeated_sends):
            while send_times and send_times[0] < from_s:
                send_times.popleft()
