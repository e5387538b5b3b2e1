"""One inner connection: typed messages over a web socket."""

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

BAD_FRAMES_LIMIT: Final = 16
_QUEUED_FRAMES: Final = 8
_DATA_MESSAGES: Final = (
    Submit,
    Accepted,
    BodyPiece,
    Head,
    Chunk,
    Credit,
    Finished,
)

Serve: TypeAlias = Callable[[ServerConnection], Awaitable[None]]


class Timeouts(msgspec.Struct, frozen=True):
    """Bounds in time of an inner connection."""

    open_s: float = 2
    close_s: float = 1
    heartbeat_s: float = 0.5
    silence_s: float = 3


DEFAULT_TIMEOUTS: Final = Timeouts()


class Connection:
    """Sends and receives messages until either side closes.

    Any number of tasks may send; one task receives. `last_heard` is when the
    last frame came, whatever was in it. Bytes of attempts are counted in
    `data_bytes`, all others in `control_bytes`.
    """

    def __init__(
        self,
        ws: WebSocket,
        *,
        clock: Clock | None = None,
        timeouts: Timeouts = DEFAULT_TIMEOUTS,
    ) -> None:
        """Take over the open web socket `ws`."""
        self._ws = ws
        self._clock = clock or MonotonicClock()
        self._bad_frames = 0
        self.timeouts = timeouts
        self.last_heard = self._clock.now()
        self.control_bytes = 0
        self.data_bytes = 0
        self.is_closed = False

    @property
    def clock(self) -> Clock:
        """The clock that `last_heard` is read from."""
        return self._clock

    async def send(self, message: Message) -> bool:
        """Send `message`; tell whether it was handed to the network.

        `False` says that the connection is closed. `True` says nothing about
        whether the peer will ever see it.
        """
        frame = encode(message)
        try:
            await self._ws.send(frame)
        except ConnectionClosed:
            self.is_closed = True
            return False
        if isinstance(message, _DATA_MESSAGES):
            self.data_bytes += len(frame)
        else:
            self.control_bytes += len(frame)
        return True

    async def receive(self) -> Result[AnyMessage, Fault] | None:
        """Return the next message or what is wrong with it.

        `None` says that the connection is closed.
        """
        try:
            frame = await self._ws.recv(decode=False)
        except ConnectionClosed:
            self.is_closed = True
            return None
        self.last_heard = self._clock.now()
        return decode(frame)

    async def messages(self) -> AsyncIterator[AnyMessage]:
        """Give the messages that arrive until the connection is closed.

        A bad frame is answered with its fault and passed over; more than
        `BAD_FRAMES_LIMIT` of them close the connection.
        """
        while True:
            match await self.receive():
                case Ok(message):
                    yield message
                case Err(fault):
                    await self._answer_bad_frame(fault)
                case _:
                    return

    async def close(self) -> None:
        """Close in order, or by force when the peer doesn't answer."""
        self.is_closed = True
        try:
            async with asyncio.timeout(self.timeouts.close_s):
                await self._ws.close()
        except TimeoutError:
            self.abort()

    def abort(self) -> None:
        """Drop the connection at once, for a peer that is silent."""
        self.is_closed = True
        self._ws.transport.abort()

    async def _answer_bad_frame(self, fault: Fault) -> None:
        self._bad_frames += 1
        await self.send(fault)
        if self._bad_frames > BAD_FRAMES_LIMIT:
            await self.close()


async def dial(
    uri: str,
    *,
    ssl: tls.SSLContext | None,
    timeouts: Timeouts,
    clock: Clock | None,
) -> Result[Connection, str]:
    """Return an open connection to `uri`, before any message."""
    try:
        ws = await connect(
            uri,
            ssl=ssl,
            proxy=None,
            compression=None,
            max_size=MESSAGE_LIMIT_BYTES,
            max_queue=_QUEUED_FRAMES,
            ping_interval=None,
            open_timeout=timeouts.open_s,
            close_timeout=timeouts.close_s,
        )
    except (OSError, WebSocketException, ValueError) as exc:
        return Err(str(exc) or type(exc).__name__)
    return Ok(Connection(ws, clock=clock, timeouts=timeouts))


async def listen(
    attend: Serve,
    host: str,
    port: int,
    *,
    ssl: tls.SSLContext | None = None,
    timeouts: Timeouts = DEFAULT_TIMEOUTS,
) -> Server:
    """Listen for web sockets and give each to `attend` in its own task."""
    return await serve(
        attend,
        host,
        port,
        ssl=ssl,
        compression=None,
        max_size=MESSAGE_LIMIT_BYTES,
        max_queue=_QUEUED_FRAMES,
        ping_interval=None,
        open_timeout=timeouts.open_s,
        close_timeout=timeouts.close_s,
        # What strangers send is no matter for the log.
        logger=logging.Logger('inner', logging.CRITICAL + 1),
    )
