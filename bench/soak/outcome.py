"""What a run of the soak has found."""

from collections.abc import Sequence
from typing import Self

import msgspec

from bench.soak.calls import Call
from bench.soak.fleet import Fleet


class Outcome(msgspec.Struct, frozen=True):
    """Counts and violations of a run; `folder` has the logs of its entries.

    `stalls` has the end and length in seconds of each stall of the load.
    """

    seed: int
    calls: int
    answered: int
    faults: int
    violations: list[str]
    folder: str
    stalls: Sequence[tuple[float, float]] = ()

    @classmethod
    def count(
        cls,
        seed: int,
        calls: Sequence[Call],
        faults: int,
        violations: list[str],
        fleet: Fleet,
        stalls: Sequence[tuple[float, float]],
    ) -> Self:
        """Return the outcome of a run with these calls."""
        answered = sum(
            call.answer is not None and call.answer.status == 200
            for call in calls
        )
        return cls(
            seed,
            len(calls),
            answered,
            faults,
            violations,
            str(fleet.folder),
            stalls,
        )
