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
from figspread.entry.drain import LEAVING, build_broken_off, is_cut_short
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
# Bounds the wait for the end of an attempt that a leaving entry cancels.
CANCEL_TIMEOUT_S: Final = 0.5
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
                    return self._resolve_end(finished, chunks)
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
                return self._end_at_deadline(exchange)
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

    def _end_at_deadline(self, exchange: Exchange) -> Finished | Outcome:
        """Return the end of an attempt whose time is over.

        A leaving entry cancels its attempts when its drain ends. It waits for
        their agents to say which haven't begun, as callers may send those
        requests to another entry.
        """
        if is_cut_short(self.deadline):
            end = exchange.wait_for_end(CANCEL_TIMEOUT_S)
            if isinstance(end, Finished):
                return end
        return self._build_broken_off()

    def _resolve_end(self, finished: Finished, chunks: int) -> Outcome:
        if not is_cut_short(self.deadline):
            return _verify_chunk_count(finished, chunks)
        match finished.outcome:
            case NotRun():
                return LEAVING
            case Failed(reason=FailedReason.CANCELLED):
                return self._build_broken_off()
            case _:
                return _verify_chunk_count(finished, chunks)

    def _build_broken_off(self) -> Outcome:
        return build_broken_off(
            self.deadline, is_repeatable=self.req.is_repeatable
        )


def _verify_chunk_count(finished: Finished, chunks: int) -> Outcome:
    is_complete = finished.chunks == chunks
    if isinstance(finished.outcome, Answered) and not is_complete:
        return Failed(FailedReason.BROKEN_STREAM, 'chunks are missing')
    return finished.outcome


def _build_loss_outcome(lost: ConnectionLost) -> Outcome:
    if lost.was_sent:
        return Unknown(UnknownReason.CONNECTION_LOST, lost.detail)
    return NotRun(NotRunReason.NO_UPSTREAM, detail=lost.detail)
