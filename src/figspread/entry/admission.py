"""Admits or refuses checked requests, and records metrics and traces."""

from collections.abc import Callable

import msgspec

from figspread.clock import Clock, Deadline
from figspread.entry.caller_request import (
    CallerRequest,
    IsCallerGone,
    RequestRunner,
    ResponseEvents,
    ResponsePiece,
    ResponseStarted,
)
from figspread.outcome import Answered, NotRun, Outcome
from figspread.policy.prompts import length_class
from figspread.policy.types import Admission
from figspread.telemetry.logs import Log
from figspread.telemetry.metrics import Metrics
from figspread.telemetry.traces import Tracer
from figspread.telemetry.trail import Trail


class AdmissionContext(msgspec.Struct, frozen=True):
    """Dependencies of `AdmissionStep`; `run` serves an admitted request.

    `find_wait_s` estimates the seconds until the earliest upstream could
    finish the request's prefill.
    """

    clock: Clock
    admission: Admission
    trail: Trail
    metrics: Metrics
    tracer: Tracer
    log: Log
    find_wait_s: Callable[[CallerRequest], float]
    run: RequestRunner


class AdmissionStep:
    """First handler of the request chain.

    Takes a share of the entry's limits for each request and gives it back
    when the request ends, however it ends.
    """

    def __init__(self, context: AdmissionContext) -> None:
        """Store the context."""
        self._context = context

    def run(
        self,
        req: CallerRequest,
        deadline: Deadline,
        is_gone: IsCallerGone,
    ) -> ResponseEvents:
        """Yield the response events as they arrive, and the outcome last."""
        add_hop = self._context.trail.add_hop
        add_hop(req.request, 'received', '{0} {1}'.format(req.method, req.path))
        admit_result = self._context.admission.admit(
            req.work,
            ahead_s=self._context.find_wait_s(req),
            time_left_s=deadline.left_s(),
        )
        if isinstance(admit_result, NotRun):
            self._record_outcome(req, admit_result, 0)
            yield admit_result
            return
        try:
            yield from self._run_with_span(req, deadline, is_gone)
        finally:
            self._context.admission.release(req.work)

    def _run_with_span(
        self,
        req: CallerRequest,
        deadline: Deadline,
        is_gone: IsCallerGone,
    ) -> ResponseEvents:
        with self._context.tracer.start('entry', req.traceparent) as span:
            span.set_attribute('request', req.request)
            span.set_attribute('workspace', req.workspace.workspace)
            traced = msgspec.structs.replace(
                req,
                traceparent=span.traceparent,
            )
            events = self._context.run(traced, deadline, is_gone)
            try:
                yield from self._record_timing(req, events)
            finally:
                events.close()

    def _record_timing(
        self, req: CallerRequest, events: ResponseEvents
    ) -> ResponseEvents:
        read_clock = self._context.clock.now
        started_at = read_clock()
        previous_at = started_at
        is_before_first_token = True
        for event in events:
            match event:
                case ResponsePiece(tokens=tokens) if (
                    is_before_first_token and tokens
                ):
                    is_before_first_token = False
                    self._record_first_token(req, read_clock() - started_at)
                case ResponsePiece(tokens=tokens) if tokens:
                    self._context.metrics.record_token_gap(
                        read_clock() - previous_at
                    )
                case ResponseStarted() | ResponsePiece():
                    pass
                case outcome:
                    self._record_outcome(
                        req, outcome, read_clock() - started_at
                    )
            previous_at = read_clock()
            yield event

    def _record_first_token(self, req: CallerRequest, seconds: float) -> None:
        if req.completion is None:
            return
        prompt_class = length_class(req.work.prompt_tokens)
        self._context.metrics.record_first_token(prompt_class.value, seconds)

    def _record_outcome(
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
            self._context.metrics.record_refusal(reason)
        self._context.metrics.record_outcome(name, reason)
        self._context.trail.add_hop(req.request, 'ended', repr(outcome))
        self._context.log.info(
            'request finished',
            request=req.request,
            workspace=req.workspace.workspace,
            path=req.path,
            outcome=name,
            reason=reason,
            seconds=round(seconds, 3),
        )
