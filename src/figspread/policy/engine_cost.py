"""Estimates when an engine gives its first token, and what that costs others.

It answers a load where prompts of very unlike lengths meet at an engine: a pass
that reads a long prompt delays every stream there, so the cost of an engine is
more than the wait for it.
"""

from collections.abc import Sequence
from typing import Final

import msgspec

from figspread.policy.engine_time import (
    EngineProfile,
    decode_pass_time_s,
    prefill_time_s,
)
from figspread.policy.upstream_load import (
    PlacementRequirements,
    UpstreamLoad,
)

# Cost of a remote engine: traffic between data centres is expensive and has a
# higher latency.
REMOTE_PENALTY_S: Final = 0.01
# Share of a request's gap limit that placement may use; the rest allows for
# estimation errors and network delay.
USABLE_GAP_SHARE: Final = 0.8
# Share of the first-token target that placement may use. A later first token
# costs the excess plus a fixed penalty, since one late long prompt is as bad as
# several late short ones.
USABLE_TARGET_SHARE: Final = 0.9
LATE_PENALTY_S: Final = 3.0
# Cost of exceeding the gap limit of one running request, and the tokens that make
# a request count once more: engine time and what callers lose grow with them.
GAP_EXCEEDED_PENALTY_S: Final = 0.3
TOKENS_PER_WEIGHT: Final = 40_000
# Cost of lowering an engine's tightest gap limit; an idle engine has none, so
# any finite limit lowers it. Until the request ends, long prompts exceed the
# limit sooner and cost `GAP_EXCEEDED_PENALTY_S` each.
TIGHTER_GAP_PENALTY_S: Final = 0.1
# Cost of an engine's last free slots, which are left for requests that find no
# other: entries that place requests at the same moment see the same slots.
LAST_SLOT_PENALTY_S: Final = 0.06
SECOND_LAST_SLOT_PENALTY_S: Final = 0.03
# Cost of a slow engine whose passes alone exceed the request's own gap limit:
# each of its gaps is late there, which counts like a late first token.
OWN_GAP_PENALTY_S: Final = LATE_PENALTY_S
# Passes of a slow engine that count for the first token: the one that is running
# when the request arrives, and the one that reads the prompt. At the published
# speed the first is short enough to be left out.
SLOW_PASSES: Final = 2
# Cost of each engine used: a helper ties up one more engine.
ENGINE_PENALTY_S: Final = 0.01
# Cost of a failing engine, multiplied by the sum of its consecutive failures
# and its failure rate.
FAILURE_PENALTY_S: Final = 0.4
# Cost of a cold engine. It is above `MAX_JITTER_S` of the choice of engines, so
# that an idle warm engine goes first, and below the delay by one long prompt.
COLD_PENALTY_S: Final = 0.06
# Cost of each prompt that waits for its first token at an engine that may run
# requests nobody knows of: more would wait behind the same requests. It is above
# the cost of opening an engine.
UNKNOWN_LOAD_PENALTY_S: Final = 0.15


class EngineEstimate(msgspec.Struct, frozen=True):
    """The expected first token at an engine, and the cost of using it."""

    candidate: UpstreamLoad
    first_token_s: float
    penalty_s: float

    @property
    def cost_s(self) -> float:
        """The first token and the penalties, in seconds."""
        return self.first_token_s + self.penalty_s


def estimate_engine(
    candidate: UpstreamLoad,
    engine: EngineProfile,
    requirements: PlacementRequirements,
    prefill_s: float,
) -> EngineEstimate:
    """Return the estimate for a candidate that prefills for `prefill_s`."""
    context = engine.mean_prompt_tokens * candidate.decoding_requests
    decode_pass_s = decode_pass_time_s(
        engine, candidate.decoding_requests, context
    )
    first_token_s = (
        candidate.prefill_backlog_s + prefill_s
    ) * candidate.slowdown + decode_pass_s * (
        1 + SLOW_PASSES * (candidate.confirmed_slowdown - 1)
    )
    penalty_s = (
        0 if candidate.data_centre == requirements.home else REMOTE_PENALTY_S
    )
    penalty_s += (
        candidate.failures + candidate.failure_rate
    ) * FAILURE_PENALTY_S
    if candidate.is_cold:
        penalty_s += COLD_PENALTY_S
    if candidate.has_unknown_load:
        waiting = candidate.requests - candidate.decoding_requests
        penalty_s += UNKNOWN_LOAD_PENALTY_S * waiting
    longest_gap_s = (
        decode_pass_s
        + min(
            prefill_s + candidate.prefill_backlog_s,
            _max_prefill_per_pass_s(engine),
        )
    ) * (candidate.slowdown)
    penalty_s += GAP_EXCEEDED_PENALTY_S * sum(
        1 + running.tokens / TOKENS_PER_WEIGHT
        for running in candidate.running
        if longest_gap_s > running.target_gap_s * USABLE_GAP_SHARE
    )
    if requirements.target_gap_s < candidate.target_gap_s:
        penalty_s += TIGHTER_GAP_PENALTY_S
    if _exceeds_own_gap(candidate, engine, requirements):
        penalty_s += OWN_GAP_PENALTY_S
    return EngineEstimate(candidate, first_token_s, penalty_s)


def _exceeds_own_gap(
    candidate: UpstreamLoad,
    engine: EngineProfile,
    requirements: PlacementRequirements,
) -> bool:
    """Return whether a slow engine's passes are too long for the request."""
    if candidate.confirmed_slowdown <= 1:
        return False
    writers = candidate.decoding_requests + 1
    context = engine.mean_prompt_tokens * writers
    gap_s = decode_pass_time_s(engine, writers, context)
    gap_s *= candidate.confirmed_slowdown
    return gap_s > requirements.target_gap_s * USABLE_GAP_SHARE


def last_slots_penalty_s(candidate: UpstreamLoad) -> float:
    """Return the cost, in seconds, of taking one of the last free slots."""
    free_slots = candidate.slots - candidate.requests
    return {1: LAST_SLOT_PENALTY_S, 2: SECOND_LAST_SLOT_PENALTY_S}.get(
        free_slots, 0
    )


def _max_prefill_per_pass_s(engine: EngineProfile) -> float:
    # Each step of a pass with decoding requests prefills at most one chunk.
    return prefill_time_s(engine, engine.steps_per_pass * engine.chunk_tokens)


def total_cost_s(
    chosen: Sequence[EngineEstimate], requirements: PlacementRequirements
) -> float:
    """Return the cost, in seconds, of prefilling a prompt on these engines."""
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
