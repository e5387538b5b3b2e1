"""HTTP client for a model engine."""

import re
from collections.abc import Sequence
from typing import Any, Final, TypeVar
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from figspread.clock import Clock, Deadline, MonotonicClock
from figspread.documents import MalformedDocument, decode_json
from figspread.ids import AttemptId
from figspread.upstream.transport import (
    HttpAnswer,
    HttpUpstream,
    OutgoingRequest,
    TimeLimits,
)
from figspread.upstream.types import (
    Answer,
    CacheEvent,
    EngineOrder,
    EngineReport,
    KvHolding,
    UpstreamCall,
    UpstreamFault,
    UpstreamFaultKind,
)

_EVENT_STREAM: Final = 'text/event-stream'
# The last event of a complete stream. It must start a line, which text inside
# an event's JSON can't do.
_DONE_EVENT: Final = re.compile(rb'[\r\n]data: ?\[DONE\](\r\n|\n|\r){2}')
# Largest answer to a control call.
_CONTROL_LIMIT_BYTES: Final = 4_194_304
# Bytes of an error answer that are kept as the fault's detail.
_DETAIL_LIMIT_BYTES: Final = 1_024
# Upper bound of an engine's `Retry-After`.
_RETRY_AFTER_LIMIT_S: Final = 3_600
# Statuses by which an engine says that it has not run the request.
_REFUSAL_STATUSES: Final = frozenset(
    (400, 401, 403, 404, 405, 409, 411, 413, 415, 422, 429, 503),
)
_Decoded = TypeVar('_Decoded')


class _Handle(msgspec.Struct, frozen=True):
    handle: str


