"""What an agent writes down: trails, traces, metrics and logs."""

from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.inner.messages import Submit
from figspread.outcome import NotRun, Outcome
from figspread.policy.work import length_class
from figspread.telemetry.logs import Log
from figspread.telemetry.metrics import Metrics
from figspread.telemetry.traces import Tracer
from figspread.telemetry.trail import Trail

TRACEPARENT: Final = 'traceparent'


class Journal(msgspec.Struct, frozen=True):
    """Where an agent writes."""

    trail: Trail
    tracer: Tracer
    metrics: Metrics
    log: Log

    def refuse(self, submit: Submit, outcome: Outcome) -> None:
        """Note an attempt that was answered at once."""
        detail = describe(outcome)
        self.trail.note(submit.request, 'refused by agent', detail)
        self.log.info(
            'attempt refused',
            request=submit.request,
            attempt=submit.attempt,
            outcome=detail,
        )
        if isinstance(outcome, NotRun):
            self.metrics.note_refusal(outcome.reason.value)


class AttemptJournal:
    """Notes the steps of one attempt, under a span of its own."""

    def __init__(self, journal: Journal, submit: Submit, clock: Clock) -> None:
        """Start the span; the attempt has just arrived."""
        self._journal = journal
        self._submit = submit
        self._clock = clock
        self._arrived = clock.now()
        self._log = journal.log.bind(
            request=submit.request,
            attempt=submit.attempt,
        )
        self._span = journal.tracer.start('agent', submit.traceparent)
        self._note('queued by agent')

    def begin(self) -> dict[str, str]:
        """Note the call to the upstream; return its headers."""
        self._note('sent to upstream')
        traceparent = self._span.traceparent
        if not traceparent:
            return self._submit.headers
        return {**self._submit.headers, TRACEPARENT: traceparent}

    def note_first_token(self) -> None:
        """Note the answer's first token."""
        self._note('first token')
        self._journal.metrics.note_first_token(
            length_class(self._submit.prompt_tokens).value,
            self._clock.now() - self._arrived,
        )

    def finish(self, outcome: Outcome, *, chunks: int, tokens: int) -> None:
        """Note the outcome and end the span."""
        detail = describe(outcome)
        self._note('finished by agent', detail)
        self._span.set_field('outcome', detail)
        self._span.set_field('tokens', tokens)
        self._span.end()
        self._log.info(
            'attempt finished',
            outcome=detail,
            chunks=chunks,
            tokens=tokens,
        )
        name, _, reason = detail.partition(' ')
        self._journal.metrics.note_outcome(name, reason)

    def _note(self, event: str, detail: str = '') -> None:
        self._journal.trail.note(self._submit.request, event, detail)
        self._span.note(event)
        self._log.debug('attempt progressed', step=event, detail=detail)


def describe(outcome: Outcome) -> str:
    """Return the outcome's name and reason, such as `NotRun overload`."""
    reason = getattr(outcome, 'reason', None)
    name = type(outcome).__name__
    return name if reason is None else '{0} {1}'.format(name, reason.value)
