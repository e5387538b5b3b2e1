"""One attempt of a request at one upstream, told as a value at its end."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, Protocol, TypeAlias, TypeVar

import msgspec

from figspread.clock import Clock
from figspread.direct.model import CallerRequest, Route, Upstream
from figspread.direct.wire import Onward, Wire
from figspread.http1.client import (
    Broken,
    Head,
    Unreachable,
    UpstreamConnection,
)
from figspread.http1.events import EVENT_LIMIT_BYTES, Event, EventSplitter
from figspread.http1.fields import Fields, drop_fields
from figspread.http1.pool import ConnectionPool

ANSWER_LIMIT_BYTES: Final = 8_388_608
_FIRST_FAILURE: Final = 400
_NO_ID: Final = -1
_Step = TypeVar('_Step')


class Whole(msgspec.Struct, frozen=True):
    """The upstream's own answer, whole: a success or a failure of its own."""

    status: int
    fields: Fields
    body: bytes


class Streamed(msgspec.Struct, frozen=True):
    """The stream has been passed on to its end."""


class NotSent(msgspec.Struct, frozen=True):
    """No connection could be had; the upstream has seen nothing.

    One that `is_refused` shows that the upstream's process is dead.
    """

    detail: str
    is_refused: bool = False


class NotExecuted(msgspec.Struct, frozen=True):
    """The upstream states that it did not run the request, and never will."""

    detail: str
    at_fault: str = ''
    is_wrong_instance: bool = False


class Lost(msgspec.Struct, frozen=True):
    """The request may have run, and its whole answer can't be had."""

    detail: str
    is_broken_off: bool = True


AttemptEnd: TypeAlias = Whole | Streamed | NotSent | NotExecuted | Lost


class StreamSink(Protocol):
    """Where the events of a stream go."""

    def start_stream(self, status: int, fields: Fields) -> None:
        """Send the head of an answer whose length is not known yet."""

    async def send_piece(self, piece: bytes) -> None:
        """Send a piece of a started answer."""

    def end_stream(self) -> None:
        """Complete a started answer."""


class StreamState(msgspec.Struct):
    """How far the caller's stream has come, over all attempts."""

    last_id: int = _NO_ID
    events: int = 0
    is_started: bool = False
    single_s: float | None = None


class Attempt(msgspec.Struct, frozen=True):
    """What an attempt is made with.

    `on_first` is called at the first event or at the head of a plain answer.
    `patience_s` bounds the wait for that; after it the attempt is given up.
    `note_pause` is told the pauses between single events.
    """

    request: CallerRequest
    route: Route
    upstream: Upstream
    onward: Onward
    stream: StreamState
    on_first: Callable[[], None]
    patience_s: float | None = None
    note_pause: Callable[[float], None] | None = None


class Attempts:
    """Makes attempts over pooled connections."""

    def __init__(
        self,
        wire: Wire,
        pool: ConnectionPool,
        clock: Clock,
    ) -> None:
        """Send through `pool`."""
        self._wire = wire
        self._pool = pool
        self._clock = clock

    async def make(self, attempt: Attempt, sink: StreamSink) -> AttemptEnd:
        """Send the request and pass a stream's events on to `sink`.

        Cancelling it closes the connection, which ends the work upstream.
        """
        address = attempt.upstream.address
        try:
            conn = await self._pool.acquire(
                address,
                is_fresh=not attempt.route.is_repeatable,
            )
        except Unreachable as exc:
            return NotSent(str(exc), is_refused=exc.is_refused)
        try:
            end = await self._exchange(attempt, conn, sink)
        except Broken as exc:
            return Lost(str(exc))
        except TimeoutError:
            return Lost('no answer within the time allowed for the first')
        except BaseException:
            conn.close('given up here')
            raise
        finally:
            self._pool.release(address, conn)
        return end

    async def _exchange(
        self,
        attempt: Attempt,
        conn: UpstreamConnection,
        sink: StreamSink,
    ) -> AttemptEnd:
        request = attempt.request
        fields = self._wire.encode_onward(request, attempt.onward)
        conn.send(request.method, request.target, fields, request.body)
        head = await _within(attempt.patience_s, conn.read_head())
        verdict = self._wire.judge(request, head)
        if not verdict.has_run:
            await conn.read_body(ANSWER_LIMIT_BYTES)
            return NotExecuted(
                'status {0}'.format(head.status),
                verdict.at_fault,
                verdict.is_wrong_instance,
            )
        if not verdict.is_genuine:
            conn.close('an answer that is not genuine')
            return Lost(
                'status {0} is not genuine'.format(head.status),
                is_broken_off=False,
            )
        is_stream = head.status < _FIRST_FAILURE and _is_stream(attempt)
        if is_stream:
            return await self._relay(attempt, conn, head, sink)
        body = await conn.read_body(ANSWER_LIMIT_BYTES)
        attempt.on_first()
        return Whole(head.status, drop_fields(head.fields), body)

    async def _relay(
        self,
        attempt: Attempt,
        conn: UpstreamConnection,
        head: Head,
        sink: StreamSink,
    ) -> AttemptEnd:
        splitter = EventSplitter()
        patience_s = attempt.patience_s
        is_first = True
        while True:
            piece = await _within(patience_s, conn.read_piece())
            if piece is None:
                break
            fresh = _take_fresh(attempt.stream, list(splitter.feed(piece)))
            if splitter.pending_bytes > EVENT_LIMIT_BYTES:
                raise Broken('an event without an end')
            if not fresh:
                continue
            if is_first:
                attempt.on_first()
                patience_s, is_first = None, False
            self._note_pause(attempt, len(fresh))
            await _pass_on(attempt.stream, head, sink, fresh)
        if splitter.pending_bytes or not attempt.stream.events:
            raise Broken('the stream ended within an event')
        sink.end_stream()
        return Streamed()

    def _note_pause(self, attempt: Attempt, events: int) -> None:
        stream = attempt.stream
        now = self._clock.now()
        # Events that come together, and those after them, tell no pause.
        if events == 1 and stream.single_s is not None and attempt.note_pause:
            attempt.note_pause(now - stream.single_s)
        stream.single_s = now if events == 1 else None


async def _pass_on(
    stream: StreamState,
    head: Head,
    sink: StreamSink,
    fresh: list[Event],
) -> None:
    if not stream.is_started:
        sink.start_stream(head.status, drop_fields(head.fields))
        stream.is_started = True
    await sink.send_piece(b''.join(event.raw for event in fresh))


def _is_stream(attempt: Attempt) -> bool:
    return attempt.route.kind.value == 'stream'


def _take_fresh(stream: StreamState, events: list[Event]) -> list[Event]:
    """Return the events that the caller has not had, and note them.

    Raises `Broken` where one is missing between two.
    """
    fresh = []
    for event in events:
        if event.id == _NO_ID:
            raise Broken('an event without an id')
        if stream.last_id == _NO_ID or event.id == stream.last_id + 1:
            stream.last_id = event.id
            stream.events += 1
            fresh.append(event)
        elif event.id > stream.last_id:
            raise Broken('an event is missing')
    return fresh


async def _within(
    patience_s: float | None,
    step: Awaitable[_Step],
) -> _Step:
    async with asyncio.timeout(patience_s):
        return await step
