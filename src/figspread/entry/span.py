"""Runs prompts that are larger than any one engine over several engines."""

import random
import threading
from collections.abc import Generator, Sequence
from typing import Any, Final

import msgspec

from figspread.clock import Clock, Deadline
from figspread.config.holder import FleetHolder
from figspread.entry.caller_request import (
    CallerRequest,
    IsCallerGone,
    RequestRunner,
    ResponseEvents,
    ResponsePiece,
    ResponseStarted,
)
from figspread.entry.completion import CompletionApi, parse_stream_events
from figspread.entry.links import Links
from figspread.entry.relay import Relay
from figspread.entry.retry_state import RetryState
from figspread.entry.span_plan import SpanPart, exceeds_every_engine, plan_span
from figspread.entry.submission import build_submit
from figspread.ids import (
    AttemptId,
    DataCentreId,
    SpanId,
    new_attempt_id,
    new_span_id,
)
from figspread.inner.messages import Release, Reserve, Reserved, Submit
from figspread.outcome import (
    Answered,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
)
from figspread.telemetry.trail import Trail

# Bounds the wait for one agent's reply to a reservation.
RESERVE_TIMEOUT_S: Final = 2.0
# Lifetime of a reservation; it is renewed before each segment is sent.
RESERVATION_TTL_S: Final = 30.0
# Delays between tries to reserve double between these bounds, with jitter.
MIN_RESERVE_DELAY_S: Final = 0.05
MAX_RESERVE_DELAY_S: Final = 1.0
# How often the segments of a prompt are run from the first to the last at most;
# each round reserves memory anew.
MAX_SPAN_ROUNDS: Final = 2
MS_PER_S: Final = 1000


class SpanContext(msgspec.Struct, frozen=True):
    """Dependencies of `SpanRunner`, supplied by the entry that owns it.

    `home` is the entry's data centre; `run` serves the requests that fit on
    one engine.
    """

    home: DataCentreId
    clock: Clock
    rng: random.Random
    holder: FleetHolder
    links: Links
    trail: Trail
    run: RequestRunner


class _KvSource(msgspec.Struct, frozen=True):
    """KV cache exported by an engine: its handle and the engine's URL."""

    handle: str
    source: str


