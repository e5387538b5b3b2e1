"""What an agent promises about attempts, over any order of events."""

import asyncio
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import Executor, Future
from typing import Any

from bench.agent_fakes import make_journal, make_submit
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
from figspread.policy.suspects import Suspects
from figspread.upstream.types import Answer, Call, UpstreamFault

NAMES = [AttemptId(name) for name in 'abc']
BOOT = 'boot'
REFUSAL = NotRun(NotRunReason.OVERLOAD)


class WholeAnswer:
    """An answer that is there at once."""

    status = 200
    headers: Mapping[str, str] = {}
    fault: UpstreamFault | None = None

    def __iter__(self) -> Iterator[bytes]:
        """Give it whole."""
        yield b'data: [DONE]\n\n'

    def close(self) -> None:
        """Do nothing."""


class SteppedExecutor(Executor):
    """Runs work when the test says so, on the test's own thread."""

    def __init__(self) -> None:
        """Start with no work."""
        self.waiting: list[Callable[[], object]] = []

    def submit(
        self,
        fn: Callable[..., Any],
        /,
        *args: Any,
        **kwargs: Any,
    ) -> Future[Any]:
        """Keep `fn` for later."""
        self.waiting.append(fn)
        return Future()

    def step(self) -> None:
        """Run what was kept first."""
        if self.waiting:
            self.waiting.pop(0)()


class Bench:
    """An intake whose every step a test decides."""

    def __init__(self) -> None:
        """Put the parts together with a queue that runs one at a time."""
        clock = ManualClock()
        queue = TokenQueue(QueueLimits(1000, running_requests=1), clock)
        self.ran: list[AttemptId] = []
        self.said: dict[AttemptId, set[type]] = {}
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
            make_journal(),
            self._confirm,
            lambda submit: None,
        )
        self.intake = Intake(
            UpstreamKind.SERVICE,
            context,
            boot_id=BOOT,
            registry=self.registry,
            spans=SpanReservations(queue, clock),
            isolation=SuspectIsolation(Suspects(clock)),
            admission=self.admission,
            start_task=lambda work: self.tasks.append(
                asyncio.create_task(work)
            ),
        )

    async def send(self, message: Message) -> bool:
        """Note what was said of an attempt."""
        if isinstance(message, Finished | Settled):
            said = self.said.setdefault(message.attempt, set())
            said.add(type(message.outcome))
        return True

    async def take(self, step: str, name: AttemptId) -> None:
        """Do one step with the attempt `name`."""
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

    def check(self) -> None:
        """Check that what was said of each attempt is so."""
        for name in NAMES:
            said = self.said.get(name, set())
            assert self.ran.count(name) <= 1
            assert not (NotRun in said and name in self.ran), name
            assert Answered not in said or name in self.ran

    def _run(self, call: Call) -> Result[Answer, UpstreamFault]:
        self.ran.append(call.attempt)
        return Ok(WholeAnswer())

    async def _confirm(self) -> None:
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
def test_not_run_is_never_said_of_what_runs(
    steps: list[tuple[str, AttemptId]],
) -> None:
    """Whatever the order, `NotRun` stays true and nothing runs twice."""

    async def drive() -> None:
        bench = Bench()
        for step, name in steps:
            await bench.take(step, name)
            bench.check()
        bench.admission.is_leaving = False
        for name in NAMES:
            await bench.take('submit', name)
        while len(bench.registry) or bench.executor.waiting:
            bench.executor.step()
            await asyncio.sleep(0)
        bench.check()
        for name in NAMES:
            await bench.take('settle', name)
        bench.check()
        assert set(bench.said) == set(NAMES)

    asyncio.run(drive())


def test_records_expire_and_are_bounded() -> None:
    """A full ledger promises nothing; old records make room."""
    clock = ManualClock()
    ledger = Ledger(clock, ttl_s=10, max_records=2)
    first, second, third = NAMES
    assert ledger.open(first) is None
    assert ledger.refuse(second, REFUSAL) == Record(REFUSAL)
    assert isinstance(ledger.settle(third), Unknown)
    full = ledger.open(third)
    assert full is not None
    assert isinstance(full.outcome, Unknown)
    clock.advance(11)
    assert ledger.settle(first) is None
    ledger.close(first, Record(Answered(), 3, 2))
    assert ledger.open(first) == Record(Answered(), 3, 2)
    assert ledger.open(third) is None
    clock.advance(11)
    assert ledger.find(first) is None
    assert ledger.find(third) == Record(None)
