"""Suspects run one at a time, so that the next crash has one cause."""

from collections.abc import Iterable, Sequence
from typing import Final, Protocol

from figspread.ids import AttemptId, CrashId, Fingerprint
from figspread.inner.messages import Submit, SuspectRow
from figspread.outcome import NotRun, NotRunReason
from figspread.policy.suspects import GIVE_UP_CRASHES

LEAST_COMEBACK_S: Final = 1.0
ISOLATION_COMEBACK_S: Final = 0.5

_ANOTHER_RUNS: Final = NotRun(
    NotRunReason.OVERLOAD,
    ISOLATION_COMEBACK_S,
    'another suspect runs',
)


class SuspectTable(Protocol):
    """Knows the requests that have brought upstreams down."""

    def knows(self, fingerprint: Fingerprint) -> bool:
        """Tell whether the table has a record of the request."""

    def crashes(self, fingerprint: Fingerprint) -> int:
        """Return how many crashes the request is suspected of."""

    def comeback_s(self, fingerprint: Fingerprint) -> float:
        """Return in how many seconds the request is forgotten."""

    def note_crash(
        self,
        fingerprint: Fingerprint,
        crash: CrashId,
    ) -> Sequence[SuspectRow]:
        """Count a crash; return the rows to tell peers."""

    def merge(self, rows: Iterable[SuspectRow]) -> Sequence[SuspectRow]:
        """Take in what a peer knows; return the rows that changed here."""

    def rows(self) -> Sequence[SuspectRow]:
        """Return all that is known."""


class SuspectIsolation:
    """Decides which suspects may be on an upstream."""

    def __init__(self, suspects: SuspectTable) -> None:
        """Start with none there."""
        self._suspects = suspects
        self._running: AttemptId | None = None

    def check(self, submit: Submit) -> NotRun | None:
        """Return why `submit` may not run now, or `None`."""
        crashes = self._count(submit)
        if crashes >= GIVE_UP_CRASHES:
            comeback_s = self._suspects.comeback_s(submit.fingerprint)
            return NotRun(
                NotRunReason.SUSPECT,
                max(LEAST_COMEBACK_S, comeback_s),
                'it brings engines down',
            )
        is_free = self._running in {None, submit.attempt}
        return None if is_free or not crashes else _ANOTHER_RUNS

    def enter(self, submit: Submit) -> None:
        """Note that `submit`, which passed the check, is taken on."""
        if self._count(submit):
            self._running = submit.attempt

    def leave(self, attempt: AttemptId) -> None:
        """Note that `attempt` has ended, whether it was a suspect or not."""
        if self._running == attempt:
            self._running = None

    def _count(self, submit: Submit) -> int:
        """Believe the sender only about what is unknown here.

        It may not have heard yet that the request is forgiven.
        """
        if self._suspects.knows(submit.fingerprint):
            return self._suspects.crashes(submit.fingerprint)
        return submit.crashes
