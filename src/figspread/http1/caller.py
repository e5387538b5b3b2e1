"""Connections of callers: one task each, cancelled when the caller leaves."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

import h11
import msgspec

from figspread.http1.fields import Fields, find_field
from figspread.http1.sockets import Wakeup, notice_silence

_BAD_REQUEST: Final = 400
_TIMED_OUT: Final = 408
_TOO_LARGE: Final = 413
_HEAD_TOO_LARGE: Final = 431
# Colon, space and line end of a field.
_FIELD_OVERHEAD: Final = 4
_NOT_IMPLEMENTED: Final = 501
_NO_BODY: Final = frozenset((204, 304))


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, in bytes, and how long that may take."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 3
    idle_timeout_s: float = 15


class Request(msgspec.Struct, frozen=True):
    """A whole request; field names are in lower case."""

    method: bytes
    target: bytes
    fields: Fields
    body: bytes


class Rejected(Exception):
    """The request is malformed or too large; the connection ends."""

    def __init__(self, status: int, detail: str) -> None:
        """Reject with `status`."""
        super().__init__(detail)
        self.status = status


def _ignore_fault(exc: Exception) -> None:
    """Do nothing, where a test has no log."""


class CallerConnection(asyncio.Protocol):
    """Reads requests one after the other and has each one answered."""

    def __init__(
        self,
        serve: 'Serve',
        limits: Callable[[], CallerLimits],
        is_leaving: Callable[[], bool],
        note_fault: Callable[[Exception], None] = _ignore_fault,
    ) -> None:
        """Answer through `serve`; `limits` are asked for at each request.

        An exception that nobody expects breaks the connection off and is
        told to `note_fault`.
        """
        self._note_fault = note_fault
        self._serve = serve
        self._limits = limits
        self._is_leaving = is_leaving
        self._parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits().head_bytes,
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._wakeup = Wakeup()
        self._writable = asyncio.Event()
        self._is_gone = False
        self._is_serving = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection's task."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self._writable.set()
        notice_silence(transport)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def data_received(self, data: bytes) -> None:
        """Take bytes for the parser; too many unread ones wait."""
        self._parser.receive_data(data)
        pending = len(self._parser.trailing_data[0])
        if pending > self._limits().body_bytes and self._transport:
            self._transport.pause_reading()
        self._wakeup.notify()

    def eof_received(self) -> None:
        """End the connection: its caller has left."""
        self._leave()

    def connection_lost(self, exc: Exception | None) -> None:
        """End what is under way: its caller has left."""
        self._leave()

    @property
    def is_busy(self) -> bool:
        """Tell whether a request is served, or bytes of one have been read."""
        has_read = bool(self._parser.trailing_data[0])
        return not self._is_gone and (self._is_serving or has_read)

    @property
    def is_closed(self) -> bool:
        """Tell whether the connection has ended."""
        return self._is_gone

    def pause_writing(self) -> None:
        """Hold writers up until the caller has read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writable.set()

    def close(self) -> None:
        """Close the connection, once written bytes are out."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Break the connection off, so that an answer looks incomplete."""
        if self._transport is not None:
            self._transport.abort()

    async def respond(
        self,
        status: int,
        fields: Fields,
        body: bytes,
    ) -> None:
        """Send a whole answer."""
        framing = [] if status in _NO_BODY else [_length_of(body)]
        self._send_head(status, [*fields, *framing])
        if body and status not in _NO_BODY:
            self._write(h11.Data(data=body))
        self._write(h11.EndOfMessage())
        await self._writable.wait()

    def start_stream(self, status: int, fields: Fields) -> None:
        """Send the head of an answer whose length is not known yet."""
        framing = (b'transfer-encoding', b'chunked')
        self._send_head(status, [*fields, framing])

    async def send_piece(self, piece: bytes) -> None:
        """Send a piece of a started answer; wait while the caller is slow."""
        self._write(h11.Data(data=piece))
        await self._writable.wait()

    def end_stream(self) -> None:
        """Complete a started answer."""
        self._write(h11.EndOfMessage())

    def _send_head(self, status: int, fields: Fields) -> None:
        closing = [(b'connection', b'close')] if self._is_leaving() else []
        self._write(
            h11.Response(status_code=status, headers=[*fields, *closing]),
        )

    def _write(self, event: h11.Event) -> None:
        if self._is_gone or self._transport is None:
            raise ConnectionResetError('the caller has left')
        self._transport.write(self._parser.send(event) or b'')

    async def _run(self) -> None:
        try:
            while not self._is_gone:
                await self._serve_one()
                if self._parser.states[h11.CLIENT] is not h11.DONE:
                    break
                if self._parser.states[h11.SERVER] is not h11.DONE:
                    break
                self._parser.start_next_cycle()
        except Rejected as exc:
            await self._reject(exc)
        except ConnectionError:
            self.abort()
        except Exception as exc:
            self._note_fault(exc)
            self.abort()
        finally:
            self._is_serving = False
            self.close()

    async def _serve_one(self) -> None:
        head = await self._read_head()
        if head is None:
            self.close()
            self._is_gone = True
            return
        self._is_serving = True
        try:
            body = await self._read_body()
            request = Request(
                bytes(head.method),
                bytes(head.target),
                list(head.headers),
                body,
            )
            await self._serve(request, self)
        finally:
            self._is_serving = False

    async def _read_head(self) -> h11.Request | None:
        """Return the next request's head, `None` after too long a pause."""
        limits = self._limits()
        event = self._next_event()
        has_begun = bool(self._parser.trailing_data[0])
        if event is h11.NEED_DATA and not has_begun:
            try:
                async with asyncio.timeout(limits.idle_timeout_s):
                    await self._wait()
            except TimeoutError:
                return None
        try:
            async with asyncio.timeout(limits.head_timeout_s):
                if event is h11.NEED_DATA:
                    event = await self._await_event()
        except TimeoutError as exc:
            raise Rejected(_TIMED_OUT, 'the head is late') from exc
        if not isinstance(event, h11.Request):
            return None
        _check_head(event, limits.head_bytes)
        return event

    async def _read_body(self) -> bytes:
        limits = self._limits()
        if self._parser.they_are_waiting_for_100_continue:
            self._write(
                h11.InformationalResponse(status_code=100, headers=[]),
            )
        try:
            async with asyncio.timeout(limits.idle_timeout_s):
                return await self._join_body(limits.body_bytes)
        except TimeoutError as exc:
            raise Rejected(_TIMED_OUT, 'the body is late') from exc

    async def _join_body(self, limit_bytes: int) -> bytes:
        received = bytearray()
        while True:
            event = await self._await_event()
            if not isinstance(event, h11.Data):
                return bytes(received)
            received += event.data
            if len(received) > limit_bytes:
                raise Rejected(_TOO_LARGE, 'the body is too large')

    async def _await_event(self) -> object:
        event = self._next_event()
        while event is h11.NEED_DATA:
            await self._wait()
            event = self._next_event()
        return event

    def _next_event(self) -> object:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
            if status not in {_HEAD_TOO_LARGE, _NOT_IMPLEMENTED}:
                status = _BAD_REQUEST
            raise Rejected(status, str(exc)) from exc

    async def _wait(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()
        await self._wakeup.wait()

    def _leave(self) -> None:
        self._is_gone = True
        if self._task is not None:
            self._task.cancel()

    async def _reject(self, exc: Rejected) -> None:
        if self._is_gone or self._parser.our_state not in {
            h11.IDLE,
            h11.SEND_RESPONSE,
        }:
            return
        body = str(exc).encode()
        self._write(
            h11.Response(
                status_code=exc.status,
                headers=[(b'connection', b'close'), _length_of(body)],
            ),
        )
        self._write(h11.Data(data=body))
        self._write(h11.EndOfMessage())


Serve: TypeAlias = Callable[[Request, CallerConnection], Awaitable[None]]


def _length_of(body: bytes) -> tuple[bytes, bytes]:
    return (b'content-length', str(len(body)).encode())


def _check_head(head: h11.Request, limit_bytes: int) -> None:
    size = len(head.target) + sum(
        len(name) + len(field) + _FIELD_OVERHEAD for name, field in head.headers
    )
    if size > limit_bytes:
        raise Rejected(_HEAD_TOO_LARGE, 'the head is too large')
    # A length beside a transfer coding is how requests are smuggled.
    has_length = find_field(head.headers, b'content-length') is not None
    has_coding = find_field(head.headers, b'transfer-encoding') is not None
    if has_length and has_coding:
        raise Rejected(_BAD_REQUEST, 'two framings of one body')
    hosts = [name for name, _ in head.headers if name == b'host']
    if len(hosts) != 1:
        raise Rejected(_BAD_REQUEST, 'one host field is due')
