"""One attempt of a request, from its submission to its outcome."""

import asyncio
from collections.abc import Awaitable, Callable
from concurrent.futures import Executor
from typing import Final

import msgspec
from result import Err

from figspread.agent.body import Body
from figspread.agent.journal import AttemptJournal, Journal
from figspread.agent.ledger import Ledger, Record
from figspread.agent.outcomes import (
    StopCause,
    is_harmless,
    is_surely_not_run,
    judge_fault,
    judge_stop,
)
from figspread.agent.relay import Outbox, Relay
from figspread.agent.scheduler import AttemptScheduler
from figspread.agent.stream import SendCall, UpstreamStream
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
from figspread.policy.types import Job
from figspread.policy.work import engine_priority
from figspread.upstream.types import Call, UpstreamFault

BODY_TIMEOUT_S: Final = 10
_MS_PER_S: Final = 1000

_BAD_BODY: Final = NotRun(NotRunReason.BAD_REQUEST, 0, 'bad pieces of a body')
_LATE_BODY: Final = NotRun(NotRunReason.DEADLINE, detail='no body in time')


class AttemptContext(msgspec.Struct, frozen=True):
    """What all attempts of an agent share.

    `confirm_life` looks at once whether the upstream has died, and ends all
    attempts if so. `abandon` has the upstream freed of an attempt that has
    begun and was not answered.
    """

    clock: Clock
    scheduler: AttemptScheduler
    ledger: Ledger
    executor: Executor
    send_call: SendCall
    join_s: float
    journal: Journal
    confirm_life: Callable[[], Awaitable[None]]
    abandon: Callable[[Submit], None]


class Attempt:
    """Runs one attempt; all methods belong to the event loop.

    The ledger has the attempt open before this is made, and closed with the
    outcome before the outcome is sent.
    """

    def __init__(
        self,
        submit: Submit,
        outbox: Outbox,
        context: AttemptContext,
    ) -> None:
        """Take on `submit`, whose time counts from now."""
        self.submit = submit
        self.outbox = outbox
        self._context = context
        time_left_s = submit.time_left_ms / _MS_PER_S
        self._deadline = Deadline(context.clock, time_left_s)
        self._body = Body(submit)
        self._stream: UpstreamStream | None = None
        self._cause: StopCause | None = None
        self._scope: asyncio.Timeout | None = None
        self._relay = Relay(
            submit.attempt,
            outbox,
            context.join_s,
            on_first_token=self._note_prefilled,
        )
        self._journal = AttemptJournal(
            context.journal,
            submit,
            context.clock,
        )

    @property
    def has_begun(self) -> bool:
        """Whether it was handed to the upstream's client."""
        return self._stream is not None

    @property
    def unqueued_prefill_tokens(self) -> int:
        """Tokens to prefill for a span, of which the queue knows nothing."""
        if not self.submit.span or self._relay.tokens:
            return 0
        return self.submit.prompt_tokens

    def enter(self) -> NotRun | None:
        """Take a place in the queue, or be refused; `run` must follow.

        An attempt of a span has its memory reserved already, so it asks the
        queue for none.
        """
        submit = self.submit
        return self._context.scheduler.enter(
            Job(
                submit.attempt,
                submit.workspace,
                0 if submit.span else submit.prompt_tokens,
                0 if submit.span else submit.output_tokens,
                self._context.clock.now() + self._deadline.left_s(),
                submit.weight,
                submit.priority,
            ),
        )

    async def run(self) -> None:
        """Run to the outcome, keep it in the ledger and send it."""
        outcome = await self._run_in_time()
        self._context.scheduler.leave(self.submit.attempt)
        record = Record(outcome, self._relay.chunks, self._relay.tokens)
        self._context.ledger.close(self.submit.attempt, record)
        if self.has_begun and not isinstance(outcome, Answered | NotRun):
            self._context.abandon(self.submit)
        self._journal.finish(
            outcome,
            chunks=self._relay.chunks,
            tokens=self._relay.tokens,
        )
        await self._relay.finish(outcome)

    def add_piece(self, piece: BodyPiece) -> None:
        """Take a part of the body."""
        self._body.add(piece)

    def give_credit(self, size: int) -> None:
        """Let `size` more bytes of the answer go."""
        self._relay.give_credit(size)

    def stop(self, cause: StopCause) -> None:
        """End it for `cause`, unless it was ended before."""
        if self._cause is not None:
            return
        self._cause = cause
        if self._scope is not None and not self._scope.expired():
            self._scope.reschedule(asyncio.get_running_loop().time())

    def abandon(self, cause: StopCause) -> None:
        """Note that nobody waits for the answer.

        What must not be run twice is read to its end once it has begun, since
        only then is its outcome known; everything else ends.
        """
        if self.has_begun and not is_harmless(self.submit):
            self._relay.mute()
        else:
            self.stop(cause)

    async def _run_in_time(self) -> Outcome:
        if self._cause is not None:
            return self._cut(self._cause)
        try:
            async with asyncio.timeout(self._deadline.left_s()) as scope:
                self._scope = scope
                return await self._work()
        except TimeoutError:
            return self._cut(self._cause or StopCause.DEADLINE)
        finally:
            self._scope = None

    def _cut(self, cause: StopCause) -> Outcome:
        has_begun = self._stream is not None and self._stream.cut()
        return judge_stop(cause, self.submit, has_begun=has_begun)

    async def _work(self) -> Outcome:
        await self.outbox.send(Accepted(self.submit.attempt))
        body = await self._wait_for_body()
        if isinstance(body, NotRun):
            return body
        refusal = await self._context.scheduler.wait(self.submit.attempt)
        if refusal is not None:
            return refusal
        self._stream = UpstreamStream(
            self._context.send_call,
            _make_call(self.submit, body, self._journal.begin()),
        )
        return await self._run_on(self._stream)

    async def _wait_for_body(self) -> bytes | NotRun:
        waiting = asyncio.ensure_future(self._body.wait())
        done, _ = await asyncio.wait((waiting,), timeout=BODY_TIMEOUT_S)
        if not done:
            waiting.cancel()
            return _LATE_BODY
        body = waiting.result()
        return _BAD_BODY if body is None else body

    async def _run_on(self, stream: UpstreamStream) -> Outcome:
        opened = await stream.open(self._context.executor)
        if isinstance(opened, Err):
            return await self._judge(opened.err_value)
        if self.submit.kind is UpstreamKind.SERVICE:
            await self._relay.send_head(opened.ok_value)
            await self._relay.send_bytes(stream)
        else:
            await self._relay.send_events(stream)
        if stream.fault is not None:
            stream.cut()
            return await self._judge(stream.fault)
        return Answered()

    def _note_prefilled(self) -> None:
        self._context.scheduler.mark_prefilled(self.submit.attempt)
        self._journal.note_first_token()

    async def _judge(self, fault: UpstreamFault) -> Outcome:
        if not is_surely_not_run(fault):
            await self._context.confirm_life()
        if self._cause is StopCause.UPSTREAM_DIED:
            return self._cut(self._cause)
        return judge_fault(fault, self.submit)


def _make_call(submit: Submit, body: bytes, headers: dict[str, str]) -> Call:
    return Call(
        submit.attempt,
        submit.path,
        body,
        submit.method,
        headers,
        engine_priority(submit.prompt_tokens, submit.priority),
        submit.resume_from,
    )
