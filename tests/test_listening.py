"""Callers who connect as a listening socket is closed."""

import asyncio
import socket

from figspread.http1.listening import close_listener

CALLER_COUNT = 60


class _Greeter(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.write(b'hello')
        transport.close()


def test_connections_that_wait_to_be_accepted_are_served() -> None:
    """Guard against resets of callers whose connection is in the queue."""

    async def run() -> list[bytes]:
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            _Greeter, '127.0.0.1', 0, backlog=CALLER_COUNT
        )
        address = listener.sockets[0].getsockname()
        # The loop can't accept until the first `await`.
        conns = [socket.create_connection(address) for _ in range(CALLER_COUNT)]
        await close_listener(listener)
        await asyncio.sleep(0.1)
        return [_read(conn) for conn in conns]

    assert set(asyncio.run(run())) == {b'hello'}


def test_closed_listener_refuses_callers() -> None:
    """Guard against a listener that stays open for those who come later."""

    async def run() -> int:
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(_Greeter, '127.0.0.1', 0)
        address = listener.sockets[0].getsockname()
        await close_listener(listener)
        with socket.socket() as late:
            return late.connect_ex(address)

    assert asyncio.run(run()) != 0


def _read(conn: socket.socket) -> bytes:
    with conn:
        try:
            return conn.recv(16)
        except OSError as exc:
            return str(exc).encode()
