"""Callers' connections: framing, limits, leaving callers."""

import asyncio

import pytest

from figspread.http1.caller import CallerConnection, CallerLimits, Request

LIMITS = CallerLimits(head_bytes=2048, body_bytes=64)
GET = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'


class Echo:
    """Answers each request with its target and body."""

    def __init__(self, *, waits: bool = False, leaving: bool = False) -> None:
        """Answer at once, or wait for ever if it `waits`."""
        self.requests: list[Request] = []
        self.left = asyncio.Event()
        self.arrived = asyncio.Event()
        self.leaving = leaving
        self._waits = waits

    async def serve(self, request: Request, conn: CallerConnection) -> None:
        """Answer one request."""
        self.requests.append(request)
        self.arrived.set()
        if self._waits:
            try:
                await asyncio.Event().wait()
            finally:
                self.left.set()
        await conn.respond(200, [], request.target + b' ' + request.body)

    def connect(self) -> CallerConnection:
        """Return a protocol for a new connection."""
        return CallerConnection(
            self.serve,
            lambda: LIMITS,
            lambda: self.leaving,
        )


async def _open(
    echo: Echo,
) -> tuple[asyncio.Server, asyncio.StreamReader, asyncio.StreamWriter]:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(echo.connect, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    return server, reader, writer


def _send_all(octets: bytes, echo: Echo | None = None) -> tuple[bytes, Echo]:
    async def run() -> tuple[bytes, Echo]:
        used = echo or Echo()
        server, reader, writer = await _open(used)
        writer.write(octets)
        received = b''
        async with asyncio.timeout(5):
            while piece := await reader.read(65_536):
                received += piece
                if received.endswith(b'END'):
                    break
        writer.close()
        server.close()
        return received, used

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
def test_rejects_and_reads_nothing_after_it(case: str) -> None:
    """Rejects and reads nothing after it."""
    octets, status = REJECTED[case]
    received, echo = _send_all(octets + SMUGGLED)
    assert received.startswith(b'HTTP/1.1 ' + status)
    assert received.count(b'HTTP/1.1 ') == 1
    assert not echo.requests


def test_serves_pipelined_requests_in_order() -> None:
    """Serves pipelined requests in order."""
    last = b'POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nEND'
    received, _ = _send_all(GET + last)
    assert received.index(b'/a ') < received.index(b'/b END')


def test_joins_chunked_bodies() -> None:
    """Joins chunked bodies."""
    chunks = b'1\r\nE\r\n2;x=y\r\nND\r\n0\r\n\r\n'
    received, echo = _send_all(
        _post(b'Transfer-Encoding: chunked') + chunks,
    )
    assert echo.requests[0].body == b'END'
    assert received.startswith(b'HTTP/1.1 200')


def test_joins_folded_fields_as_the_standard_allows() -> None:
    """Joins folded fields as the standard allows."""
    folded = _post(b'A: b', b' c', b'Content-Length: 3') + b'END'
    _, echo = _send_all(folded)
    assert (b'a', b'b c') in echo.requests[0].fields


def test_says_continue_where_it_is_expected() -> None:
    """Says continue where it is expected."""
    received, _ = _send_all(
        _post(b'Content-Length: 3', b'Expect: 100-continue') + b'END',
    )
    assert received.startswith(b'HTTP/1.1 100')


def test_caller_that_leaves_ends_its_request() -> None:
    """Caller that leaves ends its request."""

    async def run() -> None:
        echo = Echo(waits=True)
        server, _, writer = await _open(echo)
        writer.write(GET)
        async with asyncio.timeout(5):
            await echo.arrived.wait()
            writer.close()
            await echo.left.wait()
        server.close()

    asyncio.run(run())


def test_leaving_entry_says_close() -> None:
    """Leaving entry says close."""
    received, _ = _send_all(GET, Echo(leaving=True))
    assert b'connection: close' in received.lower()


def test_connection_is_busy_as_soon_as_bytes_were_read() -> None:
    """Connection is busy as soon as bytes were read.

    A leaving entry closes those that are not busy; a request that was read
    in the same turn must not be lost so.
    """

    async def run() -> list[bool]:
        conn = Echo().connect()
        before = conn.is_busy
        conn.data_received(GET)
        return [before, conn.is_busy]

    assert asyncio.run(run()) == [False, True]
