"""The placement policies that can be selected, and that of plain services."""

import random
from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from typing import Final, TypeAlias

from figspread.ids import DataCentreId
from figspread.policy.engine_choice import choose_engine
from figspread.policy.engine_time import EngineProfile, prefill_time_s
from figspread.policy.upstream_load import (
    PlacementChoice,
    PlacementRequirements,
    UpstreamLoad,
)

# Failure rates of plain services are rounded to multiples of this, so that
# occasional failures don't affect the choice.
FAILURE_RATE_STEP: Final = 0.4
# A cold upstream of a plain service counts as one with this many requests more.
COLD_REQUESTS: Final = 2


class PlacementName(Enum):
    """The placement algorithms that can be selected."""

    ENGINE_TIME = 'engine_time'
    FEWEST_REQUESTS = 'fewest_requests'
    RANDOM = 'random'


def choose_service_upstream(
    candidates: Sequence[UpstreamLoad],
    home: DataCentreId,
    queue_share: float,
) -> PlacementChoice | None:
    """Return the least loaded upstream of a plain service, if any.

    An upstream is full when it has `queue_share` requests per slot.
    """
    free = [
        candidate
        for candidate in candidates
        if candidate.requests < candidate.slots * queue_share
    ]
    if not free:
        return None
    best = min(
        free,
        key=lambda candidate: (
            candidate.failures,
            round(candidate.failure_rate / FAILURE_RATE_STEP),
            (candidate.requests + COLD_REQUESTS * candidate.is_cold) // 2,
            candidate.data_centre != home,
            candidate.requests,
        ),
    )
    return PlacementChoice(best.upstream)


def choose_at_random(
    candidates: Sequence[UpstreamLoad],
    engine: EngineProfile,
    requirements: PlacementRequirements,
    rng: random.Random,
) -> PlacementChoice | None:
    """Return a random engine with a free slot; a benchmark baseline."""
    free = [
        candidate
        for candidate in candidates
        if candidate.requests < candidate.slots
    ]
    return (
        _choose_single(rng.choice(free), engine, requirements) if free else None
    )


def choose_fewest_requests(
    candidates: Sequence[UpstreamLoad],
    engine: EngineProfile,
    requirements: PlacementRequirements,
    rng: random.Random,
) -> PlacementChoice | None:
    """Return the engine with fewest requests; a benchmark baseline."""
    free = [
        candidate
        for candidate in candidates
        if candidate.requests < candidate.slots
    ]
    if not free:
        return None
    fewest_requests = min(candidate.requests for candidate in free)
    best = [
        candidate for candidate in free if candidate.requests == fewest_requests
    ]
    return _choose_single(rng.choice(best), engine, requirements)


def _choose_single(
    candidate: UpstreamLoad,
    engine: EngineProfile,
    requirements: PlacementRequirements,
) -> PlacementChoice:
    prefill_s = prefill_time_s(engine, requirements.prompt_tokens)
    return PlacementChoice(
        candidate.upstream,
        candidate.prefill_backlog_s + prefill_s,
        engine_prefill_s=prefill_s,
    )


ChooseEngine: TypeAlias = Callable[
    [
        Sequence[UpstreamLoad],
        EngineProfile,
        PlacementRequirements,
        random.Random,
    ],
    PlacementChoice | None,
]
PLACEMENTS: Final[Mapping[PlacementName, ChooseEngine]] = {
    PlacementName.ENGINE_TIME: choose_engine,
    PlacementName.FEWEST_REQUESTS: choose_fewest_requests,
    PlacementName.RANDOM: choose_at_random,
}
