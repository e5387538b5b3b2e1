"""Small fakes around an agent: upstreams, a queue and an entry's side."""

import asyncio
import threading
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterator,
    Mapping,
    Sequence,
)
from contextlib import asynccontextmanager
from functools import partial

import msgspec
from result import Err, Ok, Result

from figspread.agent.app import AgentApp
from figspread.agent.outcomes import StopCause
from figspread.agent.parts import (
    AgentDependencies,
    AgentOptions,
    EngineUpstream,
    PlainServiceUpstream,
)
from figspread.agent.telemetry import AgentTelemetry
from figspread.clock import Clock, MonotonicClock
from figspread.config.holder import FleetHolder
from figspread.ids import (
    AttemptId,
    DataCentreId,
    Fingerprint,
    PeerId,
    RequestId,
    UpstreamId,
    WorkspaceId,
)
from figspread.inner.connection import Connection, Timeouts
from figspread.inner.handshake import Opener, open_connection
from figspread.inner.messages import (
    Accepted,
    AnyMessage,
    Chunk,
    Finished,
    Heartbeat,
    Settle,
    Settled,
    Submit,
    UpstreamKind,
)
from figspread.policy.queue import QueueLimits, TokenQueue
from figspread.policy.suspects import SuspectRegistry
from figspread.telemetry.logs import Level, Log
from figspread.telemetry.metrics import Metrics
from figspread.telemetry.traces import Tracer
from figspread.telemetry.trail import Trail
from figspread.upstream.types import (
    Answer,
    CacheEvent,
    EngineOrder,
    EngineReport,
    KvHolding,
    UpstreamCall,
    UpstreamFault,
    UpstreamFaultKind,
)

SECRET = b'a secret of the whole fleet'
END = b'data: [DONE]\n\n'
WAIT_S = 20
REFUSED = UpstreamFault(UpstreamFaultKind.REFUSED, status=503)


class FakeAnswer:
    """Gives the bytes that the test puts, until an end or a fault."""

    def __init__(self) -> None:
        """Start with nothing to give."""
        self.status = 200
        self.headers: Mapping[str, str] = {'Content-Type': 'text/plain'}
        self.fault: UpstreamFault | None = None
        self._changed = threading.Condition()
        self._parts: list[bytes] = []
        self._has_ended = False
        self.is_closed = False

    def put(self, *parts: bytes) -> None:
        """Give these bytes next."""
        with self._changed:
            self._parts.extend(parts)
            self._changed.notify_all()

    def end(self, fault: UpstreamFault | None = None) -> None:
        """End the answer, whole or with a fault."""
        with self._changed:
            self.fault = fault
            self._has_ended = True
            self._changed.notify_all()

    def __iter__(self) -> Iterator[bytes]:
        """Give the bytes as they are put."""
        while True:
            with self._changed:
                self._changed.wait_for(self._can_go_on, WAIT_S)
                if not self._parts:
                    return
                part = self._parts.pop(0)
            yield part

    def close(self) -> None:
        """Stop giving."""
        with self._changed:
            self.is_closed = True
            self._parts.clear()
            self._changed.notify_all()

    def left(self) -> int:
        """Return how many parts nobody has read."""
        return len(self._parts)

    def _can_go_on(self) -> bool:
        return bool(self._parts) or self._has_ended or self.is_closed


