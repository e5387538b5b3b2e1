"""The end of an entry's drain, which bounds the requests that it runs."""

import math
from typing import Final

from figspread.clock import Clock, Deadline
from figspread.outcome import (
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)

RETRY_AFTER_S: Final = 1.0
LEAVING: Final = NotRun(
    NotRunReason.LEAVING, RETRY_AFTER_S, 'this entry is leaving'
)
_EXPIRED: Final = NotRun(NotRunReason.DEADLINE, detail='its time is over')


class DrainEnd:
    """The time at which the requests of a leaving entry must have ended.

    Owned by `EntryApp`, which sets it once; the HTTP server's threads read it.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without an end, as long as the entry isn't leaving."""
        self._clock = clock
        self._deadline: Deadline | None = None

    def set_time_left(self, time_left_s: float) -> None:
        """Let the drain end `time_left_s` seconds from now."""
        self._deadline = Deadline(self._clock, time_left_s)

    def left_s(self) -> float:
        """Return the seconds left, infinite if the entry isn't leaving."""
        return math.inf if self._deadline is None else self._deadline.left_s()

    def is_past(self) -> bool:
        """Return whether all requests must have ended."""
        return self.left_s() <= 0

    def has_time_for(self, time_limit_s: float) -> bool:
        """Tell whether a request that takes all of its time ends before."""
        return time_limit_s <= self.left_s()


class RequestDeadline(Deadline):
    """The end of a request's time, or of the entry's drain if that is first.

    It moves forward when the entry starts to leave.
    """

    def __init__(
        self, clock: Clock, time_left_s: float, drain_end: DrainEnd
    ) -> None:
        """Expire `time_left_s` seconds from now, or at `drain_end`."""
        super().__init__(clock, time_left_s)
        self._drain_end = drain_end

    def left_s(self) -> float:
        """Return the seconds left, never below zero."""
        return min(super().left_s(), self._drain_end.left_s())

    def is_cut_short(self) -> bool:
        """Return whether the drain has ended before the request's own time."""
        return self._drain_end.is_past() and self._expires > self._clock.now()


def is_cut_short(deadline: Deadline) -> bool:
    """Tell whether `deadline` is past because the entry's drain has ended."""
    return isinstance(deadline, RequestDeadline) and deadline.is_cut_short()


def build_refusal(deadline: Deadline) -> NotRun:
    """Return why a request that hasn't run gets no more time."""
    return LEAVING if is_cut_short(deadline) else _EXPIRED


def build_broken_off(deadline: Deadline, *, is_repeatable: bool) -> Outcome:
    """Return the outcome of a request that may have run when its time ended.

    `Failed` permits its caller to send it again, whether or not it has run.
    """
    detail = 'its time is over'
    if is_cut_short(deadline):
        detail = 'this entry has left before the answer was complete'
    if is_repeatable:
        return Failed(FailedReason.DEADLINE, detail)
    return Unknown(UnknownReason.DEADLINE, detail)
