"""What a stop does to single requests, on a manual clock without a network."""

import pytest

from figspread.clock import ManualClock
from figspread.direct.model import CallerRequest
from figspread.direct.requests.attempt_results import CompleteAnswer
from figspread.direct.requests.request_state import Refusal, RequestState
from figspread.direct.requests.stop_check import LEAVING_REFUSAL, StopCheck
from figspread.direct.requests.streams import StreamState
from figspread.direct.state.admission_queue import AdmissionRefused
from figspread.http1.client import Head
from figspread.ids import Fingerprint
from figspread.policy.planned_stop import plan_stop
from tests.placing_setup import ROUTE, SERVICE

GRACE_S = 8
FAILURE = CompleteAnswer(500, [], b'failed')
NOT_RUN = Refusal(503, 'not run', 1)


def _make_state() -> RequestState:
    request = CallerRequest(
        request='r-1',
        method=b'POST',
        target=b'/r/x',
        fields=[],
        body=b'',
        host='h',
        path='/r/x',
        prompt_tokens=5000,
        output_tokens=900,
    )
    return RequestState(
        request, ROUTE, SERVICE, None, Fingerprint('f'), 0, 20, StreamState()
    )


def _stop(now: float) -> StopCheck:
    check = StopCheck(ManualClock(now))
    check.schedule = plan_stop(0, GRACE_S)
    return check


def test_nothing_is_refused_without_a_stop() -> None:
    """A serving entry takes requests of any duration."""
    check = StopCheck(ManualClock(100))
    assert check.find_refusal(_make_state()) is None
    check.check(_make_state())


def test_waiting_request_is_told_when_another_entry_takes_it() -> None:
    """The refusal has the Retry-After of a stop."""
    with pytest.raises(AdmissionRefused) as caught:
        _stop(6.5).check(_make_state())
    assert caught.value.retry_after_s == LEAVING_REFUSAL.retry_after_s == 0.1
    assert _stop(6.5).find_refusal(_make_state()) == LEAVING_REFUSAL


def test_stream_that_has_begun_may_be_resumed_during_a_stop() -> None:
    """Its caller has a part of the answer, which only this entry goes on with."""
    state = _make_state()
    state.stream.head = Head(200, [])
    _stop(6.5).check(state)


@pytest.mark.parametrize(
    ('changes', 'answer'),
    [
        ({}, NOT_RUN),
        ({'is_sending': True}, Refusal(504, 'lost')),
        ({'may_have_run': True}, Refusal(504, 'lost')),
        ({'may_have_run': True, 'upstream_failure': FAILURE}, FAILURE),
    ],
)
def test_request_that_may_have_run_is_not_called_not_run(
    changes: dict[str, object], answer: Refusal | CompleteAnswer
) -> None:
    """Only a request that was never sent is answered as not run."""
    state = _make_state()
    for name, setting in changes.items():
        setattr(state, name, setting)
    assert state.build_unfinished_answer('lost', NOT_RUN) == answer
