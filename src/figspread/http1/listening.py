"""Closes a listening socket without resetting those who have connected."""

import asyncio
import os
import select
import socket
from typing import Final

# Bounds the time for accepting the connections that wait.
ACCEPT_TIMEOUT_S: Final = 1.0
TRANSPORT_ITERATIONS: Final = 2


async def close_listener(listener: asyncio.Server) -> None:
    """Accept the connections that wait in the kernel, then close `listener`.

    Closing the socket alone would reset them. With its queue at its shortest,
    the kernel leaves new ones unanswered until it can refuse them.
    """
    for sock in listener.sockets:
        _shorten_queue(sock)
    loop = asyncio.get_running_loop()
    end_s = loop.time() + ACCEPT_TIMEOUT_S
    while loop.time() < end_s and any(map(_is_readable, listener.sockets)):
        await asyncio.sleep(0)
    # An accepted connection gets its transport an iteration later, for which
    # the listener must be open.
    for _ in range(TRANSPORT_ITERATIONS):
        await asyncio.sleep(0)
    listener.close()


def _shorten_queue(sock: socket.socket) -> None:
    with socket.socket(fileno=os.dup(sock.fileno())) as duplicate:
        duplicate.listen(0)


def _is_readable(sock: socket.socket) -> bool:
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
