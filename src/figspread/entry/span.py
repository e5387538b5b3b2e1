"""Runs a prompt that is larger than any one engine over several of them."""

import random
import threading
from collections.abc import Generator, Sequence
from typing import Any, Final

import msgspec

from figspread.clock import Clock, Deadline
from figspread.config.holder import FleetHolder
from figspread.entry.call import (
    CallerRequest,
    Events,
    IsGone,
    Piece,
    Run,
    Started,
)
from figspread.entry.completion import Shape, read_events
from figspread.entry.links import Links
from figspread.entry.relay import Relay
from figspread.entry.retry_state import RetryState
from figspread.entry.spanplan import SpanPart, is_too_large, plan_span
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

RESERVE_TIMEOUT_S: Final = 2.0
RESERVATION_S: Final = 30.0
WAIT_FIRST_S: Final = 0.05
WAIT_MOST_S: Final = 1.0
MOST_TRIES: Final = 2
MS_PER_S: Final = 1000


class SpanNeeds(msgspec.Struct, frozen=True):
    """What spans are given by the entry that owns them.

    `run` serves the requests that one engine can hold.
    """

    home: DataCentreId
    clock: Clock
    rng: random.Random
    holder: FleetHolder
    links: Links
    trail: Trail
    run: Run


class _KvSource(msgspec.Struct, frozen=True):
    handle: str
    source: str


