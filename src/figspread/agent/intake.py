"""What an agent does with a submitted attempt: refuse it or run it."""

from collections.abc import Callable, Coroutine
from typing import Any, Final

import msgspec

from figspread.agent.attempt import Attempt, AttemptContext
from figspread.agent.isolation import SuspectIsolation
from figspread.agent.ledger import Record
from figspread.agent.outcomes import StopCause
from figspread.agent.registry import AttemptRegistry
from figspread.agent.relay import Outbox
from figspread.agent.spans import Spans
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

BODY_LIMIT_BYTES: Final = 16_777_216
BODIES_LIMIT_BYTES: Final = 268_435_456

_CANCELLED: Final = NotRun(NotRunReason.CANCELLED, 0)
_LATE: Final = NotRun(NotRunReason.DEADLINE, 0)
_LEAVING: Final = NotRun(NotRunReason.LEAVING, 0)
_DOWN: Final = NotRun(NotRunReason.NO_UPSTREAM)
_WRONG_KIND: Final = NotRun(NotRunReason.BAD_REQUEST, 0, 'wrong kind')
_TOO_LARGE: Final = NotRun(NotRunReason.TOO_LARGE, 0, 'the body is too large')
_BAD_SIZE: Final = NotRun(NotRunReason.BAD_REQUEST, 0, 'wrong size of body')
_MANY_BODIES: Final = NotRun(NotRunReason.OVERLOAD, detail='too many bodies')
_RESTARTED: Final = Unknown(
    UnknownReason.CONNECTION_LOST,
    'the agent was restarted',
)
_NO_SPAN: Final = NotRun(NotRunReason.NOT_READY, detail='nothing is reserved')


class Gate(msgspec.Struct):
    """Whether new work is taken."""

    is_leaving: bool = False
    is_down: bool = False


class Intake:
    """Takes attempts on, each in a task of its own."""

    def __init__(
        self,
        kind: UpstreamKind,
        context: AttemptContext,
        *,
        boot: str,
        registry: AttemptRegistry,
        spans: Spans,
        isolation: SuspectIsolation,
        gate: Gate,
        start: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        """Run attempts of `kind`; `start` makes a task of a coroutine."""
        self._kind = kind
        self._boot = boot
        self._context = context
        self._registry = registry
        self._spans = spans
        self._isolation = isolation
        self._gate = gate
        self._start = start

    def submit(self, submit: Submit, outbox: Outbox) -> Message | None:
        """Take `submit` on, or return the message that answers it at once."""
        refusal = self._check(submit)
        ledger = self._context.ledger
        if refusal is not None:
            return self._answer(submit, ledger.refuse(submit.attempt, refusal))
        standing = ledger.open(submit.attempt)
        if standing is not None:
            return self._answer(submit, standing)
        attempt = Attempt(submit, outbox, self._context)
        refusal = attempt.enter()
        if refusal is not None:
            record = Record(refusal)
            ledger.close(submit.attempt, record)
            return self._answer(submit, record)
        self._isolation.enter(submit)
        self._registry.add(attempt)
        self._spans.note(submit.span, submit.attempt)
        self._start(self._run(attempt))
        return None

    def cancel(self, name: AttemptId) -> None:
        """End an attempt, also one that has not arrived yet."""
        attempt = self._registry.get(name)
        if attempt is None:
            self._context.ledger.refuse(name, _CANCELLED)
        else:
            attempt.abandon(StopCause.CANCELLED)

    def add_piece(self, piece: BodyPiece) -> None:
        """Hand a part of a body to its attempt, if that is open."""
        attempt = self._registry.get(piece.attempt)
        if attempt is not None:
            attempt.add_piece(piece)

    def give_credit(self, name: AttemptId, size: int) -> None:
        """Hand credit to its attempt, if that is open."""
        attempt = self._registry.get(name)
        if attempt is not None:
            attempt.give_credit(size)

    def lose(self, outbox: Outbox) -> None:
        """Give up the attempts that came from `outbox`."""
        for attempt in self._registry:
            if attempt.outbox is outbox:
                attempt.abandon(StopCause.CONNECTION_LOST)

    def settle(self, asked: Settle) -> Settled:
        """Say what became of an attempt.

        What was sent to an earlier process in this place may have run, and
        nothing here says whether it did.
        """
        outcome = self._context.ledger.settle(asked.attempt)
        if isinstance(outcome, NotRun) and asked.boot != self._boot:
            outcome = _RESTARTED
        return Settled(asked.attempt, outcome)

    def _answer(self, submit: Submit, record: Record) -> Message:
        if record.outcome is None:
            return Fault(FaultCode.UNEXPECTED, 'the attempt is open already')
        self._context.journal.refuse(submit, record.outcome)
        return Finished(
            submit.attempt,
            record.outcome,
            record.chunks,
            record.tokens,
        )

    async def _run(self, attempt: Attempt) -> None:
        try:
            await attempt.run()
        finally:
            self._registry.remove(attempt)
            self._isolation.leave(attempt.submit.attempt)

    def _check(self, submit: Submit) -> NotRun | None:
        checks = (
            (self._gate.is_leaving, _LEAVING),
            (self._gate.is_down, _DOWN),
            (submit.time_left_ms <= 0, _LATE),
            (submit.kind is not self._kind, _WRONG_KIND),
            (_has_bad_size(submit), _BAD_SIZE),
            (submit.body_size > BODY_LIMIT_BYTES, _TOO_LARGE),
            (self._has_many_bodies(submit), _MANY_BODIES),
            (not self._spans.has(submit.span), _NO_SPAN),
        )
        for holds, refusal in checks:
            if holds:
                return refusal
        return self._isolation.check(submit)

    def _has_many_bodies(self, submit: Submit) -> bool:
        return self._registry.body_bytes + submit.body_size > BODIES_LIMIT_BYTES


def _has_bad_size(submit: Submit) -> bool:
    sizes = (submit.body_size, submit.prompt_tokens, submit.output_tokens)
    return min(sizes) < 0 or 0 < submit.body_size < len(submit.body)
