"""When a leaving entry refuses requests, and how it ends those it runs."""

import math

import pytest
from bench.entry_cases import make_engine_request, make_service_request

from figspread.clock import Deadline, ManualClock
from figspread.entry.caller_request import CallerRequest
from figspread.entry.drain import (
    LEAVING,
    DrainEnd,
    RequestDeadline,
    build_refusal,
)
from figspread.entry.exchange import AttemptEvent, ConnectionLost, Exchange
from figspread.entry.relay import Relay
from figspread.entry.retry_state import RetryState
from figspread.ids import AttemptId
from figspread.inner.messages import Accepted, Chunk, Finished
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

ATTEMPT = AttemptId('att-1')
DRAIN_S = 10.0
HAS_LEFT = 'this entry has left before the answer was complete'
ONCE = make_service_request()
ENGINE = make_engine_request()


@pytest.mark.parametrize(
    ('drain_s', 'elapsed_s', 'time_limit_s', 'is_taken'),
    [
        (None, 0, 600, True),
        (DRAIN_S, 0, 10, True),
        (DRAIN_S, 0, 10.5, False),
        (DRAIN_S, 4, 6, True),
        (DRAIN_S, 4, 8, False),
        (DRAIN_S, 12, 0.5, False),
    ],
)
def test_request_is_taken_only_if_it_ends_within_the_drain(
    drain_s: float | None,
    elapsed_s: float,
    time_limit_s: float,
    is_taken: bool,
) -> None:
    """Guard against requests taken late in a drain that its end cuts."""
    clock = ManualClock()
    drain_end = DrainEnd(clock)
    if drain_s is not None:
        drain_end.set_time_left(drain_s)
    clock.advance(elapsed_s)
    assert drain_end.has_time_for(time_limit_s) is is_taken


@pytest.mark.parametrize(
    ('drain_s', 'time_limit_s', 'elapsed_s', 'left_s', 'is_cut_short'),
    [
        (math.inf, 30, 4, 26, False),
        (math.inf, 30, 31, 0, False),
        (DRAIN_S, 30, 4, 6, False),
        (DRAIN_S, 30, 11, 0, True),
        (DRAIN_S, 3, 4, 0, False),
        (DRAIN_S, 3, 11, 0, False),
    ],
)
def test_end_of_drain_bounds_requests_that_came_before_it(
    drain_s: float,
    time_limit_s: float,
    elapsed_s: float,
    left_s: float,
    is_cut_short: bool,
) -> None:
    """Guard against requests that wait on beyond the end of a drain."""
    clock = ManualClock()
    drain_end = DrainEnd(clock)
    deadline = RequestDeadline(clock, time_limit_s, drain_end)
    drain_end.set_time_left(drain_s)
    clock.advance(elapsed_s)
    assert deadline.left_s() == left_s
    assert deadline.is_cut_short() is is_cut_short


def test_request_that_has_not_run_is_told_why_its_time_ended() -> None:
    """Guard against a leaving entry that blames the caller's time limit."""
    clock = ManualClock()
    drain_end = DrainEnd(clock)
    deadline = RequestDeadline(clock, 30, drain_end)
    drain_end.set_time_left(0)
    assert build_refusal(deadline) == LEAVING
    assert build_refusal(Deadline(clock, 0)).reason is NotRunReason.DEADLINE


CANCELLED = Finished(ATTEMPT, NotRun(NotRunReason.CANCELLED))


@pytest.mark.parametrize(
    ('req', 'events', 'expected'),
    [
        (ONCE, [CANCELLED], LEAVING),
        (ENGINE, [Accepted(ATTEMPT), CANCELLED], LEAVING),
        (ONCE, [], Unknown(UnknownReason.DEADLINE, HAS_LEFT)),
        (ENGINE, [], Failed(FailedReason.DEADLINE, HAS_LEFT)),
        (
            ENGINE,
            [Finished(ATTEMPT, Failed(FailedReason.CANCELLED))],
            Failed(FailedReason.DEADLINE, HAS_LEFT),
        ),
        (
            ONCE,
            [Finished(ATTEMPT, Unknown(UnknownReason.CONNECTION_LOST))],
            Unknown(UnknownReason.CONNECTION_LOST),
        ),
        (
            ONCE,
            [ConnectionLost(was_sent=True, detail='cut')],
            Unknown(UnknownReason.CONNECTION_LOST, 'cut'),
        ),
        (
            ENGINE,
            [Chunk(ATTEMPT, 0, b'a'), Finished(ATTEMPT, Answered(), 1)],
            Answered(),
        ),
    ],
)
def test_attempts_have_true_outcomes_when_the_drain_ends(
    req: CallerRequest,
    events: list[AttemptEvent],
    expected: Outcome,
) -> None:
    """Guard against waiting requests that count as run, and lost answers."""
    clock = ManualClock()
    drain_end = DrainEnd(clock)
    drain_end.set_time_left(0)
    exchange = Exchange(ATTEMPT)
    for event in events:
        exchange.put_event(event)
    relay = Relay(
        req=req,
        retry_state=RetryState(req),
        deadline=RequestDeadline(clock, 30, drain_end),
        is_caller_gone=bool,
        grant_credit=lambda _size: None,
    )
    pieces = relay.run(exchange)
    outcome: Outcome | None = None
    while outcome is None:
        try:
            next(pieces)
        except StopIteration as stop:
            outcome = stop.value
    assert outcome == expected
