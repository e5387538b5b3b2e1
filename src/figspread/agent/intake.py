"""Admission of attempts: each is refused, answered from a record or run."""

from collections.abc import Callable, Coroutine
from typing import Any, Final

import msgspec

from figspread.agent.attempt import Attempt, AttemptContext
from figspread.agent.isolation import SuspectIsolation
from figspread.agent.ledger import Record
from figspread.agent.outcomes import StopCause
from figspread.agent.registry import AttemptRegistry
from figspread.agent.relay import Outbox
from figspread.agent.spans import SpanReservations
from figspread.ids import AttemptId
from figspread.inner.base import Message
from figspread.inner.messages import (
    BodyPiece,
    Fault,
    FaultCode,
    Finished,
    Settle,
    Settled,
    Submit,
    UpstreamKind,
)
from figspread.outcome import NotRun, NotRunReason, Unknown, UnknownReason

# Bounds the body of one attempt.
BODY_LIMIT_BYTES: Final = 16_777_216
# Bounds the bodies of all open attempts together.
TOTAL_BODIES_LIMIT_BYTES: Final = 268_435_456

_CANCELLED: Final = NotRun(NotRunReason.CANCELLED, 0)
_DEADLINE_PASSED: Final = NotRun(NotRunReason.DEADLINE, 0)
LEAVING: Final = NotRun(NotRunReason.LEAVING, 0)
_UPSTREAM_DOWN: Final = NotRun(NotRunReason.NO_UPSTREAM)
_WRONG_KIND: Final = NotRun(NotRunReason.BAD_REQUEST, 0, 'wrong kind')
_TOO_LARGE: Final = NotRun(NotRunReason.TOO_LARGE, 0, 'the body is too large')
_INVALID_SIZE: Final = NotRun(NotRunReason.BAD_REQUEST, 0, 'wrong size of body')
_TOO_MANY_BODIES: Final = NotRun(
    NotRunReason.OVERLOAD, detail='too many bodies'
)
_AGENT_RESTARTED: Final = Unknown(
    UnknownReason.CONNECTION_LOST,
    'the agent was restarted',
)
_SPAN_NOT_RESERVED: Final = NotRun(
    NotRunReason.NOT_READY, detail='nothing is reserved'
)


class AdmissionState(msgspec.Struct):
    """Whether the agent admits new attempts.

    The app sets `is_leaving` when it drains; the supervisor sets `is_down`
    while the engine can't be reached. `submitted_s` is the time of the last
    submission on the agent's clock, also of a refused one.
    """

    is_leaving: bool = False
    is_down: bool = False
    submitted_s: float = 0


class Intake:
    """Admits attempts and runs each in its own task.

    Not thread-safe: all methods run on the agent's event loop.
    """

    def __init__(
        self,
        kind: UpstreamKind,
        context: AttemptContext,
        *,
        boot_id: str,
        registry: AttemptRegistry,
        spans: SpanReservations,
        isolation: SuspectIsolation,
        admission: AdmissionState,
        start_task: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        """Admit attempts of `kind`; `start_task` runs a coroutine as a task."""
        self._kind = kind
        self._boot_id = boot_id
        self._context = context
        self._registry = registry
        self._spans = spans
        self._isolation = isolation
        self._admission = admission
        self._start_task = start_task

    def submit(self, submit: Submit, outbox: Outbox) -> Message | None:
        """Start the attempt and return `None`, or return the immediate reply."""
        self._admission.submitted_s = self._context.clock.now()
        refusal = self._find_refusal(submit)
        ledger = self._context.ledger
        if refusal is not None:
            return self._build_reply(
                submit, ledger.refuse(submit.attempt, refusal)
            )
        existing = ledger.open(submit.attempt)
        if existing is not None:
            return self._build_reply(submit, existing)
        attempt = Attempt(submit, outbox, self._context)
        refusal = attempt.enqueue()
        if refusal is not None:
            record = Record(refusal)
            ledger.close(submit.attempt, record)
            return self._build_reply(submit, record)
        self._isolation.record_start(submit)
        self._registry.add(attempt)
        self._spans.add_attempt(submit.span, submit.attempt)
        self._start_task(self._run_attempt(attempt))
        return None

    def cancel(self, attempt_id: AttemptId) -> None:
        """Cancel an attempt.

        One that hasn't arrived yet is recorded as refused, so that its late
        submission doesn't run.
        """
        attempt = self._registry.get(attempt_id)
        if attempt is None:
            self._context.ledger.refuse(attempt_id, _CANCELLED)
        else:
            attempt.detach_caller(StopCause.CANCELLED)

    def add_body_piece(self, piece: BodyPiece) -> None:
        """Add a piece of a request body to its attempt, if that is open."""
        attempt = self._registry.get(piece.attempt)
        if attempt is not None:
            attempt.add_body_piece(piece)

    def add_credit(self, attempt_id: AttemptId, size: int) -> None:
        """Add `size` bytes of send credit to the attempt, if it is open."""
        attempt = self._registry.get(attempt_id)
        if attempt is not None:
            attempt.add_credit(size)

    def handle_disconnect(self, outbox: Outbox) -> None:
        """Abandon the attempts whose connection, `outbox`, was lost."""
        for attempt in self._registry:
            if attempt.outbox is outbox:
                attempt.detach_caller(StopCause.CONNECTION_LOST)

    def settle(self, request: Settle) -> Settled:
        """Return the outcome of an attempt that an entry asks about.

        An attempt that was sent to an earlier agent process may have run, and
        this process has no record of it: its outcome is `Unknown`.
        """
        outcome = self._context.ledger.settle(request.attempt)
        if isinstance(outcome, NotRun) and request.boot != self._boot_id:
            outcome = _AGENT_RESTARTED
        return Settled(request.attempt, outcome)

    def _build_reply(self, submit: Submit, record: Record) -> Message:
        if record.outcome is None:
            return Fault(FaultCode.UNEXPECTED, 'the attempt is open already')
        self._context.telemetry.record_immediate_reply(submit, record.outcome)
        return Finished(
            submit.attempt,
            record.outcome,
            record.chunks,
            record.tokens,
        )

    async def _run_attempt(self, attempt: Attempt) -> None:
        try:
            await attempt.run()
        finally:
            self._registry.remove(attempt)
            self._isolation.record_end(attempt.submit.attempt)

    def _find_refusal(self, submit: Submit) -> NotRun | None:
        checks = (
            (self._admission.is_leaving, LEAVING),
            (self._admission.is_down, _UPSTREAM_DOWN),
            (submit.time_left_ms <= 0, _DEADLINE_PASSED),
            (submit.kind is not self._kind, _WRONG_KIND),
            (_has_invalid_size(submit), _INVALID_SIZE),
            (submit.body_size > BODY_LIMIT_BYTES, _TOO_LARGE),
            (self._exceeds_total_bodies(submit), _TOO_MANY_BODIES),
            (not self._spans.has_reservation(submit.span), _SPAN_NOT_RESERVED),
        )
        for applies, refusal in checks:
            if applies:
                return refusal
        return self._isolation.check(submit)

    def _exceeds_total_bodies(self, submit: Submit) -> bool:
        return (
            self._registry.body_bytes + submit.body_size
            > TOTAL_BODIES_LIMIT_BYTES
        )


def _has_invalid_size(submit: Submit) -> bool:
    sizes = (submit.body_size, submit.prompt_tokens, submit.output_tokens)
    return min(sizes) < 0 or 0 < submit.body_size < len(submit.body)
