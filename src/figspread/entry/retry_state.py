"""The state of one request over its attempts, and the retry rules."""

from collections.abc import Set
from enum import Enum
from typing import Final

import msgspec

from figspread.entry.caller_request import CallerRequest
from figspread.entry.exchange import ConnectionLost
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

# Retry delay of a refusal whose agent gave none, as it was leaving.
DEFAULT_RETRY_AFTER_S: Final = 1.0
# Refusals after which the next upstream may accept the request.
_TRY_NEXT_REASONS: Final[Set[NotRunReason]] = frozenset(
    (
        NotRunReason.OVERLOAD,
        NotRunReason.LEAVING,
        NotRunReason.NOT_READY,
        NotRunReason.NO_UPSTREAM,
    )
)
# Failures that a repeatable request may be retried after.
_RETRYABLE_FAILURES: Final[Set[FailedReason]] = frozenset(
    (
        FailedReason.UPSTREAM_DIED,
        FailedReason.UPSTREAM_ERROR,
        FailedReason.BROKEN_STREAM,
    )
)
# Unknown outcomes that a repeatable request may be retried after.
_RETRYABLE_UNKNOWNS: Final[Set[UnknownReason]] = frozenset(
    (
        UnknownReason.CONNECTION_LOST,
        UnknownReason.UPSTREAM_DIED,
    )
)


class Step(Enum):
    """What the dispatcher does after an attempt.

    `END` reports the outcome to the caller. `ASK_NEXT` tries the next
    upstream after a refusal. `RETRY` repeats a request that may have run,
    which spends retry budget.
    """

    END = 'end'
    ASK_NEXT = 'ask_next'
    RETRY = 'retry'


class RetryState:
    """Tracks one request over its attempts; used by one thread only.

    `delivered_tokens` counts the engine tokens sent on to the caller; the
    next attempt resumes after them. `has_response_started` tells whether the
    caller has been sent a response head. `lost_connection` is set if the
    last attempt lost its connection. `failed_attempts` lists the attempts
    that failed or whose outcome is unknown.
    """

    def __init__(self, req: CallerRequest) -> None:
        """Start the state of `req` before its first attempt."""
        self.delivered_tokens = 0
        self.attempt_count = 0
        self.has_response_started = False
        self.lost_connection: ConnectionLost | None = None
        self.tried_upstreams: set[UpstreamId] = set()
        self.failed_attempts: list[AttemptId] = []
        self._req = req
        self._refusals: list[NotRun] = []
        self._last_failure: Failed | Unknown | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt ran or may have run."""
        return self._last_failure is not None

    @property
    def has_overload_refusal(self) -> bool:
        """Whether an upstream has refused the request for lack of capacity."""
        return any(
            refusal.reason is NotRunReason.OVERLOAD
            for refusal in self._refusals
        )

    def record_outcome(self, outcome: Outcome) -> Step:
        """Record an attempt's outcome and return the next step."""
        match outcome:
            case Answered():
                return Step.END
            case NotRun(reason=reason):
                self._refusals.append(outcome)
                return (
                    Step.ASK_NEXT if reason in _TRY_NEXT_REASONS else Step.END
                )
            case Failed(reason=failure):
                self._last_failure = outcome
                return self._select_failure_step(
                    can_retry=failure in _RETRYABLE_FAILURES
                )
            case Unknown(reason=unknown_reason):
                self._last_failure = outcome
                return self._select_failure_step(
                    can_retry=unknown_reason in _RETRYABLE_UNKNOWNS
                )

    def resolve_outcome(self, outcome: Outcome) -> Outcome:
        """Return the outcome reported to the caller if `outcome` is the last.

        `NotRun` is reported only if no earlier attempt may have run;
        otherwise the last failed or unknown outcome is. A refusal that another
        upstream might not repeat always has a retry delay.
        """
        if not isinstance(outcome, NotRun):
            return outcome
        if self._last_failure is not None:
            return self._last_failure
        if outcome.reason in _TRY_NEXT_REASONS and not outcome.retry_after_s:
            return msgspec.structs.replace(
                outcome, retry_after_s=DEFAULT_RETRY_AFTER_S
            )
        return outcome

    def build_refusal(self) -> NotRun:
        """Return the refusal for a request that no upstream accepted.

        Of several refusals it is the one with the shortest retry delay.
        """
        if not self._refusals:
            return NotRun(NotRunReason.NO_UPSTREAM, detail='no upstream is up')
        return min(
            self._refusals,
            key=lambda refusal: refusal.retry_after_s,
        )

    def reset_refusals(self) -> None:
        """Forget refusals, so that all upstreams can be tried again."""
        self.tried_upstreams.clear()
        self._refusals.clear()

    def _select_failure_step(self, *, can_retry: bool) -> Step:
        """Return the step after a failed or unknown attempt.

        A response that has started can be resumed on another engine, but not
        on another upstream of a plain service.
        """
        if not can_retry or not self._req.is_repeatable:
            return Step.END
        is_resumable = self._req.kind is UpstreamKind.ENGINE
        if self.has_response_started and not is_resumable:
            return Step.END
        return Step.RETRY
