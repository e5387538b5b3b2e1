"""A request that brings engines down, through real agents."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable
from concurrent.futures import Executor, ThreadPoolExecutor
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial

import msgspec
from bench.agent_fakes import (
    END,
    SECRET,
    FakeEngine,
    event,
    run_async,
    running_agent,
    until,
)
from bench.entry_cases import MODEL, make_engine_request, make_work
from result import Err, Result

from figspread.clock import Deadline, MonotonicClock
from figspread.config.document import dump_fleet
from figspread.config.fleet import EngineRecord, Fleet, Pool
from figspread.config.holder import FleetHolder
from figspread.entry.call import CallerRequest, Piece
from figspread.entry.directory import Directory
from figspread.entry.dispatch import Dispatcher, DispatchNeeds
from figspread.entry.link import LinkNeeds, LinkState, OpenResult
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
from figspread.policy.suspects import Suspects
from figspread.telemetry.metrics import Metrics
from figspread.telemetry.traces import Tracer
from figspread.telemetry.trail import Trail
from figspread.upstream.types import (
    Answer,
    Call,
    UpstreamFault,
    UpstreamFaultKind,
)

CULPRIT = Fingerprint('culprit')
INNOCENTS = 10
# All innocent requests and the culprit block a thread each at the same time.
# The loop's default executor has too few threads on a small machine.
THREADS = INNOCENTS + 1
MARKER = b'deadly'
HOME = DataCentreId('mu-1')
TIMEOUTS = Timeouts(heartbeat_s=0.05)


class MortalEngine(FakeEngine):
    """Dies of the marker; answers others at once unless it holds them."""

    def __init__(self) -> None:
        """Start alive, answering."""
        super().__init__()
        self.is_holding = False
        self.deaths = 0

    def submit(self, call: Call) -> Result[Answer, UpstreamFault]:
        """Run the call or die of it."""
        if self.is_dead:
            return Err(UpstreamFault(UpstreamFaultKind.NOT_SENT))
        taken = super().submit(call)
        if MARKER in call.body:
            self.deaths += 1
            self.die()
        elif not self.is_holding:
            self.answer_whole(call.attempt)
        return taken

    def answer_whole(self, name: str) -> None:
        """Answer, also when the engine dies at the same moment."""
        self.holdings.pop(name, None)
        self.answer(name).put(event('x'), END)
        self.answer(name).end()


class RealEntry:
    """The dispatcher of an entry with its links to real agents."""

    def __init__(self, name: str) -> None:
        """Start its loop; `follow` opens the links."""
        clock = MonotonicClock()
        self._name = name
        self._clock = clock
        self._loop = LoopThread()
        self._loop.start()
        self.holder = FleetHolder()
        self.suspects = Suspects(clock)
        rng = random.Random(name)
        self.links = Links(
            self._loop,
            LinkNeeds(
                clock=clock,
                rng=rng,
                holder=self.holder,
                open=self._open,
                keep=self._keep,
                on_suspects=self._take,
                list_suspects=self.suspects.rows,
            ),
            home=HOME,
        )
        self.holder.subscribe(self.links.follow)
        self._dispatcher = Dispatcher(
            DispatchNeeds(
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

    def ask(self, req: CallerRequest) -> tuple[bytes, Outcome]:
        """Run `req` and return its bytes and outcome; blocks."""
        deadline = Deadline(self._clock, req.time_limit_s)
        data = b''
        for one in self._dispatcher.run(req, deadline, _is_gone):
            match one:
                case Piece():
                    data += one.data
                case Answered() | Failed() | NotRun():
                    return data, one
        raise AssertionError('no outcome')

    def has_given_up(self, fingerprint: Fingerprint) -> bool:
        """Tell whether requests of that fingerprint are refused."""
        return self.suspects.is_given_up(fingerprint)

    def is_linked(self, upstreams: int) -> bool:
        """Tell whether that many links are open."""
        states = [link.state for link in self.links.list_links()]
        return states.count(LinkState.OPEN) == upstreams

    def close(self) -> None:
        """End links and loop."""
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

    async def _keep(self, conn: Connection) -> None:
        await keep_alive(conn, lambda: Heartbeat(0))

    def _take(self, message: SuspectsMessage) -> None:
        changed = self.suspects.merge(message.rows)
        if changed:
            self.links.tell_all(SuspectsMessage(tuple(changed)))


class Rig:
    """Several engines with their agents, and two entries."""

    def __init__(
        self,
        engines: list[MortalEngine],
        entries: list[RealEntry],
        threads: Executor,
    ) -> None:
        """Keep them; `threads` runs the requests."""
        self.engines = engines
        self.entries = entries
        self._threads = threads

    @property
    def deaths(self) -> int:
        """How many engines have died."""
        return sum(engine.deaths for engine in self.engines)

    @property
    def runs(self) -> int:
        """How many calls have begun."""
        return sum(len(engine.calls) for engine in self.engines)

    async def ask(
        self,
        name: str,
        body: bytes,
        entry: int = 0,
    ) -> tuple[bytes, Outcome]:
        """Have an entry run a request of that body."""
        req = make_engine_request(time_limit_s=15)
        work = msgspec.structs.replace(
            make_work(name),
            prompt_tokens=1,
            output_tokens=1,
            fingerprint=Fingerprint(name),
        )
        req = msgspec.structs.replace(req, body=body, work=work)
        return await asyncio.get_running_loop().run_in_executor(
            self._threads,
            self.entries[entry].ask,
            req,
        )

    def ask_innocents(
        self,
        shift: int = 0,
    ) -> list[Awaitable[tuple[bytes, Outcome]]]:
        """Have the entries run innocent requests, in turn."""
        return [
            self.ask('innocent-{0}'.format(num), b'{}', (num + shift) % 2)
            for num in range(INNOCENTS)
        ]

    def hold(self, *, is_holding: bool) -> None:
        """Let engines keep what they begin, or answer at once."""
        for engine in self.engines:
            engine.is_holding = is_holding

    def answer_held(self) -> None:
        """Let the living engines answer what they hold."""
        for engine in self.engines:
            for name in () if engine.is_dead else tuple(engine.holdings):
                engine.answer_whole(name)


def _is_gone() -> bool:
    return False


@asynccontextmanager
async def running_fleet(engines: int) -> AsyncIterator[Rig]:
    """Run that many engines with agents, and two entries linked to all."""
    fakes = [MortalEngine() for _ in range(engines)]
    entries = [RealEntry('entry-a'), RealEntry('entry-b')]
    async with AsyncExitStack() as stack:
        threads = stack.enter_context(ThreadPoolExecutor(THREADS))
        for one in entries:
            stack.push_async_callback(asyncio.to_thread, one.close)
        rigs = [
            await stack.enter_async_context(running_agent(fake))
            for fake in fakes
        ]
        pool = PoolId('general')
        records = {
            UpstreamId('engine-{0}'.format(num)): EngineRecord(
                UpstreamId('engine-{0}'.format(num)),
                pool,
                HOME,
                '127.0.0.1:{0}'.format(rig.app.port),
                'http://127.0.0.1:1',
                1000,
                1e6,
            )
            for num, rig in enumerate(rigs)
        }
        fleet = Fleet(1, pools={pool: Pool(pool, (MODEL,))}, engines=records)
        for entry in entries:
            entry.holder.offer(dump_fleet(fleet)).unwrap()
            await until(partial(entry.is_linked, engines))
        yield Rig(fakes, entries, threads)


def test_two_engines_are_lost_and_the_innocent_get_answers() -> None:
    """Over both entries and a resend; the refusal is final and at once."""

    async def check() -> None:
        async with running_fleet(5) as rig:
            rig.hold(is_holding=True)
            innocents = asyncio.gather(*rig.ask_innocents())
            await until(lambda: rig.runs == INNOCENTS)
            rig.hold(is_holding=False)
            _, outcome = await rig.ask('culprit', MARKER)
            assert isinstance(outcome, Failed)
            assert outcome.reason is FailedReason.CRASHES_UPSTREAMS
            assert outcome.retry_after_s > 0
            assert rig.deaths == 2
            for num in (0, 1):
                await until(partial(rig.entries[num].has_given_up, CULPRIT))
                _, outcome = await rig.ask('culprit', MARKER, num)
                assert isinstance(outcome, NotRun)
                assert outcome.reason is NotRunReason.SUSPECT
                assert outcome.retry_after_s > 0
            rig.answer_held()
            whole = (event('x'), Answered())
            assert set(await innocents) == {whole}
            # What answered is no suspect for the other entry either.
            again = await asyncio.gather(*rig.ask_innocents(shift=1))
            assert set(again) == {whole}
            assert rig.deaths == 2

    run_async(check)
