"""Tests of the offline model: engine times and the worth that policies earn."""

from pathlib import Path

import pytest
from bench.bound.engines import SimulatedEngine, Stream
from bench.bound.load import Prompt, draw_load
from bench.bound.simulation import (
    DaySimulation,
    compute_earned_shares,
    compute_engine_time_bound,
)
from bench.bound.sites import SITES

from figspread.policy.engine_time import decode_pass_time_s, prefill_time_s
from figspread.policy.placement import PlacementName
from giftwrap.settings import read_local_settings

SITE = SITES['wrap-floor']
LENGTH_S = 10
ROUNDING_ERROR = 1e-9


def _make_stream(tokens: int, events: int) -> Stream:
    prompt = Prompt(0, SITE.kinds[0], 0, tokens, events * 46, 1)
    return Stream(prompt, 0, 1, events)


def test_single_prompt_takes_time_of_formula() -> None:
    """A single prompt takes the prefill and decode times of the formula."""
    ended: list[float] = []
    engine = SimulatedEngine(
        SITE.profile,
        lambda stream, now: engine.start_decode(stream, now),
        lambda stream, now: ended.append(now),
    )
    engine.add_prefill(_make_stream(5000, 3), 1, is_helper=False)
    now: float = 0
    engine.begin_pass(now)
    while engine.pass_ends_s is not None:
        now = engine.pass_ends_s
        engine.end_pass(now)
        engine.begin_pass(now)
    # The first of the three events comes with the end of the prefill.
    decode_s = 2 * decode_pass_time_s(SITE.profile, 1, 5000)
    assert ended == [
        pytest.approx(prefill_time_s(SITE.profile, 5000) + decode_s)
    ]


@pytest.mark.parametrize('site', ['wrap-floor', 'ndv-figspread'])
def test_engine_time_earns_more_than_baselines(site: str) -> None:
    """Engine-time placement earns more than the baselines, within the bound."""
    load = draw_load(SITES[site], LENGTH_S, seed=1)
    shares = {
        policy: compute_earned_shares(
            DaySimulation(SITES[site], policy, 1).run(load),
            LENGTH_S,
        ).whole_day
        for policy in PlacementName
    }
    engine_time_share = shares.pop(PlacementName.ENGINE_TIME)
    assert engine_time_share > max(shares.values())
    bound = compute_engine_time_bound(SITES[site], load, LENGTH_S)
    # The bound is a sum of many shares, so it may miss 1 by rounding.
    assert engine_time_share <= bound + ROUNDING_ERROR


def test_each_prompt_yields_one_stream() -> None:
    """Each prompt of the load yields exactly one stream."""
    load = draw_load(SITE, LENGTH_S, seed=2)
    streams = DaySimulation(SITE, PlacementName.RANDOM, 2).run(load)
    assert sorted(stream.prompt.number for stream in streams) == list(
        range(len(load)),
    )


@pytest.mark.parametrize('policy', PlacementName)
def test_policy_is_selected_by_the_settings(
    policy: PlacementName,
    tmp_path: Path,
) -> None:
    """The entry's settings select the placement policy by name."""
    path = tmp_path / 'entry.toml'
    path.write_text('placement = "{0}"'.format(policy.value))
    assert read_local_settings(path).placement is policy


def test_newest_helper_part_is_prefilled_first() -> None:
    """An engine prefills the newest part that it helps with before others."""
    done: list[tuple[int, float]] = []
    engine = SimulatedEngine(
        SITE.profile,
        lambda stream, now: done.append((stream.prompt.prompt_tokens, now)),
        lambda stream, now: None,
    )
    for tokens, is_helper in ((40_000, False), (60_000, True), (80_000, True)):
        engine.add_prefill(_make_stream(tokens, 3), 1, is_helper=is_helper)
    now: float = 0
    engine.begin_pass(now)
    while engine.pass_ends_s is not None:
        now = engine.pass_ends_s
        engine.end_pass(now)
        engine.begin_pass(now)
    assert [tokens for tokens, _ in done] == [80_000, 60_000, 40_000]


@pytest.mark.parametrize('site', SITES)
def test_late_news_cost_little(site: str) -> None:
    """Entries that hear late of each other earn nine tenths of what is possible.

    They choose engines among those of similar cost by chance and leave the
    last places free.
    """
    load = draw_load(SITES[site], LENGTH_S, seed=3)
    alone, together = (
        compute_earned_shares(
            DaySimulation(
                SITES[site], PlacementName.ENGINE_TIME, 3, entries=entries
            ).run(load),
            LENGTH_S,
        ).whole_day
        for entries in (1, SITES[site].entries)
    )
    assert together > 0.9 * alone
