"""A request that crashes engines, sent through real agents."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable
from concurrent.futures import Executor, ThreadPoolExecutor
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial

import msgspec
from bench.agent_fakes import (
    SECRET,
    STREAM_END,
    FakeEngine,
    encode_token_event,
    run_async,
    running_agent,
    wait_until,
)
from bench.entry_cases import MODEL, make_engine_request, make_profile
from result import Err, Result

from figspread.clock import Deadline, MonotonicClock
from figspread.config.document import dump_fleet
from figspread.config.fleet import EngineRecord, Fleet, Pool
from figspread.config.holder import FleetHolder
from figspread.entry.caller_request import CallerRequest, ResponsePiece
from figspread.entry.directory import Directory
from figspread.entry.dispatch import DispatchContext, Dispatcher
from figspread.entry.link import LinkContext, LinkState, OpenResult
from figspread.entry.links import Links
from figspread.entry.loop import LoopThread
from figspread.ids import (
    DataCentreId,
    Fingerprint,
    PeerId,
    PoolId,
    UpstreamId,
)
from figspread.inner.connection import Connection, Timeouts
from figspread.inner.handshake import Opener, open_connection
from figspread.inner.heartbeat import keep_alive
from figspread.inner.messages import Heartbeat
from figspread.inner.messages import Suspects as SuspectsMessage
from figspread.outcome import (
    Answered,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
)
from figspread.policy.retry import RetryBudget
from figspread.policy.routing import RoundRobin
from figspread.policy.suspects import SuspectRegistry
from figspread.telemetry.metrics import Metrics
from figspread.telemetry.traces import Tracer
from figspread.telemetry.trail import Trail
from figspread.upstream.types import (
    Answer,
    UpstreamCall,
    UpstreamFault,
    UpstreamFaultKind,
)

CULPRIT = Fingerprint('culprit')
INNOCENTS = 10
# Each innocent request and the culprit blocks a thread at the same time, and
# the loop's default executor has too few threads on a small machine.
THREADS = INNOCENTS + 1
CRASH_MARKER = b'deadly'
HOME = DataCentreId('mu-1')
TIMEOUTS = Timeouts(heartbeat_s=0.05)


class CrashingEngine(FakeEngine):
    """Crashes on a call with the marker and answers others at once.

    While `is_holding` is set, other calls stay unanswered.
    """

    def __init__(self) -> None:
        """Start running, with calls answered at once."""
        super().__init__()
        self.is_holding = False
        self.crash_count = 0

    def submit(self, call: UpstreamCall) -> Result[Answer, UpstreamFault]:
        """Answer or hold the call, or crash on it."""
        if self.has_crashed:
            return Err(UpstreamFault(UpstreamFaultKind.NOT_SENT))
        taken = super().submit(call)
        if CRASH_MARKER in call.body:
            self.crash_count += 1
            self.crash()
        elif not self.is_holding:
            self.answer_call(call.attempt)
        return taken

    def answer_call(self, name: str) -> None:
        """Answer completely, even if the engine crashes meanwhile."""
        self.holdings.pop(name, None)
        self.answer(name).put(encode_token_event('x'), STREAM_END)
        self.answer(name).end()


class RealEntry:
    """A dispatcher of an entry with its links to real agents."""

    def __init__(self, name: str) -> None:
        """Start the event loop; a configuration opens the links."""
        clock = MonotonicClock()
        self._name = name
        self._clock = clock
        self._loop = LoopThread()
        self._loop.start()
        self.holder = FleetHolder()
        self.suspects = SuspectRegistry(clock)
        rng = random.Random(name)
        self.links = Links(
            self._loop,
            LinkContext(
                clock=clock,
                rng=rng,
                holder=self.holder,
                connect=self._open,
                send_heartbeats=self._send_heartbeats,
                on_suspects=self._merge_suspects,
                list_suspects=self.suspects.rows,
            ),
            home=HOME,
        )
        self.holder.subscribe(self.links.apply_fleet)
        self._dispatcher = Dispatcher(
            DispatchContext(
                home=HOME,
                clock=clock,
                rng=rng,
                links=self.links,
                directory=Directory(self.holder, self.links, clock),
                router=RoundRobin(),
                budget=RetryBudget(),
                suspects=self.suspects,
                trail=Trail(),
                metrics=Metrics(name),
                tracer=Tracer(name),
            ),
        )

    def run_request(self, req: CallerRequest) -> tuple[bytes, Outcome]:
        """Run `req` on this thread and return the answer and the outcome."""
        deadline = Deadline(self._clock, req.time_limit_s)
        data = b''
        for part in self._dispatcher.run(req, deadline, _is_caller_gone):
            match part:
                case ResponsePiece():
                    data += part.data
                case Answered() | Failed() | NotRun():
                    return data, part
        raise AssertionError('the dispatcher yielded no outcome')

    def is_refused(self, fingerprint: Fingerprint) -> bool:
        """Tell whether requests of `fingerprint` are refused."""
        return self.suspects.is_blocked(fingerprint)

    def is_linked(self, upstreams: int) -> bool:
        """Tell whether exactly `upstreams` links are open."""
        states = [link.state for link in self.links.list_links()]
        return states.count(LinkState.OPEN) == upstreams

    def close(self) -> None:
        """Close the links and stop the event loop."""
        self.links.close()
        self._loop.stop()

    async def _open(self, address: str) -> OpenResult:
        return await open_connection(
            'ws://{0}'.format(address),
            Opener(PeerId(self._name), HOME),
            secret=SECRET,
            timeouts=TIMEOUTS,
            clock=self._clock,
        )

    async def _send_heartbeats(self, conn: Connection) -> None:
        await keep_alive(conn, lambda: Heartbeat(0))

    def _merge_suspects(self, message: SuspectsMessage) -> None:
        changed = self.suspects.merge(message.rows)
        if changed:
            self.links.broadcast(SuspectsMessage(tuple(changed)))


class CrashHarness:
    """Several engines with their agents, and two entries linked to all."""

    def __init__(
        self,
        engines: list[CrashingEngine],
        entries: list[RealEntry],
        threads: Executor,
    ) -> None:
        """Store the parts; `threads` runs the requests."""
        self.engines = engines
        self.entries = entries
        self._threads = threads

    @property
    def crash_count(self) -> int:
        """How many times engines have crashed."""
        return sum(engine.crash_count for engine in self.engines)

    @property
    def call_count(self) -> int:
        """How many calls the engines have received."""
        return sum(len(engine.calls) for engine in self.engines)

    async def run_request(
        self,
        name: str,
        body: bytes,
        entry: int = 0,
    ) -> tuple[bytes, Outcome]:
        """Run a request with this name and body at an entry."""
        req = make_engine_request(time_limit_s=15)
        work = msgspec.structs.replace(
            make_profile(name),
            prompt_tokens=1,
            output_tokens=1,
            fingerprint=Fingerprint(name),
        )
        req = msgspec.structs.replace(req, body=body, work=work)
        return await asyncio.get_running_loop().run_in_executor(
            self._threads,
            self.entries[entry].run_request,
            req,
        )

    def run_innocent_requests(
        self,
        shift: int = 0,
    ) -> list[Awaitable[tuple[bytes, Outcome]]]:
        """Run the innocent requests, alternating between the entries."""
        return [
            self.run_request(
                'innocent-{0}'.format(num), b'{}', (num + shift) % 2
            )
            for num in range(INNOCENTS)
        ]

    def set_holding(self, *, is_holding: bool) -> None:
        """Have the engines hold new calls, or answer them at once."""
        for engine in self.engines:
            engine.is_holding = is_holding

    def answer_held_calls(self) -> None:
        """Have the running engines answer the calls that they hold."""
        for engine in self.engines:
            for name in () if engine.has_crashed else tuple(engine.holdings):
                engine.answer_call(name)


def _is_caller_gone() -> bool:
    return False


@asynccontextmanager
async def running_fleet(engines: int) -> AsyncIterator[CrashHarness]:
    """Run `engines` engines with agents, and two entries linked to all."""
    fakes = [CrashingEngine() for _ in range(engines)]
    entries = [RealEntry('entry-a'), RealEntry('entry-b')]
    async with AsyncExitStack() as stack:
        threads = stack.enter_context(ThreadPoolExecutor(THREADS))
        for started in entries:
            stack.push_async_callback(asyncio.to_thread, started.close)
        agents = [
            await stack.enter_async_context(running_agent(fake))
            for fake in fakes
        ]
        pool = PoolId('general')
        records = {
            UpstreamId('engine-{0}'.format(num)): EngineRecord(
                UpstreamId('engine-{0}'.format(num)),
                pool,
                HOME,
                '127.0.0.1:{0}'.format(agent.app.port),
                'http://127.0.0.1:1',
                1000,
                1e6,
            )
            for num, agent in enumerate(agents)
        }
        fleet = Fleet(1, pools={pool: Pool(pool, (MODEL,))}, engines=records)
        for entry in entries:
            entry.holder.apply_if_newer(dump_fleet(fleet)).unwrap()
            await wait_until(partial(entry.is_linked, engines))
        yield CrashHarness(fakes, entries, threads)


def test_crashing_request_is_refused_after_two_crashes() -> None:
    """A request that crashes engines is refused after two crashes.

    Guards against retries that crash one engine after the other. Both
    entries refuse the request at once when it is sent again, and requests
    that ran beside it are still answered.
    """

    async def check() -> None:
        async with running_fleet(5) as harness:
            harness.set_holding(is_holding=True)
            innocents = asyncio.gather(*harness.run_innocent_requests())
            await wait_until(lambda: harness.call_count == INNOCENTS)
            harness.set_holding(is_holding=False)
            _, outcome = await harness.run_request('culprit', CRASH_MARKER)
            assert isinstance(outcome, Failed)
            assert outcome.reason is FailedReason.CRASHES_UPSTREAMS
            assert outcome.retry_after_s > 0
            assert harness.crash_count == 2
            for num in (0, 1):
                await wait_until(
                    partial(harness.entries[num].is_refused, CULPRIT)
                )
                _, outcome = await harness.run_request(
                    'culprit', CRASH_MARKER, num
                )
                assert isinstance(outcome, NotRun)
                assert outcome.reason is NotRunReason.SUSPECT
                assert outcome.retry_after_s > 0
            harness.answer_held_calls()
            whole = (encode_token_event('x'), Answered())
            assert set(await innocents) == {whole}
            # The other entry no longer suspects the answered requests either.
            again = await asyncio.gather(
                *harness.run_innocent_requests(shift=1)
            )
            assert set(again) == {whole}
            assert harness.crash_count == 2

    run_async(check)


# As on the other platform: five crashes, and three requests that are on their way.
CRASHES_ALLOWED = 8
SHARING_REQUESTS = 7


def test_requests_that_share_a_deadly_beginning_stop_crashing_engines() -> None:
    """Different prompts with one part in common end few engines."""

    async def check() -> None:
        async with running_fleet(2 * SHARING_REQUESTS) as harness:
            for num in range(SHARING_REQUESTS):
                question = 'question {0}'.format(num)
                body = CRASH_MARKER * 1000 + question.encode()
                await harness.run_request(question, body, num % 2)
            assert harness.crash_count <= CRASHES_ALLOWED

    run_async(check)
