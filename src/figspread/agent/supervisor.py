"""Supervision of the upstream: health, load report and cleanup."""

from collections.abc import Callable, Mapping
from concurrent.futures import Executor
from typing import Protocol

import msgspec
from result import Result

from figspread.agent.intake import AdmissionState
from figspread.agent.probe import Probe
from figspread.agent.reconcile import Reconciler
from figspread.agent.registry import AttemptRegistry
from figspread.agent.spans import SpanReservations
from figspread.background import TaskFunction
from figspread.clock import Clock
from figspread.inner.messages import Load, Submit, UpstreamKind
from figspread.upstream.types import (
    Answer,
    Engine,
    Service,
    UpstreamCall,
    UpstreamFault,
)


class Supervisor(Protocol):
    """The agent's interface to its upstream, of either kind."""

    @property
    def kind(self) -> UpstreamKind:
        """The kind of the upstream."""

    def send_call(self, call: UpstreamCall) -> Result[Answer, UpstreamFault]:
        """Send a request to the upstream; blocks."""

    def merge_report(self, agent_load: Load) -> Load:
        """Return the agent's load with the upstream's report merged in."""

    def cancel_attempt(self, submit: Submit) -> None:
        """Schedule the cancellation of a begun attempt on the upstream."""

    def trigger_reconcile(self) -> None:
        """Start a search for unowned memory on the upstream now."""

    async def check_upstream(self) -> None:
        """Check whether the upstream has died."""

    async def free_unowned_memory(self) -> None:
        """Cancel abandoned attempts and free unowned memory now."""

    def list_tasks(self) -> Mapping[str, TaskFunction]:
        """Return what has to run as long as the agent does, by name."""


class SupervisorContext(msgspec.Struct, frozen=True):
    """Dependencies of `EngineSupervisor`; `reconcile_s` is in seconds."""

    executor: Executor
    clock: Clock
    registry: AttemptRegistry
    spans: SpanReservations
    admission: AdmissionState
    reconcile_s: float


class EngineSupervisor:
    """Monitors an engine's health and frees memory that nothing owns."""

    kind = UpstreamKind.ENGINE

    def __init__(
        self,
        engine: Engine,
        context: SupervisorContext,
        *,
        on_engine_death: Callable[[], None],
    ) -> None:
        """Call `on_engine_death` each time the engine has died."""
        self._engine = engine
        self._admission = context.admission
        self._on_engine_death = on_engine_death
        self._probe = Probe(
            engine,
            context.executor,
            context.clock,
            on_status_change=self._handle_status_change,
        )
        self._reconciler = Reconciler(
            engine,
            context.executor,
            registry=context.registry,
            spans=context.spans,
            interval_s=context.reconcile_s,
        )

    def send_call(self, call: UpstreamCall) -> Result[Answer, UpstreamFault]:
        """Send a request to the engine; blocks."""
        return self._engine.submit(call)

    def merge_report(self, agent_load: Load) -> Load:
        """Return the agent's load with the engine's report merged in."""
        return self._probe.merge_report(agent_load)

    def cancel_attempt(self, submit: Submit) -> None:
        """Cancel an attempt, repeatedly until the engine no longer lists it."""
        self._reconciler.cancel_until_gone(submit)

    def trigger_reconcile(self) -> None:
        """Compare with the engine's list of holdings now."""
        self._reconciler.trigger()

    async def check_upstream(self) -> None:
        """Check whether the engine has died."""
        await self._probe.check_now()

    async def free_unowned_memory(self) -> None:
        """Cancel abandoned attempts and free unowned memory, once."""
        await self._reconciler.reconcile()

    def list_tasks(self) -> Mapping[str, TaskFunction]:
        """Return what has to run as long as the agent does, by name."""
        return {'probe': self._probe.run, 'reconciler': self._reconciler.run}

    def _handle_status_change(self, *, is_down: bool, has_died: bool) -> None:
        self._admission.is_down = is_down
        if has_died:
            self._on_engine_death()


class ServiceSupervisor:
    """Forwards calls to a plain service, which needs no supervision."""

    kind = UpstreamKind.SERVICE

    def __init__(self, service: Service) -> None:
        """Forward calls to `service`."""
        self._service = service

    def send_call(self, call: UpstreamCall) -> Result[Answer, UpstreamFault]:
        """Send a request to the service; blocks."""
        return self._service.call(call)

    def merge_report(self, agent_load: Load) -> Load:
        """Return the agent's load: a plain service reports none."""
        return agent_load

    def cancel_attempt(self, submit: Submit) -> None:
        """Do nothing: a call of a plain service can't be cancelled."""

    def trigger_reconcile(self) -> None:
        """Do nothing: a plain service holds no memory for the agent."""

    async def check_upstream(self) -> None:
        """Do nothing: the health of a plain service isn't checked."""

    async def free_unowned_memory(self) -> None:
        """Do nothing: a plain service holds no memory for the agent."""

    def list_tasks(self) -> Mapping[str, TaskFunction]:
        """Return nothing: a plain service needs no supervision."""
        return {}
