"""Runs one attempt of a request, from its submission to its outcome."""

import asyncio
from collections.abc import Awaitable, Callable
from concurrent.futures import Executor
from typing import Final

import msgspec
from result import Err

from figspread.agent.body import Body
from figspread.agent.ledger import Ledger, Record
from figspread.agent.outcomes import (
    StopCause,
    is_known_not_run,
    is_safe_to_repeat,
    resolve_fault_outcome,
    resolve_stop_outcome,
)
from figspread.agent.relay import Outbox, Relay
from figspread.agent.scheduler import AttemptScheduler
from figspread.agent.stream import SendCall, UpstreamStream
from figspread.agent.telemetry import AgentTelemetry, AttemptTelemetry
from figspread.clock import Clock, Deadline
from figspread.inner.messages import (
    Accepted,
    BodyPiece,
    Submit,
    UpstreamKind,
)
from figspread.outcome import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
)
from figspread.policy.prompts import engine_priority
from figspread.policy.types import Job
from figspread.upstream.types import UpstreamCall, UpstreamFault

# Bounds the wait for the pieces of a request body.
BODY_TIMEOUT_S: Final = 10
_MS_PER_S: Final = 1000

_INVALID_BODY: Final = NotRun(
    NotRunReason.BAD_REQUEST, 0, 'bad pieces of a body'
)
_BODY_TIMED_OUT: Final = NotRun(NotRunReason.DEADLINE, detail='no body in time')


class AttemptContext(msgspec.Struct, frozen=True):
    """Dependencies that all attempts of an agent share.

    `check_upstream` probes the upstream at once; if it has died, begun attempts
    are stopped and waiting ones refused. `cancel_upstream` schedules the cancellation, on the
    upstream, of an attempt that has begun and wasn't answered. `join_s` is in
    seconds and described at `Relay`.
    """

    clock: Clock
    scheduler: AttemptScheduler
    ledger: Ledger
    executor: Executor
    send_call: SendCall
    join_s: float
    telemetry: AgentTelemetry
    check_upstream: Callable[[], Awaitable[None]]
    cancel_upstream: Callable[[Submit], None]


