"""Relays the events of streamed answers to callers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, Protocol, TypeVar

import msgspec

from figspread.clock import Clock
from figspread.http1.answers import ExchangeError
from figspread.http1.client import (
    CHUNK_COST_BYTES,
    Head,
    UpstreamConnection,
)
from figspread.http1.events import EVENT_LIMIT_BYTES, Event, EventSplitter
from figspread.http1.fields import Fields, drop_fields, find_field

# Events that are read before other tasks get their turn.
EVENTS_PER_TURN: Final = 64
_NO_EVENT_ID: Final = -1
_CONTENT_TYPE: Final = b'content-type'
_Step = TypeVar('_Step')


class StreamSink(Protocol):
    """Receives a streamed response; a caller's connection implements it."""

    def start_stream(self, status: int, fields: Fields) -> None:
        """Send the status and header fields of a response of unknown length."""

    async def send_chunk(self, piece: bytes) -> None:
        """Send the next part of the response body."""

    def end_stream(self) -> None:
        """Complete the response."""


class StreamState(msgspec.Struct):
    """Progress of the caller's stream, kept across attempts.

    `last_id` is the id of the last event sent to the caller, -1 before the
    first, and `events` counts those sent. `last_single_event_s` is the clock
    time of the last event if it arrived alone, otherwise `None`. `last_sent_s`
    is the clock time of the last event, and `longest_gap_s` the longest pause
    between two, over all attempts. `head` is what the caller has been sent,
    `None` before the first event.
    """

    last_id: int = _NO_EVENT_ID
    events: int = 0
    head: Head | None = None
    last_single_event_s: float | None = None
    last_sent_s: float | None = None
    longest_gap_s: float = 0

    @property
    def is_resumed(self) -> bool:
        """Whether the caller has a part of the answer already."""
        return self.last_id != _NO_EVENT_ID

    @property
    def is_started(self) -> bool:
        """Whether this response to the caller has begun."""
        return self.head is not None

    def can_go_on_with(self, head: Head) -> bool:
        """Return whether an answer with this header may follow what was sent.

        After the first event only an answer of the same kind may: an error, or
        an answer without events, is no end of the stream.
        """
        return self.head is None or (
            head.status == self.head.status
            and _find_media_type(head) == _find_media_type(self.head)
        )


class RelayOptions(msgspec.Struct, frozen=True):
    """What one attempt does beside relaying its events.

    `on_first_output` is called at the first new event, which has to arrive
    within `first_output_timeout_s`, whatever else arrives before it.
    `record_event_gap` receives the seconds between two events that each
    arrived alone.
    """

    on_first_output: Callable[[], None]
    first_output_timeout_s: float | None = None
    record_event_gap: Callable[[float], None] | None = None


