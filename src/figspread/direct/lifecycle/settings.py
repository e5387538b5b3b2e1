"""Settings of a direct entry."""

from collections.abc import Mapping

import msgspec

from figspread.ids import DataCentreId, RegionId
from figspread.policy.placement import PlacementName
from figspread.policy.process_shares import ProcessShares, plan_shares
from figspread.policy.store_reads import DEFAULT_RECOVERY_S


class DirectSettings(msgspec.Struct, frozen=True):
    """Settings of a direct entry; addresses are `ip:port`.

    `callers`, `readiness`, `peers` and `metrics` are addresses to listen on,
    `seeds` those of entries to connect to. `grace_s` is the time from the
    request to leave until the process must end. Retries are limited to
    `repeat_ratio` a request and `repeat_slack` in all entries, over a sliding
    window of `repeat_window_s`. `store_recovery_s` is the time within which an
    entry has to know what a lost answer of the store told. `link_mbps` is the
    bandwidth of the VM, `memory_bytes` what the process may have and
    `descriptors` how many files and sockets it may open, 0 if they are unknown.
    `regions` has the region of each data centre.

    Operators evacuate data centres where `evacuation_s`, the time within which
    entries have to stop sending there, is above 0. A cold upstream gets at most
    `cold_factor` times the requests that its service states, and `cold_slack`
    more, in any second.
    """

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
    store_recovery_s: float = DEFAULT_RECOVERY_S
    link_mbps: float = 0
    memory_bytes: int = 0
    descriptors: int = 0
    regions: Mapping[DataCentreId, RegionId] = {}
    evacuation_s: float = 0
    cold_factor: float = 1
    cold_slack: float = 0
    placement: PlacementName = PlacementName.ENGINE_TIME

    @property
    def is_evacuation_enabled(self) -> bool:
        """Whether operators evacuate data centres of this deployment."""
        return self.evacuation_s > 0

    @property
    def shares(self) -> ProcessShares:
        """What each use may have of the memory and the descriptors."""
        return plan_shares(self.memory_bytes, self.descriptors)


class StoreKinds(msgspec.Struct, frozen=True):
    """Names of the kinds of objects that an entry uses in the store."""

    configuration: str
    configuration_name: str
    upstreams: str
    entries: str
    quarantines: str
    evacuations: str
