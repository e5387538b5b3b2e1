"""A connection of the inner protocol: typed messages over a web socket."""

import asyncio
import logging
import ssl as tls
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final, TypeAlias

import msgspec
from result import Err, Ok, Result
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection as WebSocket
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from figspread.clock import Clock, MonotonicClock
from figspread.inner.base import Message
from figspread.inner.codec import decode, encode
from figspread.inner.messages import (
    MESSAGE_LIMIT_BYTES,
    Accepted,
    AnyMessage,
    BodyPiece,
    Chunk,
    Credit,
    Fault,
    Finished,
    Head,
    Submit,
)

# Undecodable frames that are answered with a fault before the connection is
# closed.
BAD_FRAME_LIMIT: Final = 16
# Received frames that are buffered before reading from the socket pauses.
_RECEIVE_QUEUE_FRAMES: Final = 8
# Messages that carry attempts; counted in `data_bytes`.
_ATTEMPT_MESSAGES: Final = (
    Submit,
    Accepted,
    BodyPiece,
    Head,
    Chunk,
    Credit,
    Finished,
)

ConnectionHandler: TypeAlias = Callable[[ServerConnection], Awaitable[None]]


class Timeouts(msgspec.Struct, frozen=True):
    """Time limits of an inner connection, in seconds.

    `open_s` bounds the opening of the socket and, separately, the handshake;
    `close_s` the closing handshake. A heartbeat is sent each `heartbeat_s`,
    and a peer from which nothing was received for `silence_s` is dropped.
    """

    open_s: float = 2
    close_s: float = 1
    heartbeat_s: float = 0.5
    silence_s: float = 3


DEFAULT_TIMEOUTS: Final = Timeouts()


class Connection:
    """Sends and receives messages until either side closes.

    Any number of tasks may send, but only one may receive. `last_received` is
    the time on `clock` at which the last frame was received, valid or not.
    Sent bytes of messages that carry attempts are counted in `data_bytes`,
    all others in `control_bytes`.
    """

    def __init__(
        self,
        ws: WebSocket,
        *,
        clock: Clock | None = None,
        timeouts: Timeouts = DEFAULT_TIMEOUTS,
    ) -> None:
        """Wrap the open web socket `ws`, which this object now owns."""
        self._ws = ws
        self._clock = clock or MonotonicClock()
        self._bad_frames = 0
        self.timeouts = timeouts
        self.last_received = self._clock.now()
        self.control_bytes = 0
        self.data_bytes = 0
        self.is_closed = False

    @property
    def transport(self) -> asyncio.Transport:
        """The transport below the web socket, for socket options."""
        return self._ws.transport

    @property
    def clock(self) -> Clock:
        """The clock that `last_received` is read from."""
        return self._clock

    async def send(self, message: Message) -> bool:
        """Send `message`; return whether it was handed to the network.

        `False` means that the connection is closed. `True` doesn't mean that
        the peer has received the message or ever will.
        """
        frame = encode(message)
        if not await self._send(frame):
            return False
        if isinstance(message, _ATTEMPT_MESSAGES):
            self.data_bytes += len(frame)
        else:
            self.control_bytes += len(frame)
        return True

    async def send_frame(self, frame: bytes) -> bool:
        """Send a message that is already encoded, as `send` does.

        It must be one that carries no attempt. A sender that has the same
        message for many peers encodes it once.
        """
        if not await self._send(frame):
            return False
        self.control_bytes += len(frame)
        return True

    async def receive(self) -> Result[AnyMessage, Fault] | None:
        """Return the next message, or the fault of an invalid frame.

        `None` means that the connection is closed.
        """
        try:
            frame = await self._ws.recv(decode=False)
        except ConnectionClosed:
            self.is_closed = True
            return None
        self.last_received = self._clock.now()
        return decode(frame)

    async def messages(self) -> AsyncIterator[AnyMessage]:
        """Yield incoming messages until the connection is closed.

        An invalid frame is answered with its fault and skipped; more than
        `BAD_FRAME_LIMIT` of them close the connection.
        """
        while True:
            match await self.receive():
                case Ok(message):
                    yield message
                case Err(fault):
                    await self._reject_bad_frame(fault)
                case _:
                    return

    async def close(self) -> None:
        """Close the web socket; abort it if the peer doesn't reply in time."""
        self.is_closed = True
        try:
            async with asyncio.timeout(self.timeouts.close_s):
                await self._ws.close()
        except TimeoutError:
            self.abort()

    def abort(self) -> None:
        """Drop the connection at once, without a closing handshake.

        For a peer that no longer responds.
        """
        self.is_closed = True
        self._ws.transport.abort()

    async def _send(self, frame: bytes) -> bool:
        try:
            await self._ws.send(frame)
        except ConnectionClosed:
            self.is_closed = True
            return False
        return True

    async def _reject_bad_frame(self, fault: Fault) -> None:
        self._bad_frames += 1
        await self.send(fault)
        if self._bad_frames > BAD_FRAME_LIMIT:
            await self.close()


async def dial(
    uri: str,
    *,
    ssl: tls.SSLContext | None,
    timeouts: Timeouts,
    clock: Clock | None,
) -> Result[Connection, str]:
    """Open a web socket to `uri`; no message is sent yet.

    Returns an error text when the peer can't be reached or the web socket
    handshake fails.
    """
    try:
        ws = await connect(
            uri,
            ssl=ssl,
            proxy=None,
            compression=None,
            max_size=MESSAGE_LIMIT_BYTES,
            max_queue=_RECEIVE_QUEUE_FRAMES,
            ping_interval=None,
            open_timeout=timeouts.open_s,
            close_timeout=timeouts.close_s,
        )
    except (OSError, WebSocketException, ValueError) as exc:
        return Err(str(exc) or type(exc).__name__)
    return Ok(Connection(ws, clock=clock, timeouts=timeouts))


async def listen(
    handle_connection: ConnectionHandler,
    host: str,
    port: int,
    *,
    ssl: tls.SSLContext | None = None,
    timeouts: Timeouts = DEFAULT_TIMEOUTS,
) -> Server:
    """Accept web sockets and run `handle_connection` for each in its own task.

    Raises `OSError` when the address can't be bound.
    """
    return await serve(
        handle_connection,
        host,
        port,
        ssl=ssl,
        compression=None,
        max_size=MESSAGE_LIMIT_BYTES,
        max_queue=_RECEIVE_QUEUE_FRAMES,
        ping_interval=None,
        open_timeout=timeouts.open_s,
        close_timeout=timeouts.close_s,
        # Invalid requests from unknown clients must not fill the log, so the
        # library's own logger is silenced.
        logger=logging.Logger('inner', logging.CRITICAL + 1),
    )
