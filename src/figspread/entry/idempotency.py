"""Runs requests with an `Idempotency-Key` at most once.

A repeated request gets the stored response of the first one.
"""

from collections.abc import Callable, Mapping
from typing import Final

import msgspec

from figspread.clock import Deadline
from figspread.duties.claims import (
    ANSWER_LIMIT_BYTES,
    AlreadyAnswered,
    ClaimAnswer,
    Claimed,
    ClaimOutcome,
    ClaimRequest,
    ClaimUnavailable,
    ClaimUnclear,
    InProgress,
    KeyReused,
    claim,
    record_answer,
)
from figspread.duties.records import ClaimRecord, digest_request
from figspread.entry.caller_request import (
    CallerRequest,
    IsCallerGone,
    RequestRunner,
    ResponseEvents,
    ResponsePiece,
    ResponseStarted,
)
from figspread.ids import PeerId, new_attempt_id
from figspread.outcome import (
    Answered,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from figspread.platform.types import ObjectStore
from figspread.telemetry.trail import Trail

IN_PROGRESS_RETRY_S: Final = 1.0
REPLAYED_HEADER: Final = 'Idempotent-Replayed'


class IdempotencyContext(msgspec.Struct, frozen=True):
    """Dependencies of `IdempotentRunner`; `run` is the next handler.

    `wall_clock` returns seconds since the Unix epoch. `claimant` identifies
    this entry in the claims that it writes to the store.
    """

    store: ObjectStore
    wall_clock: Callable[[], float]
    claimant: PeerId
    run: RequestRunner
    trail: Trail


class IdempotentRunner:
    """Claims a request's key before running it, and stores its response."""

    def __init__(self, context: IdempotencyContext) -> None:
        """Store the context."""
        self._context = context

    def run(
        self,
        req: CallerRequest,
        deadline: Deadline,
        is_gone: IsCallerGone,
    ) -> ResponseEvents:
        """Yield the new or the stored response, and the outcome last.

        A request without a key goes straight to the next handler.
        """
        if not req.idempotency_key:
            yield from self._context.run(req, deadline, is_gone)
            return
        outcome = self._claim(req, deadline)
        self._context.trail.add_hop(
            req.request,
            'claim',
            type(outcome).__name__,
        )
        match outcome:
            case Claimed():
                yield from self._run_claimed(req, outcome, deadline)
            case AlreadyAnswered(record):
                yield from _replay_answer(record)
            case refusal:
                yield _make_refusal(refusal)

    def _claim(self, req: CallerRequest, deadline: Deadline) -> ClaimOutcome:
        now = self._context.wall_clock()
        request = ClaimRequest(
            workspace=req.workspace.workspace,
            key=req.idempotency_key,
            body_digest=digest_request(
                req.method,
                '{0}{1}'.format(req.service, req.path),
                req.body,
            ),
            attempt=new_attempt_id(),
            claimant=self._context.claimant,
            run_until=now + deadline.left_s(),
        )
        return claim(self._context.store, request, now=now, deadline=deadline)

    def _run_claimed(
        self,
        req: CallerRequest,
        claimed: Claimed,
        deadline: Deadline,
    ) -> ResponseEvents:
        """Run to the end even if the caller disconnects.

        The response is stored for a caller that resends the request.
        """
        events = self._context.run(req, deadline, _ignore_disconnect)
        recorder = _AnswerRecorder()
        try:
            yield from recorder.record_events(events)
        finally:
            recorder.record_rest(events)
            self._store_answer(req, claimed, recorder)

    def _store_answer(
        self,
        req: CallerRequest,
        claimed: Claimed,
        recorder: '_AnswerRecorder',
    ) -> None:
        write_result = record_answer(
            self._context.store,
            claimed,
            recorder.build_answer(),
        )
        self._context.trail.add_hop(req.request, 'recorded', str(write_result))


class _AnswerRecorder:
    """Collects the events of a running request for its claim record.

    The outcome is `CLAIMANT_LOST` until the request has ended.
    """

    def __init__(self) -> None:
        self._started = ResponseStarted(0, {})
        self._chunks: list[bytes] = []
        self._recorded_bytes = 0
        self._outcome: Outcome = Unknown(UnknownReason.CLAIMANT_LOST)

    def record_events(self, events: ResponseEvents) -> ResponseEvents:
        for event in events:
            self._record_event(event)
            yield event

    def record_rest(self, events: ResponseEvents) -> None:
        for event in events:
            self._record_event(event)

    def build_answer(self) -> ClaimAnswer:
        return ClaimAnswer(
            outcome=self._outcome,
            status=self._started.status,
            headers=self._started.headers,
            answer=b''.join(self._chunks),
        )

    def _record_event(
        self, event: ResponseStarted | ResponsePiece | Outcome
    ) -> None:
        match event:
            case ResponseStarted():
                self._started = event
            case ResponsePiece(chunk):
                self._record_chunk(chunk)
            case outcome:
                self._outcome = outcome

    def _record_chunk(self, chunk: bytes) -> None:
        # A response above the limit isn't stored, so the rest can be dropped.
        if self._recorded_bytes <= ANSWER_LIMIT_BYTES:
            self._chunks.append(chunk)
            self._recorded_bytes += len(chunk)


def _replay_answer(record: ClaimRecord) -> ResponseEvents:
    outcome = record.outcome or Unknown(UnknownReason.CLAIMANT_LOST)
    if not isinstance(outcome, Answered):
        yield outcome
        return
    if not record.has_answer:
        yield Failed(
            FailedReason.ANSWER_NOT_KEPT,
            'it ran to its end; the answer was too large to be kept',
        )
        return
    headers: Mapping[str, str] = {**record.headers, REPLAYED_HEADER: 'true'}
    yield ResponseStarted(record.status, headers)
    yield ResponsePiece(record.answer)
    yield outcome


def _make_refusal(
    refusal: InProgress | KeyReused | ClaimUnclear | ClaimUnavailable,
) -> Outcome:
    match refusal:
        case ClaimUnclear(detail):
            return NotRun(NotRunReason.STORE_DOWN, detail=detail)
        case InProgress():
            return Unknown(
                UnknownReason.IN_PROGRESS,
                'a request with this key is running',
                IN_PROGRESS_RETRY_S,
            )
        case KeyReused():
            # The method, service or path may differ instead of the body.
            return NotRun(
                NotRunReason.KEY_REUSED,
                0,
                'the key belongs to a request with another body',
            )
        case ClaimUnavailable(detail, retry_after_s):
            return NotRun(NotRunReason.STORE_DOWN, retry_after_s, detail)


def _ignore_disconnect() -> bool:
    return False
