"""Clocks that are passed in, so that tests need not sleep."""

import time
from typing import Protocol


class Clock(Protocol):
    """Interface of a monotonic clock in seconds."""

    def now(self) -> float:
        """Return seconds on a clock that never goes back."""


class MonotonicClock:
    """Monotonic clock of the machine, which counts suspensions too."""

    def now(self) -> float:
        """Return seconds since an unspecified start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Clock for tests that moves only when `advance` is called."""

    def __init__(self, start: float = 0) -> None:
        """Start at `start` seconds."""
        self._now = start

    def now(self) -> float:
        """Return the current time of this clock in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move forward by `seconds`."""
        self._now += seconds


class Deadline:
    """Time by which a request must have its outcome."""

    def __init__(self, clock: Clock, time_left_s: float) -> None:
        """Expire `time_left_s` seconds from now on `clock`."""
        self._clock = clock
        self._expires = clock.now() + time_left_s

    def left_s(self) -> float:
        """Return the seconds left, never below zero."""
        return max(0, self._expires - self._clock.now())

    def is_past(self) -> bool:
        """Return whether no time is left."""
        return self.left_s() <= 0
