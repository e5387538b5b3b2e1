"""Entries and agents as far as a configuration concerns them."""

import asyncio
import random
import threading
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Final

import urllib3

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
from figspread.ids import DataCentreId, PeerId, UpstreamId
from figspread.inner.connection import Connection, Timeouts
from figspread.inner.handshake import Opener, open_connection
from figspread.inner.heartbeat import keep_alive
from figspread.inner.messages import Heartbeat
from figspread.platform.objects import HttpObjectStore
from figspread.policy.queue import QueueLimits, TokenQueue
from figspread.policy.suspects import SuspectRegistry

# What the settings have if they name nothing else.
DEFAULT_HEARTBEAT_S: Final = 1.0
SILENT_HEARTBEATS: Final = 4
STORE_TIMEOUT_S: Final = 2
START_LIMIT_S: Final = 30


class InForce:
    """When each number came into force in one process."""

    def __init__(self, holder: FleetHolder) -> None:
        """Follow `holder` from now on."""
        self.holder = holder
        self.times: dict[int, float] = {}
        self.has_gone_back = False
        holder.subscribe(self._note)

    def _note(self, fleet: Fleet) -> None:
        self.has_gone_back |= any(one > fleet.number for one in self.times)
        self.times[fleet.number] = time.monotonic()


class SpreadEntry:
    """An entry's links and its watch of the store."""

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
        """Prepare; `start` connects."""
        self._timeouts = timeouts
        self._peer = PeerId(name)
        self._home = home
        self._clock = MonotonicClock()
        self.in_force = InForce(FleetHolder())
        rng = random.Random(name)
        context = LinkContext(
            clock=self._clock,
            rng=rng,
            holder=self.in_force.holder,
            connect=self._open,
            send_heartbeats=self._keep,
            on_suspects=lambda _suspects: None,
        )
        self.links = Links(loop, context, home=home)
        self.in_force.holder.subscribe(self.links.apply_fleet)
        self.is_watcher = is_watcher(self._peer, peers)
        self._watcher = FleetWatcher(
            HttpObjectStore(
                store_url,
                timeout_s=STORE_TIMEOUT_S,
                pool=urllib3.PoolManager(),
            ),
            self.in_force.holder,
            rng=rng,
            is_needed=self._needs_store,
        )

    def start(self) -> None:
        """Read the store and connect to the agents that it names."""
        self._watcher.start()

    def stop(self) -> None:
        """End watch and links."""
        self._watcher.stop()
        self.links.close()

    def count_open(self) -> int:
        """Return how many agents it is connected to."""
        states = [link.state for link in self.links.list_links()]
        return states.count(LinkState.OPEN)

    def _needs_store(self) -> bool:
        return self.is_watcher or not self.in_force.holder.fleet.number

    async def _open(self, address: str) -> OpenResult:
        return await open_connection(
            'ws://{0}'.format(address),
            Opener(self._peer, self._home, self.in_force.holder.fleet.number),
            secret=SECRET,
            timeouts=self._timeouts,
            clock=self._clock,
        )

    def _keep(self, conn: Connection) -> Coroutine[Any, Any, None]:
        holder = self.in_force.holder
        return keep_alive(conn, lambda: Heartbeat(holder.fleet.number))


class SpreadAgents:
    """Agents beside idle engines, on one event loop of their own."""

    def __init__(self, count: int, timeouts: Timeouts) -> None:
        """Prepare `count` agents."""
        self._timeouts = timeouts
        self._count = count
        self._loop = LoopThread()
        self._apps: list[AgentApp] = []
        self.in_force: list[InForce] = []

    def start(self) -> Sequence[str]:
        """Start all and return their addresses."""
        self._loop.start()
        self._loop.spawn(self._start_all()).result(START_LIMIT_S)
        return ['127.0.0.1:{0}'.format(app.port) for app in self._apps]

    def stop(self) -> None:
        """Stop all."""
        self._loop.spawn(self._stop_all()).result(START_LIMIT_S)
        self._loop.stop()

    async def _start_all(self) -> None:
        for place in range(self._count):
            app = self._make(place)
            await app.start()
            self._apps.append(app)

    async def _stop_all(self) -> None:
        await asyncio.gather(*(app.stop() for app in self._apps))

    def _make(self, place: int) -> AgentApp:
        clock = MonotonicClock()
        holder = FleetHolder()
        self.in_force.append(InForce(holder))
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
            PeerId('agent-{0}'.format(place)),
            UpstreamId('engine-{0}'.format(place)),
            DataCentreId('mu-0'),
            timeouts=self._timeouts,
        )
        return AgentApp(parts, options)


def wait_until(is_so: Callable[[], bool], limit_s: float) -> bool:
    """Look again and again; tell whether it was so within `limit_s`."""
    pause = threading.Event()
    ends = time.monotonic() + limit_s
    while not is_so():
        if time.monotonic() > ends:
            return False
        pause.wait(0.01)
    return True