class FakeEngine:
    """An engine that records its runs and holds memory for each."""

    def __init__(self) -> None:
        """Start empty, under a first boot id."""
        self.boot_id = 'boot-1'
        self.calls: list[UpstreamCall] = []
        self.answers: dict[AttemptId, FakeAnswer] = {}
        self.holdings: dict[str, KvHolding] = {}
        self.cancelled: list[str] = []
        self.deaf_cancels = 0
        self.is_dead = False
        self.lagging_prefill_tokens = 0
        self.fault: UpstreamFault | None = None
        self.began = threading.Semaphore(0)

    def submit(self, call: UpstreamCall) -> Result[Answer, UpstreamFault]:
        """Run the call unless a fault is set."""
        if self.fault is not None:
            return Err(self.fault)
        answer = FakeAnswer()
        self.calls.append(call)
        self.answers[call.attempt] = answer
        self.holdings[call.attempt] = KvHolding(call.attempt, 10)
        self.began.release()
        return Ok(answer)

    def answer(self, name: str) -> FakeAnswer:
        """Return the answer of a call that has begun."""
        return self.answers[AttemptId(name)]

    def whole(self, name: str, *parts: bytes) -> None:
        """Give a whole answer and free its memory."""
        answer = self.answer(name)
        answer.put(*parts, END)
        self.holdings.pop(name)
        answer.end()

    def die(self) -> None:
        """Refuse connections and break off all answers."""
        self.is_dead = True
        self.holdings.clear()
        for answer in self.answers.values():
            answer.end(UpstreamFault(UpstreamFaultKind.BROKEN))

    def cancel(self, attempt: AttemptId) -> Result[None, UpstreamFault]:
        """Free an attempt, unless this cancel is to be lost."""
        self.cancelled.append(attempt)
        if self.deaf_cancels:
            self.deaf_cancels -= 1
            return Ok(None)
        self.holdings.pop(attempt, None)
        return Ok(None)

    def list_holdings(self) -> Result[Sequence[KvHolding], UpstreamFault]:
        """List what is held."""
        if self.is_dead:
            return Err(UpstreamFault(UpstreamFaultKind.NOT_SENT))
        return Ok(tuple(self.holdings.values()))

    def report(self) -> Result[EngineReport, UpstreamFault]:
        """Report a load without a lag."""
        if self.is_dead:
            return Err(UpstreamFault(UpstreamFaultKind.NOT_SENT))
        return Ok(
            EngineReport(
                running=0,
                prefill_tokens=self.lagging_prefill_tokens,
                decode_tokens=0,
                kv_used_tokens=0,
                kv_limit_tokens=1000,
                prefill_tokens_per_s=1e6,
                models=(),
                boot_id=self.boot_id,
            ),
        )

    def export_kv(self, attempt: AttemptId) -> Result[str, UpstreamFault]:
        """Do nothing."""
        return Ok('kv-{0}'.format(attempt))

    def import_kv(
        self,
        handle: str,
        source: str,
    ) -> Result[None, UpstreamFault]:
        """Do nothing."""
        return Ok(None)

    def free_kv(self, handle: str) -> Result[None, UpstreamFault]:
        """Free a handle."""
        self.holdings.pop(handle, None)
        return Ok(None)

    def list_cache_events(
        self,
        after: int,
    ) -> Result[Sequence[CacheEvent], UpstreamFault]:
        """Return none."""
        return Ok(())

    def send_order(self, order: EngineOrder) -> Result[None, UpstreamFault]:
        """Do nothing."""
        return Ok(None)


class FakeService:
    """A plain service whose answers the test writes."""

    def __init__(self) -> None:
        """Start without calls."""
        self.calls: list[UpstreamCall] = []
        self.answers: dict[AttemptId, FakeAnswer] = {}
        self.began = threading.Semaphore(0)
        self.fault: UpstreamFault | None = None

    def call(self, call: UpstreamCall) -> Result[Answer, UpstreamFault]:
        """Run the call; with a fault set, run it and break."""
        self.calls.append(call)
        if self.fault is not None:
            return Err(self.fault)
        answer = FakeAnswer()
        self.answers[call.attempt] = answer
        self.began.release()
        return Ok(answer)


class Entry:
    """An entry's side of one connection, driven by a test."""

    def __init__(self, conn: Connection, boot: str) -> None:
        """Use the open `conn` to an agent of that boot."""
        self.conn = conn
        self.boot = boot
        self.supervisor: asyncio.Task[None] | None = None
        self._messages = conn.messages()
        self._passed_over: list[AnyMessage] = []

    async def submit(self, name: str, **fields: object) -> None:
        """Send an attempt."""
        await self.conn.send(make_submit(name, **fields))

    async def settle(self, name: str) -> Settled:
        """Ask what became of an attempt that was sent to this agent."""
        await self.conn.send(Settle(AttemptId(name), self.boot))
        while True:
            message = await self.next()
            if isinstance(message, Settled) and message.attempt == name:
                return message

    async def next(self) -> AnyMessage:
        """Return the next message that is no heartbeat."""
        if self._passed_over:
            return self._passed_over.pop(0)
        while True:
            message = await anext(self._messages)
            if not isinstance(message, Heartbeat):
                return message

    async def heartbeat(self, holds: Callable[[Heartbeat], bool]) -> Heartbeat:
        """Return the next heartbeat of which `holds` is true."""
        async for message in self._messages:
            if not isinstance(message, Heartbeat):
                self._passed_over.append(message)
            elif holds(message):
                return message
        raise AssertionError('closed before such a heartbeat')

    async def finished(self, name: str) -> tuple[Finished, list[Chunk]]:
        """Return the end of an attempt and the chunks before it.

        Messages about other attempts are kept for later.
        """
        chunks: list[Chunk] = []
        others: list[AnyMessage] = []
        while True:
            message = await self.next()
            match message:
                case Accepted(attempt) | Chunk(attempt) if attempt != name:
                    others.append(message)
                case Finished(attempt) if attempt != name:
                    others.append(message)
                case Chunk():
                    chunks.append(message)
                case Finished():
                    self._passed_over = others + self._passed_over
                    return message, chunks


