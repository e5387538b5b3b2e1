"""What follows from an attempt's outcome."""

import pytest
from bench.entry_cases import make_engine_request, make_service_request

from figspread.entry.call import CallerRequest
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
ONCE = make_service_request()
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
        (ONCE, False, NotRun(NotRunReason.OVERLOAD), Step.ASK_NEXT),
        (ONCE, False, Unknown(UnknownReason.CONNECTION_LOST), Step.END),
        (ONCE, False, Failed(FailedReason.UPSTREAM_ERROR), Step.END),
        (
            REPEATABLE,
            False,
            Unknown(UnknownReason.CONNECTION_LOST),
            Step.RETRY,
        ),
        (REPEATABLE, True, Failed(FailedReason.UPSTREAM_DIED), Step.END),
    ],
)
def test_outcomes_lead_to_steps(
    req: CallerRequest,
    is_started: bool,
    outcome: Outcome,
    step: Step,
) -> None:
    """Each outcome ends the request, asks the next upstream or retries."""
    retry_state = RetryState(req)
    retry_state.is_started = is_started
    assert retry_state.judge(outcome) is step


def test_not_run_is_said_only_if_no_attempt_ran() -> None:
    """A refusal after an attempt that may have run is not passed on."""
    refusal = NotRun(NotRunReason.OVERLOAD, 3)
    lost = Unknown(UnknownReason.CONNECTION_LOST)
    retry_state = RetryState(ENGINE)
    assert retry_state.settle(refusal) == refusal
    retry_state.judge(lost)
    assert retry_state.settle(refusal) == lost


def test_the_soonest_time_to_come_back_is_given() -> None:
    """Of several refusals the caller hears the one that ends first."""
    retry_state = RetryState(ENGINE)
    retry_state.judge(NotRun(NotRunReason.OVERLOAD, 5))
    retry_state.judge(NotRun(NotRunReason.OVERLOAD, 2))
    assert retry_state.refuse().retry_after_s == 2
