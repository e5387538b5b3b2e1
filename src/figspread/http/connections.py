"""Connections of cheroot whose requests are received before they are served."""

import _pyio
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final

from cheroot.makefile import MakeFile, StreamReader

from figspread.http.framing import StrictConnection
from figspread.http.receive_options import HeldBody
from figspread.http1.body_blocks import BodyBlocks
from figspread.http1.buffers import BufferShare
from figspread.http1.connection_table import ConnectionState


class _ReceivedInput(socket.SocketIO):
    """Reads the parts of a request that was received, then from the socket."""

    def __init__(self, sock: socket.socket, parts: list[bytes]) -> None:
        super().__init__(sock, 'r')
        self._parts = [memoryview(part) for part in parts if part]

    def readinto(self, buffer: Any) -> int | None:
        if not self._parts:
            return super().readinto(buffer)
        part = self._parts[0]
        size = min(len(buffer), len(part))
        buffer[:size] = part[:size]
        if size == len(part):
            self._parts.pop(0)
        else:
            self._parts[0] = part[size:]
        return size

    def take_rest(self) -> bytes:
        """Return the parts that nobody has read."""
        rest = b''.join(self._parts)
        self._parts.clear()
        return rest


class _ReceivedReader(StreamReader):
    """The reader that cheroot expects, for a request that was received."""

    def __init__(self, source: _ReceivedInput) -> None:
        _pyio.BufferedReader.__init__(self, source)
        self.bytes_read = 0


class ReceivedConnection(StrictConnection):
    """A connection that a receiver and the threads of the server use in turn.

    `received` is what has arrived of a head, `body_length` the length that a complete
    head announces. `is_received_here` tells whether the
    receiver uses it, `is_ended` whether it has its last answer. With `must_linger`
    its caller may still send what was refused.
    """

    share: BufferShare

    def __init__(
        self,
        server: Any,
        sock: socket.socket,
        hand_back: Callable[['ReceivedConnection'], None],
        timeout_s: float,
    ) -> None:
        """Serve `sock`; `hand_back` is called when a thread is done with it.

        Threads wait for the caller to read for `timeout_s`.
        """
        super().__init__(server, sock, MakeFile)
        self._hand_back = hand_back
        self._timeout_s = timeout_s
        self._blocks = BodyBlocks()
        self._input = _ReceivedInput(sock, [])
        self.held: HeldBody | None = None
        self.received = bytearray()
        self.searched_bytes = 0
        self.body_length = 0
        self.has_body_begun = False
        self._head = b''
        self.is_received_here = True
        self.must_linger = False
        self.is_ended = False
        self.is_closed = False
        self.state = ConnectionState.IDLE
        # Called once the answer is written, or the connection closed.
        self.after_answer: list[Callable[[], None]] = []

    @property
    def has_begun(self) -> bool:
        """Whether a part of a request has arrived."""
        return self.has_body_begun or bool(self.received)

    @property
    def body_size(self) -> int:
        """How much of the body has arrived."""
        return self._blocks.size

    def append(self, octets: bytes) -> None:
        """Add what was received."""
        if self.has_body_begun:
            self._blocks.append(octets)
        else:
            self.received += octets

    def begin_body(self, end: int, head: bytes, length: int) -> None:
        """Take what follows the first `end` bytes for the body.

        `head` is what the server gets for the bytes before it.
        """
        self._head = head
        self.body_length = length
        self.has_body_begun = True
        self._blocks.append(bytes(self.received[end:]))
        self.received = bytearray()

    def count(self) -> None:
        """Count what was received so far; that may make this one give up."""
        self.share.resize(len(self.received) + self._blocks.size)

    def prepare_request(self, *, is_whole: bool) -> None:
        """Let the server read the request.

        What follows a whole one is kept; else the server reads on from the
        socket.
        """
        body = self._blocks.take()
        size = self.body_length if is_whole else len(body)
        self.received = bytearray(body[size:])
        self._input = _ReceivedInput(self.socket, [self._head, body[:size]])
        self.rfile = _ReceivedReader(self._input)
        self._head = b''
        self.is_received_here = False
        self.socket.settimeout(self._timeout_s)

    def receive_next(self) -> None:
        """Start to receive the next request."""
        unread = self.rfile.peek(1) if self.rfile.has_data() else b''
        rest = self._input.take_rest()
        self.received = bytearray(unread + rest + self.received)
        self.is_received_here = True
        self.has_body_begun = False
        self.searched_bytes = 0

    def drop(self) -> None:
        """Keep nothing of what was received."""
        self._blocks.clear()
        self._head = b''
        self.received = bytearray()
        self.share.resize(0)

    def release(self) -> None:
        """Give back what the last request had."""
        while self.after_answer:
            self.after_answer.pop()()
        if self.held is not None:
            self.held.release()
            self.held = None

    def end(self) -> None:
        """Send nothing more; what the caller sends is to be discarded."""
        self.is_ended = True
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)

    def try_send(self, octets: bytes) -> None:
        """Send a short answer if the kernel takes it at once."""
        with suppress(OSError):
            self.socket.send(octets)

    def close_here(self) -> None:
        """Close the connection, which no thread uses."""
        self.release()
        if not self.is_closed:
            self.is_closed = True
            # The peer may have reset it.
            with suppress(OSError):
                StrictConnection.close(self)

    def close(self) -> None:
        """Hand the connection back, closed or to be so; called by threads."""
        if self.must_linger:
            self.end()
        else:
            self.is_closed = True
            # An exception here would end the thread.
            with suppress(OSError):
                super().close()
        self._hand_back(self)


# Key of the connection in the WSGI environment.
CONNECTION_KEY: Final = 'figspread.connection'
