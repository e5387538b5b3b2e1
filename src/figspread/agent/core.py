"""Creates and connects the components of an agent for one upstream."""

import asyncio
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import msgspec

from figspread.agent.attempt import AttemptContext
from figspread.agent.intake import LEAVING, AdmissionState, Intake
from figspread.agent.isolation import SuspectIsolation
from figspread.agent.leave import find_exit_time, would_be_cut
from figspread.agent.ledger import Ledger
from figspread.agent.loop_heartbeat import LoopHeartbeat
from figspread.agent.outcomes import StopCause
from figspread.agent.parts import (
    AgentDependencies,
    AgentOptions,
    EngineUpstream,
    PlainServiceUpstream,
)
from figspread.agent.peer_sync import PeerSync
from figspread.agent.peers import Peers
from figspread.agent.registry import AttemptRegistry
from figspread.agent.scheduler import AttemptScheduler
from figspread.agent.session import SessionContext
from figspread.agent.spans import SpanReservations
from figspread.agent.supervisor import (
    EngineSupervisor,
    ServiceSupervisor,
    Supervisor,
    SupervisorContext,
)
from figspread.background import BackgroundTasks
from figspread.config.fleet import Fleet
from figspread.inner.handshake import Acceptor
from figspread.inner.messages import Heartbeat, Load
from figspread.outcome import NotRun, NotRunReason

# Interval of the maintenance round. It drops expired reservations, starts or
# refuses queued jobs whose time has come, and updates the load and the metrics.
# Jobs also start at once when capacity becomes free.
MAINTENANCE_INTERVAL_S: Final = 0.1
# Threads for probes and cancellations, apart from those that read answers.
CONTROL_THREADS: Final = 4

_ENGINE_DIED: Final = NotRun(NotRunReason.NO_UPSTREAM, detail='the engine died')


