"""Tests that a listener that closes leaves no connection without an end.

asyncio gives an accepted connection its transport an iteration of the event loop
later, and drops it if the listener has been closed meanwhile. Its socket then stayed
open until the garbage collector found it: the caller had sent a request that nobody
read, and learned that only when the process ended.
"""

import asyncio
import gc
import socket
from collections.abc import Iterator
from typing import Final

import pytest

from figspread.http1.listening import close_listener, open_listener

# Iterations of the event loop from the call that closes the listener until a caller
# connects. Closing takes fewer.
LATEST: Final = 10
# What a caller's kernel needs to learn that it was reset.
SETTLE_S: Final = 0.05


class _Accepting(asyncio.Protocol):
    """Counts the connections that get their transport."""

    def __init__(self, transports: list[asyncio.Transport]) -> None:
        self._transports = transports

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transports.append(transport)


@pytest.fixture(autouse=True)
def _no_garbage_collection() -> Iterator[None]:
    gc.disable()
    yield
    gc.enable()


def _connect(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket()
    sock.setblocking(False)
    sock.connect_ex(address)
    return sock


def _is_connected(sock: socket.socket) -> bool:
    """Return whether a connection is open, as its caller sees it."""
    try:
        sock.getpeername()
        return bool(sock.recv(1))
    except BlockingIOError:
        return True
    except OSError:
        return False


async def _connect_while_closing(iterations: int, callers: int) -> int:
    """Return how many open connections have no transport after the close."""
    transports: list[asyncio.Transport] = []
    listener = await open_listener(
        lambda: _Accepting(transports), '127.0.0.1:0'
    )
    address = listener.sockets[0].getsockname()
    early = [_connect(address) for _ in range(callers)]
    closing = asyncio.create_task(close_listener(listener))
    for _ in range(iterations):
        await asyncio.sleep(0)
    late = _connect(address)
    await closing
    await asyncio.sleep(SETTLE_S)
    clients = [*early, late]
    connected = sum(map(_is_connected, clients))
    for transport in transports:
        transport.abort()
    for sock in clients:
        sock.close()
    return connected - len(transports)


@pytest.mark.parametrize('callers', [0, 1, 40])
@pytest.mark.parametrize('iterations', range(LATEST))
def test_connection_opened_as_the_listener_closes_is_served_or_ended(
    iterations: int, callers: int
) -> None:
    """Whenever it comes, its caller isn't left to wait for the process's end."""
    left = asyncio.run(_connect_while_closing(iterations, callers))
    assert not left
