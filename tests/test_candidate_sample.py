"""Placement in fleets with far more engines than a choice can compare."""

import asyncio
import random
from typing import cast
from unittest.mock import Mock

import pytest

from figspread.direct.peers.placement_news import PlacementAnnouncer
from figspread.direct.requests.placing import Placer
from figspread.direct.requests.upstream_options import UpstreamOptions
from figspread.ids import UpstreamId
from figspread.policy.candidate_sample import (
    MAX_CANDIDATES,
    sample_candidates,
)
from tests.placing_setup import (
    ROUTE,
    TARGET_S,
    make_components,
    make_gate,
    make_request,
    make_upstream,
)


@pytest.mark.parametrize('engines', [128, 1000, 2200])
def test_choice_compares_a_bounded_number_of_engines(engines: int) -> None:
    """Guard against a choice whose time grows with the fleet.

    With a thousand engines each choice took an entry 11 ms, so that a third
    of the requests of a busy fleet were not served.
    """
    components = make_components(engines)
    options = UpstreamOptions(components, make_gate(components))
    option = next(options.list_for(make_request(5000), ()))
    assert len(option.upstreams) == MAX_CANDIDATES


@pytest.mark.parametrize('engines', [16, 128])
def test_all_engines_of_smaller_fleets_are_compared(engines: int) -> None:
    """Guard against a fleet that loses choices without need."""
    upstreams = [make_upstream(number) for number in range(engines)]
    assert sample_candidates(upstreams, random.Random(1)) == upstreams


def test_usable_engines_outside_of_the_sample_are_found() -> None:
    """Guard against waiting while few of many engines are usable."""
    components = make_components(1000)
    for number in range(999):
        components.registry.health.record_failure(UpstreamId(f'e-{number}'))
    options = UpstreamOptions(components, make_gate(components))
    option = next(options.list_for(make_request(5000), ()))
    assert [known.upstream for known in option.upstreams] == ['e-999']


def test_callers_of_a_large_fleet_are_served_in_time() -> None:
    """Guard against a sample that leaves callers with worse engines.

    The load is 1,000 engines with three short prompts for each, of which every
    twentieth caller brings a long one that needs many helpers.
    """
    asyncio.run(_check_large_fleet())


async def _check_large_fleet() -> None:
    components = make_components(1000)
    components.rng.seed(5)
    announcer = cast(PlacementAnnouncer, Mock())
    placer = Placer(components, announcer, make_gate(components))
    helpers = []
    for number in range(3000):
        tokens = 5000 if number % 20 else 190_000
        assignment = await placer.place(
            make_request(tokens), check=lambda: None
        )
        assert assignment.first_token_s < ROUTE.timeout_s / 2
        if number % 20:
            assert assignment.first_token_s < TARGET_S
            placer.record_first_output(assignment)
        else:
            helpers.append(len(assignment.helpers))
            placer.release(assignment)
    assert min(helpers) >= 3
