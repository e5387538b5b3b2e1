"""Retry rules: the next step and the outcome reported to the caller."""

import pytest
from bench.entry_cases import make_engine_request, make_service_request

from figspread.entry.caller_request import CallerRequest
from figspread.entry.retry_state import RetryState, Step
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

ENGINE = make_engine_request()
NON_REPEATABLE = make_service_request()
REPEATABLE = make_service_request(is_repeatable=True)


@pytest.mark.parametrize(
    ('req', 'is_started', 'outcome', 'step'),
    [
        (ENGINE, False, Answered(), Step.END),
        (ENGINE, False, NotRun(NotRunReason.OVERLOAD), Step.ASK_NEXT),
        (ENGINE, False, NotRun(NotRunReason.LEAVING), Step.ASK_NEXT),
        (ENGINE, False, NotRun(NotRunReason.TOO_LARGE), Step.END),
        (ENGINE, True, Failed(FailedReason.UPSTREAM_DIED), Step.RETRY),
        (ENGINE, True, Unknown(UnknownReason.CONNECTION_LOST), Step.RETRY),
        (ENGINE, False, Failed(FailedReason.DEADLINE), Step.END),
        (ENGINE, False, Failed(FailedReason.CANCELLED), Step.END),
        (NON_REPEATABLE, False, NotRun(NotRunReason.OVERLOAD), Step.ASK_NEXT),
        (
            NON_REPEATABLE,
            False,
            Unknown(UnknownReason.CONNECTION_LOST),
            Step.END,
        ),
        (NON_REPEATABLE, False, Failed(FailedReason.UPSTREAM_ERROR), Step.END),
        (
            REPEATABLE,
            False,
            Unknown(UnknownReason.CONNECTION_LOST),
            Step.RETRY,
        ),
        (REPEATABLE, True, Failed(FailedReason.UPSTREAM_DIED), Step.END),
    ],
)
def test_outcome_selects_next_step(
    req: CallerRequest,
    is_started: bool,
    outcome: Outcome,
    step: Step,
) -> None:
    """An outcome ends the request, tries the next upstream or retries."""
    retry_state = RetryState(req)
    retry_state.has_response_started = is_started
    assert retry_state.record_outcome(outcome) is step


def test_not_run_is_reported_only_if_no_attempt_ran() -> None:
    """A refusal after an attempt that may have run is not reported."""
    refusal = NotRun(NotRunReason.OVERLOAD, 3)
    lost = Unknown(UnknownReason.CONNECTION_LOST)
    retry_state = RetryState(ENGINE)
    assert retry_state.resolve_outcome(refusal) == refusal
    retry_state.record_outcome(lost)
    assert retry_state.resolve_outcome(refusal) == lost


def test_refusal_has_shortest_retry_delay() -> None:
    """Of several refusals, the shortest retry delay is reported."""
    retry_state = RetryState(ENGINE)
    retry_state.record_outcome(NotRun(NotRunReason.OVERLOAD, 5))
    retry_state.record_outcome(NotRun(NotRunReason.OVERLOAD, 2))
    assert retry_state.build_refusal().retry_after_s == 2


@pytest.mark.parametrize(
    ('refusals', 'retry_after_s'),
    [
        ([NotRun(NotRunReason.LEAVING, 0)], 1),
        (
            [NotRun(NotRunReason.LEAVING, 0), NotRun(NotRunReason.OVERLOAD, 3)],
            1,
        ),
        ([NotRun(NotRunReason.OVERLOAD, 0.2)], 0.2),
        ([], 1),
    ],
)
def test_refusal_by_agents_says_when_to_send_again(
    refusals: list[NotRun], retry_after_s: float
) -> None:
    """Guard against a 503 without Retry-After as the only agent leaves."""
    state = RetryState(make_engine_request())
    for refusal in refusals:
        state.record_outcome(refusal)
    reported = state.resolve_outcome(state.build_refusal())
    assert isinstance(reported, NotRun)
    assert reported.retry_after_s == retry_after_s
