"""Selection of the agents that an entry connects to."""

import msgspec
import pytest
from bench.capacity.fleets import ENGINES, make_fleet

from figspread.config.fleet import EngineRecord, Fleet, ServiceUpstream
from figspread.entry.agent_selection import list_agent_addresses
from figspread.ids import DataCentreId, ServiceName, UpstreamId

HOME = DataCentreId('dc-0')
REGION = 'region-0'


def is_in_region(
    fleet: Fleet, upstream: EngineRecord | ServiceUpstream
) -> bool:
    """Tell whether `upstream` is in the region of `HOME`."""
    return fleet.data_centres[upstream.data_centre].region == REGION


def test_entry_connects_to_agents_of_own_region() -> None:
    """At the target fleet size this is about a fifth of all engines."""
    fleet = make_fleet()
    near = {
        engine.upstream: engine.agent
        for engine in fleet.engines.values()
        if is_in_region(fleet, engine)
    }
    assert list_agent_addresses(fleet, HOME) == near
    assert ENGINES / 6 < len(near) < ENGINES / 4


def test_entry_without_region_connects_to_all_agents() -> None:
    """A later release note may add the entry's data centre."""
    fleet = make_fleet(200)
    unknown_home = DataCentreId('dc-of-none')
    assert (
        list_agent_addresses(fleet, unknown_home).keys() == fleet.engines.keys()
    )


@pytest.mark.parametrize('size', [40, 200, 700])
def test_every_model_has_connected_engine(size: int) -> None:
    """This includes models with few or no engines in the entry's region."""
    fleet = make_fleet(size)
    addresses = list_agent_addresses(fleet, HOME)
    for model in fleet.models():
        engines = fleet.engines_for_model(model)
        connected = [
            engine for engine in engines if engine.upstream in addresses
        ]
        assert bool(connected) == bool(engines)


def test_larger_engine_of_other_region_is_connected() -> None:
    """A long prompt may fit only on an engine outside the region."""
    fleet = make_fleet(700)
    far = next(
        engine
        for engine in fleet.engines.values()
        if not is_in_region(fleet, engine)
    )
    assert far.upstream not in list_agent_addresses(fleet, HOME)
    larger = msgspec.structs.replace(far, kv_tokens=far.kv_tokens + 1)
    changed = msgspec.structs.replace(
        fleet,
        engines={**fleet.engines, far.upstream: larger},
    )
    assert far.upstream in list_agent_addresses(changed, HOME)


def test_remote_service_is_connected_if_region_has_none() -> None:
    """A service upstream outside the region is skipped if one is inside."""
    near = _make_desk('desk-near', 'dc-5')
    far = _make_desk('desk-far', 'dc-1')
    fleet = make_fleet(0)
    for upstreams, expected in (((near, far), near), ((far,), far)):
        changed = msgspec.structs.replace(
            fleet,
            service_upstreams={record.upstream: record for record in upstreams},
        )
        assert list(list_agent_addresses(changed, HOME)) == [expected.upstream]


def _make_desk(name: str, data_centre: str) -> ServiceUpstream:
    return ServiceUpstream(
        UpstreamId(name),
        ServiceName('order-desk'),
        DataCentreId(data_centre),
        '127.0.0.1:1',
        'http://127.0.0.1:2',
    )
