"""Fakes around an agent: upstreams and the entry's end of a connection."""

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
STREAM_END = b'data: [DONE]\n\n'
TEST_TIMEOUT_S = 20
REFUSED = UpstreamFault(UpstreamFaultKind.REFUSED, status=503)


class FakeAnswer:
    """An upstream's answer whose bytes the test supplies.

    Iteration blocks until the test puts bytes, ends the answer (whole or with
    a fault) or closes it, for at most `TEST_TIMEOUT_S` at a time.
    """

    def __init__(self) -> None:
        """Start without bytes."""
        self.status = 200
        self.headers: Mapping[str, str] = {'Content-Type': 'text/plain'}
        self.fault: UpstreamFault | None = None
        self._changed = threading.Condition()
        self._parts: list[bytes] = []
        self._has_ended = False
        self.is_closed = False

    def put(self, *parts: bytes) -> None:
        """Append `parts` to the bytes that the reader gets."""
        with self._changed:
            self._parts.extend(parts)
            self._changed.notify_all()

    def end(self, fault: UpstreamFault | None = None) -> None:
        """End the answer, successfully or with `fault`."""
        with self._changed:
            self.fault = fault
            self._has_ended = True
            self._changed.notify_all()

    def __iter__(self) -> Iterator[bytes]:
        """Yield the bytes in the order in which they were put."""
        while True:
            with self._changed:
                self._changed.wait_for(self._is_readable, TEST_TIMEOUT_S)
                if not self._parts:
                    return
                part = self._parts.pop(0)
            yield part

    def close(self) -> None:
        """End the iteration and drop the unread bytes."""
        with self._changed:
            self.is_closed = True
            self._parts.clear()
            self._changed.notify_all()

    def count_unread_parts(self) -> int:
        """Return the number of unread parts."""
        return len(self._parts)

    def _is_readable(self) -> bool:
        return bool(self._parts) or self._has_ended or self.is_closed


class FakeEngine:
    """An engine that records its calls and holds memory for each attempt.

    The next `ignored_cancels` cancels are acknowledged but have no effect.
    While `has_crashed` is true, reports and lists of holdings fail as if the
    engine could not be reached.
    """

    def __init__(self) -> None:
        """Start without calls, with the boot id `boot-1`."""
        self.boot_id = 'boot-1'
        self.calls: list[UpstreamCall] = []
        self.answers: dict[AttemptId, FakeAnswer] = {}
        self.holdings: dict[str, KvHolding] = {}
        self.cancelled: list[str] = []
        self.ignored_cancels = 0
        self.has_crashed = False
        self.lagging_prefill_tokens = 0
        self.fault: UpstreamFault | None = None
        self.started_calls = threading.Semaphore(0)

    def submit(self, call: UpstreamCall) -> Result[Answer, UpstreamFault]:
        """Start a run of `call`, or return the fault that is set."""
        if self.fault is not None:
            return Err(self.fault)
        answer = FakeAnswer()
        self.calls.append(call)
        self.answers[call.attempt] = answer
        self.holdings[call.attempt] = KvHolding(call.attempt, 10)
        self.started_calls.release()
        return Ok(answer)

    def answer(self, name: str) -> FakeAnswer:
        """Return the answer of the attempt `name`, which has started."""
        return self.answers[AttemptId(name)]

    def complete_answer(self, name: str, *parts: bytes) -> None:
        """Complete the answer of `name` with `parts` and free its memory."""
        answer = self.answer(name)
        answer.put(*parts, STREAM_END)
        self.holdings.pop(name)
        answer.end()

    def crash(self) -> None:
        """Crash: refuse connections and break all answers off."""
        self.has_crashed = True
        self.holdings.clear()
        for answer in self.answers.values():
            answer.end(UpstreamFault(UpstreamFaultKind.BROKEN))

    def cancel(self, attempt: AttemptId) -> Result[None, UpstreamFault]:
        """Cancel an attempt and free its memory, or ignore the cancel."""
        self.cancelled.append(attempt)
        if self.ignored_cancels:
            self.ignored_cancels -= 1
            return Ok(None)
        self.holdings.pop(attempt, None)
        return Ok(None)

    def list_holdings(self) -> Result[Sequence[KvHolding], UpstreamFault]:
        """Return the memory holdings of all attempts."""
        if self.has_crashed:
            return Err(UpstreamFault(UpstreamFaultKind.NOT_SENT))
        return Ok(tuple(self.holdings.values()))

    def report(self) -> Result[EngineReport, UpstreamFault]:
        """Return a report of an idle engine with `lagging_prefill_tokens`."""
        if self.has_crashed:
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
        """Free the memory of a handle."""
        self.holdings.pop(handle, None)
        return Ok(None)

    def list_cache_events(
        self,
        after: int,
    ) -> Result[Sequence[CacheEvent], UpstreamFault]:
        """Return no events."""
        return Ok(())

    def send_order(self, order: EngineOrder) -> Result[None, UpstreamFault]:
        """Do nothing."""
        return Ok(None)


class FakeService:
    """A plain service whose answers the test supplies."""

    def __init__(self) -> None:
        """Start without calls."""
        self.calls: list[UpstreamCall] = []
        self.answers: dict[AttemptId, FakeAnswer] = {}
        self.started_calls = threading.Semaphore(0)
        self.fault: UpstreamFault | None = None

    def call(self, call: UpstreamCall) -> Result[Answer, UpstreamFault]:
        """Record and start the call, or return the fault that is set."""
        self.calls.append(call)
        if self.fault is not None:
            return Err(self.fault)
        answer = FakeAnswer()
        self.answers[call.attempt] = answer
        self.started_calls.release()
        return Ok(answer)


