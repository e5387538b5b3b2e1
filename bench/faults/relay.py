"""A loopback relay that falls silent, delays, and resets connections."""

import socket
import struct
import threading
import time
from contextlib import suppress
from typing import Final

HOST: Final = '127.0.0.1'
PIECE_BYTES: Final = 65_536
# On, and no time to send what is left: closing resets the connection.
_RESET: Final = struct.pack('ii', 1, 0)


class Relay:
    """Passes bytes both ways to `target` until it is told to be silent.

    While it is silent its connections stay open and no byte passes, towards
    the target or back or both. Each piece is passed on `delay_s` late.
    """

    def __init__(self, target: int, *, host: str = HOST) -> None:
        """Listen on a free port and relay to the port `target` of `host`."""
        self._target = (host, target)
        self._passes = threading.Event()
        self._passes_back = threading.Event()
        self.speak()
        self.delay_s: float = 0
        self._listener = socket.create_server((HOST, 0))
        self.port: int = self._listener.getsockname()[1]
        self._socks: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def fall_silent(self, *, is_one_way: bool = False) -> None:
        """Pass nothing on from now; one way means nothing back."""
        if not is_one_way:
            self._passes.clear()
        self._passes_back.clear()

    def speak(self) -> None:
        """Pass on again, also what came in meanwhile."""
        self._passes.set()
        self._passes_back.set()

    def reset(self) -> None:
        """Reset all connections that are open."""
        for sock in self._socks:
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                sock.shutdown(socket.SHUT_RD)
                sock.close()
        self._socks.clear()

    def close(self) -> None:
        """Close all connections."""
        self.speak()
        for sock in (self._listener, *self._socks):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                self._open(near)

    def _open(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        self._socks += (near, far)
        for source, sink, passes in (
            (near, far, self._passes),
            (far, near, self._passes_back),
        ):
            threading.Thread(
                target=self._copy,
                args=(source, sink, passes),
                daemon=True,
            ).start()

    def _copy(
        self,
        source: socket.socket,
        sink: socket.socket,
        passes: threading.Event,
    ) -> None:
        with suppress(OSError):
            while data := source.recv(PIECE_BYTES):
                passes.wait()
                time.sleep(self.delay_s)
                sink.sendall(data)
        # A silent network passes no end of a connection either.
        passes.wait()
        with suppress(OSError):
            sink.shutdown(socket.SHUT_RDWR)
