"""Placement after all entries have lost power, while engines go on."""

import random

import msgspec
from bench.bound.engines import Stream
from bench.bound.load import Prompt, draw_load
from bench.bound.simulation import DaySimulation
from bench.bound.sites import SITES

from figspread.clock import ManualClock
from figspread.ids import UpstreamId
from figspread.policy.placement import PlacementName
from figspread.policy.unknown_load import UNKNOWN_LOAD_S, UnknownLoad

SITE = SITES['clydeside']
RESTARTED_S = 3.0
RETURN_S = 3.4
CALLERS = 40
# The part of callers that the users want served in time on a heavy day.
SERVED_SHARE = 0.95


def _make_herd(seed: int) -> list[Prompt]:
    """Return the short prompts of callers who come back within some 0.15 s."""
    rng = random.Random(seed)
    short = next(
        prompt
        for prompt in draw_load(SITE, RESTARTED_S, seed)
        if prompt.kind.name == 'caption'
    )
    return [
        msgspec.structs.replace(
            short,
            number=-1 - number,
            arrived_s=RETURN_S + rng.expovariate(1 / 0.15),
            prompt_tokens=rng.randrange(1000, 9000),
            output_tokens=rng.randrange(300, 3500),
        )
        for number in range(CALLERS)
    ]


def _run_day(seed: int) -> list[Stream]:
    load = draw_load(SITE, RESTARTED_S, seed) + _make_herd(seed)
    load.sort(key=lambda prompt: prompt.arrived_s)
    simulation = DaySimulation(
        SITE, PlacementName.ENGINE_TIME, seed, entries=SITE.entries
    )
    simulation.restart_entries(RESTARTED_S)
    return simulation.run(load)


def test_callers_who_return_at_once_are_spread_over_unproved_engines() -> None:
    """Guard against a herd behind requests of entries that are gone.

    The first entry back packed all callers on few engines, some of which still
    read long prompts for callers who had lost their connection.
    """
    herd = [
        stream
        for seed in range(6)
        for stream in _run_day(seed)
        if stream.prompt.number < 0
    ]
    assert len(herd) == 6 * CALLERS
    on_time = sum(stream.is_on_time for stream in herd)
    assert on_time >= SERVED_SHARE * len(herd)


def test_engine_is_known_after_a_first_token_or_a_while() -> None:
    """Guard against engines that are avoided for good."""
    clock = ManualClock()
    load = UnknownLoad(clock)
    first, second = UpstreamId('e-1'), UpstreamId('e-2')
    load.record_first_token(first)
    assert not load.may_have_unknown(first)
    assert load.may_have_unknown(second)
    clock.advance(UNKNOWN_LOAD_S)
    assert not load.may_have_unknown(second)
