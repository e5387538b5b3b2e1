"""Evaluates the records of a case's calls into one row of the table."""

from collections import Counter
from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet
from typing import Final

import msgspec

from bench.faults.answers import Ending
from bench.faults.caller import TIME_LIMIT_GRACE_S, CallAttempt, CallRecord
from bench.faults.calls import CallKind

# The ending of a call is the first of these that any of its attempts had.
_ENDING_PRECEDENCE: Final = (
    Ending.ANSWERED,
    Ending.LEFT,
    Ending.UNKNOWN,
    Ending.FAILED,
    Ending.NOT_RUN,
)
# Allowed on top of the time limit for delays inside the caller itself.
_CALLER_DELAY_S: Final = 0.5


class Row(msgspec.Struct, frozen=True):
    """The result of a case; `unmet` lists the other expectations it broke."""

    fault: str
    sent: int = 0
    answered: int = 0
    not_run: int = 0
    failed: int = 0
    unknown: int = 0
    left: int = 0
    doubled: int = 0
    lost: int = 0
    memory_left: int = 0
    unmet: Sequence[str] = ()

    @property
    def is_clean(self) -> bool:
        """Whether the case had no fault of any kind.

        That is: nothing doubled or lost, no memory left, nothing unmet.
        """
        faults = self.doubled + self.lost + self.memory_left
        return faults == 0 and not self.unmet


class Tally:
    """Evaluates call records against the runs that upstreams counted.

    `runs` maps the digest of a body to how often upstreams ran it.
    """

    def __init__(
        self,
        records: Sequence[CallRecord],
        runs: Mapping[str, int],
        interrupted_ports: AbstractSet[int],
    ) -> None:
        """Evaluate `records` against `runs`.

        The entries on `interrupted_ports` were killed or suspended, so an
        attempt there may have no answer.
        """
        self._records = records
        self._runs = runs
        self._interrupted_ports = interrupted_ports

    def list_lost(self) -> Sequence[CallRecord]:
        """Return the calls that got no outcome in time, or a wrong answer."""
        return [
            record
            for record in self._records
            if any(self._is_lost(attempt) for attempt in record.attempts)
        ]

    def list_doubled(self) -> Sequence[CallRecord]:
        """Return the calls that ran more often than allowed."""
        return [record for record in self._records if self._is_doubled(record)]

    def count_endings(self) -> Counter[Ending]:
        """Return the number of calls for each ending."""
        return Counter(self.find_ending(record) for record in self._records)

    def find_ending(self, record: CallRecord) -> Ending:
        """Return the ending of a call over all its attempts."""
        endings = {
            self._normalize_ending(attempt) for attempt in record.attempts
        }
        return next(
            ending for ending in _ENDING_PRECEDENCE if ending in endings
        )

    def _normalize_ending(self, attempt: CallAttempt) -> Ending:
        ending = attempt.verdict.ending
        if ending in {Ending.NO_ANSWER, Ending.NOT_WHOLE}:
            return Ending.UNKNOWN
        return ending

    def _is_lost(self, attempt: CallAttempt) -> bool:
        if attempt.verdict.ending is Ending.NOT_WHOLE:
            return True
        is_silent = attempt.verdict.ending is Ending.NO_ANSWER
        return is_silent and attempt.port not in self._interrupted_ports

    def _is_doubled(self, record: CallRecord) -> bool:
        runs = self._runs.get(record.call.digest, 0)
        if record.call.kind is CallKind.UNREPEATABLE and runs > 1:
            return True
        if record.call.key:
            return False
        endings = {attempt.verdict.ending for attempt in record.attempts}
        return endings == {Ending.NOT_RUN} and runs > 0


def list_overdue(records: Sequence[CallRecord]) -> Sequence[CallAttempt]:
    """Return the attempts that exceeded their time limit and the grace."""
    return [
        attempt
        for record in records
        for attempt in record.attempts
        if attempt.elapsed_s
        > record.call.time_limit_s + TIME_LIMIT_GRACE_S + _CALLER_DELAY_S
    ]
