"""Sends a request to one upstream and returns the result as a value."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, Protocol, TypeVar

import msgspec

from figspread.clock import Clock
from figspread.direct.adapter import ForwardedAttempt, PlatformCodec
from figspread.direct.model import CallerRequest, Route, Upstream
from figspread.direct.requests.attempt_results import (
    AnswerLost,
    AttemptResult,
    CompleteAnswer,
    ConnectFailed,
    NotExecuted,
    NotSent,
    StreamCompleted,
)
from figspread.direct.state.upstream_notices import UpstreamNotices
from figspread.http1.client import (
    ExchangeError,
    Head,
    Unreachable,
    UpstreamConnection,
)
from figspread.http1.events import EVENT_LIMIT_BYTES, Event, EventSplitter
from figspread.http1.fields import Fields, drop_fields
from figspread.http1.pool import ConnectionPool

# Bounds the body of a response that isn't streamed.
ANSWER_LIMIT_BYTES: Final = 8_388_608
# Bounds the rest of a rejection after its head, which is a few bytes long.
REJECTION_LIMIT_BYTES: Final = 16_384
REJECTION_TIMEOUT_S: Final = 0.1
_FIRST_ERROR_STATUS: Final = 400
_OVERLOAD_STATUSES: Final = frozenset((429, 503))
_NO_EVENT_ID: Final = -1
_UNPROVEN_END: Final = AnswerLost(
    'nothing shows that an answer without framing is whole', may_be_whole=True
)
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
    between two, over all attempts.
    """

    last_id: int = _NO_EVENT_ID
    events: int = 0
    is_started: bool = False
    last_single_event_s: float | None = None
    last_sent_s: float | None = None
    longest_gap_s: float = 0

    @property
    def is_resumed(self) -> bool:
        """Whether the caller has a part of the answer already."""
        return self.last_id != _NO_EVENT_ID


class Attempt(msgspec.Struct, frozen=True):
    """The request, the upstream and the options of one attempt.

    `prepare` is called just before the request is sent. It returns what to tell
    the upstream, or `None` if the request must not be sent there any more.
    `on_first_output` is called at the first new event of a stream, or when
    any other response is complete. `first_output_timeout_s` bounds the wait
    for the response head and, in a stream, then for the first new event,
    whatever else arrives before it; when it expires the attempt fails.
    `record_event_gap` receives the seconds between two events that each
    arrived alone.
    """

    request: CallerRequest
    route: Route
    upstream: Upstream
    prepare: Callable[[], ForwardedAttempt | None]
    stream: StreamState
    on_first_output: Callable[[], None]
    first_output_timeout_s: float | None = None
    record_event_gap: Callable[[float], None] | None = None


