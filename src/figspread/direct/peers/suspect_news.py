"""Finds what to tell other entries of requests that crash upstreams."""

from collections.abc import Sequence
from typing import TypeAlias

from figspread.ids import CrashId, Fingerprint
from figspread.inner.messages import SuspectRow
from figspread.policy.suspects import SuspectRegistry

_RowKey: TypeAlias = tuple[
    Fingerprint, tuple[CrashId, ...], tuple[CrashId, ...]
]


class SuspectNews:
    """Compares the suspects with those that were told before."""

    def __init__(self, suspects: SuspectRegistry) -> None:
        """Tell of `suspects`."""
        self._suspects = suspects
        self._told: frozenset[_RowKey] = frozenset()

    def pop_changes(self) -> Sequence[SuspectRow]:
        """Return the rows with crashes that are new or newly forgiven."""
        rows = {_make_key(row): row for row in self._suspects.rows()}
        changed = tuple(
            row for key, row in rows.items() if key not in self._told
        )
        self._told = frozenset(rows)
        return changed


def _make_key(row: SuspectRow) -> _RowKey:
    return row.fingerprint, row.crash_ids, row.forgiven
