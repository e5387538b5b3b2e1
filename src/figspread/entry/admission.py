"""Where a checked request is admitted or refused, measured and traced."""

from collections.abc import Callable

import msgspec

from figspread.clock import Clock, Deadline
from figspread.entry.call import (
    CallerRequest,
    Events,
    IsGone,
    Piece,
    Run,
    Started,
)
from figspread.outcome import Answered, NotRun, Outcome
from figspread.policy.types import Admission
from figspread.policy.work import length_class
from figspread.telemetry.logs import Log
from figspread.telemetry.metrics import Metrics
from figspread.telemetry.traces import Tracer
from figspread.telemetry.trail import Trail


class AdmissionContext(msgspec.Struct, frozen=True):
    """What the front is given; `run` serves an admitted request.

    `find_wait_s` tells how soon a request can be through prefill anywhere.
    """

    clock: Clock
    admission: Admission
    trail: Trail
    metrics: Metrics
    tracer: Tracer
    log: Log
    find_wait_s: Callable[[CallerRequest], float]
    run: Run


class AdmissionStep:
    """Takes an entry's share for each request and gives it back once."""

    def __init__(self, needs: AdmissionContext) -> None:
        """Keep what is needed."""
        self._needs = needs

    def run(
        self,
        req: CallerRequest,
        deadline: Deadline,
        is_gone: IsGone,
    ) -> Events:
        """Yield the answer as it comes, and last of all the outcome."""
        note = self._needs.trail.note
        note(req.request, 'received', '{0} {1}'.format(req.method, req.path))
        admitted = self._needs.admission.admit(
            req.work,
            ahead_s=self._needs.find_wait_s(req),
            time_left_s=deadline.left_s(),
        )
        if isinstance(admitted, NotRun):
            self._note_outcome(req, admitted, 0)
            yield admitted
            return
        try:
            yield from self._run_traced(req, deadline, is_gone)
        finally:
            self._needs.admission.give_back(req.work)

    def _run_traced(
        self,
        req: CallerRequest,
        deadline: Deadline,
        is_gone: IsGone,
    ) -> Events:
        with self._needs.tracer.start('entry', req.traceparent) as span:
            span.set_field('request', req.request)
            span.set_field('workspace', req.workspace.workspace)
            traced = msgspec.structs.replace(
                req,
                traceparent=span.traceparent,
            )
            events = self._needs.run(traced, deadline, is_gone)
            try:
                yield from self._measure(req, events)
            finally:
                events.close()

    def _measure(self, req: CallerRequest, events: Events) -> Events:
        now = self._needs.clock.now
        started_at = now()
        last_at = started_at
        is_first = True
        for event in events:
            match event:
                case Piece(tokens=tokens) if is_first and tokens:
                    is_first = False
                    self._note_first(req, now() - started_at)
                case Piece(tokens=tokens) if tokens:
                    self._needs.metrics.note_token_gap(now() - last_at)
                case Started() | Piece():
                    pass
                case outcome:
                    self._note_outcome(req, outcome, now() - started_at)
            last_at = now()
            yield event

    def _note_first(self, req: CallerRequest, seconds: float) -> None:
        if req.completion is None:
            return
        kind = length_class(req.work.prompt_tokens)
        self._needs.metrics.note_first_token(kind.value, seconds)

    def _note_outcome(
        self,
        req: CallerRequest,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        name = type(outcome).__name__
        reason = ''
        if not isinstance(outcome, Answered):
            reason = outcome.reason.value
        if isinstance(outcome, NotRun):
            self._needs.metrics.note_refusal(reason)
        self._needs.metrics.note_outcome(name, reason)
        self._needs.trail.note(req.request, 'ended', repr(outcome))
        self._needs.log.info(
            'request finished',
            request=req.request,
            workspace=req.workspace.workspace,
            path=req.path,
            outcome=name,
            reason=reason,
            seconds=round(seconds, 3),
        )