class SpanRunner:
    """Serves prompts of any size that the engines of a data centre can hold.

    A prompt that no single engine can hold is split into segments. Each
    engine prefills its segment with the KV cache of the segments before it;
    the last engine also decodes the answer.
    """

    def __init__(self, context: SpanContext) -> None:
        """Store the dependencies; nothing is started."""
        self._context = context
        self._pause = threading.Event()

    def run(
        self,
        req: CallerRequest,
        deadline: Deadline,
        is_caller_gone: IsCallerGone,
    ) -> ResponseEvents:
        """Yield the answer as it arrives, followed by the outcome.

        Requests that fit on one engine are passed on unchanged.
        """
        kv_tokens = req.work.prompt_tokens + req.work.output_tokens
        engines = [
            engine
            for engine in self._context.holder.fleet.engines_for_model(
                req.work.model
            )
            if self._context.links.find_link(engine.upstream)
        ]
        if req.completion is None or not exceeds_every_engine(
            engines, kv_tokens
        ):
            yield from self._context.run(req, deadline, is_caller_gone)
            return
        if (
            req.completion.shape is not CompletionApi.TEXT
            or req.completion.prompt_tokens
        ):
            yield NotRun(NotRunReason.TOO_LARGE, 0, _ONLY_TEXT)
            return
        parts = plan_span(
            engines,
            req.completion.prompt,
            req.work.output_tokens,
            home=self._context.home,
        )
        if not parts:
            yield NotRun(NotRunReason.TOO_LARGE, 0, _NO_DATA_CENTRE)
            return
        yield (yield from self._run_span(req, parts, deadline, is_caller_gone))

    def _run_span(
        self,
        req: CallerRequest,
        parts: Sequence[SpanPart],
        deadline: Deadline,
        is_caller_gone: IsCallerGone,
    ) -> Generator[ResponseStarted | ResponsePiece | Outcome, None, Outcome]:
        retry_state = RetryState(req)
        relay = Relay(
            req=req,
            retry_state=retry_state,
            deadline=deadline,
            is_caller_gone=is_caller_gone,
            grant_credit=_ignore_credit,
        )
        outcome: Outcome = _NO_MEMORY
        for _ in range(MAX_SPAN_ROUNDS):
            span = new_span_id()
            try:
                refusal = self._reserve_all_parts(span, parts, relay)
                if refusal is not None:
                    return retry_state.resolve_outcome(refusal)
                outcome = yield from self._run_all_parts(span, parts, relay)
            finally:
                self._release_parts(span, parts)
            retry_state.record_outcome(outcome)
            if (
                isinstance(outcome, Answered)
                or retry_state.has_response_started
            ):
                return outcome
        return retry_state.resolve_outcome(outcome)

    def _reserve_all_parts(
        self,
        span: SpanId,
        parts: Sequence[SpanPart],
        relay: Relay,
    ) -> Outcome | None:
        """Reserve KV memory for all parts, retrying until the deadline.

        Returns `None` when all parts are reserved, or the outcome that ends
        the request. The caller releases partial reservations.
        """
        wait_s = MIN_RESERVE_DELAY_S
        while not self._try_reserve(span, parts):
            if relay.is_caller_gone():
                return Failed(FailedReason.CANCELLED, 'the caller has left')
            if relay.deadline.left_s() <= wait_s:
                return _NO_MEMORY
            self._pause.wait(wait_s * (1 + self._context.rng.random()) / 2)
            wait_s = min(wait_s * 2, MAX_RESERVE_DELAY_S)
        self._context.trail.add_hop(relay.req.request, 'span reserved', span)
        return None

    def _try_reserve(self, span: SpanId, parts: Sequence[SpanPart]) -> bool:
        """Reserve the parts in order until an agent refuses or is silent.

        Granted parts stay reserved and the next try renews them. All spans
        reserve in the same order, so they can't deadlock, and an agent that
        refuses remembers which span waits.
        """
        return all(self._reserve_part(span, part) for part in parts)

    def _reserve_part(self, span: SpanId, part: SpanPart) -> bool:
        reply = self._context.links.query_agent(
            part.upstream,
            Reserve(span, part.kv_tokens, int(RESERVATION_TTL_S * MS_PER_S)),
            RESERVE_TIMEOUT_S,
        )
        if reply is None:
            # A grant that arrives after the timeout must not hold the memory.
            self._context.links.send_message(part.upstream, Release(span))
        return isinstance(reply, Reserved) and reply.granted

    def _release_parts(self, span: SpanId, parts: Sequence[SpanPart]) -> None:
        for part in parts:
            self._context.links.send_message(part.upstream, Release(span))

    def _run_all_parts(
        self,
        span: SpanId,
        parts: Sequence[SpanPart],
        relay: Relay,
    ) -> Generator[ResponseStarted | ResponsePiece, None, Outcome]:
        kv_sources: tuple[_KvSource, ...] = ()
        for part in parts[:-1]:
            self._renew_reservations(span, parts)
            body = _build_body(
                relay.req, part, kv_sources, is_prefill_only=True
            )
            prefilled = self._run_prefill(span, part, body, relay)
            if not isinstance(prefilled, _KvSource):
                return prefilled
            kv_sources = (*kv_sources, prefilled)
        self._renew_reservations(span, parts)
        last = parts[-1]
        body = _build_body(relay.req, last, kv_sources, is_prefill_only=False)
        return (yield from self._run_part(span, last, body, relay))

    def _run_prefill(
        self,
        span: SpanId,
        part: SpanPart,
        body: bytes,
        relay: Relay,
    ) -> _KvSource | Outcome:
        prefill_relay = msgspec.structs.replace(
            relay, retry_state=RetryState(relay.req)
        )
        events = self._run_part(span, part, body, prefill_relay)
        pieces = bytearray()
        while True:
            try:
                event = next(events)
            except StopIteration as stop:
                outcome: Outcome = stop.value
                break
            if isinstance(event, ResponsePiece):
                pieces += event.data
        if not isinstance(outcome, Answered):
            return outcome
        return _parse_kv_handle(bytes(pieces), part)

    def _run_part(
        self,
        span: SpanId,
        part: SpanPart,
        body: bytes,
        relay: Relay,
    ) -> Generator[ResponseStarted | ResponsePiece, None, Outcome]:
        attempt = new_attempt_id()
        links = self._context.links
        submit = _build_part_submit(attempt, span, part, body, relay)
        self._context.trail.add_hop(
            relay.req.request,
            'segment sent',
            '{0} to {1}'.format(attempt, part.upstream),
        )
        exchange = links.submit(part.upstream, submit)
        try:
            outcome = yield from msgspec.structs.replace(
                relay,
                grant_credit=lambda size: links.grant_credit(
                    part.upstream,
                    attempt,
                    size,
                ),
            ).run(exchange)
        finally:
            links.cancel(part.upstream, attempt)
        return outcome

    def _renew_reservations(
        self, span: SpanId, parts: Sequence[SpanPart]
    ) -> None:
        """Extend the reservations by `RESERVATION_TTL_S` from now."""
        for part in parts:
            self._context.links.send_message(
                part.upstream,
                Reserve(
                    span, part.kv_tokens, int(RESERVATION_TTL_S * MS_PER_S)
                ),
            )


_ONLY_TEXT: Final = (
    'a prompt larger than one engine is served as a text at /v1/completions'
)
_NO_DATA_CENTRE: Final = 'no data centre has memory for the prompt'
_NO_MEMORY: Final = NotRun(
    NotRunReason.OVERLOAD,
    MAX_RESERVE_DELAY_S,
    'no data centre has memory for the prompt now',
)


def _build_body(
    req: CallerRequest,
    part: SpanPart,
    kv_sources: Sequence[_KvSource],
    *,
    is_prefill_only: bool,
) -> bytes:
    fields: dict[str, Any] = msgspec.json.decode(
        req.body,
        type=dict[str, msgspec.Raw],
    )
    fields['prompt'] = part.text
    fields['kv_context'] = kv_sources
    fields['prefill_only'] = is_prefill_only
    return msgspec.json.encode(fields)


def _build_part_submit(
    attempt: AttemptId,
    span: SpanId,
    part: SpanPart,
    body: bytes,
    relay: Relay,
) -> Submit:
    whole = build_submit(attempt, relay)
    # The KV memory is already reserved; these counts only tell the agent's
    # queue how much work the part is.
    return msgspec.structs.replace(
        whole,
        span=span,
        prompt_tokens=part.kv_tokens,
        output_tokens=0,
        body=body,
        body_size=len(body),
    )


def _parse_kv_handle(stream: bytes, part: SpanPart) -> _KvSource | Outcome:
    for event in parse_stream_events(stream):
        handle = event.get('kv_handle')
        if isinstance(handle, str):
            return _KvSource(handle, part.url)
    return Failed(FailedReason.BROKEN_STREAM, 'the engine gave no KV handle')


def _ignore_credit(_size: int) -> None:
    """Do nothing: credit is only granted for a submitted attempt."""
