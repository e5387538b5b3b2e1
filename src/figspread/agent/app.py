"""The agent as an application with life-cycle hooks."""

import asyncio
from enum import Enum
from typing import Final

from figspread.agent.core import AgentCore
from figspread.agent.parts import AgentDependencies, AgentOptions
from figspread.agent.peers import PeersContext
from figspread.agent.status import AgentStatus
from figspread.background import BackgroundTasks, TaskFaults
from figspread.http.operator import OperatorCallbacks, make_operator_server
from figspread.http.server import HttpServer

# Bounds how long `stop` waits for attempts to end and memory to be freed.
STOP_TIMEOUT_S: Final = 2.0


class AgentState(Enum):
    """Life-cycle states of the agent."""

    NEW = 'new'
    READY = 'ready'
    LEAVING = 'leaving'
    STOPPED = 'stopped'


class AgentApp:
    """Owns all tasks, threads and connections of an agent.

    The life-cycle hooks `start`, `drain` and `stop` are called in this order
    on one event loop. The agent is ready once `start` has returned.
    """

    def __init__(self, parts: AgentDependencies, options: AgentOptions) -> None:
        """Create the components; must be called on the event loop."""
        self.state = AgentState.NEW
        self._parts = parts
        self._options = options
        self._tasks = BackgroundTasks(
            parts.clock,
            TaskFaults(parts.telemetry.log, parts.telemetry.metrics),
        )
        self._core = AgentCore(parts, options, self._tasks)
        self._operator_server = self._make_operator_server()

    @property
    def port(self) -> int:
        """The port that the agent listens on, resolved if `port` was 0."""
        return self._core.peers.port

    @property
    def operator_port(self) -> int:
        """The port of the operator server, or 0 without one."""
        return (
            0 if self._operator_server is None else self._operator_server.port
        )

    @property
    def status(self) -> AgentStatus:
        """The state of this agent, for its status page."""
        core = self._core
        return AgentStatus(
            self._options.peer,
            self._options.upstream,
            self._options.data_centre,
            self.state.value,
            core.admission.is_down,
            core.peer_sync.config_number,
            len(core.peers),
            len(core.registry),
            core.load,
        )

    async def start(self) -> None:
        """Start to serve peers; raises `OSError` if it can't listen."""
        core = self._core
        await core.peers.listen(
            PeersContext(
                core.session_context,
                core.make_acceptor,
                core.make_heartbeat,
                self._tasks.start,
            ),
        )
        self._parts.holder.subscribe(core.apply_fleet)
        core.start(self._tasks)
        if self._operator_server is not None:
            self._operator_server.start()
        self.state = AgentState.READY

    async def drain(self) -> bool:
        """Refuse new attempts, notify all peers and wait for open attempts.

        Return whether all of them ended within `drain_limit_s` seconds.
        """
        self.state = AgentState.LEAVING
        self._core.announce_leaving()
        try:
            async with asyncio.timeout(self._options.drain_limit_s):
                await self._core.registry.wait_until_empty()
        except TimeoutError:
            return False
        finally:
            await self._core.wait_until_noticed()
        return True

    async def free_unowned(self) -> None:
        """Free at once what no attempt or span owns on the upstream."""
        await self._core.supervisor.free_unowned_memory()

    async def stop(self) -> None:
        """Stop open attempts and close everything; idempotent."""
        if self.state is AgentState.STOPPED:
            return
        self.state = AgentState.STOPPED
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._core.stop_attempts()
        except TimeoutError:
            self._parts.telemetry.log.warning('stopped with attempts running')
        self._tasks.cancel_all()
        await self._core.peers.close()
        if self._operator_server is not None:
            self._operator_server.stop()
        self._core.close()

    def _make_operator_server(self) -> HttpServer | None:
        port = self._options.operator_port
        if port is None:
            return None
        telemetry = self._parts.telemetry
        operator_needs = OperatorCallbacks(
            lambda: self.status,
            telemetry.trail.list_hops,
            telemetry.metrics.render,
            self._parts.request_stop,
        )
        return make_operator_server(operator_needs, port)
