"""Selects the agents that an entry connects to, mostly of its region."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from figspread.config.fleet import EngineRecord, Fleet, ServiceUpstream
from figspread.ids import DataCentreId, ModelName, UpstreamId


def list_agent_addresses(
    fleet: Fleet, home: DataCentreId
) -> dict[UpstreamId, str]:
    """Return the agent addresses that an entry in `home` connects to.

    An upstream of another region is included only if the entry's region has
    none for its model or plain service, or no engine with as much KV memory
    for the model. All are included while the configuration doesn't know the
    region of `home`.
    """
    own_centres = _list_region_data_centres(fleet, home)
    largest_kv_tokens = _find_largest_kv_tokens(
        fleet,
        (
            engine
            for engine in fleet.engines.values()
            if engine.data_centre in own_centres
        ),
    )
    own_services = {
        record.service
        for record in fleet.service_upstreams.values()
        if record.data_centre in own_centres
    }
    needed: list[EngineRecord | ServiceUpstream] = [
        engine
        for engine in fleet.engines.values()
        if engine.data_centre in own_centres
        or _exceeds_region_memory(fleet, engine, largest_kv_tokens)
    ]
    needed.extend(
        record
        for record in fleet.service_upstreams.values()
        if record.data_centre in own_centres
        or record.service not in own_services
    )
    return {record.upstream: record.agent for record in needed}


def _list_region_data_centres(
    fleet: Fleet, home: DataCentreId
) -> frozenset[DataCentreId]:
    own = fleet.data_centres.get(home)
    if own is None:
        return frozenset(fleet.data_centres)
    return frozenset(
        centre.data_centre
        for centre in fleet.data_centres.values()
        if centre.region == own.region
    )


def _find_largest_kv_tokens(
    fleet: Fleet,
    engines: Iterable[EngineRecord],
) -> Mapping[ModelName, int]:
    largest_kv_tokens: defaultdict[ModelName, int] = defaultdict(int)
    for engine in engines:
        for model in fleet.pools[engine.pool].models:
            largest_kv_tokens[model] = max(
                largest_kv_tokens[model], engine.kv_tokens
            )
    return largest_kv_tokens


def _exceeds_region_memory(
    fleet: Fleet,
    engine: EngineRecord,
    largest_kv_tokens: Mapping[ModelName, int],
) -> bool:
    """Tell whether the region has no engine as large for one of its models."""
    return any(
        largest_kv_tokens.get(model, 0) < engine.kv_tokens
        for model in fleet.pools[engine.pool].models
    )
