"""A loopback TCP relay that can stall, delay and reset connections."""

import socket
import struct
import threading
import time
from contextlib import suppress
from typing import Final

HOST: Final = '127.0.0.1'
RECEIVE_SIZE_BYTES: Final = 65_536
# SO_LINGER on with a timeout of 0 s: closing resets the connection.
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


class TcpRelay:
    """Forwards TCP connections to `target` until it is told to stall.

    While it stalls, its connections stay open and no byte passes: in both
    directions, or only from the target back to the client. Each block of data
    is forwarded after a delay of `delay_s`.
    """

    def __init__(self, target: int, *, host: str = HOST) -> None:
        """Listen on a free port and forward to the port `target` of `host`."""
        self._target = (host, target)
        self._may_send = threading.Event()
        self._may_send_back = threading.Event()
        self.resume()
        self.delay_s: float = 0
        self._listener = socket.create_server((HOST, 0))
        self.port: int = self._listener.getsockname()[1]
        self._socks: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def stall(self, *, is_one_way: bool = False) -> None:
        """Stop forwarding; `is_one_way` stops only the data from the target."""
        if not is_one_way:
            self._may_send.clear()
        self._may_send_back.clear()

    def resume(self) -> None:
        """Resume forwarding, including the data received in the meantime."""
        self._may_send.set()
        self._may_send_back.set()

    def redirect(self, target: int) -> None:
        """Forward new connections to another port, and reset the others."""
        self._target = (self._target[0], target)
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for sock in self._socks:
            with suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
                sock.shutdown(socket.SHUT_RD)
                sock.close()
        self._socks.clear()

    def close(self) -> None:
        """Close the listener and all connections."""
        self.resume()
        for sock in (self._listener, *self._socks):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                client, _ = self._listener.accept()
                self._connect_target(client)

    def _connect_target(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection(self._target)
        except OSError:
            client.close()
            return
        self._socks += (client, server)
        for source, destination, may_send in (
            (client, server, self._may_send),
            (server, client, self._may_send_back),
        ):
            threading.Thread(
                target=self._forward,
                args=(source, destination, may_send),
                daemon=True,
            ).start()

    def _forward(
        self,
        source: socket.socket,
        destination: socket.socket,
        may_send: threading.Event,
    ) -> None:
        with suppress(OSError):
            while data := source.recv(RECEIVE_SIZE_BYTES):
                may_send.wait()
                time.sleep(self.delay_s)
                destination.sendall(data)
        # A stalled network does not deliver the end of a connection either.
        may_send.wait()
        with suppress(OSError):
            destination.shutdown(socket.SHUT_RDWR)
