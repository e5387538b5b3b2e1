"""The load of a heavy day, drawn from a seed.

Kinds of prompts and their worth are those of the users' tables. Bursts come
one after the other with short pauses: short prompts in one, long ones in the
next, as the sheets of their heavy days have them.
"""

import math
import random
from collections.abc import Iterator
from typing import Final

import msgspec

from figspread.policy.engine_time import EngineProfile

# Worth of a request by its size against the mean of its kind: a fixed part, a
# part that grows, and the most that it may come to.
FIXED_WORTH: Final = 0.3
SIZED_WORTH: Final = 0.7
MOST_WORTH: Final = 4.0
OUTPUT_WEIGHT: Final = 10
# Bursts last and pause so long.
BURST_S: Final = 9.5
PERIOD_S: Final = 10.5
FIRST_BURST_S: Final = 2.0


class Kind(msgspec.Struct, frozen=True):
    """A kind of prompt; `per_s` is its rate outside bursts.

    `spread` is the share of the mean by which prompts differ, `bursts` what
    the bursts multiply the rate by, in turn.
    """

    name: str
    per_s: float
    prompt_tokens: int
    spread: float
    events: float
    aim_s: float
    gap_s: float
    deadline_s: float
    worth: float
    late_worth: float
    bursts: tuple[float, ...] = (1,)


class Site(msgspec.Struct, frozen=True):
    """Engines and kinds of prompts of a deployment."""

    name: str
    engines: int
    profile: EngineProfile
    kinds: tuple[Kind, ...]


class Prompt(msgspec.Struct, frozen=True):
    """A request as it arrives; `worth` follows from its size."""

    number: int
    kind: Kind
    arrived_s: float
    prompt_tokens: int
    output_tokens: int
    worth: float

    @property
    def late_worth(self) -> float:
        """What it is worth after its aim."""
        return self.worth * self.kind.late_worth / self.kind.worth


_PROFILE: Final = EngineProfile(
    slots=8,
    kv_tokens=450_000,
    step_ms=0.925,
    step_ms_per_request=0.00483,
    step_ms_per_k_context=0.00254,
    prefill_tokens_per_ms=256,
    prefill_ms_per_m_pairs=0.0917,
    chunk_tokens=2048,
    steps_per_pass=46,
)
# What the users' heavy days multiply rates by, in turn.
_SHORT_BURSTS: Final = (2.5, 0.36)
_REVIEW_BURSTS: Final = (0.5, 1.3)
_LONG_BURSTS: Final = (0.05, 2.8)


def _make_site(name: str, engines: int, rates: tuple[float, ...]) -> Site:
    caption, review, audit = rates
    return Site(
        name,
        engines,
        _PROFILE,
        (
            Kind(
                'caption',
                caption,
                prompt_tokens=4960,
                spread=0.9,
                events=35,
                aim_s=0.3,
                gap_s=0.2,
                deadline_s=10,
                worth=1.3,
                late_worth=0.33,
                bursts=_SHORT_BURSTS,
            ),
            Kind(
                'review',
                review,
                prompt_tokens=45_000,
                spread=0.5,
                events=21,
                aim_s=1.5,
                gap_s=0.5,
                deadline_s=10,
                worth=3.1,
                late_worth=0.79,
                bursts=_REVIEW_BURSTS,
            ),
            Kind(
                'audit',
                audit,
                prompt_tokens=210_000,
                spread=0.55,
                events=17,
                aim_s=3,
                gap_s=0.8,
                deadline_s=15,
                worth=22,
                late_worth=5.4,
                bursts=_LONG_BURSTS,
            ),
        ),
    )


SITES: Final = {
    'wrap-floor': _make_site('wrap-floor', 14, (15.4, 1.12, 0.462)),
    'ndv-figspread': _make_site('ndv-figspread', 23, (25.9, 1.88, 0.776)),
}


def draw_load(site: Site, length_s: float, seed: int) -> list[Prompt]:
    """Return the prompts of a day in the order of their arrival."""
    rng = random.Random(seed)
    rows = sorted(
        (arrived_s, kind.name, kind)
        for kind in site.kinds
        for arrived_s in _arrivals(kind, length_s, rng)
    )
    return [
        _draw(number, kind, arrived_s, site.profile, rng)
        for number, (arrived_s, _, kind) in enumerate(rows)
    ]


def _arrivals(
    kind: Kind,
    length_s: float,
    rng: random.Random,
) -> Iterator[float]:
    # Thinning: draws at the highest rate, of which some are dropped.
    most = max(1, *kind.bursts)
    now: float = 0
    while True:
        now += rng.expovariate(kind.per_s * most)
        if now > length_s:
            return
        if rng.random() < _factor(kind, now) / most:
            yield now


def _factor(kind: Kind, now: float) -> float:
    turn, since_s = divmod(now - FIRST_BURST_S, PERIOD_S)
    if turn < 0 or since_s > BURST_S:
        return 1
    return kind.bursts[int(turn) % len(kind.bursts)]


def _draw(
    number: int,
    kind: Kind,
    arrived_s: float,
    profile: EngineProfile,
    rng: random.Random,
) -> Prompt:
    sigma = math.sqrt(math.log(1 + kind.spread * kind.spread))
    factor = rng.lognormvariate(-sigma * sigma / 2, sigma)
    events = max(1, round(kind.events * rng.lognormvariate(-0.125, 0.5)))
    prompt_tokens = round(kind.prompt_tokens * factor)
    output_tokens = events * profile.steps_per_pass
    mean = (
        kind.prompt_tokens
        + OUTPUT_WEIGHT * kind.events * profile.steps_per_pass
    )
    size = (prompt_tokens + OUTPUT_WEIGHT * output_tokens) / mean
    worth = min(MOST_WORTH, FIXED_WORTH + SIZED_WORTH * size)
    return Prompt(
        number,
        kind,
        arrived_s,
        prompt_tokens,
        output_tokens,
        kind.worth * worth,
    )
