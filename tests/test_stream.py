"""A streamed response is closed exactly once, however it ends."""

import socket
from collections.abc import Generator

import pytest
from bench.entry_cases import make_engine_request

from figspread.entry.caller_request import ResponsePiece, ResponseStarted
from figspread.entry.stream import AnswerStream
from figspread.outcome import Answered, Failed, FailedReason, Outcome


def make_stream(
    outcome: Outcome,
    close_calls: list[str],
) -> tuple[AnswerStream, socket.socket]:
    """Return a stream of one piece that ends in `outcome`, and its socket.

    `close_calls` collects what was closed, in order.
    """

    def list_events() -> Generator[
        ResponseStarted | ResponsePiece | Outcome, None, None
    ]:
        try:
            yield ResponsePiece(b'data: {}\n\n')
            yield outcome
        finally:
            close_calls.append('events')

    server_sock, caller_sock = socket.socketpair()
    caller_sock.close()
    stream = AnswerStream(
        make_engine_request(),
        list_events(),
        server_sock,
        lambda: close_calls.append('gate'),
    )
    return stream, server_sock


@pytest.mark.parametrize(
    ('outcome', 'end'),
    [
        (Answered(), b'data: [DONE]\n\n'),
        (
            Failed(FailedReason.DEADLINE),
            b'data: {"error":{"title":"Gateway Timeout","status":504,'
            b'"outcome":"failed","reason":"deadline","request_id":"req-1"}}'
            b'\n\n',
        ),
    ],
)
def test_reading_to_end_closes_stream_once(
    outcome: Outcome, end: bytes
) -> None:
    """Both events and gate are released once the last bytes are read.

    A caller that isn't counted out at the gate would lower the entry's
    capacity for good, and counting it out twice would raise it.
    """
    close_calls: list[str] = []
    stream, sock = make_stream(outcome, close_calls)
    with sock:
        assert list(stream)[-1] == end
    assert close_calls == ['events', 'gate']
    stream.close()
    assert close_calls == ['events', 'gate']


def test_early_close_cancels_request() -> None:
    """A caller that disconnects must not keep its request running."""
    close_calls: list[str] = []
    stream, sock = make_stream(Answered(), close_calls)
    with sock:
        next(stream)
        stream.close()
    assert close_calls == ['events', 'gate']
