"""Placement on engines of unlike speed, in virtual time with several entries."""

import random

import msgspec
from bench.bound.engines import Stream
from bench.bound.load import PromptKind, Site, draw_load
from bench.bound.simulation import DaySimulation

from figspread.ids import DataCentreId, UpstreamId
from figspread.policy.engine_choice import choose_engine
from figspread.policy.engine_time import EngineProfile
from figspread.policy.placement import PlacementName
from figspread.policy.upstream_load import (
    PlacementRequirements,
    UpstreamLoad,
)

PROFILE = EngineProfile(
    slots=6,
    kv_tokens=197_200,
    step_ms=1.02,
    step_ms_per_request=0.0053,
    prefill_tokens_per_ms=206,
    prefill_ms_per_m_pairs=0.11,
)
SHORT = PromptKind('short', 1, 5000, 0.3, 25, 0.271, 0.25, 10, 1, 0.3, (1, 1.7))
HOME = DataCentreId('a')
ENGINES = 20
SLOW = {number: 4.0 for number in range(0, ENGINES, 3)}
LENGTH_S = 16
# Time from the first use of an engine in which it may surprise.
REACTION_S = 2
# Streams before this time are left out.
LEARNING_S = 4


def _run(
    rate_per_s: float,
    recovery_s: float = float('inf'),
    engines: int = ENGINES,
    length_s: float = LENGTH_S,
) -> list[Stream]:
    kind = msgspec.structs.replace(SHORT, rate_per_s=rate_per_s)
    site = Site('uneven', 6, engines, PROFILE, (kind,))
    load = draw_load(site, length_s, seed=3)
    simulation = DaySimulation(
        site,
        PlacementName.ENGINE_TIME,
        3,
        entries=6,
        slowdowns={
            number: factor
            for number, factor in SLOW.items()
            if number < engines
        },
        recovery_s=recovery_s,
    )
    streams = simulation.run(load)
    return [
        stream for stream in streams if stream.prompt.arrived_s > LEARNING_S
    ]


def _share_on_slow(streams: list[Stream]) -> float:
    return sum(stream.primary_engine in SLOW for stream in streams) / len(
        streams
    )


def test_short_prompts_are_on_time_while_fast_engines_have_room() -> None:
    """Load that stays on slow engines is late although others are free.

    Only an engine that was not in use before may surprise all entries.
    """
    first_use_s: dict[int, float] = {}
    streams = _run(rate_per_s=15)
    for stream in streams:
        first_use_s.setdefault(stream.primary_engine, stream.prompt.arrived_s)
    late = [
        stream
        for stream in streams
        if not stream.is_on_time
        and stream.prompt.arrived_s
        > first_use_s[stream.primary_engine] + REACTION_S
    ]
    assert not late


def test_slow_engines_share_a_load_that_fills_all() -> None:
    """Engines that are only avoided would waste what they can deliver."""
    streams = _run(rate_per_s=24, engines=8, length_s=8)
    done = [stream for stream in streams if stream.ended_s is not None]
    slow = [number for number in SLOW if number < 8]
    delivered = len(slow) / 4 / (len(slow) / 4 + 8 - len(slow))
    assert 0.5 * delivered < _share_on_slow(done) < 1.5 * delivered


def test_recovered_engines_get_load_again() -> None:
    """Engines that recover must not stay avoided."""
    streams = _run(rate_per_s=30, recovery_s=LEARNING_S)
    latest = [
        stream for stream in streams if stream.prompt.arrived_s > LENGTH_S / 2
    ]
    assert _share_on_slow(latest) > 0.5 * len(SLOW) / ENGINES


def test_long_prompt_avoids_slow_helpers() -> None:
    """A prompt read in even parts is as slow as its slowest helper."""
    candidates = [
        UpstreamLoad(
            UpstreamId(str(number)),
            HOME,
            PROFILE.slots,
            slowdown=SLOW.get(number, 1),
            confirmed_slowdown=SLOW.get(number, 1),
        )
        for number in range(ENGINES)
    ]
    requirements = PlacementRequirements(190_000, 800, 6.055, 1, HOME)
    choice = choose_engine(candidates, PROFILE, requirements, random.Random(1))
    assert choice is not None
    assert choice.helpers
    assert not {int(name) for name in choice.helpers} & set(SLOW)
    assert int(choice.upstream) not in SLOW
