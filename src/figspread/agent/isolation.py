"""Runs suspects one at a time, so that a crash identifies its cause."""

from collections.abc import Iterable, Sequence
from typing import Final, Protocol

from figspread.ids import AttemptId, CrashId, Fingerprint
from figspread.inner.messages import Submit, SuspectRow
from figspread.outcome import NotRun, NotRunReason
from figspread.policy.suspects import CRASH_LIMIT

# The least delay after which the caller of a refused suspect may retry.
MIN_SUSPECT_RETRY_S: Final = 1.0
# The retry delay of a suspect that is refused because another one runs.
ISOLATION_RETRY_S: Final = 0.5

_OTHER_SUSPECT_RUNS: Final = NotRun(
    NotRunReason.OVERLOAD,
    ISOLATION_RETRY_S,
    'another suspect runs',
)


class SuspectTable(Protocol):
    """Tracks requests that were running when an upstream crashed."""

    def has_record(self, fingerprint: Fingerprint) -> bool:
        """Tell whether the table has a record of the request."""

    def crashes(self, fingerprint: Fingerprint) -> int:
        """Return how many crashes the request is suspected of."""

    def expires_in_s(self, fingerprint: Fingerprint) -> float:
        """Return in how many seconds the record of the request expires."""

    def record_crash(
        self,
        fingerprint: Fingerprint,
        crash: CrashId,
    ) -> Sequence[SuspectRow]:
        """Record a crash; return the changed rows to send to peers."""

    def merge(self, rows: Iterable[SuspectRow]) -> Sequence[SuspectRow]:
        """Merge the rows of a peer; return those that changed here."""

    def rows(self) -> Sequence[SuspectRow]:
        """Return all records."""


class SuspectIsolation:
    """Decides which suspects may run on one upstream.

    A request is a suspect if it was running during a crash. At most one
    suspect runs at a time; one with `CRASH_LIMIT` crashes is refused.
    """

    def __init__(self, suspects: SuspectTable) -> None:
        """Start without a running suspect."""
        self._suspects = suspects
        self._running_suspect: AttemptId | None = None

    def check(self, submit: Submit) -> NotRun | None:
        """Return why `submit` may not run now, or `None`."""
        crashes = self._count_crashes(submit)
        if crashes >= CRASH_LIMIT:
            expires_in_s = self._suspects.expires_in_s(submit.fingerprint)
            return NotRun(
                NotRunReason.SUSPECT,
                max(MIN_SUSPECT_RETRY_S, expires_in_s),
                'it brings engines down',
            )
        is_free = self._running_suspect in {None, submit.attempt}
        return None if is_free or not crashes else _OTHER_SUSPECT_RUNS

    def record_start(self, submit: Submit) -> None:
        """Record that `submit`, which passed `check`, was admitted."""
        if self._count_crashes(submit):
            self._running_suspect = submit.attempt

    def record_end(self, attempt: AttemptId) -> None:
        """Record that `attempt`, a suspect or not, has ended."""
        if self._running_suspect == attempt:
            self._running_suspect = None

    def _count_crashes(self, submit: Submit) -> int:
        """Return the crashes of the request, preferring the agent's own record.

        The sender's count is used only without a record, since the sender may
        not have heard yet that the request was cleared.
        """
        if self._suspects.has_record(submit.fingerprint):
            return self._suspects.crashes(submit.fingerprint)
        return submit.crashes
