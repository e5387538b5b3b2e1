"""Fleet-wide wait of a request under weighted fair sharing."""

from collections.abc import Mapping, Sequence

from figspread.ids import WorkspaceId
from figspread.policy.cost import (
    can_hold,
    estimate_shortest_wait_s,
    prefill_rate,
)
from figspread.policy.types import Candidate, RequestProfile


def estimate_fair_wait_s(
    candidates: Sequence[Candidate],
    work: RequestProfile,
    *,
    outstanding: Mapping[WorkspaceId, int],
    weights: Mapping[WorkspaceId, float],
) -> float:
    """Estimate the time until `work` finishes prefill, in seconds.

    Returns the shortest wait over the candidates, or the wait under fair
    sharing if that is shorter. Under fair sharing the request waits for the
    `outstanding` prompt tokens of its own workspace, and for at most as many
    of each other workspace per unit of weight. A workspace that floods the
    fleet thus gets its own requests refused and not those of others.
    """
    rates = [
        prefill_rate(candidate)
        for candidate in candidates
        if can_hold(candidate, work)
    ]
    if not rates:
        return 0
    total_rate = sum(rates)
    own_tokens = outstanding.get(work.workspace, 0) + work.prompt_tokens
    other_tokens = sum(
        min(tokens, own_tokens * _weight_ratio(weights, other, work.workspace))
        for other, tokens in outstanding.items()
        if other != work.workspace
    )
    own_prefill_s = work.prompt_tokens / total_rate * len(rates)
    return min(
        estimate_shortest_wait_s(candidates, work),
        (own_tokens + other_tokens) / total_rate + own_prefill_s,
    )


def _weight_ratio(
    weights: Mapping[WorkspaceId, float],
    other: WorkspaceId,
    own: WorkspaceId,
) -> float:
    return weights.get(other, 1) / weights.get(own, 1)
