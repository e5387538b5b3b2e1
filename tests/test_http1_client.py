"""Connections to upstreams: complete answers, and reuse of connections."""

import asyncio
import socket
import struct
from contextlib import suppress

import pytest
from bench.giftwrap.upstream import REQUEST_ID, Fault, Upstream

from figspread.clock import ManualClock
from figspread.http1.answers import ExchangeError
from figspread.http1.client import (
    Unreachable,
    open_connection,
)
from figspread.http1.pool import ConnectionPool, exchange_once
from figspread.http1.requests import Request
from tests.giftwrap_fleet import silent_listener
from tests.raw_server import RawServer

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc'


class FixedAnswerServer(RawServer):
    """Sends fixed bytes for each request.

    Then it keeps the connection (`stay`), closes it or resets it, as `ending`
    says.
    """

    def __init__(self, octets: bytes, ending: str = 'stay') -> None:
        """Answer each request with `octets`."""
        super().__init__(self._answer)
        self.octets = octets
        self.ending = ending
        self.accepted = 0

    async def __aenter__(self) -> 'FixedAnswerServer':
        """Listen."""
        await super().__aenter__()
        return self

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        while True:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.octets)
            await writer.drain()
            if self.ending == 'close':
                return
            if self.ending == 'reset':
                sock = writer.get_extra_info('socket')
                linger = struct.pack('ii', 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
                return


async def _request_once(server: FixedAnswerServer) -> tuple[int, bytes]:
    conn = await open_connection(server.address, timeout_s=2)
    conn.send(b'GET', b'/', [(b'host', b'x')], b'')
    try:
        async with asyncio.timeout(5):
            head = await conn.read_head()
            return head.status, await conn.read_body(1000)
    finally:
        conn.close()


WHOLE = {
    'with a length': (OK, 'stay', b'abc'),
    'in chunks': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n0\r\n\r\n',
        'stay',
        b'abc',
    ),
    'to the end of the connection': (
        b'HTTP/1.1 200 OK\r\n\r\nabc',
        'close',
        b'abc',
    ),
    'after an informational one': (
        b'HTTP/1.1 103 Early Hints\r\n\r\n' + OK,
        'stay',
        b'abc',
    ),
}


@pytest.mark.parametrize('case', WHOLE)
def test_complete_answer_is_read(case: str) -> None:
    """Each way to frame an answer gives its status and body."""
    octets, ending, body = WHOLE[case]

    async def run() -> tuple[int, bytes]:
        async with FixedAnswerServer(octets, ending) as server:
            return await _request_once(server)

    assert asyncio.run(run()) == (200, body)


BROKEN = {
    'no answer': (b'', 'close'),
    'no protocol': (b'\x00\x01garbage\r\n\r\n', 'stay'),
    'short of its length': (OK[:-1], 'close'),
    'without its last chunk': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n',
        'close',
    ),
    'without a length and reset': (b'HTTP/1.1 200 OK\r\n\r\nabc', 'reset'),
    'two lengths': (
        b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n'
        b'abcd',
        'stay',
    ),
}


@pytest.mark.parametrize('case', BROKEN)
def test_invalid_answer_raises_exchange_error(case: str) -> None:
    """Truncated and malformed answers never pass for complete ones."""
    octets, ending = BROKEN[case]

    async def run() -> None:
        async with FixedAnswerServer(octets, ending) as server:
            await _request_once(server)

    with pytest.raises(ExchangeError):
        asyncio.run(run())


def test_refused_connection_is_unreachable() -> None:
    """A refused connection raises `Unreachable` with `is_refused`."""
    with pytest.raises(Unreachable) as caught:
        asyncio.run(open_connection('127.0.0.1:1', timeout_s=2))
    assert caught.value.is_refused


def test_connect_timeout_is_unreachable_and_not_refused() -> None:
    """An address that doesn't respond may be cut off, so isn't refused."""
    with silent_listener() as address:
        with pytest.raises(Unreachable) as caught:
            asyncio.run(open_connection(address, timeout_s=0.1))
    assert not caught.value.is_refused


