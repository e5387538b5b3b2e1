"""Estimates of wait and routing cost at an upstream, from its load."""

from collections.abc import Iterable
from typing import Final

from figspread.ids import DataCentreId
from figspread.policy.prompts import lane_index
from figspread.policy.types import Candidate, RequestProfile

# An upstream in another data centre is preferred only if its work is shorter
# by more than this.
REMOTE_PENALTY_S: Final = 0.5
# Cost of a token to decode relative to a token to prefill.
DECODE_WEIGHT: Final = 2.0
# Share of the longer prompts' tokens that counts: they are served after the
# request, but still use part of the engine.
LONGER_PREFILL_WEIGHT: Final = 0.25
# Cost added if the request would have to wait for KV memory.
NO_MEMORY_PENALTY_S: Final = 2.0
DEFAULT_PREFILL_TOKENS_PER_S: Final = 10_000.0


def can_hold(candidate: Candidate, work: RequestProfile) -> bool:
    """Return whether the request fits the engine's total KV memory."""
    return work.prompt_tokens + work.output_tokens <= candidate.kv_tokens


def estimate_wait_s(candidate: Candidate, work: RequestProfile) -> float:
    """Estimate how long `work` waits before its prefill starts, in seconds.

    Prompts of longer classes don't count, since they wait in separate lanes.
    Load reports lag, so the work that this entry has sent since the last one
    is added.
    """
    tokens_ahead = _tokens_ahead(candidate, work) + candidate.own_prefill_tokens
    return tokens_ahead / prefill_rate(candidate)


def estimate_shortest_wait_s(
    candidates: Iterable[Candidate], work: RequestProfile
) -> float:
    """Estimate the shortest time until `work` finishes prefill, in seconds.

    Returns 0 if no candidate can hold the request, since waiting would not
    change that.
    """
    return min(
        (
            estimate_wait_s(candidate, work)
            + work.prompt_tokens / prefill_rate(candidate)
            for candidate in candidates
            if can_hold(candidate, work)
        ),
        default=0,
    )


def estimate_cost_s(
    candidate: Candidate,
    work: RequestProfile,
    *,
    home: DataCentreId,
) -> float:
    """Return the cost in seconds of sending `work` to `candidate`.

    Sums the prefill work ahead of the request, a share of the longer prompts
    behind it and the decode work beside it. Adds `REMOTE_PENALTY_S` outside
    the data centre `home` and `NO_MEMORY_PENALTY_S` if the reported free
    memory is too small.
    """
    load = candidate.load
    longer_tokens = load.prefill_tokens - _tokens_ahead(candidate, work)
    decoding_tokens = load.decode_tokens + candidate.own_decode_tokens
    weighted_tokens = (
        longer_tokens * LONGER_PREFILL_WEIGHT + decoding_tokens * DECODE_WEIGHT
    )
    remote_penalty_s = 0 if candidate.data_centre == home else REMOTE_PENALTY_S
    needed_kv_tokens = work.prompt_tokens + work.output_tokens
    memory_penalty_s = (
        NO_MEMORY_PENALTY_S if needed_kv_tokens > load.free_kv_tokens else 0
    )
    wait_s = estimate_wait_s(candidate, work) + memory_penalty_s
    return wait_s + weighted_tokens / prefill_rate(candidate) + remote_penalty_s


def _tokens_ahead(candidate: Candidate, work: RequestProfile) -> int:
    load = candidate.load
    if not load.lane_tokens:
        return load.prefill_tokens
    return sum(load.lane_tokens[: lane_index(work.prompt_tokens) + 1])


def prefill_rate(candidate: Candidate) -> float:
    """Return the last reported prefill rate, or the default rate."""
    reported_rate = candidate.load.prefill_tokens_per_s
    return reported_rate if reported_rate > 0 else DEFAULT_PREFILL_TOKENS_PER_S
