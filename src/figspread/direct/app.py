"""A direct entry's life: start, reload, leave, stop."""

import asyncio
import random
import uuid
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any, Final

import msgspec

from figspread.clock import Clock
from figspread.direct.admission_queue import AdmissionQueue
from figspread.direct.crashes import CrashTracker
from figspread.direct.follow import Follower
from figspread.direct.holder import DeploymentHolder
from figspread.direct.parts import Parts
from figspread.direct.peers import Peers
from figspread.direct.placements import PlacementRegistry
from figspread.direct.placing import Placer
from figspread.direct.registry import Registry
from figspread.direct.serving import CallerServer
from figspread.direct.wire import Facts, Listing, StoreFault, Wire
from figspread.http1.caller import CallerConnection, CallerLimits, Request
from figspread.http1.pool import ConnectionPool
from figspread.ids import DataCentreId, PeerId
from figspread.policy.engine_pace import EnginePaces
from figspread.policy.placement import PlacementName
from figspread.policy.repeats import RepeatBudget
from figspread.policy.suspects import SuspectLimits, Suspects
from figspread.telemetry.logs import Log
from figspread.telemetry.metrics import Metrics

# Waiting requests look for places at least this often.
TICK_S: Final = 0.1
HOUSEKEEPING_S: Final = 1.0
# Pause before an entry that could not publish itself tries again.
JOIN_AGAIN_S: Final = 0.2
# A leaving entry takes new connections for this long: the balancer needs two
# checks, one a second, to take it out.
LISTEN_S: Final = 2.5
# What is left of the grace is for the last writes and the exit.
LEAVE_MARGIN_S: Final = 1.0
# After the last connection was accepted, for the request that comes on it.
LAST_LOOK_S: Final = 0.02
# Tickets that can't be given back by then run out by themselves.
SETTLE_S: Final = 0.5
# A deadly request that comes again later than this may try its luck once more.
SUSPECT_S: Final = 60.0
BACKLOG: Final = 512


class DirectSettings(msgspec.Struct, frozen=True):
    """What a direct entry is told at its start; addresses are `ip:port`."""

    vm: str
    data_centre: DataCentreId
    callers: str
    readiness: str
    peers: str
    metrics: str
    seeds: tuple[str, ...]
    grace_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float
    placement: PlacementName = PlacementName.ENGINE_TIME


class Kinds(msgspec.Struct, frozen=True):
    """What the platform's store calls the objects that an entry reads."""

    configuration: str
    configuration_name: str
    upstreams: str
    entries: str


