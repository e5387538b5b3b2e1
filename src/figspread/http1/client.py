"""HTTP client connections to upstreams, with one exchange at a time."""

import asyncio
from functools import partial
from typing import Final

import h11
import msgspec

from figspread.http1.answers import AnswerParser, ExchangeError
from figspread.http1.buffers import BufferPool
from figspread.http1.fields import Fields, find_field, has_token
from figspread.http1.sockets import (
    CHUNKS_PER_TURN,
    SEGMENT_BYTES,
    Wakeup,
    count_unreceived_bytes,
    enable_dead_peer_detection,
    has_error,
    set_unread_limit,
)

# Received bytes that wait for the reader before reading the socket pauses.
BUFFER_LIMIT_BYTES: Final = 262_144
# What each chunk of a body adds to its size where that is limited, as reading one
# costs processor time even if it holds a single byte.
CHUNK_COST_BYTES: Final = 256
# Informational answers (1xx) before an answer. One or two are usual.
INTERIM_ANSWER_LIMIT: Final = 16
# Answers with these statuses have no body, so their head is all of them.
_BODILESS_STATUSES: Final = frozenset((204, 304))


class Unreachable(Exception):
    """No connection could be opened, so nothing was sent.

    `is_refused` means that the host is reachable but no process listens there.
    After a timeout the host may just as well be cut off from the network.
    """

    def __init__(self, detail: str, *, is_refused: bool = False) -> None:
        """Set the reason, `detail`, and whether the connection was refused."""
        super().__init__(detail)
        self.is_refused = is_refused


class Head(msgspec.Struct, frozen=True):
    """Status and header fields of an answer; field names are in lower case."""

    status: int
    fields: Fields

    @property
    def is_framed(self) -> bool:
        """Whether its end shows in the answer, by a length or by chunks."""
        return (
            self.status in _BODILESS_STATUSES
            or find_field(self.fields, b'content-length') is not None
            or find_field(self.fields, b'transfer-encoding') is not None
        )


