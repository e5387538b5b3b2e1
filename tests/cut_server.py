"""A server for tests that ends its connections in the middle of an answer."""

import re
import socket
import struct
import threading
from collections.abc import Sequence
from contextlib import suppress
from typing import Final, Self

_LENGTH: Final = re.compile(rb'\r\ncontent-length: *(\d+)', re.IGNORECASE)
_READ_BYTES: Final = 65_536


class CutServer:
    """Sends `answers`, one a request, on each connection, and then ends it.

    It closes the connection, or resets it if `is_reset`. As a context it listens
    on loopback; `address` is its `ip:port`.
    """

    def __init__(self) -> None:
        """Listen on a free port."""
        self.answers: Sequence[bytes] = ()
        self.is_reset = False
        self.requests: list[bytes] = []
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._thread = threading.Thread(target=self._serve, daemon=True)

    @property
    def address(self) -> str:
        """Where it listens."""
        return '{0}:{1}'.format(*self._listener.getsockname())

    @property
    def port(self) -> int:
        """The port on which it listens."""
        port: int = self._listener.getsockname()[1]
        return port

    def __enter__(self) -> Self:
        """Serve connections, one at a time."""
        self._thread.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        """Stop listening."""
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join(5)
        self._listener.close()

    def _serve(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            with conn, suppress(OSError):
                self._serve_connection(conn)

    def _serve_connection(self, conn: socket.socket) -> None:
        for answer in self.answers:
            if not self._read_request(conn):
                return
            conn.sendall(answer)
        if self.is_reset:
            linger = struct.pack('ii', 1, 0)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _read_request(self, conn: socket.socket) -> bool:
        """Read a request with its body; return whether there was one."""
        received = b''
        while b'\r\n\r\n' not in received:
            part = conn.recv(_READ_BYTES)
            if not part:
                return False
            received += part
        length = _LENGTH.search(received)
        head_bytes = received.index(b'\r\n\r\n') + len(b'\r\n\r\n')
        missing = int(length[1]) if length else 0
        missing -= len(received) - head_bytes
        while missing > 0:
            part = conn.recv(missing)
            if not part:
                return False
            received += part
            missing -= len(part)
        self.requests.append(received)
        return True