class Rig:
    """An agent and what it is made of."""

    def __init__(self, app: AgentApp, holder: FleetHolder) -> None:
        """Keep them for the test."""
        self.app = app
        self.holder = holder

    def stop_all(self) -> None:
        """Stop all attempts, as when the agent's time is over."""
        self.app._core.registry.stop_all(StopCause.AGENT_STOPS)

    async def connect(self, name: str = 'entry-1') -> Entry:
        """Open a connection as an entry."""
        opened = await open_connection(
            'ws://127.0.0.1:{0}'.format(self.app.port),
            Opener(PeerId(name), DataCentreId('mu-1')),
            secret=SECRET,
        )
        conn, welcome = opened.unwrap()
        return Entry(conn, welcome.boot)


@asynccontextmanager
async def running_agent(
    upstream: FakeEngine | FakeService,
    *,
    clock: Clock | None = None,
    options: AgentOptions | None = None,
) -> AsyncIterator[Rig]:
    """Run an agent beside `upstream` while the context is open."""
    clock = clock or MonotonicClock()
    holder = FleetHolder()
    behind: EngineUpstream | PlainServiceUpstream
    match upstream:
        case FakeEngine():
            behind = EngineUpstream(upstream)
        case FakeService():
            behind = PlainServiceUpstream(upstream)
    queue = TokenQueue(QueueLimits(1000, running_requests=16), clock)
    app = AgentApp(
        AgentDependencies(
            behind,
            queue,
            SuspectRegistry(clock),
            holder,
            clock,
            SECRET,
            make_telemetry(),
            lambda: None,
        ),
        options or make_options(),
    )
    async with asyncio.timeout(WAIT_S):
        await app.start()
        yield Rig(app, holder)
        await app.stop()


def make_options(
    *,
    reconcile_s: float = 0.05,
    drain_limit_s: float = 5,
) -> AgentOptions:
    """Return options that suit tests."""
    return AgentOptions(
        PeerId('agent-1'),
        UpstreamId('engine-1'),
        DataCentreId('mu-1'),
        timeouts=Timeouts(heartbeat_s=0.05),
        join_s=0.001,
        reconcile_s=reconcile_s,
        drain_limit_s=drain_limit_s,
    )


def make_telemetry() -> AgentTelemetry:
    """Return telemetry that nobody reads."""
    return AgentTelemetry(
        Trail('agent-1'),
        Tracer('agent-1'),
        Metrics('agent-1'),
        Log(Level.ERROR, {}),
    )


def make_submit(name: str, **fields: object) -> Submit:
    """Return an attempt with `fields` set."""
    plain = Submit(
        AttemptId(name),
        RequestId('req-1'),
        WorkspaceId('studio'),
        UpstreamKind.ENGINE,
        '/v1/completions',
        WAIT_S * 1000,
        prompt_tokens=1,
        output_tokens=1,
        fingerprint=Fingerprint('print-{0}'.format(name)),
    )
    return msgspec.structs.replace(plain, **fields)


async def began(upstream: FakeEngine | FakeService) -> None:
    """Wait until the next call has begun, `WAIT_S` at most."""
    async with asyncio.timeout(WAIT_S):
        await until(partial(upstream.began.acquire, blocking=False))


async def until(holds: Callable[[], bool]) -> None:
    """Let the loop run until `holds` is true, within the test's bound."""
    while not holds():
        await asyncio.sleep(0.01)


def event(text: str) -> bytes:
    """Return one token as an engine sends it."""
    return b'data: {"choices":[{"text":"%s"}]}\n\n' % text.encode()


def run_async(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test on a fresh event loop."""

    async def drive() -> None:
        await test()

    asyncio.run(drive())
