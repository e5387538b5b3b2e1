"""The parts of an agent, put together around one upstream."""

import asyncio
import traceback
import uuid
from collections.abc import Coroutine
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final

import msgspec

from figspread.agent.attempt import AttemptContext
from figspread.agent.intake import Gate, Intake
from figspread.agent.isolation import SuspectIsolation
from figspread.agent.ledger import Ledger
from figspread.agent.loop_heartbeat import LoopHeartbeat
from figspread.agent.outcomes import StopCause
from figspread.agent.parts import (
    AgentOptions,
    AgentParts,
    EngineBehind,
    ServiceBehind,
)
from figspread.agent.peer_sync import PeerSync
from figspread.agent.peers import Peers
from figspread.agent.registry import AttemptRegistry
from figspread.agent.scheduler import AttemptScheduler
from figspread.agent.session import SessionParts
from figspread.agent.spans import Spans
from figspread.agent.supervisor import (
    EngineSupervisor,
    ServiceSupervisor,
    Supervisor,
    SupervisorContext,
)
from figspread.config.fleet import Fleet
from figspread.inner.handshake import Acceptor
from figspread.inner.messages import Heartbeat, Load
from figspread.outcome import NotRun, NotRunReason

PUMP_S: Final = 0.1
CONTROL_THREADS: Final = 4

_DIED: Final = NotRun(NotRunReason.NO_UPSTREAM, detail='the engine died')


class Tasks:
    """Owns tasks until they end; one that fails is logged."""

    def __init__(self, parts: AgentParts) -> None:
        """Start with none."""
        self._log = parts.journal.log
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run `work` in a task of its own."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._reap)
        return task

    def cancel(self) -> None:
        """End all that run."""
        for task in self._tasks:
            task.cancel()

    def _reap(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        exc = None if task.cancelled() else task.exception()
        if exc is not None:
            trace = ''.join(traceback.format_exception(exc))
            self._log.error('background task failed', error=trace)


class AgentCore:
    """Everything between the connections and the upstream."""

    def __init__(
        self,
        parts: AgentParts,
        options: AgentOptions,
        tasks: Tasks,
    ) -> None:
        """Put the parts together; nothing runs before `run`."""
        self.registry = AttemptRegistry()
        self.gate = Gate()
        self.load = Load()
        self.peers = Peers(parts, options)
        self._boot = uuid.uuid4().hex
        self._parts = parts
        self._options = options
        self._answers = ThreadPoolExecutor(options.threads, 'answer')
        self._control = ThreadPoolExecutor(CONTROL_THREADS, 'control')
        self._scheduler = AttemptScheduler(parts.queue)
        self._spans = Spans(parts.queue, parts.clock)
        self.supervisor = self._make_supervisor()
        self.peer_sync = PeerSync(
            parts.holder,
            parts.suspects,
            parts.clock,
            tell=self.peers.tell,
        )
        self.session = SessionParts(
            self._make_intake(tasks),
            self.peer_sync,
            self._spans,
            LoopHeartbeat(parts.clock),
            self.supervisor.poke,
        )

    async def run(self) -> None:
        """Look after queue, spans and upstream until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.session.loop_heartbeat.run())
            group.create_task(self.supervisor.run())
            group.create_task(self._pump())

    async def clear(self) -> None:
        """End all attempts and have the upstream freed of them."""
        self.registry.stop_all(StopCause.AGENT_STOPS)
        await self.registry.wait_until_empty()
        await self.supervisor.clear()

    def close(self) -> None:
        """Let the threads go; those that wait on the upstream end later."""
        self._answers.shutdown(wait=False, cancel_futures=True)
        self._control.shutdown(wait=False, cancel_futures=True)

    def follow(self, fleet: Fleet) -> None:
        """Tell all peers that `fleet` is in force here."""
        journal = self._parts.journal
        journal.metrics.set_config_number(fleet.number)
        journal.log.info('configuration applied', number=fleet.number)
        service = fleet.service_upstreams.get(self._options.upstream)
        if service is not None:
            self._parts.queue.limit_running(service.concurrency)
        self.peers.tell(self.make_heartbeat())

    def make_heartbeat(self) -> Heartbeat:
        """Return what peers are told at an interval."""
        return Heartbeat(
            self.peer_sync.number,
            leaving=self.gate.is_leaving,
            load=self.load,
        )

    def make_acceptor(self) -> Acceptor:
        """Return what a new peer is told in its handshake."""
        options = self._options
        return Acceptor(
            options.peer,
            options.upstream,
            self.supervisor.kind,
            options.data_centre,
            self.peer_sync.number,
            self.gate.is_leaving,
            self._boot,
        )

    async def _pump(self) -> None:
        metrics = self._parts.journal.metrics
        while True:
            self._spans.expire()
            self._scheduler.pump()
            self._note_load()
            metrics.set_queue_length(self.load.queued)
            metrics.set_running(self.load.running)
            await asyncio.sleep(PUMP_S)

    def _note_load(self) -> None:
        own = self._scheduler.load()
        beside = sum(one.unqueued_prefill_tokens for one in self.registry)
        load = msgspec.structs.replace(
            own,
            prefill_tokens=own.prefill_tokens + beside,
        )
        self.load = self.supervisor.add_report(load)
        if self.load.prefill_tokens_per_s != own.prefill_tokens_per_s:
            self._parts.queue.set_rate(self.load.prefill_tokens_per_s)

    def _note_death(self) -> None:
        begun = self.registry.stop_begun(StopCause.UPSTREAM_DIED)
        self._scheduler.hand_back(_DIED)
        self._parts.journal.log.error(
            'upstream died',
            attempts=[one.submit.attempt for one in begun],
        )
        self.peer_sync.note_crashes(one.submit for one in begun)

    def _make_supervisor(self) -> Supervisor:
        match self._parts.behind:
            case ServiceBehind(service):
                return ServiceSupervisor(service)
            case EngineBehind(engine):
                needs = SupervisorContext(
                    self._control,
                    self._parts.clock,
                    self.registry,
                    self._spans,
                    self.gate,
                    self._options.reconcile_s,
                )
                return EngineSupervisor(
                    engine, needs, on_death=self._note_death
                )

    def _make_intake(self, tasks: Tasks) -> Intake:
        supervisor = self.supervisor
        context = AttemptContext(
            self._parts.clock,
            self._scheduler,
            Ledger(self._parts.clock),
            self._answers,
            supervisor.send_call,
            self._options.join_s,
            self._parts.journal,
            supervisor.confirm,
            supervisor.abandon,
        )
        return Intake(
            supervisor.kind,
            context,
            boot=self._boot,
            registry=self.registry,
            spans=self._spans,
            isolation=SuspectIsolation(self._parts.suspects),
            gate=self.gate,
            start=tasks.start,
        )