class UpstreamConnection(asyncio.Protocol):
    """A client connection that carries one exchange at a time.

    It is reusable only after a complete answer with no bytes after it. Bytes
    that arrive between two exchanges close it. `idle_timeout_s` is the idle
    time after which the upstream has announced to close it. `exchanges` counts
    the requests sent, and `chunks_read` the chunks of all bodies. `kept_bytes` is
    what the reader keeps of the answer.
    """

    def __init__(self, buffers: BufferPool | None = None) -> None:
        """Create the protocol; `connection_made` completes it.

        What it keeps counts in `buffers`.
        """
        self._parser = AnswerParser()
        self._share = (buffers or BufferPool()).open_share(
            partial(self.close, 'all connections keep too much')
        )
        self.kept_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._wakeup = Wakeup()
        self._close_reason = ''
        self._in_exchange = False
        self._buffered_bytes = 0
        self._is_paused = False
        self._must_close = False
        self._may_leave_unread = False
        self._is_reset = False
        self.idle_timeout_s = float('inf')
        self.chunks_read = 0
        self.exchanges = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the open transport and enable dead peer detection."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        enable_dead_peer_detection(transport)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; close the connection outside an exchange."""
        if not self._in_exchange:
            self.close('bytes outside an exchange')
            return
        self._parser.receive(data)
        self._buffered_bytes += len(data)
        self._share.resize(self.kept_bytes + self._buffered_bytes)
        if self._buffered_bytes > BUFFER_LIMIT_BYTES and self._transport:
            self._transport.pause_reading()
            self._is_paused = True
        self._wakeup.notify()

    def eof_received(self) -> bool:
        """Handle the peer's orderly close; it ends an answer without length.

        An upstream that closes before it has received the whole request has
        broken off. The socket stays open within an exchange, for `has_failed`.
        """
        if self._in_exchange and not _has_unreceived_bytes(self._transport):
            self._parser.receive(b'')
        self._close_reason = self._close_reason or 'closed by the upstream'
        self._wakeup.notify()
        return self._in_exchange

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is lost and wake the reader."""
        self._close_reason = self._close_reason or str(exc or 'closed')
        self._is_reset = exc is not None
        self._wakeup.notify()

    @property
    def is_reusable(self) -> bool:
        """Whether another exchange may be started."""
        return not (self._close_reason or self._in_exchange or self._must_close)

    @property
    def has_failed(self) -> bool:
        """Whether the connection was reset, if only after an orderly close."""
        return self._is_reset or (
            self._transport is not None and has_error(self._transport)
        )

    def send(
        self,
        method: bytes,
        target: bytes,
        fields: Fields,
        body: bytes,
    ) -> None:
        """Send a complete request.

        Raises `ExchangeError` if the connection is lost.
        """
        if self._close_reason or self._transport is None:
            raise ExchangeError(self._close_reason or 'not connected')
        self._in_exchange = True
        self.exchanges += 1
        self.forget_body()
        framing = [(b'content-length', str(len(body)).encode())]
        if not body and method in {b'GET', b'HEAD', b'DELETE'}:
            framing = []
        octets = self._parser.encode_request(
            method, target, [*fields, *framing], body
        )
        # An upstream that reads a long body slowly is not dead.
        is_long = len(octets) > SEGMENT_BYTES
        if is_long is not self._may_leave_unread:
            self._may_leave_unread = is_long
            set_unread_limit(self._transport, may_leave_unread=is_long)
        self._transport.write(octets)

    async def read_head(self) -> Head:
        """Return status and header of the answer.

        Informational (1xx) answers are skipped. Raises `ExchangeError`.
        """
        for _ in range(INTERIM_ANSWER_LIMIT + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                fields = list(event.headers)
                self._apply_connection_fields(fields)
                return Head(event.status_code, fields)
            if not isinstance(event, h11.InformationalResponse):
                raise ExchangeError('no answer where one is due')
        raise ExchangeError('informational answers without an answer')

    async def read_chunk(self) -> bytes | None:
        """Return the next part of the body, `None` at its end.

        It has all chunks that have arrived, up to `CHUNKS_PER_TURN`. Raises
        `ExchangeError` when the answer is truncated.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            following = self._parser.list_chunks(CHUNKS_PER_TURN - 1)
            chunks = [bytes(event.data), *following]
            self.chunks_read += len(chunks)
            if len(chunks) == CHUNKS_PER_TURN:
                # Lets other tasks run while more chunks wait.
                await asyncio.sleep(0)
            return b''.join(chunks)
        if isinstance(event, h11.EndOfMessage):
            self._end_exchange()
            return None
        raise ExchangeError('the answer broke off')

    async def read_body(self, limit_bytes: int) -> bytes:
        """Return the complete body.

        Raises `ExchangeError` above `limit_bytes`, or above a chunk for each
        `CHUNK_COST_BYTES` of these; small bodies may have `CHUNKS_PER_TURN`.
        """
        received = bytearray()
        chunk_limit = max(CHUNKS_PER_TURN, limit_bytes // CHUNK_COST_BYTES)
        chunks_before = self.chunks_read
        while True:
            piece = await self.read_chunk()
            if piece is None:
                return bytes(received)
            received += piece
            self.kept_bytes = len(received)
            chunks = self.chunks_read - chunks_before
            if len(received) > limit_bytes or chunks > chunk_limit:
                raise ExchangeError('the answer is too large')

    def forget_body(self) -> None:
        """Stop counting the body that was read, as it is used elsewhere."""
        self.kept_bytes = 0
        self._share.resize(0)

    def close(self, reason: str = 'closed here') -> None:
        """Close at once, abandoning an exchange in flight."""
        self.forget_body()
        self._close_reason = self._close_reason or reason
        if self._transport is not None:
            self._transport.abort()

    async def _next_event(self) -> h11.Event:
        try:
            event = self._parser.next_event()
            while event is None:
                if self._close_reason:
                    raise ExchangeError(self._close_reason)
                self._parser.check_begin()
                self._buffered_bytes = self._parser.unparsed_bytes
                self._share.resize(self.kept_bytes + self._buffered_bytes)
                if self._is_paused and self._transport:
                    self._transport.resume_reading()
                    self._is_paused = False
                await self._wakeup.wait()
                event = self._parser.next_event()
        except ExchangeError as exc:
            raise ExchangeError(self._close_reason or str(exc)) from exc
        return event

    def _apply_connection_fields(self, fields: Fields) -> None:
        self._must_close = has_token(fields, b'connection', 'close')
        keep_alive = find_field(fields, b'keep-alive') or ''
        for parameter in keep_alive.split(','):
            name, _, digits = parameter.strip().partition('=')
            if name == 'timeout' and digits.isdecimal():
                self.idle_timeout_s = float(digits)

    def _end_exchange(self) -> None:
        self._in_exchange = False
        if self._parser.unparsed_bytes:
            self.close('bytes after the answer')
        elif not self._parser.start_next_exchange():
            self._must_close = True


def _has_unreceived_bytes(transport: asyncio.Transport | None) -> bool:
    """Return whether the peer lacks some of the bytes that were written."""
    return transport is not None and bool(
        transport.get_write_buffer_size() or count_unreceived_bytes(transport)
    )


async def open_connection(
    address: str,
    *,
    timeout_s: float,
    buffers: BufferPool | None = None,
) -> UpstreamConnection:
    """Open a connection to `address`, in the form `ip:port`.

    What it keeps counts in `buffers`. Raises `Unreachable` when it is refused or not open after `timeout_s`.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(
                partial(UpstreamConnection, buffers),
                host,
                int(port),
            )
    except (OSError, ValueError, OverflowError) as exc:
        raise Unreachable(
            str(exc) or type(exc).__name__,
            is_refused=isinstance(exc, ConnectionRefusedError),
        ) from exc
    return conn
