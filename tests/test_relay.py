"""Relaying an attempt: order, completeness, flow control and outcomes."""

from collections.abc import Generator, Sequence
from itertools import repeat

import pytest
from bench.entry_cases import make_engine_request, make_service_request
from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.clock import Deadline, ManualClock
from figspread.entry.caller_request import (
    CallerRequest,
    ResponsePiece,
    ResponseStarted,
)
from figspread.entry.exchange import AttemptEvent, ConnectionLost, Exchange
from figspread.entry.relay import Relay
from figspread.entry.retry_state import RetryState
from figspread.ids import AttemptId
from figspread.inner.messages import (
    INITIAL_CREDIT_BYTES,
    Accepted,
    Chunk,
    Finished,
    Head,
)
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
FINISHED = Finished(ATTEMPT, Answered(), chunks=3)


def run_relay(
    req: CallerRequest,
    events: Sequence[AttemptEvent],
    *,
    is_gone: bool = False,
    left_s: float = 0.01,
) -> tuple[list[ResponseStarted | ResponsePiece], Outcome, int]:
    """Return the forwarded events, the outcome and the credit in bytes."""
    exchange = Exchange(ATTEMPT)
    for event in events:
        exchange.put_event(event)
    grants: list[int] = []
    clock = _AutoAdvanceClock(left_s)
    relay = Relay(
        req=req,
        retry_state=RetryState(req),
        deadline=Deadline(clock, left_s),
        is_caller_gone=lambda: is_gone,
        grant_credit=grants.append,
    )
    forwarded: list[ResponseStarted | ResponsePiece] = []
    outcome = _collect_events(relay.run(exchange), forwarded)
    return forwarded, outcome, sum(grants)


def _collect_events(
    events: Generator[ResponseStarted | ResponsePiece, None, Outcome],
    forwarded: list[ResponseStarted | ResponsePiece],
) -> Outcome:
    while True:
        try:
            forwarded.append(next(events))
        except StopIteration as stop:
            outcome: Outcome = stop.value
            return outcome


class _AutoAdvanceClock(ManualClock):
    """Advances on each reading, so that deadlines pass without a wait."""

    def __init__(self, left_s: float) -> None:
        super().__init__()
        self._step_s = left_s / 20

    def now(self) -> float:
        self.advance(self._step_s)
        return super().now()


def make_chunks(parts: Sequence[bytes]) -> list[Chunk]:
    """Return numbered chunks that carry `parts`, one token each."""
    return [
        Chunk(ATTEMPT, seq, part, tokens=1) for seq, part in enumerate(parts)
    ]


COMPLETE_EVENTS: list[AttemptEvent] = [
    Accepted(ATTEMPT),
    *make_chunks([b'a', b'b', b'c']),
    FINISHED,
]


def test_complete_answer_is_forwarded() -> None:
    """The head and all pieces arrive in order; few bytes grant no credit."""
    forwarded, outcome, credit = run_relay(
        make_engine_request(), COMPLETE_EVENTS
    )
    assert [
        piece.data for piece in forwarded if isinstance(piece, ResponsePiece)
    ] == [
        b'a',
        b'b',
        b'c',
    ]
    assert isinstance(forwarded[0], ResponseStarted)
    assert (outcome, credit) == (Answered(), 0)


def test_credit_is_granted_in_batches() -> None:
    """A credit message for each chunk would cost as much as the chunk."""
    part = b'x' * (INITIAL_CREDIT_BYTES // 8)
    chunks = make_chunks(tuple(repeat(part, 5)))
    end = Finished(ATTEMPT, Answered(), chunks=5)
    events: list[AttemptEvent] = [*chunks, end]
    _, outcome, credit = run_relay(make_engine_request(), events)
    assert (outcome, credit) == (Answered(), 4 * len(part))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    moves=st.lists(
        st.tuples(
            st.sampled_from(['drop', 'repeat', 'swap']),
            st.integers(0, 3),
        ),
        max_size=3,
    ),
)
def test_damaged_event_order_is_never_a_wrong_answer(
    moves: list[tuple[str, int]],
) -> None:
    """Dropped, repeated or swapped events never yield a wrong answer."""
    events: list[AttemptEvent] = [*make_chunks([b'a', b'b', b'c']), FINISHED]
    for move, place in moves:
        place = min(place, len(events) - 1)
        match move:
            case 'drop' if len(events) > 1:
                events.pop(place)
            case 'repeat':
                events.insert(place, events[place])
            case 'swap' if place + 1 < len(events):
                events.insert(place, events.pop(place + 1))
    forwarded, outcome, _ = run_relay(make_engine_request(), events)
    received = b''.join(
        piece.data for piece in forwarded if isinstance(piece, ResponsePiece)
    )
    assert b'abc'.startswith(received)
    if isinstance(outcome, Answered):
        assert received == b'abc'


NON_REPEATABLE = make_service_request()
ENGINE = make_engine_request()


@pytest.mark.parametrize(
    ('req', 'events', 'is_gone', 'expected'),
    [
        (ENGINE, [], False, Failed(FailedReason.DEADLINE, 'its time is over')),
        (
            NON_REPEATABLE,
            [],
            False,
            Unknown(UnknownReason.DEADLINE, 'its time is over'),
        ),
        (
            ENGINE,
            [Accepted(ATTEMPT)],
            True,
            Failed(FailedReason.CANCELLED, 'the caller has left'),
        ),
        (
            NON_REPEATABLE,
            [ConnectionLost(was_sent=True, detail='cut')],
            False,
            Unknown(UnknownReason.CONNECTION_LOST, 'cut'),
        ),
        (
            NON_REPEATABLE,
            [ConnectionLost(was_sent=False, detail='none')],
            False,
            NotRun(NotRunReason.NO_UPSTREAM, detail='none'),
        ),
        (
            NON_REPEATABLE,
            [Head(ATTEMPT, 200, {}), Finished(ATTEMPT, Answered(), chunks=1)],
            False,
            Failed(FailedReason.BROKEN_STREAM, 'chunks are missing'),
        ),
    ],
)
def test_incomplete_attempts_have_distinct_outcomes(
    req: CallerRequest,
    events: list[AttemptEvent],
    is_gone: bool,
    expected: Outcome,
) -> None:
    """Timeouts, lost connections and missing chunks are told apart."""
    assert run_relay(req, events, is_gone=is_gone)[1] == expected
