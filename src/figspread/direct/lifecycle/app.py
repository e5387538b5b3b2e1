"""Assembles a direct entry and runs its life cycle."""

import asyncio
from collections.abc import Iterable
from contextlib import suppress
from functools import partial
from typing import Final

import msgspec

from figspread import __version__
from figspread.background import BackgroundTasks, TaskFaults, TaskFunction
from figspread.clock import Clock
from figspread.direct.adapter import PlatformCodec, StoreClient
from figspread.direct.lifecycle.assembly import build_components
from figspread.direct.lifecycle.drain import Drain
from figspread.direct.lifecycle.listeners import ListenerHooks, Listeners
from figspread.direct.lifecycle.probe_answers import ProbeAnswers
from figspread.direct.lifecycle.quarantine_records import QuarantineRecords
from figspread.direct.lifecycle.settings import DirectSettings, StoreKinds
from figspread.direct.lifecycle.stop_signal import handle_stop_signal
from figspread.direct.peers.peers import Peers
from figspread.direct.requests.placing import Placer
from figspread.direct.requests.send_gate import SendGate
from figspread.direct.requests.serving import RequestServer
from figspread.direct.state.placements import PlacementRegistry
from figspread.direct.store.follower import StoreFollower
from figspread.direct.store.registration import EntryRecord, EntryRegistration
from figspread.http1.buffers import BufferPool
from figspread.http1.pool import ConnectionPool
from figspread.http1.requests import CallerLimits
from figspread.policy.planned_stop import plan_stop
from figspread.telemetry.closing_reports import ClosingReports
from figspread.telemetry.logs import Log

# Longest interval between attempts to place queued requests.
QUEUE_CHECK_INTERVAL_S: Final = 0.1
# Interval of closing idle connections, expiring placements and setting gauges.
HOUSEKEEPING_INTERVAL_S: Final = 1.0
# Time limit for releasing reservations at a stop without a drain; the rest expire
# by themselves.
RELEASE_TIMEOUT_S: Final = 0.3
# Time from the start until the exporter of metrics is loaded, so that callers who
# wait for the start are served first.
METRICS_LOAD_DELAY_S: Final = 5.0


