"""Tests of the time limit of a quick run of the comparisons."""

import time
from collections.abc import Iterator, Mapping

import pytest
from bench.measure.__main__ import run_until

RUN_S = 20


class FakeClock:
    """A clock that advances only when a run takes place."""

    def __init__(self) -> None:
        """Start at 0."""
        self.now = 0

    def monotonic(self) -> int:
        """Return the current time in seconds."""
        return self.now

    def runs(self, count: int) -> Iterator[Mapping[str, str | float]]:
        """Yield the rows of runs that take `RUN_S` seconds each."""
        for number in range(count):
            self.now += RUN_S
            yield {'run': number}


@pytest.mark.parametrize(
    ('count', 'deadline', 'expected'),
    [
        (1, 55, 1),
        (2, 55, 2),
        (9, 55, 2),
        (9, float('inf'), 9),
    ],
)
def test_runs_past_deadline_are_not_started(
    count: int,
    deadline: float,
    expected: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A run that is expected to end after the deadline is not started."""
    clock = FakeClock()
    monkeypatch.setattr(time, 'monotonic', clock.monotonic)
    assert len(run_until(clock.runs(count), deadline)) == expected
