"""What an agent does for the upstream that it stands beside."""

import asyncio
from collections.abc import Callable
from concurrent.futures import Executor
from typing import Protocol

import msgspec
from result import Result

from figspread.agent.intake import Gate
from figspread.agent.probe import Probe
from figspread.agent.reconcile import Reconciler
from figspread.agent.registry import AttemptRegistry
from figspread.agent.spans import Spans
from figspread.clock import Clock
from figspread.inner.messages import Load, Submit, UpstreamKind
from figspread.upstream.types import (
    Answer,
    Call,
    Engine,
    Service,
    UpstreamFault,
)


class Supervisor(Protocol):
    """One upstream, whatever its kind."""

    @property
    def kind(self) -> UpstreamKind:
        """What the upstream is."""

    def send_call(self, call: Call) -> Result[Answer, UpstreamFault]:
        """Send a request; blocks."""

    def add_report(self, own: Load) -> Load:
        """Return the agent's `own` load with what the upstream reports."""

    def abandon(self, submit: Submit) -> None:
        """Have an attempt cancelled that has begun and was not answered."""

    def poke(self) -> None:
        """Look for memory that nobody owns now."""

    async def confirm(self) -> None:
        """Look whether the upstream has died."""

    async def clear(self) -> None:
        """Cancel what was abandoned before the agent stops."""

    async def run(self) -> None:
        """Look after the upstream until cancelled."""


class SupervisorContext(msgspec.Struct, frozen=True):
    """What looking after an engine takes."""

    executor: Executor
    clock: Clock
    registry: AttemptRegistry
    spans: Spans
    gate: Gate
    reconcile_s: float


class EngineSupervisor:
    """Watches an engine and frees what nobody owns on it."""

    kind = UpstreamKind.ENGINE

    def __init__(
        self,
        engine: Engine,
        needs: SupervisorContext,
        *,
        on_death: Callable[[], None],
    ) -> None:
        """Call `on_death` each time the engine has died."""
        self._engine = engine
        self._gate = needs.gate
        self._on_death = on_death
        self._probe = Probe(
            engine,
            needs.executor,
            needs.clock,
            on_change=self._note_life,
        )
        self._reconciler = Reconciler(
            engine,
            needs.executor,
            registry=needs.registry,
            spans=needs.spans,
            interval_s=needs.reconcile_s,
        )

    def send_call(self, call: Call) -> Result[Answer, UpstreamFault]:
        """Send a request; blocks."""
        return self._engine.submit(call)

    def add_report(self, own: Load) -> Load:
        """Return the agent's `own` load with what the engine reports."""
        return self._probe.add_report(own)

    def abandon(self, submit: Submit) -> None:
        """Cancel an attempt until the engine's listing shows it gone."""
        self._reconciler.abandon(submit)

    def poke(self) -> None:
        """Compare with the engine's listing now."""
        self._reconciler.poke()

    async def confirm(self) -> None:
        """Look whether the engine has died."""
        await self._probe.confirm()

    async def clear(self) -> None:
        """Cancel what was abandoned, once more."""
        await self._reconciler.compare()

    async def run(self) -> None:
        """Watch and compare until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._probe.run())
            group.create_task(self._reconciler.run())

    def _note_life(self, *, is_down: bool, has_died: bool) -> None:
        self._gate.is_down = is_down
        if has_died:
            self._on_death()


class ServiceSupervisor:
    """Passes calls on to a plain service, which is left to itself."""

    kind = UpstreamKind.SERVICE

    def __init__(self, service: Service) -> None:
        """Call `service`."""
        self._service = service

    def send_call(self, call: Call) -> Result[Answer, UpstreamFault]:
        """Send a request; blocks."""
        return self._service.call(call)

    def add_report(self, own: Load) -> Load:
        """Return `own`: a plain service reports nothing."""
        return own

    def abandon(self, submit: Submit) -> None:
        """Do nothing: a plain service knows no cancel."""

    def poke(self) -> None:
        """Do nothing: a plain service holds nothing for us."""

    async def confirm(self) -> None:
        """Do nothing: a plain service has no life to look at."""

    async def clear(self) -> None:
        """Do nothing: nothing was abandoned."""

    async def run(self) -> None:
        """Do nothing."""
