"""Tests that reported outcomes hold, over any order of events."""

import asyncio
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import Executor, Future
from typing import Any

from bench.agent_fakes import make_submit, make_telemetry
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok, Result

from figspread.agent.attempt import AttemptContext
from figspread.agent.intake import AdmissionState, Intake
from figspread.agent.isolation import SuspectIsolation
from figspread.agent.ledger import Ledger, Record
from figspread.agent.outcomes import StopCause
from figspread.agent.registry import AttemptRegistry
from figspread.agent.scheduler import AttemptScheduler
from figspread.agent.spans import SpanReservations
from figspread.clock import ManualClock
from figspread.ids import AttemptId
from figspread.inner.base import Message
from figspread.inner.messages import (
    Finished,
    Settle,
    Settled,
    UpstreamKind,
)
from figspread.outcome import Answered, NotRun, NotRunReason, Unknown
from figspread.policy.queue import QueueLimits, TokenQueue
from figspread.policy.suspects import SuspectRegistry
from figspread.upstream.types import Answer, UpstreamCall, UpstreamFault

NAMES = [AttemptId(name) for name in 'abc']
BOOT = 'boot'
REFUSAL = NotRun(NotRunReason.OVERLOAD)


class WholeAnswer:
    """An answer that is complete at once."""

    status = 200
    headers: Mapping[str, str] = {}
    fault: UpstreamFault | None = None

    def __iter__(self) -> Iterator[bytes]:
        """Yield the whole answer."""
        yield b'data: [DONE]\n\n'

    def close(self) -> None:
        """Do nothing."""


class SteppedExecutor(Executor):
    """An executor that runs each call when the test steps it."""

    def __init__(self) -> None:
        """Start without calls."""
        self.pending_calls: list[Callable[[], object]] = []

    def submit(
        self,
        fn: Callable[..., Any],
        /,
        *args: Any,
        **kwargs: Any,
    ) -> Future[Any]:
        """Queue `fn` for `step`."""
        self.pending_calls.append(fn)
        return Future()

    def step(self) -> None:
        """Run the call that was queued first, if any, on this thread."""
        if self.pending_calls:
            self.pending_calls.pop(0)()


class IntakeDriver:
    """An intake that the test drives step by step."""

    def __init__(self) -> None:
        """Create the intake, with a queue that runs one attempt at a time."""
        clock = ManualClock()
        queue = TokenQueue(QueueLimits(1000, running_requests=1), clock)
        self.ran: list[AttemptId] = []
        self.reported: dict[AttemptId, set[type]] = {}
        self.executor = SteppedExecutor()
        self.admission = AdmissionState()
        self.registry = AttemptRegistry()
        self.tasks: list[asyncio.Task[None]] = []
        context = AttemptContext(
            clock,
            AttemptScheduler(queue),
            Ledger(clock),
            self.executor,
            self._run,
            0,
            make_telemetry(),
            self._check_upstream,
            lambda submit: None,
        )
        self.intake = Intake(
            UpstreamKind.SERVICE,
            context,
            boot_id=BOOT,
            registry=self.registry,
            spans=SpanReservations(queue, clock),
            isolation=SuspectIsolation(SuspectRegistry(clock)),
            admission=self.admission,
            start_task=lambda work: self.tasks.append(
                asyncio.create_task(work)
            ),
        )

    async def send(self, message: Message) -> bool:
        """Record an outcome that is sent to the entry."""
        if isinstance(message, Finished | Settled):
            reported = self.reported.setdefault(message.attempt, set())
            reported.add(type(message.outcome))
        return True

    async def apply_step(self, step: str, name: AttemptId) -> None:
        """Apply one step to the attempt `name`."""
        match step:
            case 'submit':
                submit = make_submit(
                    name,
                    kind=UpstreamKind.SERVICE,
                    repeatable=name != NAMES[0],
                )
                answer = self.intake.submit(submit, self)
                if answer is not None:
                    await self.send(answer)
            case 'cancel':
                self.intake.cancel(name)
            case 'settle':
                await self.send(self.intake.settle(Settle(name, BOOT)))
            case 'lose':
                self.intake.handle_disconnect(self)
            case 'stop':
                self.registry.stop_all(StopCause.AGENT_STOPS)
            case 'leave':
                self.admission.is_leaving = not self.admission.is_leaving
            case 'thread':
                self.executor.step()
            case 'loops':
                for _ in range(10):
                    await asyncio.sleep(0)
            case _:
                await asyncio.sleep(0)

    def check_reported(self) -> None:
        """Check the reported outcomes against the attempts that ran."""
        for name in NAMES:
            reported = self.reported.get(name, set())
            assert self.ran.count(name) <= 1
            assert not (NotRun in reported and name in self.ran), name
            assert Answered not in reported or name in self.ran

    def _run(self, call: UpstreamCall) -> Result[Answer, UpstreamFault]:
        self.ran.append(call.attempt)
        return Ok(WholeAnswer())

    async def _check_upstream(self) -> None:
        """Do nothing."""


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                'submit',
                'cancel',
                'settle',
                'lose',
                'stop',
                'leave',
                'thread',
                'loop',
                'loops',
            ),
        ),
        st.sampled_from(NAMES),
    ),
    max_size=40,
)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(STEPS)
def test_attempt_reported_not_run_never_runs(
    steps: list[tuple[str, AttemptId]],
) -> None:
    """No attempt reported as `NotRun` runs, and none runs twice.

    Submit, cancel, settle, disconnect and stop come in any order.
    """

    async def drive() -> None:
        driver = IntakeDriver()
        for step, name in steps:
            await driver.apply_step(step, name)
            driver.check_reported()
        driver.admission.is_leaving = False
        for name in NAMES:
            await driver.apply_step('submit', name)
        while len(driver.registry) or driver.executor.pending_calls:
            driver.executor.step()
            await asyncio.sleep(0)
        driver.check_reported()
        for name in NAMES:
            await driver.apply_step('settle', name)
        driver.check_reported()
        assert set(driver.reported) == set(NAMES)

    asyncio.run(drive())


def test_records_expire_and_are_bounded() -> None:
    """A full ledger answers `Unknown` until closed records expire."""
    clock = ManualClock()
    ledger = Ledger(clock, ttl_s=10, max_records=2)
    first, second, third = NAMES
    assert ledger.open(first) is None
    assert ledger.refuse(second, REFUSAL) == Record(REFUSAL)
    assert isinstance(ledger.settle(third), Unknown)
    existing = ledger.open(third)
    assert existing is not None
    assert isinstance(existing.outcome, Unknown)
    clock.advance(11)
    assert ledger.settle(first) is None
    ledger.close(first, Record(Answered(), 3, 2))
    assert ledger.open(first) == Record(Answered(), 3, 2)
    assert ledger.open(third) is None
    clock.advance(11)
    assert ledger.find(first) is None
    assert ledger.find(third) == Record(None)
