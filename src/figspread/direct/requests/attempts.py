"""Sends a request to one upstream and returns the result as a value."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

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
from figspread.direct.requests.streams import (
    RelayOptions,
    StreamRelay,
    StreamSink,
    StreamState,
    due_s,
    run_until,
)
from figspread.direct.state.upstream_notices import UpstreamNotices
from figspread.http1.answers import ExchangeError
from figspread.http1.client import (
    Head,
    Unreachable,
    UpstreamConnection,
)
from figspread.http1.fields import drop_fields
from figspread.http1.pool import ConnectionPool

# Bounds the body of a response that isn't streamed.
ANSWER_LIMIT_BYTES: Final = 8_388_608
# Bounds the rest of a rejection after its head, which is a few bytes long.
REJECTION_LIMIT_BYTES: Final = 16_384
REJECTION_TIMEOUT_S: Final = 0.1
_FIRST_ERROR_STATUS: Final = 400
_OVERLOAD_STATUSES: Final = frozenset((429, 503))
_UNPROVEN_END: Final = AnswerLost(
    'nothing shows that an answer without framing is whole', may_be_whole=True
)


class Attempt(msgspec.Struct, frozen=True):
    """The request, the upstream and the options of one attempt.

    `prepare` is called just before the request is sent. It returns what to tell
    the upstream, or `None` if the request must not be sent there any more.
    `on_first_output` is called at the first new event of a stream, or when
    any other response is complete. `first_output_timeout_s` bounds the wait
    for the response head and, in a stream, then for the first new event,
    whatever else arrives before it; when it expires the attempt fails.
    `record_event_gap` receives the seconds between two events that each
    arrived alone. `is_repeat` says that the upstream has had this request
    before, so that an earlier answer to it may arrive on a kept connection.
    """

    request: CallerRequest
    route: Route
    upstream: Upstream
    prepare: Callable[[], ForwardedAttempt | None]
    stream: StreamState
    on_first_output: Callable[[], None]
    first_output_timeout_s: float | None = None
    record_event_gap: Callable[[float], None] | None = None
    is_repeat: bool = False


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
                is_fresh=attempt.is_repeat or not attempt.route.is_repeatable,
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
        head = await run_until(
            due_s(attempt.first_output_timeout_s), conn.read_head()
        )
        failure = await self._find_failure(attempt, conn, head)
        if failure is not None:
            return failure
        is_stream = head.status < _FIRST_ERROR_STATUS and _is_stream(attempt)
        if is_stream:
            return await self._relay_stream(attempt, conn, head, sink)
        body = await conn.read_body(ANSWER_LIMIT_BYTES)
        if not await self._is_whole(attempt, conn, head):
            return _UNPROVEN_END
        attempt.on_first_output()
        return CompleteAnswer(head.status, drop_fields(head.fields), body)

    async def _find_failure(
        self, attempt: Attempt, conn: UpstreamConnection, head: Head
    ) -> NotExecuted | AnswerLost | None:
        """Return the result if no answer to the caller follows this header."""
        verdict = self._codec.classify_answer(attempt.request, head)
        if verdict.notice is not None:
            self._notices.record(
                attempt.upstream, verdict.notice, has_run=verdict.has_run
            )
        if not verdict.has_run:
            # On a kept connection it may be an earlier one, sent once more.
            if conn.exchanges > 1 and not verdict.names_request:
                conn.close('a rejection that names no request')
                return AnswerLost(
                    'a rejection that names no request',
                    is_connection_lost=False,
                )
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
        if not attempt.stream.can_go_on_with(head):
            conn.close('an answer that does not go on with the stream')
            return AnswerLost(
                'status {0} in the middle of a stream'.format(head.status),
                is_connection_lost=False,
            )
        return None

    async def _is_whole(
        self, attempt: Attempt, conn: UpstreamConnection, head: Head
    ) -> bool:
        """Return whether an answer was received to its end.

        One without framing ends with its connection, which the kernel also
        closes in an orderly way for a process that has died. So its upstream
        has to be alive afterwards, and must not have reset the connection.
        """
        if head.is_framed or attempt.request.method == b'HEAD':
            return True
        is_alive = await self._confirm_alive(attempt.upstream)
        return is_alive and not conn.has_failed

    async def _relay_stream(
        self,
        attempt: Attempt,
        conn: UpstreamConnection,
        head: Head,
        sink: StreamSink,
    ) -> AttemptResult:
        relay = StreamRelay(
            attempt.stream,
            sink,
            self._clock,
            RelayOptions(
                attempt.on_first_output,
                attempt.first_output_timeout_s,
                attempt.record_event_gap,
            ),
        )
        await relay.relay(conn, head)
        return await self._end_stream(attempt, conn, head, sink)

    async def _end_stream(
        self,
        attempt: Attempt,
        conn: UpstreamConnection,
        head: Head,
        sink: StreamSink,
    ) -> StreamCompleted | AnswerLost:
        if not await self._is_whole(attempt, conn, head):
            return _UNPROVEN_END
        sink.end_stream()
        return StreamCompleted()


async def _finish_rejection(conn: UpstreamConnection) -> None:
    """Read the rest of a rejection; close the connection if it is long.

    The head has said all that matters to the request.
    """
    try:
        async with asyncio.timeout(REJECTION_TIMEOUT_S):
            await conn.read_body(REJECTION_LIMIT_BYTES)
    except (ExchangeError, TimeoutError):
        conn.close('a rejection without an end')


def _is_stream(attempt: Attempt) -> bool:
    return attempt.route.kind.value == 'stream'
