"""One entry's part of the fleet-wide budget for repeated sends.

For each service, the budget limits sends beyond the first of each request
within a sliding window, summed over all entries. Entries don't coordinate: each
one applies the ratio to its own requests and takes an equal part of the slack.
The parts add up to the slack whoever reaches whom, and also while entries start
and end.
"""

from collections import defaultdict, deque
from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.ids import ServiceName

# Share of the allowance that is used, since the windows of entries are not
# aligned.
SAFETY_FACTOR: Final = 0.75
# Part of the slack that remains for processes which replace others within a
# window, and don't know what these have sent.
REPLACEMENT_FACTOR: Final = 1 - SAFETY_FACTOR


class BudgetTerms(msgspec.Struct, frozen=True):
    """The fleet's budget of each service, within any `window_s` seconds.

    There may be `ratio` repeats per request, plus `slack` in all.
    """

    ratio: float
    slack: float
    window_s: float


class BudgetUse(msgspec.Struct, frozen=True):
    """What decides whether a service may get one more repeat.

    These are counts of the window; `reserved` repeats have not been sent yet.
    `entries` is the number of entries that share the slack, 0 if it is unknown.
    """

    requests: int
    repeats: int
    reserved: int
    allowed: float
    entries: int


class _ServiceSends:
    """The times of what an entry has sent to one service."""

    def __init__(self) -> None:
        self.first_s: deque[float] = deque()
        self.repeated_s: deque[float] = deque()
        self.reserved = 0

    def forget_before(self, from_s: float) -> None:
        for send_times in (self.first_s, self.repeated_s):
            while send_times and send_times[0] < from_s:
                send_times.popleft()


class RepeatBudget:
    """Limits the repeats of one entry, for each service, in a sliding window.

    A process that replaces another one may not repeat at once what that one
    could: its part of the slack begins at 0 and grows over its first window, so
    that the parts of any number of processes in a row stay below the whole part.
    """

    def __init__(self, clock: Clock, terms: BudgetTerms) -> None:
        """Start without a part of the slack until `record_entries` is called."""
        self._clock = clock
        self._terms = terms
        self._started_s = clock.now()
        self._replaces_other = True
        self._sends: defaultdict[ServiceName, _ServiceSends]
        self._sends = defaultdict(_ServiceSends)
        self._entry_counts: deque[tuple[float, int]] = deque()

    @property
    def entries(self) -> int:
        """Among how many entries the slack is divided, 0 if that is unknown.

        It is the largest number within the window, as entries that have ended
        since may have used their parts.
        """
        return max((count for _, count in self._entry_counts), default=0)

    def record_entries(self, entries: int | None) -> None:
        """Record how many entries may exist now, `None` if that is unknown."""
        now = self._clock.now()
        if entries is not None:
            self._entry_counts.append((now, entries))
        # The newest one holds until there is another.
        while len(self._entry_counts) > 1 and (
            self._entry_counts[1][0] < now - self._terms.window_s
        ):
            self._entry_counts.popleft()

    def record_first_process(self) -> None:
        """Record that no process has used this entry's part before."""
        self._replaces_other = False

    def record_first_send(self, service: ServiceName) -> None:
        """Record the first send of a request."""
        self._find_sends(service).first_s.append(self._clock.now())

    def try_reserve(self, service: ServiceName) -> bool:
        """Reserve a repeat and return `True` if the budget allows it.

        It may wait for a place, so it counts until it is sent, and from then on
        for a window. `record_repeat` or `release` has to follow.
        """
        use = self.describe(service)
        if use.repeats + use.reserved + 1 > use.allowed:
            return False
        self._sends[service].reserved += 1
        return True

    def record_repeat(self, service: ServiceName) -> None:
        """Record that a reserved repeat is sent now."""
        self.release(service)
        self._sends[service].repeated_s.append(self._clock.now())

    def release(self, service: ServiceName) -> None:
        """Record that a reserved repeat won't be sent."""
        self._sends[service].reserved -= 1

    def describe(self, service: ServiceName) -> BudgetUse:
        """Return what has been sent within the window, and what is allowed."""
        sends = self._find_sends(service)
        earned = self._terms.ratio * len(sends.first_s) * SAFETY_FACTOR
        return BudgetUse(
            len(sends.first_s),
            len(sends.repeated_s),
            sends.reserved,
            earned + self._find_slack_part(),
            self.entries,
        )

    def _find_sends(self, service: ServiceName) -> _ServiceSends:
        sends = self._sends[service]
        sends.forget_before(self._clock.now() - self._terms.window_s)
        return sends

    def _find_slack_part(self) -> float:
        if not self.entries:
            return 0
        part = self._terms.slack / self.entries
        age_s = self._clock.now() - self._started_s
        if self._replaces_other and age_s < self._terms.window_s:
            return part * REPLACEMENT_FACTOR * age_s / self._terms.window_s
        return part * SAFETY_FACTOR