class DirectEntry:
    """One entry process with all its parts.

    Call `start` once, then `leave` to drain or `stop` to end at once. `done`
    is set when it has stopped.
    """

    def __init__(
        self,
        cfg: DirectSettings,
        kinds: StoreKinds,
        codec: PlatformCodec,
        facts: StoreClient,
        log: Log,
        clock: Clock,
    ) -> None:
        """Create the parts; nothing runs yet."""
        shares = cfg.shares
        answers = BufferPool(shares.answer_bytes)
        self._cfg = cfg
        self._kinds = kinds
        self._parts = build_components(
            cfg,
            codec,
            facts,
            log,
            clock,
            self._handle_placement_change,
            ConnectionPool(clock, answers, shares.idle_upstreams),
        )
        self._closings = ClosingReports(clock, log, self._parts.metrics)
        self._clock = clock
        self._log = log
        self._task_faults = TaskFaults(log, self._parts.metrics)
        self._tasks = BackgroundTasks(clock, self._task_faults)
        self._follower = StoreFollower(self._parts)
        self._peers = Peers(self._parts, cfg.peers, self._follower, self._tasks)
        self._registration = EntryRegistration(
            self._parts,
            EntryRecord(kinds.entries, cfg.vm, cfg.peers),
            self._follower.watch,
            self._handle_entry_list,
        )
        self._quarantine_records = QuarantineRecords(
            self._parts,
            kinds.quarantines,
            self._follower.watch,
            self._peers.view,
        )
        gate = SendGate(
            self._parts,
            self._peers.permits,
            self._peers.view.count_entries,
            self.count_entries,
        )
        self._server = RequestServer(
            self._parts,
            Placer(self._parts, self._peers, gate),
            gate,
        )
        probes = ProbeAnswers(lambda: self.is_ready, self._parts.metrics)
        self._listeners = Listeners(
            ListenerHooks(
                self._server.serve,
                probes.answer,
                self._find_caller_limits,
                lambda: self._is_leaving,
                self._log_unhandled,
            ),
            shares,
            answers,
            self._closings,
        )
        self._conns = self._listeners.callers
        self._is_leaving = False
        self.done = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether it has a configuration and upstreams and isn't leaving."""
        return self._parts.startup.is_open and not self._is_leaving

    @property
    def version(self) -> int:
        """The version of the configuration in force, or 0 without one."""
        return self._parts.holder.version

    @property
    def peer_address(self) -> str:
        """The `ip:port` where this entry listens for other entries."""
        return self._cfg.peers

    @property
    def placements(self) -> PlacementRegistry:
        """The known placements of all entries."""
        return self._parts.placements

    def count_placed(self) -> int:
        """Return the number of known placements of all entries."""
        return self._parts.placements.count()

    def count_entries(self) -> int:
        """Return the number of connected entries, including this one."""
        return self._peers.entry_count

    async def start(self) -> None:
        """Listen, follow the store, and connect to the other entries."""
        self._log.info(
            'process started',
            program_version=__version__,
            settings=msgspec.to_builtins(self._cfg),
        )
        asyncio.get_running_loop().set_exception_handler(
            self._task_faults.handle_loop_exception
        )
        await self._peers.start()
        await self._listeners.open_for_callers(self._cfg.callers)
        await self._listeners.open_for_probes(self._cfg.readiness)
        await self._listeners.open_for_probes(self._cfg.metrics)
        self._start_tasks()
        self._peers.connect_to(self._cfg.seeds)

    def reload(self, cfg: DirectSettings) -> None:
        """Connect to new seeds; other settings apply at the next start."""
        self._log.info('settings reloaded', seeds=list(cfg.seeds))
        self._peers.connect_to(cfg.seeds)

    def leave_on_stop_signal(self) -> None:
        """Call `leave` when the platform asks this process to stop."""
        handle_stop_signal(self._clock, self.leave)

    def leave(self, asked_s: float | None = None) -> None:
        """Drain, then stop, by the schedule of `policy.planned_stop`.

        `asked_s` is the clock time at which the platform has asked for it, by
        default now.

        Connections are still accepted at first, with the requests that are
        expected to end in time. The entry stops after the last request. Those
        that still run at the end get a final answer.
        """
        if not self._is_leaving:
            self._is_leaving = True
            self._peers.announce_leaving()
            started_s = self._clock.now() if asked_s is None else asked_s
            self._tasks.run_to_end('drain', partial(self._drain, started_s))

    async def _drain(self, started_s: float) -> None:
        drain = Drain(self._server, self._conns, self._clock, self._log)
        schedule = plan_stop(started_s, self._cfg.grace_s)
        await drain.run(started_s, schedule, self._listeners.close_gently)
        await self.stop(schedule.release_s)

    async def stop(self, release_s: float = RELEASE_TIMEOUT_S) -> None:
        """Stop at once and break off running requests.

        Memory at engines is released for up to `release_s` seconds.
        """
        self._listeners.close()
        try:
            await self._peers.stop()
            with suppress(TimeoutError):
                async with asyncio.timeout(release_s):
                    await self._server.memory_reservations.wait_for_releases()
        finally:
            self._tasks.cancel_all()
            self.done.set()

    def _start_tasks(self) -> None:
        kinds = self._kinds
        follower = self._follower
        endless: dict[str, TaskFunction] = {
            'configuration': partial(
                follower.follow_configuration,
                kinds.configuration,
                kinds.configuration_name,
            ),
            'upstreams': partial(follower.follow_upstreams, kinds.upstreams),
            'store check': partial(follower.check_store, kinds.entries),
            'registration': self._registration.run,
            'quarantine records': self._quarantine_records.run,
            'heartbeats': self._peers.send_heartbeats,
            'housekeeping': self._run_housekeeping,
        }
        if self._parts.is_evacuation_enabled:
            endless['evacuations'] = partial(
                follower.follow_evacuations, kinds.evacuations
            )
            endless['evacuation ends'] = self._parts.evacuations.run
        for name, run in endless.items():
            self._tasks.keep_running(name, run)
        self._tasks.run_to_end('metrics', self._load_metrics)

    def _can_know(self) -> bool:
        return self._follower.watch.is_current or self._peers.view.has_peers()

    def _handle_placement_change(self) -> None:
        self._parts.queue.notify()
        self._parts.turns.notify()

    def _find_caller_limits(self) -> CallerLimits:
        deployment = self._parts.holder.current
        return CallerLimits() if deployment is None else deployment.limits

    def _log_unhandled(self, exc: Exception) -> None:
        self._log.error(
            'unhandled exception while serving request', why=repr(exc)
        )

    async def _run_housekeeping(self) -> None:
        rounds = 0
        while True:
            await asyncio.sleep(QUEUE_CHECK_INTERVAL_S)
            rounds += 1
            self._parts.quarantine.update()
            self._parts.queue.recheck()
            self._parts.cold.update(
                self._log, self._parts.metrics, can_know=self._can_know()
            )
            self._parts.queue.notify()
            self._parts.startup.update()
            self._parts.watch_duty.update(
                is_complete=self._registration.is_done
                and self._parts.startup.is_open
            )
            self._peers.update_watch_status()
            # The source `lapse` means that the grace period of an upstream that
            # is missing from the store's listing is over.
            for name in self._parts.registry.drop_missing():
                self._log.info(
                    'upstream removed', upstream=name, source='lapse'
                )
            if (
                rounds % round(HOUSEKEEPING_INTERVAL_S / QUEUE_CHECK_INTERVAL_S)
                == 0
            ):
                self._parts.pool.close_idle()
                self._parts.placements.drop_expired()
                self._forget_unlisted()
                self._share_retry_budget()
                self._update_gauges()

    def _forget_unlisted(self) -> None:
        upstreams = self._parts.registry.upstreams_by_id.values()
        self._parts.notices.keep_only(upstreams)
        self._parts.slowdowns.update(upstreams)

    def _handle_entry_list(self, addresses: Iterable[str]) -> None:
        self._peers.connect_to_listed(addresses)
        self._share_retry_budget()

    def _share_retry_budget(self) -> None:
        budget = self._parts.retry_budget
        entries_before = budget.entries
        budget.record_entries(self._peers.view.count_entries())
        if budget.entries != entries_before:
            self._log.info('repeat budget shared', entries=budget.entries)

    async def _load_metrics(self) -> None:
        # In a thread, as streams would pause meanwhile.
        await asyncio.sleep(METRICS_LOAD_DELAY_S)
        await asyncio.to_thread(self._parts.metrics.load)

    def _update_gauges(self) -> None:
        metrics = self._parts.metrics
        metrics.set_running(self._conns.count_busy())
        metrics.set_queue_length(len(self._parts.queue))
        metrics.set_config_number(self._parts.holder.version)
        metrics.gauges.update('slow', self._parts.slowdowns.slow_count)
        metrics.gauges.update('callers', self._conns.count_open())
        self._closings.flush()
