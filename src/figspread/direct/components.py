"""The components of a direct entry, passed along as one object."""

import random
from collections.abc import Mapping

import msgspec

from figspread.clock import Clock
from figspread.direct.adapter import PlatformCodec, StoreClient
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
from figspread.ids import DataCentreId, PeerId, RegionId
from figspread.policy.full_upstreams import FullUpstreams
from figspread.policy.placement import PlacementName
from figspread.policy.repeats import RepeatBudget
from figspread.policy.store_reads import StoreReadLimits
from figspread.policy.suspects import SuspectRegistry
from figspread.telemetry.logs import Log
from figspread.telemetry.metrics import Metrics


class EntryComponents(msgspec.Struct, frozen=True):
    """The shared state, policies and connections of one direct entry.

    `DirectEntry` builds it; `home_data_centre` is the data centre that the
    entry is in, `link_mbps` the bandwidth of its VM, `placements` holds the
    placements of all entries, and `retry_budget` bounds repeated sends to each
    service.
    """

    entry: PeerId
    link_mbps: float
    home_data_centre: DataCentreId
    clock: Clock
    rng: random.Random
    placement: PlacementName
    log: Log
    metrics: Metrics
    codec: PlatformCodec
    facts: StoreClient
    holder: DeploymentHolder
    registry: UpstreamRegistry
    placements: PlacementRegistry
    turns: PrefillTurns
    queue: AdmissionQueue
    pool: ConnectionPool
    retry_budget: RepeatBudget
    suspects: SuspectRegistry
    quarantine: PartQuarantine
    crashes: CrashTracker
    crash_probe: CrashProbe
    slowdowns: SlowdownRegistry
    full_upstreams: FullUpstreams
    notices: UpstreamNotices
    is_evacuation_enabled: bool
    evacuations: Evacuations
    cold: ColdUpstreams
    regions: Mapping[DataCentreId, RegionId]
    startup: StartupGate
    store_limits: StoreReadLimits
    watch_duty: WatchDuty
