"""Tests that a listener that closes serves those who have connected before.

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

from figspread.http1.listening import Listener

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


def _connect(address: tuple[str, int]) -> socket.socket | None:
    """Return a connection, `None` unless the kernel accepts it at once."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.connect_ex(address)
    try:
        sock.getpeername()
    except OSError:
        sock.close()
        return None
    return sock


def _is_open(sock: socket.socket) -> bool:
    """Return whether a connection is open, as its caller sees it."""
    try:
        return bool(sock.recv(1))
    except BlockingIOError:
        return True
    except ConnectionError:
        return False


async def _connect_while_closing(
    iterations: int, callers: int
) -> tuple[int, int, int]:
    """Return how many had connected, have a transport, and see an open one."""
    transports: list[asyncio.Transport] = []
    listener = await Listener.open(
        lambda: _Accepting(transports), '127.0.0.1:0'
    )
    connections = [_connect(listener.address) for _ in range(callers)]
    address = listener.address
    closing = asyncio.create_task(listener.close_gently())
    for _ in range(iterations):
        await asyncio.sleep(0)
    connections.append(_connect(address))
    await closing
    await asyncio.sleep(SETTLE_S)
    clients = list(filter(None, connections))
    count = len(clients), len(transports), sum(map(_is_open, clients))
    for transport in transports:
        transport.abort()
    for sock in clients:
        sock.close()
    return count


@pytest.mark.parametrize('callers', [0, 1, 40])
@pytest.mark.parametrize('iterations', range(LATEST))
def test_callers_that_connect_before_the_close_are_served(
    iterations: int, callers: int
) -> None:
    """None is reset, or left to wait for the end of the process."""
    connected, served, left_open = asyncio.run(
        _connect_while_closing(iterations, callers)
    )
    assert connected >= callers
    assert served == left_open == connected
