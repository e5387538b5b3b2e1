"""Placement of requests: on engines by time, on plain services by load.

One pool serves prompts of very different lengths. The prefill in a pass of an
engine delays all requests that decode there. Captions, the short requests,
allow gaps of 200 ms between events, and the prefill of a long prompt takes
longer than that. Requests with tight gap limits are therefore packed onto few
engines, and the prefill of long prompts is split among the others.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from typing import Final, TypeAlias

import msgspec

from figspread.ids import DataCentreId, UpstreamId
from figspread.policy.engine_time import (
    EngineProfile,
    decode_pass_time_s,
    decode_time_s,
    prefill_time_s,
)

# Cost of a remote engine: traffic between data centres is expensive and has a
# higher latency.
REMOTE_PENALTY_S: Final = 0.01
# Prompts with a prefill no longer than this run on a single engine, since they
# gain too little from a helper.
SHORT_PREFILL_S: Final = 0.12
# Share of a request's gap limit that placement may use; the rest allows for
# estimation errors and network delay.
USABLE_GAP_SHARE: Final = 0.8
# Share of the first-token target that placement may use. A later first token
# costs the excess plus a fixed penalty, since one late long prompt is as bad as
# several late short ones.
USABLE_TARGET_SHARE: Final = 0.9
LATE_PENALTY_S: Final = 3.0
# Cost per request on an engine whose tightest gap limit would be exceeded.
GAP_EXCEEDED_PENALTY_S: Final = 0.5
# Cost of lowering an engine's tightest gap limit; an idle engine has none, so
# any finite limit lowers it. Until the request ends, long prompts exceed the
# limit sooner and cost `GAP_EXCEEDED_PENALTY_S` per request there.
TIGHTER_GAP_PENALTY_S: Final = 0.1
# Entries that place requests at the same moment don't see each other's choice.
# Random jitter spreads them over engines of similar cost, and the last free
# slots of an engine are left for requests that find no other.
MAX_JITTER_S: Final = 0.05
LAST_SLOT_PENALTY_S: Final = 0.06
SECOND_LAST_SLOT_PENALTY_S: Final = 0.03
# Cost of each engine used: a helper ties up one more engine.
ENGINE_PENALTY_S: Final = 0.01
# Numbers of engines to try; the platform accepts up to sixteen helpers besides
# the first engine.
ENGINE_COUNTS: Final = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
# Share of an engine's KV memory kept free for outputs longer than estimated.
KV_RESERVE_SHARE: Final = 0.03
# Cost of a failing engine, multiplied by the sum of its consecutive failures
# and its failure rate.
FAILURE_PENALTY_S: Final = 0.4
# Failure rates of plain services are rounded to multiples of this, so that
# occasional failures don't affect the choice.
FAILURE_RATE_STEP: Final = 0.4


class UpstreamLoad(msgspec.Struct, frozen=True):
    """An upstream that could take a request, with its current load.

    `decoding_requests` is the number of decoding requests, `prefill_backlog_s`
    the time until its pending prefill is done, and `target_gap_s` the tightest
    gap limit of its requests. `slowdown` is the slowdown factor, above 1 for a
    slow engine. `failures` counts consecutive failures; `failure_rate` is the
    failure rate, from 0 to 1.
    """

    upstream: UpstreamId
    data_centre: DataCentreId
    slots: int
    requests: int = 0
    decoding_requests: int = 0
    prefill_backlog_s: float = 0
    target_gap_s: float = float('inf')
    kv_tokens: int = 0
    slowdown: float = 1
    failures: int = 0
    failure_rate: float = 0


class PlacementRequirements(msgspec.Struct, frozen=True):
    """The requirements of a request, in tokens and seconds.

    `target_latency_s` is the target for the first token and `target_gap_s` the
    longest allowed gap between events. A first token after `time_left_s` is
    useless. `home` is the data centre to prefer.
    """

    prompt_tokens: int
    output_tokens: int
    target_latency_s: float
    target_gap_s: float
    home: DataCentreId
    time_left_s: float = float('inf')

    @property
    def kv_tokens(self) -> int:
        """KV memory needed for prompt and output."""
        return self.prompt_tokens + self.output_tokens


class PlacementChoice(msgspec.Struct, frozen=True):
    """The chosen upstream, its helpers and the expected first token.

    `helper_kv_tokens` are the KV tokens that each helper stores, in the order
    of `helpers`; the first engine stores the rest. `engine_prefill_s` is the
    prefill time of each engine.
    """

    upstream: UpstreamId
    first_token_s: float = 0
    helpers: tuple[UpstreamId, ...] = ()
    helper_kv_tokens: tuple[int, ...] = ()
    engine_prefill_s: float = 0


class PlacementName(Enum):
    """The placement algorithms that can be selected."""

    ENGINE_TIME = 'engine_time'
    FEWEST_REQUESTS = 'fewest_requests'
    RANDOM = 'random'


class _EngineEstimate(msgspec.Struct, frozen=True):
    candidate: UpstreamLoad
    first_token_s: float
    penalty_s: float

    @property
    def cost_s(self) -> float:
        return self.first_token_s + self.penalty_s


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
            candidate.requests // 2,
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


def choose_engine(
    candidates: Sequence[UpstreamLoad],
    engine: EngineProfile,
    requirements: PlacementRequirements,
    rng: random.Random,
) -> PlacementChoice | None:
    """Return the best engine, with helpers for a long prompt, or `None`.

    All engines must have the same profile and may differ only in slowdown;
    `rng` decides between engines of similar cost. Returns `None`, which means
    that the request should wait, if all engines are full, if its first token
    would come after `requirements.time_left_s`, or, for a short prompt, if a full
    engine is expected to free a slot and be better.
    """
    tie_breakers_s = {
        candidate.upstream: rng.uniform(0, MAX_JITTER_S)
        + _last_slots_penalty_s(candidate)
        for candidate in candidates
    }
    free = [
        candidate
        for candidate in candidates
        if candidate.requests < candidate.slots
    ]
    if not free:
        return None
    best: PlacementChoice | None = None
    best_s = float('inf')
    is_short = _is_short(engine, requirements.prompt_tokens)
    for parts in _list_engine_counts(
        engine, requirements.prompt_tokens, len(free)
    ):
        ranked = _rank_engines(
            free, engine, requirements, parts, tie_breakers_s
        )
        choice = _choose_engines(ranked, engine, requirements, parts)
        total_s = _total_cost_s(ranked[:parts], requirements)
        if choice is not None and total_s < best_s:
            best, best_s = choice, total_s
    if best is None or best.first_token_s > requirements.time_left_s:
        return None
    if (
        is_short
        and _min_cost_at_full_engines_s(candidates, engine, requirements)
        < best_s
    ):
        return None
    return best


def max_parts(engine: EngineProfile, prompt_tokens: int, engines: int) -> int:
    """Return how many of `engines` at most may prefill a prompt, 1 or more."""
    return max(_list_engine_counts(engine, prompt_tokens, engines), default=1)


def _list_engine_counts(
    engine: EngineProfile, prompt_tokens: int, engines: int
) -> list[int]:
    limit = 1 if _is_short(engine, prompt_tokens) else engines
    return [count for count in ENGINE_COUNTS if count <= min(limit, engines)]


def _is_short(engine: EngineProfile, prompt_tokens: int) -> bool:
    return prefill_time_s(engine, prompt_tokens) <= SHORT_PREFILL_S


def _min_cost_at_full_engines_s(
    candidates: Sequence[UpstreamLoad],
    engine: EngineProfile,
    requirements: PlacementRequirements,
) -> float:
    """Return the lowest total cost of waiting for an engine that is full."""
    others = engine.slots - 1
    slot_s = (
        decode_time_s(engine, engine.mean_output_tokens, others) / engine.slots
    )
    prefill_s = prefill_time_s(engine, requirements.prompt_tokens)
    estimates = [
        _estimate_engine(candidate, engine, requirements, prefill_s)
        for candidate in candidates
        if candidate.requests >= candidate.slots
    ]
    return min(
        (
            _total_cost_s(
                [
                    _EngineEstimate(
                        estimate.candidate,
                        estimate.first_token_s + slot_s,
                        estimate.penalty_s,
                    )
                ],
                requirements,
            )
            for estimate in estimates
        ),
        default=float('inf'),
    )


def _rank_engines(
    free: Sequence[UpstreamLoad],
    engine: EngineProfile,
    requirements: PlacementRequirements,
    parts: int,
    tie_breakers_s: Mapping[UpstreamId, float],
) -> list[_EngineEstimate]:
    prefill_s = prefill_time_s(engine, requirements.prompt_tokens, parts)
    estimates = [
        _estimate_engine(candidate, engine, requirements, prefill_s)
        for candidate in free
    ]
    estimates.sort(
        key=lambda estimate: (
            estimate.cost_s + tie_breakers_s[estimate.candidate.upstream]
        )
    )
    return estimates


def _estimate_engine(
    candidate: UpstreamLoad,
    engine: EngineProfile,
    requirements: PlacementRequirements,
    prefill_s: float,
) -> _EngineEstimate:
    context = engine.mean_prompt_tokens * candidate.decoding_requests
    decode_pass_s = decode_pass_time_s(
        engine, candidate.decoding_requests, context
    )
    first_token_s = (
        candidate.prefill_backlog_s + prefill_s
    ) * candidate.slowdown + decode_pass_s
    penalty_s = (
        0 if candidate.data_centre == requirements.home else REMOTE_PENALTY_S
    )
    penalty_s += (
        candidate.failures + candidate.failure_rate
    ) * FAILURE_PENALTY_S
    longest_gap_s = (
        decode_pass_s
        + min(
            prefill_s + candidate.prefill_backlog_s,
            _max_prefill_per_pass_s(engine),
        )
    ) * (candidate.slowdown)
    if longest_gap_s > candidate.target_gap_s * USABLE_GAP_SHARE:
        penalty_s += GAP_EXCEEDED_PENALTY_S * candidate.requests
    if requirements.target_gap_s < candidate.target_gap_s:
        penalty_s += TIGHTER_GAP_PENALTY_S
    return _EngineEstimate(candidate, first_token_s, penalty_s)


def _last_slots_penalty_s(candidate: UpstreamLoad) -> float:
    free_slots = candidate.slots - candidate.requests
    return {1: LAST_SLOT_PENALTY_S, 2: SECOND_LAST_SLOT_PENALTY_S}.get(
        free_slots, 0
    )


def _max_prefill_per_pass_s(engine: EngineProfile) -> float:
    # Each step of a pass with decoding requests prefills at most one chunk.
    return prefill_time_s(engine, engine.steps_per_pass * engine.chunk_tokens)


def _total_cost_s(
    chosen: Sequence[_EngineEstimate], requirements: PlacementRequirements
) -> float:
    first_token_s = max(estimate.first_token_s for estimate in chosen)
    lateness_s = max(
        0, first_token_s - requirements.target_latency_s * USABLE_TARGET_SHARE
    )
    if lateness_s:
        lateness_s += LATE_PENALTY_S
    penalty_s = sum(estimate.penalty_s for estimate in chosen)
    return (
        first_token_s + lateness_s + penalty_s + ENGINE_PENALTY_S * len(chosen)
    )


def _choose_engines(
    ranked: Sequence[_EngineEstimate],
    engine: EngineProfile,
    requirements: PlacementRequirements,
    parts: int,
) -> PlacementChoice | None:
    """Return a choice of `parts` engines, or `None` if memory is short."""
    chosen = ranked[:parts]
    free_tokens = {
        estimate.candidate.upstream: _free_kv_tokens(estimate.candidate, engine)
        for estimate in ranked
    }
    main = next(
        (
            estimate
            for estimate in ranked
            if free_tokens[estimate.candidate.upstream]
            >= requirements.kv_tokens
        ),
        None,
    )
    if main is not None:
        helpers = [estimate for estimate in chosen if estimate is not main][
            : parts - 1
        ]
        held = [0 for _ in helpers]
        return _make_choice(main, helpers, held, engine, requirements)
    chosen = sorted(
        chosen, key=lambda estimate: -free_tokens[estimate.candidate.upstream]
    )
    missing_tokens = (
        requirements.kv_tokens - free_tokens[chosen[0].candidate.upstream]
    )
    held = []
    for estimate in chosen[1:]:
        held.append(
            max(
                0, min(missing_tokens, free_tokens[estimate.candidate.upstream])
            )
        )
        missing_tokens -= held[-1]
    if missing_tokens > 0:
        return None
    return _make_choice(chosen[0], chosen[1:], held, engine, requirements)


def _make_choice(
    main: _EngineEstimate,
    helpers: Sequence[_EngineEstimate],
    held: Sequence[int],
    engine: EngineProfile,
    requirements: PlacementRequirements,
) -> PlacementChoice:
    return PlacementChoice(
        main.candidate.upstream,
        max(estimate.first_token_s for estimate in (main, *helpers)),
        tuple(estimate.candidate.upstream for estimate in helpers),
        tuple(held),
        prefill_time_s(engine, requirements.prompt_tokens, len(helpers) + 1),
    )


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


def _free_kv_tokens(candidate: UpstreamLoad, engine: EngineProfile) -> int:
    return int(engine.kv_tokens * (1 - KV_RESERVE_SHARE)) - candidate.kv_tokens


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
