"""The soak's command line."""

import time
from typing import Any

import pytest
from bench.soak import __main__ as soak
from bench.soak.run import Outcome
from click.testing import CliRunner

RUN_S = 30


class _Clock:
    """A clock on which each look takes a second and each run `RUN_S`."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        """Return the time and let a second pass."""
        self.now += 1
        return self.now


def test_fresh_seeds_are_drawn_while_there_is_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fresh seeds are drawn while there is time, one after each run."""
    clock = _Clock()
    played: list[int] = []

    class _Run:
        def __init__(self, seed: int, *options: Any) -> None:
            played.append(seed)

        async def play(self) -> Outcome:
            clock.now += RUN_S
            return Outcome(0, 1, 1, 1, [], '')

    monkeypatch.setattr(time, 'monotonic', clock.monotonic)
    monkeypatch.setattr(soak, 'Run', _Run)
    CliRunner().invoke(soak.main, ['--fresh', '1'], catch_exceptions=False)
    assert len(played) == 2
