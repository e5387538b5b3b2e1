"""What a run of the soak has found."""

import re
from collections.abc import Sequence
from pathlib import Path
from typing import Final, Self

import msgspec

from bench.soak.calls import Call
from bench.soak.fleet import Fleet

# Log lines of a run that are printed at most.
LOG_LINES: Final = 40
# Names of requests, in violations as in the logs of entries.
_REQUEST_NAME: Final = re.compile(r'\b(?:[st]\d+|end)-[\w-]+')


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

    def list_log_lines(self) -> list[str]:
        """Return what entries have logged of requests in violations, in part."""
        names = {
            name
            for line in self.violations
            for name in _REQUEST_NAME.findall(line)
        }
        return [
            '{0}: {1}'.format(path.stem, row)
            for path in sorted(Path(self.folder).glob('*.log'))
            for row in path.read_text(errors='replace').splitlines()
            if names.intersection(_REQUEST_NAME.findall(row))
        ][:LOG_LINES]
