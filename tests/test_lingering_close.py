"""Tests that callers get whole answers on connections that the entry closes.

The kernel resets a connection that gets input once it is closed, and drops what
its caller hasn't received yet.
"""

import asyncio
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

import pytest

from figspread.http1.caller import CallerConnection
from figspread.http1.requests import CallerLimits, Request

SIZES = [100_000, 2_000_000]
REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
CLOSING_REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
WINDOW_BYTES = 4096
LATE_INPUT = {'line': b'\r\n', 'request': REQUEST}
LIMITS = CallerLimits(head_bytes=2048, body_bytes=4096)
_Result = TypeVar('_Result')


class Server:
    """Answers with `size` bytes; `conns` has the connections."""

    def __init__(self, size: int, *, is_leaving: bool = False) -> None:
        """Start without connections."""
        self._body = b'x' * size
        self._is_leaving = is_leaving
        self.conns: list[CallerConnection] = []

    def accept(self) -> CallerConnection:
        """Return a protocol for a new connection."""
        conn = CallerConnection(
            self._serve, lambda: LIMITS, lambda: self._is_leaving
        )
        self.conns.append(conn)
        return conn

    async def _serve(self, request: Request, conn: CallerConnection) -> None:
        await conn.respond(200, [], self._body)

    def run(self, call: Callable[[socket.socket], _Result]) -> _Result:
        """Return the result of `call` with a connected socket, in a thread."""

        async def scenario() -> _Result:
            loop = asyncio.get_running_loop()
            server = await loop.create_server(self.accept, '127.0.0.1', 0)
            address = server.sockets[0].getsockname()
            try:
                async with asyncio.timeout(20):
                    return await asyncio.to_thread(_call, address, call)
            finally:
                server.close()

        return asyncio.run(scenario())


def _call(address: Any, call: Callable[[socket.socket], _Result]) -> _Result:
    with _connect(address) as sock:
        return call(sock)


@contextmanager
def _connect(address: Any) -> Iterator[socket.socket]:
    with socket.socket() as sock:
        # The answer stays with the entry's kernel while this caller doesn't read.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.settimeout(10)
        sock.connect(address)
        yield sock


def _read_to_end(sock: socket.socket) -> bytes:
    received = bytearray()
    while piece := sock.recv(65_536):
        received += piece
    return bytes(received)


def _wait_for_answer(sock: socket.socket) -> None:
    sock.recv(1, socket.MSG_PEEK)
    time.sleep(0.1)


@pytest.mark.parametrize('late_input', LATE_INPUT)
@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('is_leaving', [False, True])
def test_late_input_does_not_cut_the_last_answer_of_a_connection(
    late_input: str, size: int, is_leaving: bool
) -> None:
    """Deliver the answer to a caller that sends more while it reads."""

    def call(sock: socket.socket) -> bytes:
        sock.sendall(REQUEST if is_leaving else CLOSING_REQUEST)
        _wait_for_answer(sock)
        sock.sendall(LATE_INPUT[late_input])
        return _read_to_end(sock)

    received = Server(size, is_leaving=is_leaving).run(call)
    head, _, body = received.partition(b'\r\n\r\n')
    assert b'connection: close' in head.lower()
    assert len(body) == size


def test_caller_may_send_its_body_to_the_end_before_it_reads_a_rejection() -> (
    None
):
    """Discard the rest of a body that is too large, without a reset."""
    piece = b'x' * LIMITS.body_bytes
    pieces = 50
    head = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n'

    def call(sock: socket.socket) -> bytes:
        sock.sendall(head % (len(piece) * pieces))
        for _ in range(pieces):
            sock.sendall(piece)
            time.sleep(0.002)
        return _read_to_end(sock)

    assert Server(1).run(call).startswith(b'HTTP/1.1 413 ')


def test_connection_is_busy_until_its_last_answer_is_received() -> None:
    """Have a leaving entry wait for an answer that its kernel still holds."""
    server = Server(SIZES[0], is_leaving=True)

    def call(sock: socket.socket) -> list[bool]:
        sock.sendall(REQUEST)
        _wait_for_answer(sock)
        states = [server.conns[0].is_busy]
        _read_to_end(sock)
        time.sleep(0.2)
        states.append(server.conns[0].is_busy)
        return states

    assert server.run(call) == [True, False]


def test_caller_that_keeps_a_closed_connection_is_disconnected() -> None:
    """Hold a connection no longer than a moment after its last answer."""
    server = Server(1, is_leaving=True)

    def call(sock: socket.socket) -> bool:
        sock.sendall(REQUEST)
        _read_to_end(sock)
        limit_s = time.monotonic() + 5
        while time.monotonic() < limit_s and not server.conns[0].is_closed:
            time.sleep(0.01)
        return server.conns[0].is_closed

    assert server.run(call)
