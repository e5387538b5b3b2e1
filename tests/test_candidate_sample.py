"""Placement in fleets with far more engines than a choice can compare."""

import asyncio
import random
from typing import cast
from unittest.mock import Mock

import pytest

from figspread.clock import ManualClock
from figspread.direct.adapter import PlatformCodec, StoreClient
from figspread.direct.components import EntryComponents
from figspread.direct.lifecycle.assembly import (
    DirectSettings,
    build_components,
)
from figspread.direct.model import (
    CallKind,
    Route,
    Service,
    Upstream,
    UpstreamState,
)
from figspread.direct.peers.permits import Permits
from figspread.direct.peers.placement_news import PlacementAnnouncer
from figspread.direct.requests.claims import PlacementRequest
from figspread.direct.requests.placing import Placer
from figspread.direct.requests.send_gate import SendGate
from figspread.direct.requests.upstream_options import UpstreamOptions
from figspread.ids import DataCentreId, ServiceName, UpstreamId
from figspread.policy.candidate_sample import (
    MAX_CANDIDATES,
    sample_candidates,
)
from figspread.policy.engine_time import EngineProfile
from figspread.telemetry.logs import Level, Log

POOL = ServiceName('pool')
PROFILE = EngineProfile(
    slots=6, kv_tokens=197_200, step_ms=1.02, prefill_tokens_per_ms=206
)
SERVICE = Service(POOL, PROFILE)
TARGET_S = 0.3
ROUTE = Route('r', 'h', '/', CallKind.STREAM, (), 10, TARGET_S, 0.25)


def _make_upstream(number: int) -> Upstream:
    return Upstream(
        UpstreamId(f'e-{number}'),
        POOL,
        f'10.0.{number // 250}.{number % 250}:80',
        DataCentreId('abc'[number % 3]),
        PROFILE.slots,
        UpstreamState.READY,
        1,
    )


def _make_components(engines: int) -> EntryComponents:
    address = '127.0.0.1:1'
    cfg = DirectSettings(
        vm='vm',
        data_centre=DataCentreId('a'),
        callers=address,
        readiness=address,
        peers=address,
        metrics=address,
        seeds=(),
        grace_s=8,
        repeat_ratio=0.2,
        repeat_slack=100,
        repeat_window_s=10,
    )
    components = build_components(
        cfg,
        cast(PlatformCodec, Mock()),
        cast(StoreClient, Mock()),
        Log(Level.ERROR, {}),
        ManualClock(100),
        lambda: None,
    )
    for number in range(engines):
        components.registry.put(_make_upstream(number), number + 1)
    return components


def _make_gate(components: EntryComponents) -> SendGate:
    return SendGate(components, cast(Permits, Mock()), lambda: 3)


def _make_request(prompt_tokens: int) -> PlacementRequest:
    return PlacementRequest(
        'q', ROUTE, SERVICE, prompt_tokens, 1500, 1, 100, 110
    )


@pytest.mark.parametrize('engines', [128, 1000, 2200])
def test_choice_compares_a_bounded_number_of_engines(engines: int) -> None:
    """Guard against a choice whose time grows with the fleet.

    With a thousand engines each choice took an entry 11 ms, so that a third
    of the requests of a busy fleet were not served.
    """
    components = _make_components(engines)
    options = UpstreamOptions(components, _make_gate(components))
    option = next(options.list_for(_make_request(5000), ()))
    assert len(option.upstreams) == MAX_CANDIDATES


@pytest.mark.parametrize('engines', [16, 128])
def test_all_engines_of_smaller_fleets_are_compared(engines: int) -> None:
    """Guard against a fleet that loses choices without need."""
    upstreams = [_make_upstream(number) for number in range(engines)]
    assert sample_candidates(upstreams, random.Random(1)) == upstreams


def test_usable_engines_outside_of_the_sample_are_found() -> None:
    """Guard against waiting while few of many engines are usable."""
    components = _make_components(1000)
    for number in range(999):
        components.registry.health.record_failure(UpstreamId(f'e-{number}'))
    options = UpstreamOptions(components, _make_gate(components))
    option = next(options.list_for(_make_request(5000), ()))
    assert [known.upstream for known in option.upstreams] == ['e-999']


def test_callers_of_a_large_fleet_are_served_in_time() -> None:
    """Guard against a sample that leaves callers with worse engines.

    The load is 1,000 engines with three short prompts for each, of which every
    twentieth caller brings a long one that needs many helpers.
    """
    asyncio.run(_check_large_fleet())


async def _check_large_fleet() -> None:
    components = _make_components(1000)
    components.rng.seed(5)
    announcer = cast(PlacementAnnouncer, Mock())
    placer = Placer(components, announcer, _make_gate(components))
    helpers = []
    for number in range(3000):
        tokens = 5000 if number % 20 else 190_000
        assignment = await placer.place(
            _make_request(tokens), check=lambda: None
        )
        assert assignment.first_token_s < ROUTE.timeout_s / 2
        if number % 20:
            assert assignment.first_token_s < TARGET_S
            placer.record_first_output(assignment)
        else:
            helpers.append(len(assignment.helpers))
            placer.release(assignment)
    assert min(helpers) >= 3
