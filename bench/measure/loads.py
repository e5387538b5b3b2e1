"""Load plans, sized relative to the capacity of the fleet."""

import math
from collections.abc import Mapping, Sequence
from typing import Any, Final, TypeAlias

from bench.measure.fleet import ENGINES, PREFILL_TOKENS_PER_S
from bench.processes import MODEL
from figspread.load.plan import LoadPlan, parse_plan

# Bounds of the length classes in tokens. The largest class ends at 300,000
# so that each prompt fits into the KV cache of one engine.
CLASS_BOUNDS: Final = {
    '1k-4k': (1_000, 4_000),
    '4k-32k': (4_000, 32_000),
    '32k-128k': (32_000, 128_000),
    '128k-1M': (128_000, 300_000),
}

ClassShares: TypeAlias = Mapping[str, float]

ALL_CLASSES: Final[ClassShares] = {
    '1k-4k': 0.7,
    '4k-32k': 0.24,
    '32k-128k': 0.05,
    '128k-1M': 0.01,
}
SHORT_PROMPTS: Final[ClassShares] = {'1k-4k': 1}
LONG_PROMPTS: Final[ClassShares] = {'32k-128k': 0.85, '128k-1M': 0.15}
TYPICAL_MIX: Final[ClassShares] = {
    '1k-4k': 0.7,
    '4k-32k': 0.25,
    '32k-128k': 0.05,
}


def compute_capacity(scale: float) -> float:
    """Return the prefill capacity of the fleet in prompt tokens per second."""
    return ENGINES * PREFILL_TOKENS_PER_S * scale


def compute_mean_tokens(shares: ClassShares) -> float:
    """Return the mean tokens of prompts with log-uniform class lengths."""
    return math.fsum(
        share * _compute_class_mean(*CLASS_BOUNDS[name])
        for name, share in shares.items()
    )


def make_plan(
    shares: ClassShares,
    *,
    tokens_per_s: float,
    duration_s: float,
    seed: int,
    workspaces: Sequence[str] = ('studio-a', 'studio-b'),
    **changes: Any,
) -> LoadPlan:
    """Return a plan that sends `tokens_per_s` in prompts of `shares`.

    `changes` replaces or adds fields of the plan.
    """
    fields = {
        'model': MODEL,
        'requests_per_s': tokens_per_s / compute_mean_tokens(shares),
        'duration_s': duration_s,
        'seed': seed,
        'output_tokens': 16,
        'time_limit_s': 20,
        'threads': 800,
        'classes': [
            {
                'length': name,
                'share': share,
                'from_tokens': CLASS_BOUNDS[name][0],
                'to_tokens': CLASS_BOUNDS[name][1],
            }
            for name, share in shares.items()
        ],
        'workspaces': [
            {'name': name, 'share': 1 / len(workspaces)} for name in workspaces
        ],
    }
    return parse_plan({**fields, **changes}).unwrap()


def _compute_class_mean(low: float, high: float) -> float:
    return (high - low) / math.log(high / low)