class AgentCore:
    """The components between an agent's connections and its upstream.

    Owned by `AgentApp`; all methods run on the event loop.
    """

    def __init__(
        self,
        parts: AgentDependencies,
        options: AgentOptions,
        tasks: BackgroundTasks,
    ) -> None:
        """Create the components; none is active before `run`."""
        self.registry = AttemptRegistry()
        self.admission = AdmissionState()
        self._announced_s = parts.clock.now()
        self.load = Load()
        self.peers = Peers(parts, options)
        self._boot_id = uuid.uuid4().hex
        self._parts = parts
        self._options = options
        self._answer_executor = ThreadPoolExecutor(
            options.answer_threads, 'answer'
        )
        self._control_executor = ThreadPoolExecutor(CONTROL_THREADS, 'control')
        self._scheduler = AttemptScheduler(parts.queue)
        self._span_reservations = SpanReservations(parts.queue, parts.clock)
        self.supervisor = self._make_supervisor()
        self.peer_sync = PeerSync(
            parts.holder,
            parts.suspects,
            parts.clock,
            broadcast=self.peers.broadcast,
        )
        self.session_context = SessionContext(
            self._make_intake(tasks),
            self.peer_sync,
            self._span_reservations,
            LoopHeartbeat(parts.clock),
            self.supervisor.trigger_reconcile,
        )

    def start(self, tasks: BackgroundTasks) -> None:
        """Maintain the queue, the spans and the upstream until cancelled."""
        heartbeat = self.session_context.loop_heartbeat
        tasks.keep_running('loop heartbeat', heartbeat.run)
        tasks.keep_running('maintenance', self._run_maintenance)
        for name, run in self.supervisor.list_tasks().items():
            tasks.keep_running(name, run)

    def announce_leaving(self) -> None:
        """Refuse attempts from now on, and tell all peers.

        Calls that wait and that the end of the drain might break off are
        refused too, so that their entries send them elsewhere.
        """
        self.admission.is_leaving = True
        self._announced_s = self._parts.clock.now()
        self.peers.broadcast(self.make_heartbeat())
        drain_limit_s = self._options.drain_limit_s
        self._scheduler.refuse_attempts(
            (
                attempt.submit.attempt
                for attempt in self.registry
                if would_be_cut(
                    attempt.submit, attempt.deadline.left_s(), drain_limit_s
                )
            ),
            LEAVING,
        )

    async def wait_until_noticed(self) -> None:
        """Wait until entries have stopped submitting attempts."""
        while True:
            exit_s = find_exit_time(
                self._announced_s, self.admission.submitted_s
            )
            left_s = exit_s - self._parts.clock.now()
            if left_s <= 0:
                return
            await asyncio.sleep(left_s)

    async def stop_attempts(self) -> None:
        """Stop all attempts and free what they hold on the upstream."""
        self.registry.stop_all(StopCause.AGENT_STOPS)
        await self.registry.wait_until_empty()
        await self.supervisor.free_unowned_memory()

    def close(self) -> None:
        """Shut down the executors without waiting for their threads.

        A thread that waits for the upstream ends when its call returns.
        """
        self._answer_executor.shutdown(wait=False, cancel_futures=True)
        self._control_executor.shutdown(wait=False, cancel_futures=True)

    def apply_fleet(self, fleet: Fleet) -> None:
        """Apply a new configuration and announce its number to all peers."""
        telemetry = self._parts.telemetry
        telemetry.metrics.set_config_number(fleet.number)
        telemetry.log.info('configuration applied', number=fleet.number)
        service = fleet.service_upstreams.get(self._options.upstream)
        if service is not None:
            self._parts.queue.set_running_limit(service.concurrency)
        self.peers.broadcast(self.make_heartbeat())

    def make_heartbeat(self) -> Heartbeat:
        """Return the heartbeat message with the current state and load."""
        return Heartbeat(
            self.peer_sync.config_number,
            leaving=self.admission.is_leaving,
            load=self.load,
        )

    def make_acceptor(self) -> Acceptor:
        """Return this agent's identity and state for a handshake."""
        options = self._options
        return Acceptor(
            options.peer,
            options.upstream,
            self.supervisor.kind,
            options.data_centre,
            self.peer_sync.config_number,
            self.admission.is_leaving,
            self._boot_id,
        )

    async def _run_maintenance(self) -> None:
        metrics = self._parts.telemetry.metrics
        while True:
            self._span_reservations.expire()
            self._scheduler.dispatch()
            self._update_load()
            metrics.set_queue_length(self.load.queued)
            metrics.set_running(self.load.running)
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    def _update_load(self) -> None:
        queue_load = self._scheduler.load()
        span_prefill_tokens = sum(
            attempt.unqueued_prefill_tokens for attempt in self.registry
        )
        load = msgspec.structs.replace(
            queue_load,
            prefill_tokens=queue_load.prefill_tokens + span_prefill_tokens,
        )
        self.load = self.supervisor.merge_report(load)
        if self.load.prefill_tokens_per_s != queue_load.prefill_tokens_per_s:
            self._parts.queue.set_prefill_rate(self.load.prefill_tokens_per_s)

    def _handle_engine_death(self) -> None:
        begun = self.registry.stop_begun(StopCause.UPSTREAM_DIED)
        self._scheduler.refuse_waiting(_ENGINE_DIED)
        self._parts.telemetry.log.error(
            'upstream died',
            attempts=[stopped.submit.attempt for stopped in begun],
        )
        self.peer_sync.record_crashes(stopped.submit for stopped in begun)

    def _make_supervisor(self) -> Supervisor:
        match self._parts.upstream:
            case PlainServiceUpstream(service):
                return ServiceSupervisor(service)
            case EngineUpstream(engine):
                context = SupervisorContext(
                    self._control_executor,
                    self._parts.clock,
                    self.registry,
                    self._span_reservations,
                    self.admission,
                    self._options.reconcile_s,
                )
                return EngineSupervisor(
                    engine, context, on_engine_death=self._handle_engine_death
                )

    def _make_intake(self, tasks: BackgroundTasks) -> Intake:
        supervisor = self.supervisor
        context = AttemptContext(
            self._parts.clock,
            self._scheduler,
            Ledger(self._parts.clock),
            self._answer_executor,
            supervisor.send_call,
            self._options.join_s,
            self._parts.telemetry,
            supervisor.check_upstream,
            supervisor.cancel_attempt,
        )
        return Intake(
            supervisor.kind,
            context,
            boot_id=self._boot_id,
            registry=self.registry,
            spans=self._span_reservations,
            isolation=SuspectIsolation(self._parts.suspects),
            admission=self.admission,
            start_task=tasks.start,
        )
