"""Chooses engines for a prompt by their time, and helpers for a long one.

It answers heavy days on which bursts of short and of long prompts take turns:
short ones are packed on few engines, long ones are read in parts by several.
"""

import random
from collections.abc import Mapping, Sequence
from typing import Final

from figspread.ids import UpstreamId
from figspread.policy.engine_cost import (
    EngineEstimate,
    estimate_engine,
    last_slots_penalty_s,
    total_cost_s,
)
from figspread.policy.engine_time import (
    EngineProfile,
    decode_time_s,
    prefill_time_s,
)
from figspread.policy.upstream_load import (
    PlacementChoice,
    PlacementRequirements,
    UpstreamLoad,
)

# Prompts with a prefill no longer than this run on a single engine, since they
# gain too little from a helper.
SHORT_PREFILL_S: Final = 0.12
# Entries that place requests at the same moment don't see each other's choice.
# Random jitter spreads them over engines of similar cost.
MAX_JITTER_S: Final = 0.05
# Bonus of an engine to which this entry has an idle connection, since new ones are
# priced. It is well below the jitter, so that it decides between equal costs only.
CONNECTION_BONUS_S: Final = 0.01
# Numbers of engines to try; the platform accepts up to sixteen helpers besides
# the first engine.
ENGINE_COUNTS: Final = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
# Share of an engine's KV memory kept free for outputs longer than estimated.
KV_RESERVE_SHARE: Final = 0.03


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
        + last_slots_penalty_s(candidate)
        - CONNECTION_BONUS_S * candidate.has_connection
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
    is_short = is_short_prompt(engine, requirements.prompt_tokens)
    for parts in _list_engine_counts(
        engine, requirements.prompt_tokens, len(free)
    ):
        ranked = _rank_engines(
            free, engine, requirements, parts, tie_breakers_s
        )
        choice = _choose_engines(ranked, engine, requirements, parts)
        total_s = total_cost_s(ranked[:parts], requirements)
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
    limit = 1 if is_short_prompt(engine, prompt_tokens) else engines
    return [count for count in ENGINE_COUNTS if count <= min(limit, engines)]


def is_short_prompt(engine: EngineProfile, prompt_tokens: int) -> bool:
    """Return whether a prompt runs on one engine without helpers."""
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
        estimate_engine(candidate, engine, requirements, prefill_s)
        for candidate in candidates
        if candidate.requests >= candidate.slots
    ]
    return min(
        (
            total_cost_s(
                [
                    EngineEstimate(
                        estimate.candidate,
                        estimate.first_token_s
                        + slot_s * estimate.candidate.confirmed_slowdown,
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
) -> list[EngineEstimate]:
    prefill_s = prefill_time_s(engine, requirements.prompt_tokens, parts)
    estimates = [
        estimate_engine(candidate, engine, requirements, prefill_s)
        for candidate in free
    ]
    estimates.sort(
        key=lambda estimate: (
            estimate.cost_s + tie_breakers_s[estimate.candidate.upstream]
        )
    )
    return estimates


def _choose_engines(
    ranked: Sequence[EngineEstimate],
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
    main: EngineEstimate,
    helpers: Sequence[EngineEstimate],
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


def _free_kv_tokens(candidate: UpstreamLoad, engine: EngineProfile) -> int:
    return int(engine.kv_tokens * (1 - KV_RESERVE_SHARE)) - candidate.kv_tokens
