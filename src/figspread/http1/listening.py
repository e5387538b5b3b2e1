"""A listening socket that closes without resetting those who have connected."""

import asyncio
import itertools
import os
import select
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Final, Self

# Bounds the time for accepting the connections that wait.
ACCEPT_TIMEOUT_S: Final = 1.0
TRANSPORT_ITERATIONS: Final = 2
# Connections that may wait for `accept`, on each listener.
LISTEN_BACKLOG: Final = 512


class Listener:
    """Accepts connections until it is closed."""

    def __init__(
        self,
        make_protocol: Callable[[], asyncio.BaseProtocol],
        server: asyncio.Server,
    ) -> None:
        """Take over an open `server`; `open` makes one."""
        self._make_protocol = make_protocol
        self._server = server

    @classmethod
    async def open(
        cls,
        make_protocol: Callable[[], asyncio.BaseProtocol],
        address: str,
        accepts: int = LISTEN_BACKLOG,
    ) -> Self:
        """Listen on `address`, an `ip:port`.

        `accepts` connections are accepted at a time. Those that are closed for others
        keep their descriptors for some iterations of the event loop. Raises `OSError`.
        """
        host, _, port = address.rpartition(':')
        server = await asyncio.get_running_loop().create_server(
            make_protocol, host, int(port), backlog=accepts, reuse_address=True
        )
        # asyncio has one number for the kernel's queue and for this.
        for sock in server.sockets:
            _set_queue(sock, LISTEN_BACKLOG)
        return cls(make_protocol, server)

    @property
    def address(self) -> tuple[str, int]:
        """The IP address and port of the first socket."""
        host, port, *_ = self._server.sockets[0].getsockname()
        return host, port

    def close(self) -> None:
        """Close at once; the kernel resets the connections that wait."""
        self._server.close()

    async def close_gently(self) -> None:
        """Accept the connections that wait in the kernel, then close.

        With its queue at its shortest, the kernel leaves new ones unanswered until it
        can refuse them.
        """
        loop = asyncio.get_running_loop()
        socks = self._server.sockets
        for sock in socks:
            _set_queue(sock, 0)
        end_s = loop.time() + ACCEPT_TIMEOUT_S
        while loop.time() < end_s and any(map(_is_readable, socks)):
            await asyncio.sleep(0)
        # asyncio gives an accepted connection its transport an iteration later, and
        # drops it if the listener is closed by then. Its socket would stay open, and
        # unread, until the garbage collector finds it.
        for sock in socks:
            loop.remove_reader(sock.fileno())
        for _ in range(TRANSPORT_ITERATIONS):
            await asyncio.sleep(0)
        accepted = list(
            itertools.chain.from_iterable(map(_accept_waiting, socks))
        )
        self._server.close()
        for conn in accepted:
            # The caller may have left.
            with suppress(OSError):
                await loop.connect_accepted_socket(self._make_protocol, conn)


def _set_queue(sock: socket.socket, length: int) -> None:
    with _duplicate(sock) as duplicate:
        duplicate.listen(length)


def _accept_waiting(sock: socket.socket) -> list[socket.socket]:
    """Return what waits in the kernel's queue, however fast others come."""
    accepted = []
    with _duplicate(sock) as duplicate, suppress(OSError):
        duplicate.setblocking(False)
        for _ in range(LISTEN_BACKLOG):
            accepted.append(duplicate.accept()[0])
    return accepted


def _duplicate(sock: socket.socket) -> socket.socket:
    return socket.socket(fileno=os.dup(sock.fileno()))


def _is_readable(sock: socket.socket) -> bool:
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
