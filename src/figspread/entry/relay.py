"""One attempt's events, checked and passed on in order."""

from collections.abc import Callable, Generator
from typing import Final

import msgspec

from figspread.clock import Deadline
from figspread.entry.call import CallerRequest, Piece, Started
from figspread.entry.exchange import Exchange, Lost
from figspread.entry.retry_state import RetryState
from figspread.inner.credit import ReceiveWindow
from figspread.inner.messages import Accepted, Chunk, Finished, Head
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

POLL_S: Final = 0.25
STREAM_HEADERS: Final = {
    'Content-Type': 'text/event-stream',
    'Cache-Control': 'no-store',
}


class Relay(msgspec.Struct, frozen=True):
    """Passes an exchange's events on until it ends.

    `is_gone` tells whether the caller has left, `give_credit` lets the agent
    send so many bytes more.
    """

    req: CallerRequest
    retry_state: RetryState
    deadline: Deadline
    is_gone: Callable[[], bool]
    give_credit: Callable[[int], None]

    def run(
        self,
        exchange: Exchange,
    ) -> Generator[Started | Piece, None, Outcome]:
        """Yield the answer as it comes and return the attempt's outcome."""
        chunks = 0
        window = ReceiveWindow()
        while True:
            match self._wait(exchange):
                case Head() as head:
                    self.retry_state.is_started = True
                    yield Started(head.status, head.headers)
                case Chunk() as chunk if chunk.seq == chunks:
                    chunks += 1
                    yield from self._pass_on(chunk, window)
                case Chunk():
                    return Failed(
                        FailedReason.BROKEN_STREAM,
                        'a chunk is missing or came twice',
                    )
                case Finished() as finished:
                    return _check_count(finished, chunks)
                case Lost() as lost:
                    self.retry_state.lost = lost
                    return _outcome_of_loss(lost)
                case Accepted():
                    continue
                case outcome:
                    return outcome

    def _wait(
        self,
        exchange: Exchange,
    ) -> Accepted | Head | Chunk | Finished | Lost | Outcome:
        while True:
            event = exchange.take(min(POLL_S, self.deadline.left_s()))
            if event is not None:
                return event
            if self.deadline.is_past():
                return self._outcome_when_late()
            if self.is_gone():
                return Failed(FailedReason.CANCELLED, 'the caller has left')

    def _pass_on(
        self,
        chunk: Chunk,
        window: ReceiveWindow,
    ) -> Generator[Started | Piece, None, None]:
        if not self.retry_state.is_started:
            self.retry_state.is_started = True
            yield Started(200, STREAM_HEADERS)
        self.retry_state.tokens += chunk.tokens
        yield Piece(chunk.data, chunk.tokens)
        owed = window.consume(len(chunk.data))
        if owed:
            self.give_credit(owed)

    def _outcome_when_late(self) -> Outcome:
        if self.req.is_repeatable:
            return Failed(FailedReason.DEADLINE, 'its time is over')
        return Unknown(UnknownReason.DEADLINE, 'its time is over')


def _check_count(finished: Finished, chunks: int) -> Outcome:
    is_whole = finished.chunks == chunks
    if isinstance(finished.outcome, Answered) and not is_whole:
        return Failed(FailedReason.BROKEN_STREAM, 'chunks are missing')
    return finished.outcome


def _outcome_of_loss(lost: Lost) -> Outcome:
    if lost.was_sent:
        return Unknown(UnknownReason.CONNECTION_LOST, lost.detail)
    return NotRun(NotRunReason.NO_UPSTREAM, detail=lost.detail)
