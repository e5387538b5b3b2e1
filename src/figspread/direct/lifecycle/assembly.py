"""Builds the components of a direct entry from its settings."""

import random
from collections.abc import Callable
from typing import Final

from figspread.clock import Clock
from figspread.direct.adapter import PlatformCodec, StoreClient
from figspread.direct.components import EntryComponents
from figspread.direct.lifecycle.settings import DirectSettings
from figspread.direct.state.admission_queue import AdmissionQueue
from figspread.direct.state.cold_upstreams import ColdUpstreams
from figspread.direct.state.crash_probe import CrashProbe
from figspread.direct.state.crashes import CrashTracker
from figspread.direct.state.evacuations import Evacuations
from figspread.direct.state.holder import DeploymentHolder
from figspread.direct.state.part_quarantine import PartQuarantine
from figspread.direct.state.placements import PlacementRegistry
from figspread.direct.state.registry import UpstreamRegistry
from figspread.direct.state.slowdowns import SlowdownRegistry
from figspread.direct.state.startup import StartupGate
from figspread.direct.state.turns import PrefillTurns
from figspread.direct.state.upstream_notices import UpstreamNotices
from figspread.direct.state.watch_duty import WatchDuty
from figspread.http1.pool import ConnectionPool
from figspread.ids import new_peer_id
from figspread.policy.cold_upstreams import ColdBound
from figspread.policy.full_upstreams import FullUpstreams
from figspread.policy.repeats import BudgetTerms, RepeatBudget
from figspread.policy.store_reads import plan_store_reads
from figspread.policy.suspects import SuspectLimits, SuspectRegistry
from figspread.telemetry.evacuation_metrics import EvacuationMetrics
from figspread.telemetry.logs import Log
from figspread.telemetry.metrics import Metrics

# Time that a request stays suspected of crashing upstreams; after it the
# request may be tried again.
SUSPECT_TTL_S: Final = 60.0


def build_components(
    cfg: DirectSettings,
    codec: PlatformCodec,
    facts: StoreClient,
    log: Log,
    clock: Clock,
    handle_placement_change: Callable[[], None],
    pool: ConnectionPool,
) -> EntryComponents:
    """Return the components of an entry; nothing runs yet.

    `handle_placement_change` is called when capacity may have become free.
    `pool` is for connections to upstreams.
    """
    queue = AdmissionQueue(clock)
    metrics = Metrics(cfg.vm)
    crashes = CrashTracker(
        clock,
        SuspectRegistry(clock, SuspectLimits(keep_s=SUSPECT_TTL_S)),
        PartQuarantine(clock, log),
        log,
        metrics,
    )
    placements = PlacementRegistry(clock, handle_placement_change)
    turns = PrefillTurns(placements)
    evacuations = Evacuations(clock, log, EvacuationMetrics(metrics))
    evacuations.listeners += (queue.recheck, queue.notify, turns.notify)
    registry = UpstreamRegistry(
        clock, crashes.record_crash, evacuations.is_evacuated
    )
    entry = new_peer_id(cfg.vm)
    holder = DeploymentHolder()
    notices = UpstreamNotices(clock, log)
    return EntryComponents(
        entry=entry,
        link_mbps=cfg.link_mbps,
        home_data_centre=cfg.data_centre,
        clock=clock,
        rng=random.Random(),
        placement=cfg.placement,
        log=log,
        metrics=metrics,
        codec=codec,
        facts=facts,
        holder=holder,
        registry=registry,
        placements=placements,
        turns=turns,
        queue=queue,
        pool=pool,
        retry_budget=RepeatBudget(
            clock,
            BudgetTerms(
                ratio=cfg.repeat_ratio,
                slack=cfg.repeat_slack,
                window_s=cfg.repeat_window_s,
            ),
        ),
        suspects=crashes.suspects,
        quarantine=crashes.quarantine,
        crashes=crashes,
        crash_probe=CrashProbe(crashes, registry),
        slowdowns=SlowdownRegistry(clock, random.Random(), log),
        full_upstreams=FullUpstreams(
            clock, lambda upstream: placements.occupancy(upstream).requests
        ),
        notices=notices,
        is_evacuation_enabled=cfg.is_evacuation_enabled,
        evacuations=evacuations,
        cold=ColdUpstreams(
            clock,
            holder,
            registry,
            notices,
            ColdBound(cfg.cold_factor, cfg.cold_slack),
            evacuations.ended_s,
        ),
        regions=cfg.regions,
        startup=StartupGate(
            clock, awaits_evacuations=cfg.is_evacuation_enabled
        ),
        store_limits=plan_store_reads(cfg.store_recovery_s),
        watch_duty=WatchDuty(clock, log, entry, cfg.data_centre, cfg.link_mbps),
    )
