"""Reserves TCP ports for processes that keep their port when they restart.

A port that was only found free can be taken by another program before the
process listens on it. A reserved port stays bound to a socket that never
listens. Servers bind with `SO_REUSEADDR`, so they can still listen on it, while
a second reservation, which binds without that option, fails.
"""

import random
import socket
from contextlib import suppress
from typing import Final

HOST: Final = '127.0.0.1'
# Outside the range from which the operating system assigns ephemeral ports.
PORT_RANGE: Final = range(20_000, 32_000)


class PortReservations:
    """Ports that no other reservation on this machine gets until `close`."""

    def __init__(self, ports: range = PORT_RANGE) -> None:
        """Reserve ports out of `ports`."""
        self._ports = ports
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a port that is reserved now.

        Raises `OSError` if all ports of the range are in use.
        """
        for port in random.sample(self._ports, len(self._ports)):
            with suppress(OSError):
                self._sockets.append(_bind(port))
                return port
        raise OSError('no free port in {0}'.format(self._ports))

    def close(self) -> None:
        """End all reservations."""
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()


def _bind(port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.bind((HOST, port))
    except OSError:
        sock.close()
        raise
    # Set only now: it lets servers bind the port, but not another reservation.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return sock
