"""Requests with an `Idempotency-Key`: run at most once, answered again."""

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
from figspread.duties.records import ClaimRecord, digest_call
from figspread.entry.call import (
    CallerRequest,
    Events,
    IsGone,
    Piece,
    Run,
    Started,
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
    """What is needed to run requests at most once."""

    store: ObjectStore
    wall_clock: Callable[[], float]
    claimant: PeerId
    run: Run
    trail: Trail


class IdempotentRunner:
    """Claims a request's key before it runs and keeps its answer after."""

    def __init__(self, needs: IdempotencyContext) -> None:
        """Keep what is needed."""
        self._needs = needs

    def run(
        self,
        req: CallerRequest,
        deadline: Deadline,
        is_gone: IsGone,
    ) -> Events:
        """Yield the answer, run now or before, and last the outcome.

        A request without a key is run as it is.
        """
        if not req.idempotency_key:
            yield from self._needs.run(req, deadline, is_gone)
            return
        outcome = self._claim(req, deadline)
        self._needs.trail.note(
            req.request,
            'claim',
            type(outcome).__name__,
        )
        match outcome:
            case Claimed():
                yield from self._run_claimed(req, outcome, deadline)
            case AlreadyAnswered(record):
                yield from _replay(record)
            case refused:
                yield _refuse(refused)

    def _claim(self, req: CallerRequest, deadline: Deadline) -> ClaimOutcome:
        now = self._needs.wall_clock()
        request = ClaimRequest(
            workspace=req.workspace.workspace,
            key=req.idempotency_key,
            body_digest=digest_call(
                req.method,
                '{0}{1}'.format(req.service, req.path),
                req.body,
            ),
            attempt=new_attempt_id(),
            claimant=self._needs.claimant,
            run_until=now + deadline.left_s(),
        )
        return claim(self._needs.store, request, now=now, deadline=deadline)

    def _run_claimed(
        self,
        req: CallerRequest,
        claimed: Claimed,
        deadline: Deadline,
    ) -> Events:
        """Run to the end even when the caller leaves, for its resend."""
        events = self._needs.run(req, deadline, _is_never_gone)
        kept = _AnswerRecorder()
        try:
            yield from kept.tap(events)
        finally:
            kept.drain(events)
            self._record(req, claimed, kept)

    def _record(
        self,
        req: CallerRequest,
        claimed: Claimed,
        kept: '_AnswerRecorder',
    ) -> None:
        recorded = record_answer(
            self._needs.store,
            claimed,
            kept.make_answer(),
        )
        self._needs.trail.note(req.request, 'recorded', str(recorded))


class _AnswerRecorder:
    """Keeps what passes by, for the record."""

    def __init__(self) -> None:
        self._started = Started(0, {})
        self._pieces: list[bytes] = []
        self._size = 0
        self._outcome: Outcome = Unknown(UnknownReason.CLAIMANT_LOST)

    def tap(self, events: Events) -> Events:
        for event in events:
            self._keep(event)
            yield event

    def drain(self, events: Events) -> None:
        for event in events:
            self._keep(event)

    def make_answer(self) -> ClaimAnswer:
        return ClaimAnswer(
            outcome=self._outcome,
            status=self._started.status,
            headers=self._started.headers,
            answer=b''.join(self._pieces),
        )

    def _keep(self, event: Started | Piece | Outcome) -> None:
        match event:
            case Started():
                self._started = event
            case Piece(chunk):
                self._keep_piece(chunk)
            case outcome:
                self._outcome = outcome

    def _keep_piece(self, chunk: bytes) -> None:
        # Past the limit the answer is not kept, whatever more there is of it.
        if self._size <= ANSWER_LIMIT_BYTES:
            self._pieces.append(chunk)
            self._size += len(chunk)


def _replay(record: ClaimRecord) -> Events:
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
    yield Started(record.status, headers)
    yield Piece(record.answer)
    yield outcome


def _refuse(
    refused: InProgress | KeyReused | ClaimUnclear | ClaimUnavailable,
) -> Outcome:
    match refused:
        case ClaimUnclear(detail):
            return NotRun(NotRunReason.STORE_DOWN, detail=detail)
        case InProgress():
            return Unknown(
                UnknownReason.IN_PROGRESS,
                'a request with this key is running',
                IN_PROGRESS_RETRY_S,
            )
        case KeyReused():
            return NotRun(
                NotRunReason.KEY_REUSED,
                0,
                'the key belongs to a request with another body',
            )
        case ClaimUnavailable(detail, retry_after_s):
            return NotRun(NotRunReason.STORE_DOWN, retry_after_s, detail)


def _is_never_gone() -> bool:
    return False