class FakeEntry:
    """The entry's end of one connection to an agent, driven by a test."""

    def __init__(self, conn: Connection, boot: str) -> None:
        """Use the open `conn` to an agent whose boot id is `boot`."""
        self.conn = conn
        self.boot = boot
        self.supervisor: asyncio.Task[None] | None = None
        self._messages = conn.messages()
        self._pending_messages: list[AnyMessage] = []

    async def submit(self, name: str, **fields: object) -> None:
        """Submit the attempt `name`, with `fields` set."""
        await self.conn.send(make_submit(name, **fields))

    async def settle(self, name: str) -> Settled:
        """Ask the agent for the outcome of an attempt and return the answer."""
        await self.conn.send(Settle(AttemptId(name), self.boot))
        while True:
            message = await self.next()
            if isinstance(message, Settled) and message.attempt == name:
                return message

    async def next(self) -> AnyMessage:
        """Return the next message that is not a heartbeat."""
        if self._pending_messages:
            return self._pending_messages.pop(0)
        while True:
            message = await anext(self._messages)
            if not isinstance(message, Heartbeat):
                return message

    async def wait_for_heartbeat(
        self, holds: Callable[[Heartbeat], bool]
    ) -> Heartbeat:
        """Return the next heartbeat for which `holds` returns true."""
        async for message in self._messages:
            if not isinstance(message, Heartbeat):
                self._pending_messages.append(message)
            elif holds(message):
                return message
        raise AssertionError(
            'connection closed before a matching heartbeat arrived'
        )

    async def wait_for_finish(self, name: str) -> tuple[Finished, list[Chunk]]:
        """Return the end of the attempt `name` and the chunks before it.

        Messages about other attempts are kept for later calls.
        """
        chunks: list[Chunk] = []
        other_messages: list[AnyMessage] = []
        while True:
            message = await self.next()
            match message:
                case Accepted(attempt) | Chunk(attempt) if attempt != name:
                    other_messages.append(message)
                case Finished(attempt) if attempt != name:
                    other_messages.append(message)
                case Chunk():
                    chunks.append(message)
                case Finished():
                    self._pending_messages = (
                        other_messages + self._pending_messages
                    )
                    return message, chunks


class RunningAgent:
    """A running agent and its configuration holder."""

    def __init__(self, app: AgentApp, holder: FleetHolder) -> None:
        """Wrap the started agent `app`."""
        self.app = app
        self.holder = holder

    def stop_all_attempts(self) -> None:
        """Stop all attempts, as at the end of the agent's drain."""
        self.app._core.registry.stop_all(StopCause.AGENT_STOPS)

    async def connect(self, name: str = 'entry-1') -> FakeEntry:
        """Open a connection as the entry `name`."""
        opened = await open_connection(
            'ws://127.0.0.1:{0}'.format(self.app.port),
            Opener(PeerId(name), DataCentreId('mu-1')),
            secret=SECRET,
        )
        conn, welcome = opened.unwrap()
        return FakeEntry(conn, welcome.boot)


@asynccontextmanager
async def running_agent(
    upstream: FakeEngine | FakeService,
    *,
    clock: Clock | None = None,
    options: AgentOptions | None = None,
) -> AsyncIterator[RunningAgent]:
    """Run an agent for `upstream` while the context is open."""
    clock = clock or MonotonicClock()
    holder = FleetHolder()
    agent_upstream: EngineUpstream | PlainServiceUpstream
    match upstream:
        case FakeEngine():
            agent_upstream = EngineUpstream(upstream)
        case FakeService():
            agent_upstream = PlainServiceUpstream(upstream)
    queue = TokenQueue(QueueLimits(1000, running_requests=16), clock)
    app = AgentApp(
        AgentDependencies(
            agent_upstream,
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
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await app.start()
        yield RunningAgent(app, holder)
        await app.stop()


def make_options(
    *,
    reconcile_s: float = 0.05,
    drain_limit_s: float = 5,
) -> AgentOptions:
    """Return agent options with intervals that are short enough for tests."""
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
    """Return telemetry that logs errors only and exports nothing."""
    return AgentTelemetry(
        Trail('agent-1'),
        Tracer('agent-1'),
        Metrics('agent-1'),
        Log(Level.ERROR, {}),
    )


def make_submit(name: str, **fields: object) -> Submit:
    """Return the message that submits the attempt `name`, with `fields` set."""
    template = Submit(
        AttemptId(name),
        RequestId('req-1'),
        WorkspaceId('studio'),
        UpstreamKind.ENGINE,
        '/v1/completions',
        TEST_TIMEOUT_S * 1000,
        prompt_tokens=1,
        output_tokens=1,
        fingerprint=Fingerprint('print-{0}'.format(name)),
    )
    return msgspec.structs.replace(template, **fields)


async def wait_for_call(upstream: FakeEngine | FakeService) -> None:
    """Wait until the next call has started, for at most `TEST_TIMEOUT_S`."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await wait_until(
            partial(upstream.started_calls.acquire, blocking=False)
        )


async def wait_until(holds: Callable[[], bool]) -> None:
    """Poll until `holds` returns true.

    There is no timeout of its own: `running_agent` bounds the whole test.
    """
    while not holds():
        await asyncio.sleep(0.01)


def encode_token_event(text: str) -> bytes:
    """Return a server-sent event with one token, as an engine sends it."""
    return b'data: {"choices":[{"text":"%s"}]}\n\n' % text.encode()


def run_async(test: Callable[[], Awaitable[None]]) -> None:
    """Run the coroutine function `test` on a new event loop."""

    async def drive() -> None:
        await test()

    asyncio.run(drive())
