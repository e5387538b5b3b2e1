"""Map the way an attempt ended to the outcome reported for it."""

from enum import Enum
from typing import Final

import msgspec

from figspread.inner.messages import Submit, UpstreamKind
from figspread.outcome import (
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from figspread.upstream.types import UpstreamFault, UpstreamFaultKind

DEFAULT_RETRY_AFTER_S: Final = 1.0


class StopCause(Enum):
    """Why the agent ended an attempt before its answer was complete."""

    DEADLINE = 'deadline'
    CANCELLED = 'cancelled'
    CONNECTION_LOST = 'connection_lost'
    UPSTREAM_DIED = 'upstream_died'
    AGENT_STOPS = 'agent_stops'


class _Reasons(msgspec.Struct, frozen=True):
    """The reason to report with each kind of outcome."""

    not_run: NotRunReason
    failed: FailedReason
    unknown: UnknownReason


_STOP_REASONS: Final = {
    StopCause.DEADLINE: _Reasons(
        NotRunReason.DEADLINE,
        FailedReason.DEADLINE,
        UnknownReason.DEADLINE,
    ),
    StopCause.CANCELLED: _Reasons(
        NotRunReason.CANCELLED,
        FailedReason.CANCELLED,
        UnknownReason.CONNECTION_LOST,
    ),
    StopCause.CONNECTION_LOST: _Reasons(
        NotRunReason.CANCELLED,
        FailedReason.CANCELLED,
        UnknownReason.CONNECTION_LOST,
    ),
    StopCause.UPSTREAM_DIED: _Reasons(
        NotRunReason.NO_UPSTREAM,
        FailedReason.UPSTREAM_DIED,
        UnknownReason.UPSTREAM_DIED,
    ),
    StopCause.AGENT_STOPS: _Reasons(
        NotRunReason.LEAVING,
        FailedReason.BROKEN_STREAM,
        UnknownReason.CONNECTION_LOST,
    ),
}

_BROKEN_STREAM_REASONS: Final = _Reasons(
    NotRunReason.NO_UPSTREAM,
    FailedReason.BROKEN_STREAM,
    UnknownReason.CONNECTION_LOST,
)
_UPSTREAM_ERROR_REASONS: Final = _Reasons(
    NotRunReason.NO_UPSTREAM,
    FailedReason.UPSTREAM_ERROR,
    UnknownReason.CONNECTION_LOST,
)
_FAULT_REASONS: Final = {
    UpstreamFaultKind.NOT_SENT: _BROKEN_STREAM_REASONS,
    UpstreamFaultKind.REFUSED: _BROKEN_STREAM_REASONS,
    UpstreamFaultKind.BROKEN: _BROKEN_STREAM_REASONS,
    UpstreamFaultKind.TIMED_OUT: _BROKEN_STREAM_REASONS,
    UpstreamFaultKind.ERROR: _UPSTREAM_ERROR_REASONS,
}
_FAULTS_BEFORE_RUN: Final = frozenset(
    (UpstreamFaultKind.NOT_SENT, UpstreamFaultKind.REFUSED),
)
_REFUSAL_REASON_BY_STATUS: Final = {
    400: NotRunReason.BAD_REQUEST,
    404: NotRunReason.UNKNOWN_MODEL,
    413: NotRunReason.TOO_LARGE,
    422: NotRunReason.BAD_REQUEST,
    429: NotRunReason.OVERLOAD,
    503: NotRunReason.OVERLOAD,
}


def is_safe_to_repeat(submit: Submit) -> bool:
    """Tell whether the attempt may run twice.

    Completions of an engine may; a call of a plain service may only if the
    submission marks it as repeatable.
    """
    return submit.repeatable or submit.kind is UpstreamKind.ENGINE


def is_known_not_run(fault: UpstreamFault) -> bool:
    """Tell whether the fault proves that the upstream did not run the call."""
    return fault.kind in _FAULTS_BEFORE_RUN


def resolve_stop_outcome(
    cause: StopCause,
    submit: Submit,
    *,
    has_begun: bool,
) -> Outcome:
    """Return the outcome of an attempt that was stopped for `cause`.

    `has_begun` says whether any byte of its call may have reached the
    upstream; without one the outcome is `NotRun`.
    """
    reasons = _STOP_REASONS[cause]
    if not has_begun:
        return NotRun(reasons.not_run, DEFAULT_RETRY_AFTER_S)
    return _resolve_begun_outcome(reasons, submit, '')


def resolve_fault_outcome(fault: UpstreamFault, submit: Submit) -> Outcome:
    """Return the outcome of an attempt whose upstream call failed."""
    reasons = _FAULT_REASONS[fault.kind]
    if not is_known_not_run(fault):
        return _resolve_begun_outcome(reasons, submit, fault.detail)
    reason = reasons.not_run
    if fault.kind is UpstreamFaultKind.REFUSED:
        reason = _REFUSAL_REASON_BY_STATUS.get(
            fault.status, NotRunReason.OVERLOAD
        )
    retry_after_s = fault.retry_after_s or DEFAULT_RETRY_AFTER_S
    return NotRun(reason, retry_after_s, fault.detail)


def _resolve_begun_outcome(
    reasons: _Reasons, submit: Submit, detail: str
) -> Outcome:
    if is_safe_to_repeat(submit):
        return Failed(reasons.failed, detail)
    return Unknown(reasons.unknown, detail)
