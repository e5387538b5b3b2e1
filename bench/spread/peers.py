"""Entries and agents reduced to the parts that distribute configurations."""

import asyncio
import random
import threading
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Final

from bench.agent_fakes import SECRET, FakeEngine, make_telemetry
from figspread.agent.app import AgentApp
from figspread.agent.parts import (
    AgentDependencies,
    AgentOptions,
    EngineUpstream,
)
from figspread.clock import MonotonicClock
from figspread.config.fleet import Fleet
from figspread.config.holder import FleetHolder
from figspread.duties.distribution import FleetWatcher, is_watcher
from figspread.entry.link import LinkContext, LinkState, OpenResult
from figspread.entry.links import Links
from figspread.entry.loop import LoopThread
from figspread.http.client import ClientPool
from figspread.ids import DataCentreId, PeerId, UpstreamId
from figspread.inner.connection import Connection, Timeouts
from figspread.inner.handshake import Opener, open_connection
from figspread.inner.heartbeat import keep_alive
from figspread.inner.messages import Heartbeat
from figspread.platform.objects import HttpObjectStore
from figspread.policy.queue import QueueLimits, TokenQueue
from figspread.policy.suspects import SuspectRegistry

# Defaults of the settings; silence is given in heartbeats.
DEFAULT_HEARTBEAT_S: Final = 1.0
SILENCE_HEARTBEATS: Final = 4
STORE_TIMEOUT_S: Final = 2
START_TIMEOUT_S: Final = 30


class ConfigHistory:
    """Records when one process applied each configuration number.

    `times` holds seconds on the monotonic clock by number; `has_regressed`
    is set once a lower number was applied after a higher one.
    """

    def __init__(self, holder: FleetHolder) -> None:
        """Subscribe to `holder`."""
        self.holder = holder
        self.times: dict[int, float] = {}
        self.has_regressed = False
        holder.subscribe(self._record_config)

    def _record_config(self, fleet: Fleet) -> None:
        self.has_regressed |= any(
            applied > fleet.number for applied in self.times
        )
        self.times[fleet.number] = time.monotonic()


class SpreadEntry:
    """An entry with only its links to agents and its watch of the store."""

    def __init__(
        self,
        name: str,
        peers: Sequence[PeerId],
        home: DataCentreId,
        *,
        loop: LoopThread,
        store_url: str,
        timeouts: Timeouts,
    ) -> None:
        """Create links and watcher; `start` makes them connect."""
        self._timeouts = timeouts
        self._peer = PeerId(name)
        self._home = home
        self._clock = MonotonicClock()
        self.history = ConfigHistory(FleetHolder())
        rng = random.Random(name)
        context = LinkContext(
            clock=self._clock,
            rng=rng,
            holder=self.history.holder,
            connect=self._open_link,
            send_heartbeats=self._run_heartbeats,
            on_suspects=lambda _suspects: None,
        )
        self.links = Links(loop, context, home=home)
        self.history.holder.subscribe(self.links.apply_fleet)
        self.is_watcher = is_watcher(self._peer, peers)
        self._watcher = FleetWatcher(
            HttpObjectStore(
                store_url,
                timeout_s=STORE_TIMEOUT_S,
                pool=ClientPool(),
            ),
            self.history.holder,
            rng=rng,
            is_needed=self._needs_store,
        )

    def start(self) -> None:
        """Start to watch the store; links open to the agents it lists."""
        self._watcher.start()

    def stop(self) -> None:
        """Stop the watch and close the links."""
        self._watcher.stop()
        self.links.close()

    def count_open_links(self) -> int:
        """Return the number of open links to agents."""
        states = [link.state for link in self.links.list_links()]
        return states.count(LinkState.OPEN)

    def _needs_store(self) -> bool:
        return self.is_watcher or not self.history.holder.fleet.number

    async def _open_link(self, address: str) -> OpenResult:
        return await open_connection(
            'ws://{0}'.format(address),
            Opener(self._peer, self._home, self.history.holder.fleet.number),
            secret=SECRET,
            timeouts=self._timeouts,
            clock=self._clock,
        )

    def _run_heartbeats(self, conn: Connection) -> Coroutine[Any, Any, None]:
        holder = self.history.holder
        return keep_alive(conn, lambda: Heartbeat(holder.fleet.number))


class SpreadAgents:
    """Agents beside idle engines, all on one event loop."""

    def __init__(self, count: int, timeouts: Timeouts) -> None:
        """Prepare to start `count` agents."""
        self._timeouts = timeouts
        self._count = count
        self._loop = LoopThread()
        self._apps: list[AgentApp] = []
        self.histories: list[ConfigHistory] = []

    def start(self) -> Sequence[str]:
        """Start all agents and return their addresses as host:port."""
        self._loop.start()
        self._loop.spawn(self._start_agents()).result(START_TIMEOUT_S)
        return ['127.0.0.1:{0}'.format(app.port) for app in self._apps]

    def stop(self) -> None:
        """Stop all agents and the event loop."""
        self._loop.spawn(self._stop_agents()).result(START_TIMEOUT_S)
        self._loop.stop()

    async def _start_agents(self) -> None:
        for index in range(self._count):
            app = self._make_agent(index)
            await app.start()
            self._apps.append(app)

    async def _stop_agents(self) -> None:
        await asyncio.gather(*(app.stop() for app in self._apps))

    def _make_agent(self, index: int) -> AgentApp:
        clock = MonotonicClock()
        holder = FleetHolder()
        self.histories.append(ConfigHistory(holder))
        parts = AgentDependencies(
            EngineUpstream(FakeEngine()),
            TokenQueue(QueueLimits(1000, running_requests=16), clock),
            SuspectRegistry(clock),
            holder,
            clock,
            SECRET,
            make_telemetry(),
            lambda: None,
        )
        options = AgentOptions(
            PeerId('agent-{0}'.format(index)),
            UpstreamId('engine-{0}'.format(index)),
            DataCentreId('mu-0'),
            timeouts=self._timeouts,
        )
        return AgentApp(parts, options)


def wait_until(condition: Callable[[], bool], limit_s: float) -> bool:
    """Poll `condition` until it holds or `limit_s` seconds have passed.

    Returns whether it held in time.
    """
    pause = threading.Event()
    deadline = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline:
            return False
        pause.wait(0.01)
    return True
