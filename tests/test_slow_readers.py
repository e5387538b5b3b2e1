"""Tests that peers who read slowly are not taken for dead ones.

Callers who read nothing for two seconds were once reset by the kernel, though
their answers were there (LOST).
"""

import asyncio
import socket
from collections.abc import Callable
from unittest.mock import Mock

import pytest

from figspread.http1.caller import CallerConnection
from figspread.http1.client import open_connection
from figspread.http1.requests import CallerLimits, Request
from figspread.http1.sockets import DEAD_PEER_TIMEOUT_S, SEGMENT_BYTES

REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
LIMITS = CallerLimits(idle_timeout_s=0.01)
LIMIT_MS = DEAD_PEER_TIMEOUT_S * 1000


def _read_limit_ms(transport: asyncio.BaseTransport) -> int:
    sock = transport.get_extra_info('socket')
    return int(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT))


async def _answer(request: Request, conn: CallerConnection) -> None:
    await conn.respond(200, [], b'answer')


async def _run_server(
    accepted: list[CallerConnection],
) -> tuple[asyncio.Server, str]:
    def accept() -> CallerConnection:
        conn = CallerConnection(_answer, CallerLimits, bool)
        accepted.append(conn)
        return conn

    loop = asyncio.get_running_loop()
    server = await loop.create_server(accept, '127.0.0.1', 0)
    return server, '{0}:{1}'.format(*server.sockets[0].getsockname())


def test_kernel_does_not_limit_how_slowly_callers_read() -> None:
    """Leave the time for reading an answer to the caller."""

    async def scenario() -> int:
        accepted: list[CallerConnection] = []
        server, address = await _run_server(accepted)
        conn = await open_connection(address, timeout_s=2)
        conn.send(b'GET', b'/', [(b'host', b'x')], b'')
        await conn.read_head()
        transport = accepted[0]._transport  # noqa: SLF001
        assert transport is not None
        limit_ms = _read_limit_ms(transport)
        conn.close()
        server.close()
        return limit_ms

    assert asyncio.run(scenario()) == 0


BODIES = [b'', b'x' * SEGMENT_BYTES, b'short', b'x' * 100_000, b'']


def test_kernel_does_not_limit_how_slowly_upstreams_read_long_requests() -> (
    None
):
    """Limit the time only for requests that a peer's kernel always takes."""

    async def scenario() -> list[int]:
        server, address = await _run_server([])
        conn = await open_connection(address, timeout_s=2)
        limits_ms = []
        for body in BODIES:
            conn.send(b'POST', b'/', [(b'host', b'x')], body)
            assert conn._transport is not None  # noqa: SLF001
            limits_ms.append(_read_limit_ms(conn._transport))  # noqa: SLF001
            await conn.read_head()
            await conn.read_body(100)
        conn.close()
        server.close()
        return limits_ms

    assert asyncio.run(scenario()) == [LIMIT_MS, 0, LIMIT_MS, 0, LIMIT_MS]


def _connect(
    unsent_bytes: Callable[[], int], limits: CallerLimits = LIMITS
) -> tuple[CallerConnection, Mock]:
    conn = CallerConnection(_answer, lambda: limits, bool)
    transport = Mock(spec=asyncio.Transport)
    transport.get_extra_info.return_value = None
    transport.get_write_buffer_size.side_effect = unsent_bytes
    conn.connection_made(transport)
    return conn, transport


async def _wait_for_call(*calls: Mock) -> None:
    async with asyncio.timeout(5):
        while not any(call.called for call in calls):
            await asyncio.sleep(0)


def test_connection_with_an_unsent_answer_is_busy() -> None:
    """Count a caller that still reads as busy, so that a leaving entry waits."""

    async def scenario() -> None:
        unsent = [100]
        conn, transport = _connect(lambda: unsent[0], CallerLimits())
        conn.data_received(REQUEST)
        await _wait_for_call(transport.write)
        await asyncio.sleep(0)
        assert conn.is_busy
        unsent[0] = 0
        assert not conn.is_busy
        conn.connection_lost(None)

    asyncio.run(scenario())


def test_caller_that_has_stopped_to_read_is_disconnected() -> None:
    """Drop a connection with an answer that is not read for the idle time."""

    async def scenario() -> None:
        conn, transport = _connect(lambda: 100)
        conn.data_received(REQUEST)
        await _wait_for_call(transport.abort, transport.close)
        assert transport.abort.called
        assert conn.is_closed

    asyncio.run(scenario())


def test_caller_that_reads_slowly_is_not_idle() -> None:
    """Begin the idle timeout when the answer has been read."""
    sizes = [400, 300, 300, 200, 200, 100, 100, 0, 0, 0, 0]

    async def scenario() -> int:
        left = list(sizes)
        conn, transport = _connect(lambda: left.pop(0) if left else 0)
        conn.data_received(REQUEST)
        await _wait_for_call(transport.abort, transport.close)
        assert not transport.abort.called
        assert conn.is_closed
        return len(left)

    assert asyncio.run(scenario()) < len(sizes) - 6


@pytest.mark.parametrize('reads', [True, False])
def test_writer_waits_for_a_caller_that_reads_slowly(reads: bool) -> None:
    """Wait while the caller reads at all, and no longer than the idle time."""

    async def scenario() -> None:
        sizes = iter(range(10_000, 0, -1))
        conn, transport = _connect(lambda: next(sizes) if reads else 10_000)
        conn.start_stream(200, [])
        conn.pause_writing()
        sending = asyncio.ensure_future(conn.send_chunk(b'x'))
        if reads:
            async with asyncio.timeout(5):
                while next(sizes) > 9990:
                    await asyncio.sleep(0)
            conn.resume_writing()
            await sending
            return
        with pytest.raises(ConnectionResetError):
            await sending

    asyncio.run(scenario())
