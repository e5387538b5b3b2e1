"""Opens a listening socket, and closes it without resetting those who connected."""

import asyncio
import os
import select
import socket
from collections.abc import Callable
from typing import Final

# Bounds the time for accepting the connections that wait.
ACCEPT_TIMEOUT_S: Final = 1.0
TRANSPORT_ITERATIONS: Final = 2
# Connections that may wait for `accept`, on each listener.
LISTEN_BACKLOG: Final = 512


async def open_listener(
    make_protocol: Callable[[], asyncio.BaseProtocol],
    address: str,
    accepts: int = LISTEN_BACKLOG,
) -> asyncio.Server:
    """Listen on `address`, an `ip:port`.

    `accepts` connections are accepted at a time. Those that are closed for others
    keep their descriptors for some iterations of the event loop. Raises `OSError`.
    """
    host, _, port = address.rpartition(':')
    listener = await asyncio.get_running_loop().create_server(
        make_protocol, host, int(port), backlog=accepts, reuse_address=True
    )
    # asyncio has one number for the kernel's queue and for this.
    for sock in listener.sockets:
        _set_queue(sock, LISTEN_BACKLOG)
    return listener


async def close_listener(listener: asyncio.Server) -> None:
    """Accept the connections that wait in the kernel, then close `listener`.

    Closing the socket alone would reset them. With its queue at its shortest,
    the kernel leaves new ones unanswered until it can refuse them.
    """
    for sock in listener.sockets:
        _set_queue(sock, 0)
    loop = asyncio.get_running_loop()
    end_s = loop.time() + ACCEPT_TIMEOUT_S
    while loop.time() < end_s and any(map(_is_readable, listener.sockets)):
        await asyncio.sleep(0)
    # An accepted connection gets its transport an iteration later, for which
    # the listener must be open. None may be accepted in the last one: its socket
    # would stay open, and unread, until the garbage collector finds it.
    for sock in listener.sockets:
        loop.remove_reader(sock.fileno())
    for _ in range(TRANSPORT_ITERATIONS):
        await asyncio.sleep(0)
    listener.close()


def _set_queue(sock: socket.socket, length: int) -> None:
    with socket.socket(fileno=os.dup(sock.fileno())) as duplicate:
        duplicate.listen(length)


def _is_readable(sock: socket.socket) -> bool:
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
