"""The soak's command line."""

import time
from typing import Any

import pytest
from bench.soak import __main__ as soak
from bench.soak.run import Outcome
from click.testing import CliRunner

RUN_S = 30


class FakeRuns:
    """Runs that take `RUN_S` on a clock where each look takes a second."""

    def __init__(self) -> None:
        """Start at 0 with nothing played."""
        self.now = 0
        self.seeds: list[int] = []

    def monotonic(self) -> int:
        """Return the time and let a second pass."""
        self.now += 1
        return self.now

    def start(self, seed: int, *options: Any) -> 'FakeRuns':
        """Take the place of a run's class."""
        self.seeds.append(seed)
        return self

    async def play(self) -> Outcome:
        """Let the time of a run pass."""
        self.now += RUN_S
        return Outcome(0, 1, 1, 1, [], '')


def test_fresh_seeds_are_drawn_while_there_is_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fresh seeds are drawn while there is time, one after each run."""
    runs = FakeRuns()
    monkeypatch.setattr(time, 'monotonic', runs.monotonic)
    monkeypatch.setattr(soak, 'Run', runs.start)
    CliRunner().invoke(soak.main, ['--fresh', '1'], catch_exceptions=False)
    assert len(runs.seeds) == 2
