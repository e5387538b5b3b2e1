"""Converts evidence on parts of prompts to and from messages.

Entries have clocks of their own, so messages have ages instead of times.
"""

from typing import Final

from figspread.ids import CrashId, PromptPartId
from figspread.inner.entry_messages import (
    InterruptedRow,
    PartEvidenceRow,
    QuarantineRow,
)
from figspread.policy.part_evidence import InterruptedRequest, RequestTag
from figspread.policy.quarantine import Quarantine

_MS_PER_S: Final = 1000
_NEVER: Final = float('-inf')


def make_interrupted_row(
    crash: CrashId, crashed_s: float, request: InterruptedRequest, now: float
) -> InterruptedRow:
    """Return the row of a request that a crash interrupted."""
    return InterruptedRow(
        crash,
        _age_ms(crashed_s, now),
        request.request,
        tuple(sorted(request.parts)),
    )


def make_evidence_row(
    part: PromptPartId, answered_s: float, running: int, now: float
) -> PartEvidenceRow:
    """Return the row of what speaks for `part`; see `PartEvidenceRow`."""
    age_ms = -1 if answered_s == _NEVER else _age_ms(answered_s, now)
    return PartEvidenceRow(part, age_ms, running)


def make_quarantine_row(quarantine: Quarantine, now: float) -> QuarantineRow:
    """Return the row of a quarantine."""
    left_s = quarantine.next_trial_s - now
    return QuarantineRow(
        tuple(sorted(quarantine.group)),
        _age_ms(quarantine.since_s, now),
        quarantine.trials,
        max(0, round(left_s * _MS_PER_S)),
    )


def read_request(row: InterruptedRow) -> InterruptedRequest:
    """Return the request that a row describes."""
    return InterruptedRequest(RequestTag(row.request), frozenset(row.parts))


def read_quarantine_row(row: QuarantineRow, now: float) -> Quarantine:
    """Return the quarantine that a row describes."""
    return Quarantine(
        frozenset(row.parts),
        since_s=read_age(row.age_ms, now),
        next_trial_s=now + row.next_trial_ms / _MS_PER_S,
        met_s=now,
        trials=row.trials,
    )


def read_age(age_ms: int, now: float) -> float:
    """Return the clock time `age_ms` ago, minus infinity if it is negative."""
    return now - age_ms / _MS_PER_S if age_ms >= 0 else _NEVER


def _age_ms(clock_s: float, now: float) -> int:
    return max(0, round((now - clock_s) * _MS_PER_S))
