"""Tests of the soak's command line."""

import time
from typing import Any

import pytest
from bench.soak import __main__ as soak
from bench.soak.checks import Call, InjectedFault, find_violations
from bench.soak.faults import PlannedFault
from bench.soak.run import Outcome
from click.testing import CliRunner

RUN_DURATION_S = 30
TIMEOUT_S = 4.0


class FakeRuns:
    """Stands in for `SoakRun` and for the clock.

    Each reading of the clock advances it by a second, each run by
    `RUN_DURATION_S`.
    """

    def __init__(self) -> None:
        """Start at 0 without any runs."""
        self.now = 0
        self.seeds: list[int] = []

    def monotonic(self) -> int:
        """Advance the clock by a second and return it."""
        self.now += 1
        return self.now

    def start(self, seed: int, *options: Any) -> 'FakeRuns':
        """Record the seed of a run; replaces the constructor of `SoakRun`."""
        self.seeds.append(seed)
        return self

    async def execute(self) -> Outcome:
        """Advance the clock by the duration of a run."""
        self.now += RUN_DURATION_S
        return Outcome(0, 1, 1, 1, [], '')


def test_fresh_seeds_are_drawn_until_time_is_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Draw new seeds until the time is over, the next one after each run.

    Seeds drawn ahead of the runs would let the soak exceed its time.
    """
    runs = FakeRuns()
    monkeypatch.setattr(time, 'monotonic', runs.monotonic)
    monkeypatch.setattr(soak, 'SoakRun', runs.start)
    CliRunner().invoke(soak.main, ['--fresh', '1'], catch_exceptions=False)
    assert len(runs.seeds) == 2


class _QuietEntry:
    """An entry that has logged nothing."""

    name = 'entry-0'


class _QuietFleet:
    """A fleet whose upstreams have run nothing."""

    def __init__(self) -> None:
        """Start with one entry and no upstreams."""
        self.upstreams: dict[str, Any] = {}
        self.entries = [_QuietEntry()]

    def read_log_rows(self, _entry: _QuietEntry) -> list[dict[str, object]]:
        """Return no lines."""
        return []


@pytest.mark.parametrize(
    ('kind', 'duration_s', 'is_violation'),
    [
        ('change the configuration', TIMEOUT_S, True),
        ('hang up an entry', TIMEOUT_S + 0.3, True),
        # A closed listener refuses the connection at once.
        ('terminate an entry', 0.01, False),
        ('change the configuration', 0.01, False),
    ],
)
def test_call_that_hangs_during_planned_work_is_a_violation(
    kind: str, duration_s: float, is_violation: bool
) -> None:
    """Planned work alone is no reason to leave a caller without an answer."""
    fleet: Any = _QuietFleet()
    call = Call('r', 'status', 0, 1, 1 + duration_s, TIMEOUT_S, None)
    fault = InjectedFault(PlannedFault(1, kind, 1, 0), 1, 2)
    assert bool(find_violations(fleet, [call], [fault])) == is_violation