class DirectEntry:
    """All parts of an entry; `start` and `leave` are its hooks."""

    def __init__(
        self,
        cfg: DirectSettings,
        kinds: Kinds,
        wire: Wire,
        facts: Facts,
        log: Log,
        clock: Clock,
    ) -> None:
        """Put the parts together; nothing runs before `start`."""
        queue = AdmissionQueue(clock)
        suspects = Suspects(clock, SuspectLimits(keep_s=SUSPECT_S))
        crashes = CrashTracker(clock, suspects, log)
        self._cfg = cfg
        self._kinds = kinds
        self._parts = Parts(
            entry=PeerId('{0}-{1}'.format(cfg.vm, uuid.uuid4().hex[:8])),
            home=cfg.data_centre,
            clock=clock,
            rng=random.Random(),
            placement=cfg.placement,
            log=log,
            metrics=Metrics(cfg.vm),
            wire=wire,
            facts=facts,
            holder=DeploymentHolder(),
            registry=Registry(clock, crashes.note_crash),
            placed=PlacementRegistry(clock, queue.notify),
            queue=queue,
            pool=ConnectionPool(clock),
            budget=RepeatBudget(
                clock,
                ratio=cfg.repeat_ratio,
                slack=cfg.repeat_slack,
                window_s=cfg.repeat_window_s,
            ),
            suspects=suspects,
            crashes=crashes,
            paces=EnginePaces(clock),
        )
        self._clock = clock
        self._log = log
        self._follower = Follower(self._parts)
        self._peers = Peers(self._parts, cfg.peers, self._follower)
        self._server = CallerServer(
            self._parts,
            Placer(self._parts, self._peers),
        )
        self._conns: set[CallerConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listeners: list[asyncio.Server] = []
        self._is_leaving = False
        self.done = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Tell whether new connections are welcome."""
        is_configured = (
            bool(self._parts.holder.version) and self._parts.registry.is_listed
        )
        return is_configured and not self._is_leaving

    @property
    def version(self) -> int:
        """The version of the configuration in force, 0 before the first."""
        return self._parts.holder.version

    @property
    def peer_address(self) -> str:
        """Where this entry listens for others."""
        return self._cfg.peers

    def count_placed(self) -> int:
        """Return how many placements are known, of all entries."""
        return self._parts.placed.count()

    async def start(self) -> None:
        """Listen, follow the store, and dial the other entries."""
        self._log.info(
            'process started', settings=msgspec.to_builtins(self._cfg)
        )
        await self._peers.start()
        await self._listen(self._cfg.callers, self._accept)
        await self._listen(self._cfg.readiness, self._accept_check)
        await self._listen(self._cfg.metrics, self._accept_check)
        kinds = self._kinds
        for work in (
            self._follower.follow_configuration(
                kinds.configuration,
                kinds.configuration_name,
            ),
            self._follower.follow_upstreams(kinds.upstreams),
            self._follower.check(kinds.entries),
            self._join(),
            self._peers.beat(),
            self._keep_house(),
        ):
            self._spawn(work)
        self._peers.add(self._cfg.seeds)

    def reload(self, cfg: DirectSettings) -> None:
        """Take new seeds; other settings hold from the next start on."""
        self._log.info('settings reloaded', seeds=list(cfg.seeds))
        self._peers.add(cfg.seeds)

    def leave(self) -> None:
        """Take no new callers; end when the last request has ended."""
        if not self._is_leaving:
            self._is_leaving = True
            self._peers.is_leaving = True
            self._spawn(self._leave())

    async def _leave(self) -> None:
        began = self._clock.now()
        self._log.info('shutdown started', requests=self._count_busy())
        ends = began + self._cfg.grace_s - LEAVE_MARGIN_S
        self._server.refuse_beyond(ends, began + LISTEN_S)
        await asyncio.sleep(LISTEN_S)
        for listener in self._listeners:
            listener.close()
        while self._count_busy() and self._clock.now() < ends:
            await asyncio.sleep(LAST_LOOK_S)
        self._log.info(
            'shutdown finished',
            requests=self._count_busy(),
            after_s=round(self._clock.now() - began, 2),
        )
        await self.stop()

    async def stop(self) -> None:
        """End at once: break off what still runs."""
        for conn in tuple(self._conns):
            conn.close()
        for listener in self._listeners:
            listener.close()
        await self._peers.stop()
        with suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S):
                await self._server.tickets.settle()
        for task in tuple(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()
        self.done.set()

    def _count_busy(self) -> int:
        self._conns = {conn for conn in self._conns if not conn.is_closed}
        return sum(conn.is_busy for conn in self._conns)

    def _limits(self) -> CallerLimits:
        deployment = self._parts.holder.current
        return CallerLimits() if deployment is None else deployment.limits

    def _accept(self) -> CallerConnection:
        conn = CallerConnection(
            self._server.serve,
            self._limits,
            lambda: self._is_leaving,
            self._note_fault,
        )
        self._conns.add(conn)
        return conn

    def _note_fault(self, exc: Exception) -> None:
        self._log.error(
            'unhandled exception while serving request', why=repr(exc)
        )

    def _accept_check(self) -> CallerConnection:
        return CallerConnection(
            self._check,
            CallerLimits,
            bool,
        )

    async def _check(self, request: Request, conn: CallerConnection) -> None:
        if request.target.startswith(b'/metrics'):
            await conn.respond(200, [], self._parts.metrics.render())
            return
        status = 200 if self.is_ready else 503
        await conn.respond(status, [], b'')

    async def _listen(
        self,
        address: str,
        accept: Callable[[], CallerConnection],
    ) -> None:
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._listeners.append(
            await loop.create_server(
                accept,
                host,
                int(port),
                backlog=BACKLOG,
                reuse_address=True,
            ),
        )

    async def _join(self) -> None:
        """Publish this entry's address and learn those of the others."""
        while True:
            try:
                listing = await self._follower.watch.call(self._publish)
            except StoreFault as exc:
                self._log.warning('entry registration failed', why=str(exc))
                await asyncio.sleep(JOIN_AGAIN_S)
                continue
            self._peers.add(
                address
                for stored in listing.rows
                if (address := _read_address(stored.document))
            )
            return

    async def _publish(self) -> Listing:
        facts, kind = self._parts.facts, self._kinds.entries
        row = msgspec.json.encode({'address': self._cfg.peers})
        # Of two that start at once the later writer lists both.
        await facts.publish(kind, self._cfg.vm, row)
        return await facts.list_kind(kind)

    async def _keep_house(self) -> None:
        passed = 0
        while True:
            await asyncio.sleep(TICK_S)
            passed += 1
            self._parts.queue.notify()
            for name in self._parts.registry.drop_missing():
                self._log.info(
                    'upstream removed', upstream=name, source='lapse'
                )
            if passed % round(HOUSEKEEPING_S / TICK_S) == 0:
                self._parts.pool.close_idle()
                self._parts.placed.drop_old()
                self._parts.budget.entries = self._peers.entries
                self._parts.metrics.set_running(self._count_busy())
                self._parts.metrics.set_queue_length(len(self._parts.queue))
                self._parts.metrics.set_config_number(
                    self._parts.holder.version
                )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error(
                'background task failed', why=repr(task.exception())
            )


def _read_address(document: bytes) -> str:
    try:
        return msgspec.json.decode(document, type=_EntryRow).address
    except msgspec.DecodeError:
        return ''


class _EntryRow(msgspec.Struct):
    address: str = ''