class Attempt:
    """One submitted attempt; all methods run on the event loop.

    The intake opens the attempt in the ledger before it creates this object.
    `run` closes it there with the outcome before it sends the outcome.
    """

    def __init__(
        self,
        submit: Submit,
        outbox: Outbox,
        context: AttemptContext,
    ) -> None:
        """Prepare to run `submit`; its time limit starts now."""
        self.submit = submit
        self.outbox = outbox
        self._context = context
        time_left_s = submit.time_left_ms / _MS_PER_S
        self.deadline = Deadline(context.clock, time_left_s)
        self._body = Body(submit)
        self._stream: UpstreamStream | None = None
        self._stop_cause: StopCause | None = None
        self._timeout: asyncio.Timeout | None = None
        self._relay = Relay(
            submit.attempt,
            outbox,
            context.join_s,
            on_first_token=self._record_first_token,
        )
        self._telemetry = AttemptTelemetry(
            context.telemetry,
            submit,
            context.clock,
        )

    @property
    def has_begun(self) -> bool:
        """Whether the call was handed to the upstream's client."""
        return self._stream is not None

    @property
    def unqueued_prefill_tokens(self) -> int:
        """Prompt tokens of a span that are not prefilled yet.

        The queue doesn't count them, because a span's job asks it for no
        tokens. 0 without a span and after the first token.
        """
        if not self.submit.span or self._relay.token_count:
            return 0
        return self.submit.prompt_tokens

    def enqueue(self) -> NotRun | None:
        """Queue the attempt and return `None`, or return the refusal.

        After `None`, `run` must follow. The memory of a span is reserved
        beforehand, so an attempt of a span asks the queue for no tokens.
        """
        submit = self.submit
        return self._context.scheduler.enqueue(
            Job(
                submit.attempt,
                submit.workspace,
                0 if submit.span else submit.prompt_tokens,
                0 if submit.span else submit.output_tokens,
                self._context.clock.now() + self.deadline.left_s(),
                submit.weight,
                submit.priority,
            ),
        )

    async def run(self) -> None:
        """Run the attempt, record the outcome in the ledger and send it."""
        outcome = await self._run_until_deadline()
        self._context.scheduler.release(self.submit.attempt)
        record = Record(
            outcome, self._relay.chunk_count, self._relay.token_count
        )
        self._context.ledger.close(self.submit.attempt, record)
        if self.has_begun and not isinstance(outcome, Answered | NotRun):
            self._context.cancel_upstream(self.submit)
        self._telemetry.record_outcome(
            outcome,
            chunks=self._relay.chunk_count,
            tokens=self._relay.token_count,
        )
        await self._relay.send_finished(outcome)

    def add_body_piece(self, piece: BodyPiece) -> None:
        """Add the next piece of the request body."""
        self._body.add(piece)

    def add_credit(self, size: int) -> None:
        """Allow `size` more bytes of the answer to be sent."""
        self._relay.add_credit(size)

    def stop(self, cause: StopCause) -> None:
        """Stop the attempt for `cause`; only the first call has an effect."""
        if self._stop_cause is not None:
            return
        self._stop_cause = cause
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    def detach_caller(self, cause: StopCause) -> None:
        """Handle that no caller waits for the answer any more.

        A begun call that must not run twice is read to its end without being
        relayed, since its outcome is known only then. Any other attempt is
        stopped for `cause`.
        """
        if self.has_begun and not is_safe_to_repeat(self.submit):
            self._relay.discard_answer()
        else:
            self.stop(cause)

    async def _run_until_deadline(self) -> Outcome:
        if self._stop_cause is not None:
            return self._abort(self._stop_cause)
        try:
            async with asyncio.timeout(self.deadline.left_s()) as timeout_scope:
                self._timeout = timeout_scope
                return await self._execute()
        except TimeoutError:
            return self._abort(self._stop_cause or StopCause.DEADLINE)
        finally:
            self._timeout = None

    def _abort(self, cause: StopCause) -> Outcome:
        has_begun = self._stream is not None and self._stream.abort()
        return resolve_stop_outcome(cause, self.submit, has_begun=has_begun)

    async def _execute(self) -> Outcome:
        await self.outbox.send(Accepted(self.submit.attempt))
        body = await self._wait_for_body()
        if isinstance(body, NotRun):
            return body
        refusal = await self._context.scheduler.wait_for_start(
            self.submit.attempt
        )
        if refusal is not None:
            return refusal
        self._stream = UpstreamStream(
            self._context.send_call,
            _make_call(
                self.submit, body, self._telemetry.record_upstream_call()
            ),
        )
        return await self._relay_answer(self._stream)

    async def _wait_for_body(self) -> bytes | NotRun:
        body_task = asyncio.ensure_future(self._body.wait())
        done, _ = await asyncio.wait((body_task,), timeout=BODY_TIMEOUT_S)
        if not done:
            body_task.cancel()
            return _BODY_TIMED_OUT
        body = body_task.result()
        return _INVALID_BODY if body is None else body

    async def _relay_answer(self, stream: UpstreamStream) -> Outcome:
        opened = await stream.open(self._context.executor)
        if isinstance(opened, Err):
            return await self._resolve_fault(opened.err_value)
        if self.submit.kind is UpstreamKind.SERVICE:
            await self._relay.send_head(opened.ok_value)
            await self._relay.send_bytes(stream)
        else:
            await self._relay.send_events(stream)
        if stream.fault is not None:
            stream.abort()
            return await self._resolve_fault(stream.fault)
        return Answered()

    def _record_first_token(self) -> None:
        self._context.scheduler.mark_prefilled(self.submit.attempt)
        self._telemetry.record_first_token()

    async def _resolve_fault(self, fault: UpstreamFault) -> Outcome:
        if not is_known_not_run(fault):
            await self._context.check_upstream()
        if self._stop_cause is StopCause.UPSTREAM_DIED:
            return self._abort(self._stop_cause)
        return resolve_fault_outcome(fault, self.submit)


def _make_call(
    submit: Submit, body: bytes, headers: dict[str, str]
) -> UpstreamCall:
    return UpstreamCall(
        submit.attempt,
        submit.path,
        body,
        submit.method,
        headers,
        engine_priority(submit.prompt_tokens, submit.priority),
        submit.resume_from,
    )
