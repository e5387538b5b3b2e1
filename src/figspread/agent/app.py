"""The agent as an application with life-cycle hooks."""

import asyncio
from enum import Enum
from typing import Final

from figspread.agent.core import AgentCore, Tasks
from figspread.agent.parts import AgentOptions, AgentParts
from figspread.agent.peers import PeersNeeds
from figspread.agent.status import AgentStatus
from figspread.http.operator import OperatorNeeds, make_operator_server
from figspread.http.server import HttpServer

STOP_LIMIT_S: Final = 2.0


class AgentState(Enum):
    """Where the application is in its life."""

    NEW = 'new'
    READY = 'ready'
    LEAVING = 'leaving'
    STOPPED = 'stopped'


class AgentApp:
    """Owns all tasks, threads and connections of an agent.

    The hooks are called in the order `start`, `drain`, `stop`, on one event
    loop. The agent is ready when `start` has returned.
    """

    def __init__(self, parts: AgentParts, options: AgentOptions) -> None:
        """Put the parts together; call this on the event loop."""
        self.state = AgentState.NEW
        self._parts = parts
        self._options = options
        self._tasks = Tasks(parts)
        self._core = AgentCore(parts, options, self._tasks)
        self._operator = self._make_operator()

    @property
    def port(self) -> int:
        """The port that the agent listens on, also when it was 0."""
        return self._core.peers.port

    @property
    def operator_port(self) -> int:
        """The port of the operator's pages, or 0 if there are none."""
        return 0 if self._operator is None else self._operator.port

    @property
    def status(self) -> AgentStatus:
        """What an operator sees of this agent."""
        core = self._core
        return AgentStatus(
            self._options.peer,
            self._options.upstream,
            self._options.data_centre,
            self.state.value,
            core.gate.is_down,
            core.peer_sync.number,
            len(core.peers),
            len(core.registry),
            core.load,
        )

    async def start(self) -> None:
        """Listen; raises `OSError` on a bad address."""
        core = self._core
        await core.peers.listen(
            PeersNeeds(
                core.session,
                core.make_acceptor,
                core.make_heartbeat,
                self._tasks.start,
            ),
        )
        self._parts.holder.subscribe(core.follow)
        self._tasks.start(core.run())
        if self._operator is not None:
            self._operator.start()
        self.state = AgentState.READY

    async def drain(self) -> bool:
        """Take no new work, tell all peers, and let what is open finish.

        Return whether all ended within `drain_limit_s`.
        """
        core = self._core
        self.state = AgentState.LEAVING
        core.gate.is_leaving = True
        core.peers.tell(core.make_heartbeat())
        try:
            async with asyncio.timeout(self._options.drain_limit_s):
                await core.registry.wait_until_empty()
        except TimeoutError:
            return False
        return True

    async def free_unowned(self) -> None:
        """Free now what nobody owns on the upstream."""
        await self._core.supervisor.clear()

    async def stop(self) -> None:
        """End what is still open and close everything; once is enough."""
        if self.state is AgentState.STOPPED:
            return
        self.state = AgentState.STOPPED
        try:
            async with asyncio.timeout(STOP_LIMIT_S):
                await self._core.clear()
        except TimeoutError:
            self._parts.journal.log.warning('stopped with attempts running')
        self._tasks.cancel()
        await self._core.peers.close()
        if self._operator is not None:
            self._operator.stop()
        self._core.close()

    def _make_operator(self) -> HttpServer | None:
        port = self._options.operator_port
        if port is None:
            return None
        journal = self._parts.journal
        needs = OperatorNeeds(
            lambda: self.status,
            journal.trail.list_hops,
            journal.metrics.render,
            self._parts.ask_stop,
        )
        return make_operator_server(needs, port)