async def _request_twice(
    server: FixedAnswerServer, *, idle_s: float = 0
) -> None:
    clock = ManualClock()
    pool = ConnectionPool(clock)
    for _ in range(2):
        conn = await pool.acquire(server.address)
        conn.send(b'GET', b'/', [(b'host', b'x')], b'')
        async with asyncio.timeout(5):
            await conn.read_head()
            assert await conn.read_body(100) == b'abc'
        pool.release(server.address, conn)
        clock.advance(idle_s)
    pool.close_address(server.address)


REUSE = {
    'a whole answer': (OK, 0, 1),
    'bytes behind the answer': (OK + OK, 0, 2),
    'a stated close': (
        OK.replace(b'OK\r\n', b'OK\r\nConnection: close\r\n'),
        0,
        2,
    ),
    'idle for longer than stated': (
        OK.replace(b'OK\r\n', b'OK\r\nKeep-Alive: timeout=2\r\n'),
        1.5,
        2,
    ),
    'idle for less than a long stated time': (
        OK.replace(b'OK\r\n', b'OK\r\nKeep-Alive: timeout=20\r\n'),
        15,
        1,
    ),
    'idle for long without a stated time': (OK, 5, 2),
}


@pytest.mark.parametrize('case', REUSE)
def test_connection_is_reused_only_after_a_clean_exchange(case: str) -> None:
    """Stray bytes, an announced close or a long idle time prevent reuse.

    Closing sound connections earlier than announced costs new ones.
    """
    octets, idle_s, connections = REUSE[case]

    async def run() -> int:
        async with FixedAnswerServer(octets) as server:
            await _request_twice(server, idle_s=idle_s)
            return server.accepted

    assert asyncio.run(run()) == connections


def test_call_without_ids_gets_no_late_copy_of_an_earlier_answer() -> None:
    """Use a new connection for calls whose answers can't be told apart."""

    async def scenario() -> list[bytes]:
        upstream = Upstream('u', 'desk')
        upstream.fault = Fault.LATE_COPY
        await upstream.start()
        pool = ConnectionPool(ManualClock())
        bodies = []
        for request_id in (b'r0', b'r1'):
            fields = [(b'host', b'x'), (REQUEST_ID, request_id)]
            _, body = await exchange_once(
                pool,
                upstream.address,
                Request(b'GET', b'/', fields, b''),
                timeout_s=2,
                limit_bytes=1000,
                is_fresh=True,
            )
            bodies.append(body)
        await upstream.stop()
        return bodies

    assert asyncio.run(scenario()) == [b'answer to r0', b'answer to r1']


async def _send_endlessly(writer: asyncio.StreamWriter, octets: bytes) -> None:
    """Send bytes again and again until the client closes."""
    while True:
        writer.write(octets)
        await writer.drain()
        await asyncio.sleep(0.01)


ENDLESS = {
    'garbage instead of a head': (b'', b'x'),
    'a head that looks right at first': (b'HTTP/1.1 200 OK\r\nA: ', b'x' * 999),
    'header fields': (b'HTTP/1.1 200 OK\r\n', b'a: b\r\n' * 99),
    'interim answers': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'a body without a length': (b'HTTP/1.1 200 OK\r\n\r\n', b'x' * 9999),
    'a chunk header': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'0' * 999,
    ),
    'a chunk extension': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;',
        b'x' * 999,
    ),
    'trailer fields': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
        b'a: b\r\n' * 99,
    ),
}


@pytest.mark.parametrize('case', ENDLESS)
def test_bytes_without_end_are_not_read_without_end(case: str) -> None:
    """Fail an exchange soon when what arrives can be no answer any more."""
    begin, rest = ENDLESS[case]
    has_closed = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(begin)
        with suppress(ConnectionError):
            await _send_endlessly(writer, rest)
        has_closed.set()

    async def scenario() -> None:
        async with RawServer(serve) as server, asyncio.timeout(5):
            conn = await open_connection(server.address, timeout_s=2)
            conn.send(b'GET', b'/', [(b'host', b'x')], b'')
            with pytest.raises(ExchangeError):
                await conn.read_head()
                await conn.read_body(100_000)
            conn.close()
            await has_closed.wait()

    asyncio.run(scenario())
