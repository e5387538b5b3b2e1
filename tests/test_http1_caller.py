"""Callers' connections: framing, limits and disconnects."""

import asyncio

import pytest

from figspread.http1.caller import CallerConnection
from figspread.http1.requests import (
    CallerLimits,
    Request,
)

LIMITS = CallerLimits(head_bytes=2048, body_bytes=64)
GET = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'


class EchoHandler:
    """Handles each request by answering with its target and body."""

    def __init__(self, *, waits: bool = False, leaving: bool = False) -> None:
        """Answer at once, or wait until cancelled if `waits` is set."""
        self.requests: list[Request] = []
        self.cancelled = asyncio.Event()
        self.arrived = asyncio.Event()
        self.leaving = leaving
        self._waits_forever = waits

    async def serve(self, request: Request, conn: CallerConnection) -> None:
        """Answer one request."""
        self.requests.append(request)
        self.arrived.set()
        if self._waits_forever:
            try:
                await asyncio.Event().wait()
            finally:
                self.cancelled.set()
        await conn.respond(200, [], request.target + b' ' + request.body)

    def connect(self) -> CallerConnection:
        """Return a protocol for a new connection."""
        return CallerConnection(
            self.serve,
            lambda: LIMITS,
            lambda: self.leaving,
        )


async def _open_connection(
    echo_handler: EchoHandler,
) -> tuple[asyncio.Server, asyncio.StreamReader, asyncio.StreamWriter]:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(echo_handler.connect, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    return server, reader, writer


def _exchange_bytes(
    octets: bytes, echo_handler: EchoHandler | None = None
) -> tuple[bytes, EchoHandler]:
    async def run() -> tuple[bytes, EchoHandler]:
        used_handler = echo_handler or EchoHandler()
        server, reader, writer = await _open_connection(used_handler)
        writer.write(octets)
        received = b''
        async with asyncio.timeout(5):
            while piece := await reader.read(65_536):
                received += piece
                if received.endswith(b'END'):
                    break
        writer.close()
        server.close()
        return received, used_handler

    return asyncio.run(run())


def _post(*fields: bytes) -> bytes:
    lines = [b'POST /a HTTP/1.1', b'Host: x', *fields]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


SMUGGLED = b'GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n'

REJECTED = {
    'two lengths': (
        _post(b'Content-Length: 4', b'Content-Length: 5') + b'abcde',
        b'400',
    ),
    'length and coding': (
        _post(b'Content-Length: 4', b'Transfer-Encoding: chunked')
        + b'0\r\n\r\n',
        b'400',
    ),
    'space before the colon': (
        _post(b'Transfer-Encoding : chunked') + b'0\r\n\r\n',
        b'400',
    ),
    'unknown coding': (_post(b'Transfer-Encoding: gzip'), b'501'),
    'no host': (b'GET /a HTTP/1.1\r\n\r\n', b'400'),
    'two hosts': (b'GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n', b'400'),
    'bad chunk': (
        _post(b'Transfer-Encoding: chunked') + b'zz\r\nab\r\n0\r\n\r\n',
        b'400',
    ),
    'negative length': (_post(b'Content-Length: -1'), b'400'),
    'large head': (_post(b'A: ' + b'b' * 4096), b'431'),
    'large body': (_post(b'Content-Length: 65') + b'a' * 65, b'413'),
}


@pytest.mark.parametrize('case', REJECTED)
def test_invalid_request_is_rejected(case: str) -> None:
    """The caller gets one error response; the next request isn't read."""
    octets, status = REJECTED[case]
    received, echo_handler = _exchange_bytes(octets + SMUGGLED)
    assert received.startswith(b'HTTP/1.1 ' + status)
    assert received.count(b'HTTP/1.1 ') == 1
    assert not echo_handler.requests


def test_pipelined_requests_are_served_in_order() -> None:
    """Requests sent without waiting are answered in sequence."""
    last = b'POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nEND'
    received, _ = _exchange_bytes(GET + last)
    assert received.index(b'/a ') < received.index(b'/b END')


def test_chunked_body_is_joined() -> None:
    """The handler gets the body without chunk sizes and extensions."""
    chunks = b'1\r\nE\r\n2;x=y\r\nND\r\n0\r\n\r\n'
    received, echo_handler = _exchange_bytes(
        _post(b'Transfer-Encoding: chunked') + chunks,
    )
    assert echo_handler.requests[0].body == b'END'
    assert received.startswith(b'HTTP/1.1 200')


def test_folded_field_is_joined() -> None:
    """A field continued on the next line is joined, as RFC 9112 allows."""
    folded = _post(b'A: b', b' c', b'Content-Length: 3') + b'END'
    _, echo_handler = _exchange_bytes(folded)
    assert (b'a', b'b c') in echo_handler.requests[0].fields


def test_expect_continue_is_answered() -> None:
    """A request with `Expect: 100-continue` first gets status 100."""
    received, _ = _exchange_bytes(
        _post(b'Content-Length: 3', b'Expect: 100-continue') + b'END',
    )
    assert received.startswith(b'HTTP/1.1 100')


def test_disconnect_cancels_the_request() -> None:
    """The handler of a caller that disconnects is cancelled."""

    async def run() -> None:
        echo_handler = EchoHandler(waits=True)
        server, _, writer = await _open_connection(echo_handler)
        writer.write(GET)
        async with asyncio.timeout(5):
            await echo_handler.arrived.wait()
            writer.close()
            await echo_handler.cancelled.wait()
        server.close()

    asyncio.run(run())


def test_leaving_entry_sends_connection_close() -> None:
    """While the entry is leaving, callers are asked to close."""
    received, _ = _exchange_bytes(GET, EchoHandler(leaving=True))
    assert b'connection: close' in received.lower()


def test_connection_is_busy_once_bytes_are_received() -> None:
    """Received bytes make a connection busy before its task runs.

    A leaving entry closes connections that aren't busy, which would lose a
    request received in the same iteration of the event loop.
    """

    async def run() -> list[bool]:
        conn = EchoHandler().connect()
        before = conn.is_busy
        conn.data_received(GET)
        return [before, conn.is_busy]

    assert asyncio.run(run()) == [False, True]
