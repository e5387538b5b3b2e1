"""The answer that a caller gets is whole, in order and its own."""

from collections.abc import Generator, Sequence
from itertools import repeat

import pytest
from bench.entry_cases import make_engine_request, make_service_request
from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.clock import Deadline, ManualClock
from figspread.entry.call import CallerRequest, Piece, Started
from figspread.entry.exchange import Event, Exchange, Lost
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
END = Finished(ATTEMPT, Answered(), chunks=3)


def run_relay(
    req: CallerRequest,
    events: Sequence[Event],
    *,
    is_gone: bool = False,
    left_s: float = 0.01,
) -> tuple[list[Started | Piece], Outcome, int]:
    """Return what the relay passes on, its outcome and the credit given."""
    exchange = Exchange(ATTEMPT)
    for event in events:
        exchange.put(event)
    credit: list[int] = []
    clock = _StepClock(left_s)
    relay = Relay(
        req=req,
        retry_state=RetryState(req),
        deadline=Deadline(clock, left_s),
        is_gone=lambda: is_gone,
        give_credit=credit.append,
    )
    passed: list[Started | Piece] = []
    outcome = _drain(relay.run(exchange), passed)
    return passed, outcome, sum(credit)


def _drain(
    events: Generator[Started | Piece, None, Outcome],
    passed: list[Started | Piece],
) -> Outcome:
    while True:
        try:
            passed.append(next(events))
        except StopIteration as stop:
            outcome: Outcome = stop.value
            return outcome


class _StepClock(ManualClock):
    """Moves on with each look, so that no test waits for long."""

    def __init__(self, left_s: float) -> None:
        super().__init__()
        self._step_s = left_s / 20

    def now(self) -> float:
        self.advance(self._step_s)
        return super().now()


def make_chunks(parts: Sequence[bytes]) -> list[Chunk]:
    """Return the chunks that carry `parts`."""
    return [
        Chunk(ATTEMPT, seq, part, tokens=1) for seq, part in enumerate(parts)
    ]


WHOLE: list[Event] = [Accepted(ATTEMPT), *make_chunks([b'a', b'b', b'c']), END]


def test_a_whole_answer_is_passed_on() -> None:
    """Head, pieces in order, and the outcome; no credit for so little."""
    passed, outcome, credit = run_relay(make_engine_request(), WHOLE)
    assert [piece.data for piece in passed if isinstance(piece, Piece)] == [
        b'a',
        b'b',
        b'c',
    ]
    assert isinstance(passed[0], Started)
    assert (outcome, credit) == (Answered(), 0)


def test_credit_is_given_back_in_large_parts() -> None:
    """A message for each chunk would cost as much as the chunk."""
    part = b'x' * (INITIAL_CREDIT_BYTES // 8)
    chunks = make_chunks(tuple(repeat(part, 5)))
    end = Finished(ATTEMPT, Answered(), chunks=5)
    events: list[Event] = [*chunks, end]
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
def test_no_disorder_passes_for_a_whole_answer(
    moves: list[tuple[str, int]],
) -> None:
    """Dropped, repeated or swapped events never give other bytes as whole."""
    events: list[Event] = [*make_chunks([b'a', b'b', b'c']), END]
    for move, place in moves:
        place = min(place, len(events) - 1)
        match move:
            case 'drop' if len(events) > 1:
                events.pop(place)
            case 'repeat':
                events.insert(place, events[place])
            case 'swap' if place + 1 < len(events):
                events.insert(place, events.pop(place + 1))
    passed, outcome, _ = run_relay(make_engine_request(), events)
    given_bytes = b''.join(
        piece.data for piece in passed if isinstance(piece, Piece)
    )
    assert b'abc'.startswith(given_bytes)
    if isinstance(outcome, Answered):
        assert given_bytes == b'abc'


ONCE = make_service_request()
ENGINE = make_engine_request()


@pytest.mark.parametrize(
    ('req', 'events', 'is_gone', 'expected'),
    [
        (ENGINE, [], False, Failed(FailedReason.DEADLINE, 'its time is over')),
        (ONCE, [], False, Unknown(UnknownReason.DEADLINE, 'its time is over')),
        (
            ENGINE,
            [Accepted(ATTEMPT)],
            True,
            Failed(FailedReason.CANCELLED, 'the caller has left'),
        ),
        (
            ONCE,
            [Lost(was_sent=True, detail='cut')],
            False,
            Unknown(UnknownReason.CONNECTION_LOST, 'cut'),
        ),
        (
            ONCE,
            [Lost(was_sent=False, detail='none')],
            False,
            NotRun(NotRunReason.NO_UPSTREAM, detail='none'),
        ),
        (
            ONCE,
            [Head(ATTEMPT, 200, {}), Finished(ATTEMPT, Answered(), chunks=1)],
            False,
            Failed(FailedReason.BROKEN_STREAM, 'chunks are missing'),
        ),
    ],
)
def test_what_cannot_be_whole_is_named(
    req: CallerRequest,
    events: list[Event],
    is_gone: bool,
    expected: Outcome,
) -> None:
    """Silence, loss and missing chunks each have their own outcome."""
    assert run_relay(req, events, is_gone=is_gone)[1] == expected
