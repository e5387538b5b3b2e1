"""Relays one attempt's events to the caller, in order and checked."""

from collections.abc import Callable, Generator
from typing import Final

import msgspec

from figspread.clock import Deadline
from figspread.entry.caller_request import (
    CallerRequest,
    ResponsePiece,
    ResponseStarted,
)
from figspread.entry.exchange import ConnectionLost, Exchange
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

# How often a waiting thread checks whether its caller has disconnected.
POLL_INTERVAL_S: Final = 0.25
# Response headers for an engine's stream, whose agent sends no `Head`.
STREAM_HEADERS: Final = {
    'Content-Type': 'text/event-stream',
    'Cache-Control': 'no-store',
}


class Relay(msgspec.Struct, frozen=True):
    """Forwards the events of an attempt to the caller until it ends.

    `is_caller_gone` tells whether the caller has disconnected.
    `grant_credit` allows the agent to send that many more bytes (flow
    control). `retry_state` is updated with what has been delivered.
    """

    req: CallerRequest
    retry_state: RetryState
    deadline: Deadline
    is_caller_gone: Callable[[], bool]
    grant_credit: Callable[[int], None]

    def run(
        self,
        exchange: Exchange,
    ) -> Generator[ResponseStarted | ResponsePiece, None, Outcome]:
        """Yield the answer as it arrives and return the attempt's outcome.

        A missing, repeated or reordered chunk ends the attempt as a broken
        stream.
        """
        chunks = 0
        window = ReceiveWindow()
        while True:
            match self._wait_for_event(exchange):
                case Head() as head:
                    self.retry_state.has_response_started = True
                    yield ResponseStarted(head.status, head.headers)
                case Chunk() as chunk if chunk.seq == chunks:
                    chunks += 1
                    yield from self._forward_chunk(chunk, window)
                case Chunk():
                    return Failed(
                        FailedReason.BROKEN_STREAM,
                        'a chunk is missing or came twice',
                    )
                case Finished() as finished:
                    return _verify_chunk_count(finished, chunks)
                case ConnectionLost() as lost:
                    self.retry_state.lost_connection = lost
                    return _build_loss_outcome(lost)
                case Accepted():
                    continue
                case outcome:
                    return outcome

    def _wait_for_event(
        self,
        exchange: Exchange,
    ) -> Accepted | Head | Chunk | Finished | ConnectionLost | Outcome:
        while True:
            event = exchange.wait_for_event(
                min(POLL_INTERVAL_S, self.deadline.left_s())
            )
            if event is not None:
                return event
            if self.deadline.is_past():
                return self._build_deadline_outcome()
            if self.is_caller_gone():
                return Failed(FailedReason.CANCELLED, 'the caller has left')

    def _forward_chunk(
        self,
        chunk: Chunk,
        window: ReceiveWindow,
    ) -> Generator[ResponseStarted | ResponsePiece, None, None]:
        if not self.retry_state.has_response_started:
            self.retry_state.has_response_started = True
            yield ResponseStarted(200, STREAM_HEADERS)
        self.retry_state.delivered_tokens += chunk.tokens
        yield ResponsePiece(chunk.data, chunk.tokens)
        credit_bytes = window.consume(len(chunk.data))
        if credit_bytes:
            self.grant_credit(credit_bytes)

    def _build_deadline_outcome(self) -> Outcome:
        """Return `Failed`, or `Unknown` for a non-repeatable request.

        A repeatable request may be sent again, whether or not it has run.
        """
        if self.req.is_repeatable:
            return Failed(FailedReason.DEADLINE, 'its time is over')
        return Unknown(UnknownReason.DEADLINE, 'its time is over')


def _verify_chunk_count(finished: Finished, chunks: int) -> Outcome:
    is_complete = finished.chunks == chunks
    if isinstance(finished.outcome, Answered) and not is_complete:
        return Failed(FailedReason.BROKEN_STREAM, 'chunks are missing')
    return finished.outcome


def _build_loss_outcome(lost: ConnectionLost) -> Outcome:
    if lost.was_sent:
        return Unknown(UnknownReason.CONNECTION_LOST, lost.detail)
    return NotRun(NotRunReason.NO_UPSTREAM, detail=lost.detail)
