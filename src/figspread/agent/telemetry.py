"""Telemetry of an agent: trails, traces, metrics and logs."""

from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.inner.messages import Submit
from figspread.outcome import NotRun, Outcome
from figspread.policy.prompts import length_class
from figspread.telemetry.logs import Log
from figspread.telemetry.metrics import Metrics
from figspread.telemetry.traces import Tracer
from figspread.telemetry.trail import Trail

TRACEPARENT: Final = 'traceparent'


class AgentTelemetry(msgspec.Struct, frozen=True):
    """The telemetry outputs of an agent."""

    trail: Trail
    tracer: Tracer
    metrics: Metrics
    log: Log

    def record_immediate_reply(self, submit: Submit, outcome: Outcome) -> None:
        """Record an attempt that was not started, with the outcome sent.

        It was refused, or has ended before and is answered from its record.
        The event in the trail is the same for both.
        """
        detail = format_outcome(outcome)
        self.trail.add_hop(submit.request, 'refused by agent', detail)
        self.log.info(
            'attempt not started',
            request=submit.request,
            attempt=submit.attempt,
            outcome=detail,
        )
        if isinstance(outcome, NotRun):
            self.metrics.record_refusal(outcome.reason.value)


class AttemptTelemetry:
    """Records the progress of one attempt, with its own trace span."""

    def __init__(
        self, telemetry: AgentTelemetry, submit: Submit, clock: Clock
    ) -> None:
        """Start the trace span; called when the attempt arrives."""
        self._telemetry = telemetry
        self._submit = submit
        self._clock = clock
        self._arrived_at = clock.now()
        self._log = telemetry.log.bind(
            request=submit.request,
            attempt=submit.attempt,
        )
        self._span = telemetry.tracer.start('agent', submit.traceparent)
        self._record_event('queued by agent')

    def record_upstream_call(self) -> dict[str, str]:
        """Record the call to the upstream; return the headers to send."""
        self._record_event('sent to upstream')
        traceparent = self._span.traceparent
        if not traceparent:
            return self._submit.headers
        return {**self._submit.headers, TRACEPARENT: traceparent}

    def record_first_token(self) -> None:
        """Record the first token of the answer and the time it took."""
        self._record_event('first token')
        self._telemetry.metrics.record_first_token(
            length_class(self._submit.prompt_tokens).value,
            self._clock.now() - self._arrived_at,
        )

    def record_outcome(
        self, outcome: Outcome, *, chunks: int, tokens: int
    ) -> None:
        """Record the outcome and end the trace span."""
        detail = format_outcome(outcome)
        self._record_event('finished by agent', detail)
        self._span.set_attribute('outcome', detail)
        self._span.set_attribute('tokens', tokens)
        self._span.end()
        self._log.info(
            'attempt finished',
            outcome=detail,
            chunks=chunks,
            tokens=tokens,
        )
        name, _, reason = detail.partition(' ')
        self._telemetry.metrics.record_outcome(name, reason)

    def _record_event(self, event: str, detail: str = '') -> None:
        self._telemetry.trail.add_hop(self._submit.request, event, detail)
        self._span.add_event(event)
        self._log.debug('attempt progressed', step=event, detail=detail)


def format_outcome(outcome: Outcome) -> str:
    """Return the outcome's name and reason, such as `NotRun overload`."""
    reason = getattr(outcome, 'reason', None)
    name = type(outcome).__name__
    return name if reason is None else '{0} {1}'.format(name, reason.value)