class AttemptSender:
    """Sends attempts over pooled connections."""

    def __init__(
        self,
        codec: PlatformCodec,
        pool: ConnectionPool,
        clock: Clock,
        notices: UpstreamNotices,
        confirm_alive: Callable[[Upstream], Awaitable[bool]],
    ) -> None:
        """Send over connections of `pool`, encoded by `codec`.

        What answers say of their upstreams goes to `notices`. `confirm_alive`
        returns whether an upstream has not ended.
        """
        self._codec = codec
        self._pool = pool
        self._clock = clock
        self._notices = notices
        self._confirm_alive = confirm_alive

    async def send(self, attempt: Attempt, sink: StreamSink) -> AttemptResult:
        """Send the request and relay a stream's events to `sink`.

        Cancelling this call closes the connection, which makes the upstream
        stop its work on the request.
        """
        address = attempt.upstream.address
        try:
            conn = await self._pool.acquire(
                address,
                is_fresh=not attempt.route.is_repeatable,
            )
        except Unreachable as exc:
            return ConnectFailed(str(exc), is_refused=exc.is_refused)
        onward = attempt.prepare()
        if onward is None:
            self._pool.release(address, conn)
            return NotSent('the upstream takes no request now')
        try:
            attempt_result = await self._exchange(attempt, onward, conn, sink)
        except ExchangeError as exc:
            return AnswerLost(str(exc))
        except TimeoutError:
            # `the first` in the detail is the first output of the attempt.
            return AnswerLost('no answer within the time allowed for the first')
        except BaseException:
            conn.close('given up here')
            raise
        finally:
            self._pool.release(address, conn)
        return attempt_result

    async def _exchange(
        self,
        attempt: Attempt,
        onward: ForwardedAttempt,
        conn: UpstreamConnection,
        sink: StreamSink,
    ) -> AttemptResult:
        request = attempt.request
        fields = self._codec.encode_attempt_fields(request, onward)
        conn.send(request.method, request.target, fields, request.body)
        head = await _run_until(
            _due_s(attempt.first_output_timeout_s), conn.read_head()
        )
        verdict = self._codec.classify_answer(request, head)
        if verdict.notice is not None:
            self._notices.record(
                attempt.upstream, verdict.notice, has_run=verdict.has_run
            )
        if not verdict.has_run:
            await _finish_rejection(conn)
            return NotExecuted(
                'status {0}'.format(head.status),
                verdict.at_fault,
                verdict.is_wrong_instance,
                is_overloaded=head.status in _OVERLOAD_STATUSES,
            )
        if not verdict.is_genuine:
            conn.close('an answer that is not genuine')
            return AnswerLost(
                'status {0} is not genuine'.format(head.status),
                is_connection_lost=False,
            )
        is_stream = head.status < _FIRST_ERROR_STATUS and _is_stream(attempt)
        if is_stream:
            return await self._relay_stream(attempt, conn, head, sink)
        body = await conn.read_body(ANSWER_LIMIT_BYTES)
        if not await self._is_whole(attempt, head):
            return _UNPROVEN_END
        attempt.on_first_output()
        return CompleteAnswer(head.status, drop_fields(head.fields), body)

    async def _is_whole(self, attempt: Attempt, head: Head) -> bool:
        """Return whether an answer was received to its end.

        One without framing ends with its connection, which the kernel also
        closes in an orderly way for a process that has died. So its upstream
        has to be alive afterwards.
        """
        is_framed = head.is_framed or attempt.request.method == b'HEAD'
        return is_framed or await self._confirm_alive(attempt.upstream)

    async def _relay_stream(
        self,
        attempt: Attempt,
        conn: UpstreamConnection,
        head: Head,
        sink: StreamSink,
    ) -> AttemptResult:
        splitter = EventSplitter()
        first_event_due_s = _due_s(attempt.first_output_timeout_s)
        is_first_pending = True
        while True:
            piece = await _run_until(first_event_due_s, conn.read_chunk())
            if piece is None:
                break
            new_events = _select_new_events(
                attempt.stream, list(splitter.feed(piece))
            )
            # Raised for an unfinished event above the limit, whether or not
            # its end would still arrive.
            if splitter.buffered_bytes > EVENT_LIMIT_BYTES:
                raise ExchangeError('an event without an end')
            if not new_events:
                continue
            if is_first_pending:
                attempt.on_first_output()
                first_event_due_s, is_first_pending = None, False
            self._record_event_gap(attempt, len(new_events))
            await _send_events(attempt.stream, head, sink, new_events)
        # Also raised for a stream that ended properly if the caller has not
        # been sent any event, in this attempt or an earlier one.
        if splitter.pending_bytes or not attempt.stream.events:
            raise ExchangeError('the stream ended within an event')
        return await self._end_stream(attempt, head, sink)

    async def _end_stream(
        self, attempt: Attempt, head: Head, sink: StreamSink
    ) -> StreamCompleted | AnswerLost:
        if not await self._is_whole(attempt, head):
            return _UNPROVEN_END
        sink.end_stream()
        return StreamCompleted()

    def _record_event_gap(self, attempt: Attempt, events: int) -> None:
        stream = attempt.stream
        now = self._clock.now()
        if stream.last_sent_s is not None:
            gap_s = now - stream.last_sent_s
            stream.longest_gap_s = max(stream.longest_gap_s, gap_s)
        stream.last_sent_s = now
        # A gap counts only between two events that each arrived alone; events
        # that arrive together don't show the engine's pace.
        if (
            events == 1
            and stream.last_single_event_s is not None
            and attempt.record_event_gap
        ):
            attempt.record_event_gap(now - stream.last_single_event_s)
        stream.last_single_event_s = now if events == 1 else None


async def _finish_rejection(conn: UpstreamConnection) -> None:
    """Read the rest of a rejection; close the connection if it is long.

    The head has said all that matters to the request.
    """
    try:
        async with asyncio.timeout(REJECTION_TIMEOUT_S):
            await conn.read_body(REJECTION_LIMIT_BYTES)
    except (ExchangeError, TimeoutError):
        conn.close('a rejection without an end')


async def _send_events(
    stream: StreamState,
    head: Head,
    sink: StreamSink,
    new_events: list[Event],
) -> None:
    if not stream.is_started:
        sink.start_stream(head.status, drop_fields(head.fields))
        stream.is_started = True
    await sink.send_chunk(b''.join(event.raw for event in new_events))


def _is_stream(attempt: Attempt) -> bool:
    return attempt.route.kind.value == 'stream'


def _select_new_events(stream: StreamState, events: list[Event]) -> list[Event]:
    """Return the events that the caller hasn't received, and count them.

    Raises `ExchangeError` if an event has no id or an id was skipped.
    """
    new_events = []
    for event in events:
        if event.id == _NO_EVENT_ID:
            raise ExchangeError('an event without an id')
        if stream.last_id == _NO_EVENT_ID or event.id == stream.last_id + 1:
            stream.last_id = event.id
            stream.events += 1
            new_events.append(event)
        elif event.id > stream.last_id:
            raise ExchangeError('an event is missing')
    return new_events


def _due_s(timeout_s: float | None) -> float | None:
    if timeout_s is None:
        return None
    return asyncio.get_running_loop().time() + timeout_s


async def _run_until(
    due_s: float | None,
    operation: Awaitable[_Step],
) -> _Step:
    async with asyncio.timeout_at(due_s):
        return await operation