class StreamRelay:
    """Sends the caller those events of an answer that it has not received."""

    def __init__(
        self,
        stream: StreamState,
        sink: StreamSink,
        clock: Clock,
        options: RelayOptions,
    ) -> None:
        """Relay to `sink`, and record the progress in `stream`."""
        self._stream = stream
        self._sink = sink
        self._clock = clock
        self._options = options
        self._splitter = EventSplitter()
        self._first_event_due_s = due_s(options.first_output_timeout_s)
        self._is_first_pending = True
        # Id of the newest event of this answer, whether or not the caller has it.
        self._newest_id: int | None = None
        # Read since the last new event, at what it costs.
        self._unused_bytes = 0

    async def relay(self, conn: UpstreamConnection, head: Head) -> None:
        """Relay to the end of the answer; the caller's stream stays open.

        Raises `ExchangeError` if the answer breaks off, is no stream, or has
        more than `EVENT_LIMIT_BYTES` without a new event; the events before
        that are sent. Raises `TimeoutError` if the first event is late.
        """
        chunks_before = conn.chunks_read
        while True:
            piece = await run_until(self._first_event_due_s, conn.read_chunk())
            if piece is None:
                break
            chunks = conn.chunks_read - chunks_before
            chunks_before = conn.chunks_read
            self._unused_bytes += len(piece) + chunks * CHUNK_COST_BYTES
            await self._relay_piece(piece, head)
            conn.kept_bytes = self._splitter.buffered_bytes
        # Also raised for a stream that ended properly if the caller has not
        # been sent any event, in this attempt or an earlier one.
        if self._splitter.pending_bytes or not self._stream.events:
            raise ExchangeError('the stream ended within an event')
        # An engine that doesn't resume begins anew; its answer may be shorter.
        newest_id = self._newest_id
        if newest_id is not None and newest_id < self._stream.last_id:
            raise ExchangeError('the stream ended before its last event')

    async def _relay_piece(self, piece: bytes, head: Head) -> None:
        new_events: list[Event] = []
        try:
            await self._select_new_events(piece, new_events)
        except ExchangeError:
            # The next attempt goes on after these, so they are sent although
            # what follows them is broken.
            await self._send(new_events, head)
            raise
        await self._send(new_events, head)

    async def _select_new_events(
        self, piece: bytes, new_events: list[Event]
    ) -> None:
        """Add the events of `piece` that the caller lacks to `new_events`."""
        for number, event in enumerate(self._splitter.feed(piece), 1):
            if self._is_new(event):
                new_events.append(event)
            if number % EVENTS_PER_TURN == 0:
                # Lets other tasks run while more events wait.
                await asyncio.sleep(0)
        if new_events:
            self._unused_bytes = self._splitter.buffered_bytes
        # Raised whether or not the end of an event would still arrive.
        if self._unused_bytes > EVENT_LIMIT_BYTES:
            raise ExchangeError('no new event within the size of one')

    def _is_new(self, event: Event) -> bool:
        """Return whether the caller lacks an event, and count it then.

        Raises `ExchangeError` if it has no id or an id was skipped.
        """
        stream = self._stream
        if event.id == _NO_EVENT_ID:
            raise ExchangeError('an event without an id')
        self._newest_id = event.id
        if stream.last_id == _NO_EVENT_ID or event.id == stream.last_id + 1:
            stream.last_id = event.id
            stream.events += 1
            return True
        if event.id > stream.last_id:
            raise ExchangeError('an event is missing')
        return False

    async def _send(self, new_events: list[Event], head: Head) -> None:
        if not new_events:
            return
        if self._is_first_pending:
            self._options.on_first_output()
            self._first_event_due_s = None
            self._is_first_pending = False
        self._record_gap(len(new_events))
        if not self._stream.is_started:
            self._sink.start_stream(head.status, drop_fields(head.fields))
            self._stream.head = head
        await self._sink.send_chunk(b''.join(event.raw for event in new_events))

    def _record_gap(self, events: int) -> None:
        stream = self._stream
        now = self._clock.now()
        if stream.last_sent_s is not None:
            gap_s = now - stream.last_sent_s
            stream.longest_gap_s = max(stream.longest_gap_s, gap_s)
        stream.last_sent_s = now
        # A gap counts only between two events that each arrived alone; events
        # that arrive together don't show the engine's pace.
        record_event_gap = self._options.record_event_gap
        if (
            events == 1
            and stream.last_single_event_s is not None
            and record_event_gap is not None
        ):
            record_event_gap(now - stream.last_single_event_s)
        stream.last_single_event_s = now if events == 1 else None


def _find_media_type(head: Head) -> str:
    content_type = find_field(head.fields, _CONTENT_TYPE) or ''
    return content_type.partition(';')[0].strip().lower()


def due_s(timeout_s: float | None) -> float | None:
    """Return the time of the event loop at which a timeout expires."""
    if timeout_s is None:
        return None
    return asyncio.get_running_loop().time() + timeout_s


async def run_until(
    until_s: float | None, operation: Awaitable[_Step]
) -> _Step:
    """Return the result of `operation`.

    Raises `TimeoutError` at the time `until_s` of the event loop.
    """
    async with asyncio.timeout_at(until_s):
        return await operation