class Spans:
    """Serves prompts of any size that some data centre can hold."""

    def __init__(self, needs: SpanNeeds) -> None:
        """Keep what is needed."""
        self._needs = needs
        self._pause = threading.Event()

    def run(
        self,
        req: CallerRequest,
        deadline: Deadline,
        is_caller_gone: IsGone,
    ) -> Events:
        """Yield the answer as it comes, and last of all the outcome."""
        kv_tokens = req.work.prompt_tokens + req.work.output_tokens
        engines = [
            engine
            for engine in self._needs.holder.fleet.engines_for(req.work.model)
            if self._needs.links.get(engine.upstream)
        ]
        if req.completion is None or not is_too_large(engines, kv_tokens):
            yield from self._needs.run(req, deadline, is_caller_gone)
            return
        if (
            req.completion.shape is not Shape.TEXT
            or req.completion.prompt_tokens
        ):
            yield NotRun(NotRunReason.TOO_LARGE, 0, _ONLY_TEXT)
            return
        parts = plan_span(
            engines,
            req.completion.prompt,
            req.work.output_tokens,
            home=self._needs.home,
        )
        if not parts:
            yield NotRun(NotRunReason.TOO_LARGE, 0, _NO_DATA_CENTRE)
            return
        yield (yield from self._run_parts(req, parts, deadline, is_caller_gone))

    def _run_parts(
        self,
        req: CallerRequest,
        parts: Sequence[SpanPart],
        deadline: Deadline,
        is_caller_gone: IsGone,
    ) -> Generator[Started | Piece | Outcome, None, Outcome]:
        retry_state = RetryState(req)
        relay = Relay(
            req=req,
            retry_state=retry_state,
            deadline=deadline,
            is_caller_gone=is_caller_gone,
            grant_credit=_ignore_credit,
        )
        outcome: Outcome = _NO_MEMORY
        for _ in range(MOST_TRIES):
            span = new_span_id()
            try:
                refusal = self._reserve(span, parts, relay)
                if refusal is not None:
                    return retry_state.resolve_outcome(refusal)
                outcome = yield from self._run_chain(span, parts, relay)
            finally:
                self._release(span, parts)
            retry_state.record_outcome(outcome)
            if (
                isinstance(outcome, Answered)
                or retry_state.has_response_started
            ):
                return outcome
        return retry_state.resolve_outcome(outcome)

    def _reserve(
        self,
        span: SpanId,
        parts: Sequence[SpanPart],
        relay: Relay,
    ) -> Outcome | None:
        """Reserve all parts or none; wait for room until the deadline."""
        wait_s = WAIT_FIRST_S
        while not self._try_reserve(span, parts):
            if relay.is_caller_gone():
                return Failed(FailedReason.CANCELLED, 'the caller has left')
            if relay.deadline.left_s() <= wait_s:
                return _NO_MEMORY
            self._pause.wait(wait_s * (1 + self._needs.rng.random()) / 2)
            wait_s = min(wait_s * 2, WAIT_MOST_S)
        self._needs.trail.note(relay.req.request, 'span reserved', span)
        return None

    def _try_reserve(self, span: SpanId, parts: Sequence[SpanPart]) -> bool:
        """Reserve part by part and keep what was got, which is asked anew.

        All spans ask in the same order, so none waits for another in a ring;
        an agent that refuses remembers who waits.
        """
        return all(self._reserve_part(span, part) for part in parts)

    def _reserve_part(self, span: SpanId, part: SpanPart) -> bool:
        reply = self._needs.links.query_agent(
            part.upstream,
            Reserve(span, part.kv_tokens, int(RESERVATION_S * MS_PER_S)),
            RESERVE_TIMEOUT_S,
        )
        if reply is None:
            # A grant that comes too late must not hold the memory.
            self._needs.links.post(part.upstream, Release(span))
        return isinstance(reply, Reserved) and reply.granted

    def _release(self, span: SpanId, parts: Sequence[SpanPart]) -> None:
        for part in parts:
            self._needs.links.post(part.upstream, Release(span))

    def _run_chain(
        self,
        span: SpanId,
        parts: Sequence[SpanPart],
        relay: Relay,
    ) -> Generator[Started | Piece, None, Outcome]:
        chain: tuple[_KvSource, ...] = ()
        for part in parts[:-1]:
            self._renew(span, parts)
            body = _make_body(relay.req, part, chain, is_prefill_only=True)
            prefilled = self._prefill(span, part, body, relay)
            if not isinstance(prefilled, _KvSource):
                return prefilled
            chain = (*chain, prefilled)
        self._renew(span, parts)
        last = parts[-1]
        body = _make_body(relay.req, last, chain, is_prefill_only=False)
        return (yield from self._attempt(span, last, body, relay))

    def _prefill(
        self,
        span: SpanId,
        part: SpanPart,
        body: bytes,
        relay: Relay,
    ) -> _KvSource | Outcome:
        quiet = msgspec.structs.replace(
            relay, retry_state=RetryState(relay.req)
        )
        events = self._attempt(span, part, body, quiet)
        pieces = bytearray()
        while True:
            try:
                event = next(events)
            except StopIteration as stop:
                outcome: Outcome = stop.value
                break
            if isinstance(event, Piece):
                pieces += event.data
        if not isinstance(outcome, Answered):
            return outcome
        return _read_handle(bytes(pieces), part)

    def _attempt(
        self,
        span: SpanId,
        part: SpanPart,
        body: bytes,
        relay: Relay,
    ) -> Generator[Started | Piece, None, Outcome]:
        attempt = new_attempt_id()
        links = self._needs.links
        submit = _make_part_submit(attempt, span, part, body, relay)
        self._needs.trail.note(
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

    def _renew(self, span: SpanId, parts: Sequence[SpanPart]) -> None:
        """Put off the expiry of the reservations by another while."""
        for part in parts:
            self._needs.links.post(
                part.upstream,
                Reserve(span, part.kv_tokens, int(RESERVATION_S * MS_PER_S)),
            )


_ONLY_TEXT: Final = (
    'a prompt larger than one engine is served as a text at /v1/completions'
)
_NO_DATA_CENTRE: Final = 'no data centre has memory for the prompt'
_NO_MEMORY: Final = NotRun(
    NotRunReason.OVERLOAD,
    WAIT_MOST_S,
    'no data centre has memory for the prompt now',
)


def _make_body(
    req: CallerRequest,
    part: SpanPart,
    chain: Sequence[_KvSource],
    *,
    is_prefill_only: bool,
) -> bytes:
    fields: dict[str, Any] = msgspec.json.decode(
        req.body,
        type=dict[str, msgspec.Raw],
    )
    fields['prompt'] = part.text
    fields['kv_context'] = chain
    fields['prefill_only'] = is_prefill_only
    return msgspec.json.encode(fields)


def _make_part_submit(
    attempt: AttemptId,
    span: SpanId,
    part: SpanPart,
    body: bytes,
    relay: Relay,
) -> Submit:
    whole = build_submit(attempt, relay)
    # The memory is reserved already: the queue counts the work only.
    return msgspec.structs.replace(
        whole,
        span=span,
        prompt_tokens=part.kv_tokens,
        output_tokens=0,
        body=body,
        body_size=len(body),
    )


def _read_handle(stream: bytes, part: SpanPart) -> _KvSource | Outcome:
    for event in read_events(stream):
        handle = event.get('kv_handle')
        if isinstance(handle, str):
            return _KvSource(handle, part.url)
    return Failed(FailedReason.BROKEN_STREAM, 'the engine gave no KV handle')


def _ignore_credit(_size: int) -> None:
    """Stand for an attempt that has not been sent."""
