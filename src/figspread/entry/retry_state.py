"""What has happened to one request so far, and what follows from it."""

from collections.abc import Set
from enum import Enum
from typing import Final

from figspread.entry.call import CallerRequest
from figspread.entry.exchange import Lost
from figspread.ids import AttemptId, UpstreamId
from figspread.inner.messages import UpstreamKind
from figspread.outcome import (
    Answered,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)

_ASK_NEXT: Final[Set[NotRunReason]] = frozenset(
    (
        NotRunReason.OVERLOAD,
        NotRunReason.LEAVING,
        NotRunReason.NOT_READY,
        NotRunReason.NO_UPSTREAM,
    )
)
_RETRY_FAILED: Final[Set[FailedReason]] = frozenset(
    (
        FailedReason.UPSTREAM_DIED,
        FailedReason.UPSTREAM_ERROR,
        FailedReason.BROKEN_STREAM,
    )
)
_RETRY_UNKNOWN: Final[Set[UnknownReason]] = frozenset(
    (
        UnknownReason.CONNECTION_LOST,
        UnknownReason.UPSTREAM_DIED,
    )
)


class Step(Enum):
    """What to do after an attempt."""

    END = 'end'
    ASK_NEXT = 'ask_next'
    RETRY = 'retry'


class RetryState:
    """Follows one request over its attempts; belongs to one thread."""

    def __init__(self, req: CallerRequest) -> None:
        """Start before the first attempt."""
        self.tokens = 0
        self.attempts = 0
        self.is_started = False
        self.lost: Lost | None = None
        self.tried: set[UpstreamId] = set()
        self.broken: list[AttemptId] = []
        self._req = req
        self._refusals: list[NotRun] = []
        self._last: Failed | Unknown | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether some attempt ran or may have run."""
        return self._last is not None

    @property
    def is_put_off(self) -> bool:
        """Whether an upstream that can run it has no place for it now."""
        return any(
            refusal.reason is NotRunReason.OVERLOAD
            for refusal in self._refusals
        )

    def judge(self, outcome: Outcome) -> Step:
        """Take in an attempt's outcome and return what follows from it."""
        match outcome:
            case Answered():
                return Step.END
            case NotRun(reason=reason):
                self._refusals.append(outcome)
                return Step.ASK_NEXT if reason in _ASK_NEXT else Step.END
            case Failed(reason=failure):
                self._last = outcome
                return self._after(can_retry=failure in _RETRY_FAILED)
            case Unknown(reason=doubt):
                self._last = outcome
                return self._after(can_retry=doubt in _RETRY_UNKNOWN)

    def settle(self, outcome: Outcome) -> Outcome:
        """Return what the caller is told when `outcome` ends the request.

        A refusal is passed on as `NotRun` only if no earlier attempt ran.
        """
        if isinstance(outcome, NotRun) and self._last is not None:
            return self._last
        return outcome

    def refuse(self) -> NotRun:
        """Return the refusal for a request that no upstream has taken."""
        if not self._refusals:
            return NotRun(NotRunReason.NO_UPSTREAM, detail='no upstream is up')
        return min(
            self._refusals,
            key=lambda refusal: refusal.retry_after_s,
        )

    def start_over(self) -> None:
        """Let all upstreams be asked again."""
        self.tried.clear()
        self._refusals.clear()

    def _after(self, *, can_retry: bool) -> Step:
        if not can_retry or not self._req.is_repeatable:
            return Step.END
        is_resumable = self._req.kind is UpstreamKind.ENGINE
        if self.is_started and not is_resumable:
            return Step.END
        return Step.RETRY
