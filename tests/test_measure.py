"""The time bound of a quick run of the comparisons."""

import time
from collections.abc import Iterator, Mapping

import pytest
from bench.measure.__main__ import run_until

RUN_S = 20


class FakeTime:
    """A clock that only runs move."""

    def __init__(self) -> None:
        """Start at 0."""
        self.now = 0

    def monotonic(self) -> int:
        """Return the time."""
        return self.now

    def runs(self, count: int) -> Iterator[Mapping[str, str | float]]:
        """Give the rows of runs that take `RUN_S` each."""
        for number in range(count):
            self.now += RUN_S
            yield {'run': number}


@pytest.mark.parametrize(
    ('count', 'ends', 'expected'),
    [
        (1, 55, 1),
        (2, 55, 2),
        (9, 55, 2),
        (9, float('inf'), 9),
    ],
)
def test_runs_that_would_end_late_are_not_begun(
    count: int,
    ends: float,
    expected: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Runs that would end late are not begun."""
    clock = FakeTime()
    monkeypatch.setattr(time, 'monotonic', clock.monotonic)
    assert len(run_until(clock.runs(count), ends)) == expected