class HttpEngine:
    """A model engine at a base URL.

    Each call ends within `limits`. A stream of events is complete only if it
    ends with the `[DONE]` event.
    """

    def __init__(
        self,
        base_url: str,
        limits: TimeLimits | None = None,
        *,
        clock: Clock | None = None,
    ) -> None:
        """Create a client for the engine at `base_url`."""
        self._clock = clock or MonotonicClock()
        self._limits = limits or TimeLimits()
        self._upstream = HttpUpstream(base_url, self._limits)

    def submit(self, call: UpstreamCall) -> Result[Answer, UpstreamFault]:
        """Send a request; the answer streams server-sent events."""
        outgoing = OutgoingRequest(
            call.method, call.path, call.body, _build_headers(call)
        )
        response = self._upstream.send(
            outgoing,
            head_s=self._limits.head_s,
            progress_s=self._limits.progress_s,
        )
        if isinstance(response, Ok) and _is_event_stream(response.ok_value):
            response.ok_value.require_end(_DONE_EVENT)
        return response.and_then(_check_status)

    def cancel(self, attempt: AttemptId) -> Result[None, UpstreamFault]:
        """Stop a request and free its memory; succeeds if it is unknown."""
        return self._delete_if_exists('/engine/requests/{0}', attempt)

    def list_holdings(self) -> Result[Sequence[KvHolding], UpstreamFault]:
        """List the requests and KV handles that hold memory on the engine."""
        return self._request_json(
            'GET', '/engine/holdings', tuple[KvHolding, ...]
        )

    def report(self) -> Result[EngineReport, UpstreamFault]:
        """Return the engine's report of its load."""
        return self._request_json('GET', '/engine/report', EngineReport)

    def export_kv(self, attempt: AttemptId) -> Result[str, UpstreamFault]:
        """Export the KV cache of a finished prefill; return its handle."""
        exported = self._request_json(
            'POST',
            '/engine/kv/export',
            _Handle,
            {'attempt': attempt},
        )
        return exported.map(lambda answer: answer.handle)

    def import_kv(
        self,
        handle: str,
        source: str,
    ) -> Result[None, UpstreamFault]:
        """Import the KV cache `handle` from the engine at URL `source`."""
        imported = self._request_json(
            'POST',
            '/engine/kv/import',
            _Handle,
            {'handle': handle, 'source': source},
        )
        return imported.map(lambda _: None)

    def free_kv(self, handle: str) -> Result[None, UpstreamFault]:
        """Free an exported or imported KV cache; succeeds if it is unknown."""
        return self._delete_if_exists('/engine/kv/{0}', handle)

    def list_cache_events(
        self,
        after: int,
    ) -> Result[Sequence[CacheEvent], UpstreamFault]:
        """Return the cache events after number `after`."""
        path = '/engine/cache-events?after={0}'.format(after)
        return self._request_json('GET', path, tuple[CacheEvent, ...])

    def send_order(self, order: EngineOrder) -> Result[None, UpstreamFault]:
        """Send a control order.

        One with an old fencing number may be refused.
        """
        reply = self._request_json(
            'POST', '/engine/orders', dict[str, Any], order
        )
        return reply.map(lambda _: None)

    def _delete_if_exists(
        self, path: str, name: str
    ) -> Result[None, UpstreamFault]:
        reply = self._request_control_body(
            'DELETE', path.format(quote(name, safe=''))
        )
        if isinstance(reply, Err) and reply.err_value.status == 404:
            return Ok(None)
        return reply.map(lambda _: None)

    def _request_json(
        self,
        method: str,
        path: str,
        content_type: type[_Decoded],
        body: object = None,
    ) -> Result[_Decoded, UpstreamFault]:
        content = b'' if body is None else msgspec.json.encode(body)
        reply = self._request_control_body(method, path, content)
        if isinstance(reply, Err):
            return reply
        try:
            return Ok(decode_json(reply.ok_value, content_type))
        except MalformedDocument as exc:
            return Err(UpstreamFault(UpstreamFaultKind.ERROR, str(exc)))

    def _request_control_body(
        self,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> Result[bytes, UpstreamFault]:
        headers = {'Content-Type': 'application/json'} if body else {}
        response = self._upstream.send(
            OutgoingRequest(method, path, body, headers),
            head_s=self._limits.control_s,
            progress_s=self._limits.control_s,
        ).and_then(_check_status)
        if isinstance(response, Err):
            return response
        deadline = Deadline(self._clock, self._limits.control_s)
        return _read_control_body(response.ok_value, deadline)


def _build_headers(call: UpstreamCall) -> dict[str, str]:
    return {
        'Content-Type': 'application/json',
        **call.headers,
        'X-Request-Id': call.attempt,
        'X-Priority': str(call.priority),
        'X-Resume-From': str(call.resume_from),
    }


def _is_event_stream(answer: HttpAnswer) -> bool:
    return answer.headers.get('Content-Type', '').startswith(_EVENT_STREAM)


def _check_status(answer: HttpAnswer) -> Result[Answer, UpstreamFault]:
    if answer.status < 300:
        return Ok(answer)
    is_refused = answer.status in _REFUSAL_STATUSES
    kind = UpstreamFaultKind.REFUSED if is_refused else UpstreamFaultKind.ERROR
    return Err(
        UpstreamFault(
            kind,
            _read_detail(answer),
            status=answer.status,
            retry_after_s=_read_retry_after(answer),
        ),
    )


def _read_detail(answer: HttpAnswer) -> str:
    first_chunk = next(iter(answer), b'')
    answer.close()
    return first_chunk[:_DETAIL_LIMIT_BYTES].decode('utf-8', 'replace')


def _read_retry_after(answer: HttpAnswer) -> float:
    try:
        delay_s = float(answer.headers.get('Retry-After', '0'))
    except ValueError:
        return 0
    return min(max(0, delay_s), _RETRY_AFTER_LIMIT_S)


def _read_control_body(
    answer: Answer,
    deadline: Deadline,
) -> Result[bytes, UpstreamFault]:
    chunks = []
    size = 0
    for chunk in answer:
        chunks.append(chunk)
        size += len(chunk)
        if size > _CONTROL_LIMIT_BYTES or deadline.is_past():
            answer.close()
            detail = 'the answer is too large or too slow'
            return Err(UpstreamFault(UpstreamFaultKind.ERROR, detail))
    if answer.fault:
        return Err(answer.fault)
    return Ok(b''.join(chunks))
