"""Connections to upstreams: one exchange at a time, checked to the end."""

import asyncio
from typing import Final

import h11
import msgspec

from figspread.http1.fields import Fields, find_field, has_token
from figspread.http1.sockets import Wakeup, notice_silence

HEAD_LIMIT_BYTES: Final = 65_536
BUFFER_LIMIT_BYTES: Final = 262_144


class Broken(Exception):
    """The connection ended, or what came on it is no answer."""


class Unreachable(Exception):
    """No connection could be opened, so nothing was sent.

    `is_refused` tells that the machine answers and the process is dead; after
    a silence it may as well be cut off.
    """

    def __init__(self, detail: str, *, is_refused: bool = False) -> None:
        """Give the reason in `detail`."""
        super().__init__(detail)
        self.is_refused = is_refused


class Head(msgspec.Struct, frozen=True):
    """Status and fields of an answer; field names are in lower case."""

    status: int
    fields: Fields


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one exchange at a time.

    It may be used again only after a whole answer with nothing behind it.
    Bytes that arrive between two exchanges spoil it.
    """

    def __init__(self) -> None:
        """Wait for `connection_made`."""
        self._parser = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=HEAD_LIMIT_BYTES,
        )
        self._transport: asyncio.Transport | None = None
        self._wakeup = Wakeup()
        self._lost = ''
        self._in_exchange = False
        self._buffered = 0
        self._is_paused = False
        self._says_close = False
        self.idle_limit_s = float('inf')

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open transport."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        notice_silence(transport)

    def data_received(self, data: bytes) -> None:
        """Take bytes; outside an exchange they spoil the connection."""
        if not self._in_exchange:
            self.close('bytes outside an exchange')
            return
        self._parser.receive_data(data)
        self._buffered += len(data)
        if self._buffered > BUFFER_LIMIT_BYTES and self._transport:
            self._transport.pause_reading()
            self._is_paused = True
        self._wakeup.notify()

    def eof_received(self) -> None:
        """Note the peer's orderly end, which may end an unframed answer."""
        if self._in_exchange:
            self._parser.receive_data(b'')
        self._lost = self._lost or 'closed by the upstream'
        self._wakeup.notify()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        self._lost = self._lost or str(exc or 'closed')
        self._wakeup.notify()

    @property
    def is_reusable(self) -> bool:
        """Tell whether a further exchange may be tried."""
        return not (self._lost or self._in_exchange or self._says_close)

    def send(
        self,
        method: bytes,
        target: bytes,
        fields: Fields,
        body: bytes,
    ) -> None:
        """Send a whole request; raise `Broken` if the connection is gone."""
        if self._lost or self._transport is None:
            raise Broken(self._lost or 'not connected')
        self._in_exchange = True
        framing = [(b'content-length', str(len(body)).encode())]
        if not body and method in {b'GET', b'HEAD', b'DELETE'}:
            framing = []
        request = h11.Request(
            method=method,
            target=target,
            headers=[*fields, *framing],
        )
        parts = [self._parser.send(request) or b'']
        if body:
            parts.append(self._parser.send(h11.Data(data=body)) or b'')
        self._parser.send(h11.EndOfMessage())
        self._transport.write(b''.join(parts))

    async def read_head(self) -> Head:
        """Return the answer's head; informational ones are passed over."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                fields = list(event.headers)
                self._note_reuse(fields)
                return Head(event.status_code, fields)
            if not isinstance(event, h11.InformationalResponse):
                raise Broken('no answer where one is due')

    async def read_piece(self) -> bytes | None:
        """Return the next piece of the answer's body, `None` at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._end_exchange()
            return None
        raise Broken('the answer broke off')

    async def read_body(self, limit_bytes: int) -> bytes:
        """Return the whole body, which may have `limit_bytes` at most."""
        received = bytearray()
        while True:
            piece = await self.read_piece()
            if piece is None:
                return bytes(received)
            received += piece
            if len(received) > limit_bytes:
                raise Broken('the answer is too large')

    def close(self, why: str = 'closed here') -> None:
        """Close at once; a request that is under way is given up."""
        self._lost = self._lost or why
        if self._transport is not None:
            self._transport.abort()

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as exc:
                raise Broken(self._lost or str(exc)) from exc
            if event is h11.PAUSED:
                raise Broken('the answer goes on after its end')
            if event is not h11.NEED_DATA:
                assert not isinstance(event, type)  # noqa: S101
                return event
            if self._lost:
                raise Broken(self._lost)
            await self._wait()

    async def _wait(self) -> None:
        self._buffered = 0
        if self._is_paused and self._transport:
            self._transport.resume_reading()
            self._is_paused = False
        await self._wakeup.wait()

    def _note_reuse(self, fields: Fields) -> None:
        self._says_close = has_token(fields, b'connection', 'close')
        hint = find_field(fields, b'keep-alive') or ''
        for part in hint.split(','):
            name, _, digits = part.strip().partition('=')
            if name == 'timeout' and digits.isdecimal():
                self.idle_limit_s = float(digits)

    def _end_exchange(self) -> None:
        self._in_exchange = False
        if self._parser.trailing_data[0]:
            self.close('bytes after the answer')
        elif self._parser.our_state is h11.DONE and (
            self._parser.their_state is h11.DONE
        ):
            self._parser.start_next_cycle()
        else:
            self._says_close = True


async def open_connection(
    address: str,
    *,
    timeout_s: float,
) -> UpstreamConnection:
    """Return an open connection to `address`, an `ip:port`.

    Raises `Unreachable` after `timeout_s` or a refusal.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(
                UpstreamConnection,
                host,
                int(port),
            )
    except (OSError, ValueError) as exc:
        raise Unreachable(
            str(exc) or type(exc).__name__,
            is_refused=isinstance(exc, ConnectionRefusedError),
        ) from exc
    return conn
