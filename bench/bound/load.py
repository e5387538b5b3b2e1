"""Generates the load of a heavy day from a seed.

Kinds of prompts and their worth are those of the users' tables. As in the
users' heavy days, bursts follow each other with short pauses and alternate
between short and long prompts. A simulated day is only a few bursts long.
"""

import math
import random
from collections.abc import Iterator
from typing import Final

import msgspec

from figspread.policy.engine_time import EngineProfile

# Worth of a request relative to the mean of its kind: a fixed part, a part in
# proportion to its relative size, and the upper limit of their sum.
FIXED_WORTH_FACTOR: Final = 0.3
SIZE_WORTH_FACTOR: Final = 0.7
MAX_WORTH_FACTOR: Final = 4.0
# An output token counts as this many prompt tokens in the size.
OUTPUT_WEIGHT: Final = 10
# Each burst lasts BURST_DURATION_S; bursts start every BURST_PERIOD_S.
BURST_DURATION_S: Final = 9.5
BURST_PERIOD_S: Final = 10.5
FIRST_BURST_S: Final = 2.0


class PromptKind(msgspec.Struct, frozen=True):
    """A kind of prompt; `rate_per_s` is its arrival rate outside bursts.

    `size_variation` is the standard deviation of prompt lengths as a share of
    their mean, `prompt_tokens`. `events` is the mean number of stream events.
    `burst_factors` multiply the rate in successive bursts. `late_worth` is
    earned instead of `worth` after a missed target, before the deadline.
    """

    name: str
    rate_per_s: float
    prompt_tokens: int
    size_variation: float
    events: float
    target_latency_s: float
    target_gap_s: float
    deadline_s: float
    worth: float
    late_worth: float
    burst_factors: tuple[float, ...] = (1,)


class Site(msgspec.Struct, frozen=True):
    """The engines of a deployment and the kinds of prompts sent to it.

    `entries` place the prompts; each gets an equal part of them.
    """

    name: str
    entries: int
    engines: int
    profile: EngineProfile
    kinds: tuple[PromptKind, ...]


class Prompt(msgspec.Struct, frozen=True):
    """A request as it arrives; `worth` depends on its size."""

    number: int
    kind: PromptKind
    arrived_s: float
    prompt_tokens: int
    output_tokens: int
    worth: float

    @property
    def late_worth(self) -> float:
        """The worth of an answer that missed its latency targets."""
        return self.worth * self.kind.late_worth / self.kind.worth


def draw_load(site: Site, length_s: float, seed: int) -> list[Prompt]:
    """Return the prompts of a day in order of arrival."""
    rng = random.Random(seed)
    rows = sorted(
        (arrived_s, kind.name, kind)
        for kind in site.kinds
        for arrived_s in _draw_arrivals(kind, length_s, rng)
    )
    return [
        _draw_prompt(number, kind, arrived_s, site.profile, rng)
        for number, (arrived_s, _, kind) in enumerate(rows)
    ]


def _draw_arrivals(
    kind: PromptKind,
    length_s: float,
    rng: random.Random,
) -> Iterator[float]:
    # Draws arrivals by thinning: candidates come at the highest rate, and each
    # is kept with the ratio of the current rate to that rate.
    max_factor = max(1, *kind.burst_factors)
    now: float = 0
    while True:
        now += rng.expovariate(kind.rate_per_s * max_factor)
        if now > length_s:
            return
        if rng.random() < _burst_factor(kind, now) / max_factor:
            yield now


def _burst_factor(kind: PromptKind, now: float) -> float:
    burst_index, burst_elapsed_s = divmod(now - FIRST_BURST_S, BURST_PERIOD_S)
    if burst_index < 0 or burst_elapsed_s > BURST_DURATION_S:
        return 1
    return kind.burst_factors[int(burst_index) % len(kind.burst_factors)]


def _draw_prompt(
    number: int,
    kind: PromptKind,
    arrived_s: float,
    profile: EngineProfile,
    rng: random.Random,
) -> Prompt:
    sigma = math.sqrt(math.log(1 + kind.size_variation * kind.size_variation))
    length_factor = rng.lognormvariate(-sigma * sigma / 2, sigma)
    events = max(1, round(kind.events * rng.lognormvariate(-0.125, 0.5)))
    prompt_tokens = round(kind.prompt_tokens * length_factor)
    output_tokens = events * profile.steps_per_pass
    mean_size = (
        kind.prompt_tokens
        + OUTPUT_WEIGHT * kind.events * profile.steps_per_pass
    )
    relative_size = (prompt_tokens + OUTPUT_WEIGHT * output_tokens) / mean_size
    worth_factor = min(
        MAX_WORTH_FACTOR, FIXED_WORTH_FACTOR + SIZE_WORTH_FACTOR * relative_size
    )
    return Prompt(
        number,
        kind,
        arrived_s,
        prompt_tokens,
        output_tokens,
        kind.worth * worth_factor,
    )
