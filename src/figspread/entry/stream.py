"""Streams a response to a caller and releases its resources once."""

import socket
from collections.abc import Callable, Generator, Iterator
from typing import Final

import msgspec

from figspread.entry.caller_request import (
    CallerRequest,
    ResponseEvents,
    ResponsePiece,
    ResponseStarted,
)
from figspread.entry.completion import (
    DONE_PAYLOAD,
    SSE_DATA_PREFIX,
    SSE_EVENT_END,
)
from figspread.entry.problem import build_problem
from figspread.outcome import Answered, Outcome

_DONE_EVENT: Final = SSE_DATA_PREFIX + DONE_PAYLOAD + SSE_EVENT_END


class AnswerStream:
    """A response body as a closable iterator, as the HTTP server expects.

    `close` cancels the request if it still runs and calls `on_close` once.
    A response that ends early never looks complete: an engine's ends in an
    error event in place of `[DONE]`, and for a plain service's the connection
    is shut down.
    """

    def __init__(
        self,
        req: CallerRequest,
        events: ResponseEvents,
        sock: socket.socket,
        on_close: Callable[[], None],
    ) -> None:
        """Take ownership of `events`, whose `ResponseStarted` has been read.

        `sock` is the caller's connection.
        """
        self._events = events
        self._chunks = _iterate_chunks(req, events, sock)
        self._on_close = on_close
        self._is_closed = False

    def __iter__(self) -> Iterator[bytes]:
        """Return the iterator, which is this object."""
        return self

    def __next__(self) -> bytes:
        """Return the next bytes; close the stream on its end or an error.

        The server calls `close` too, but not on every path that ends a
        response.
        """
        try:
            return next(self._chunks)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Cancel the request and call `on_close`, on the first call only."""
        if self._is_closed:
            return
        self._is_closed = True
        self._chunks.close()
        self._events.close()
        self._on_close()


def _iterate_chunks(
    req: CallerRequest,
    events: ResponseEvents,
    sock: socket.socket,
) -> Generator[bytes, None, None]:
    for event in events:
        match event:
            case ResponsePiece(chunk):
                yield chunk
            case ResponseStarted():
                continue
            case Answered() if req.completion is not None:
                yield _DONE_EVENT
            case Answered():
                return
            case _ if req.completion is not None:
                yield _encode_error_event(req, event)
            case _:
                _abort_connection(sock)


def _encode_error_event(req: CallerRequest, outcome: Outcome) -> bytes:
    problem = build_problem(outcome, req.request)
    body = msgspec.json.encode({'error': problem})
    return SSE_DATA_PREFIX + body + SSE_EVENT_END


def _abort_connection(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
