"""The offline model: the engines' formula, and what placement earns."""

from pathlib import Path

import pytest
from bench.bound.engines import SimEngine, Stream
from bench.bound.load import SITES, Prompt, draw_load
from bench.bound.play import Player, bound_by_time, sum_up

from figspread.policy.engine_time import decode_pass_time_s, prefill_time_s
from figspread.policy.placement import PlacementName
from giftwrap.settings import read_local_settings

SITE = SITES['wrap-floor']
LENGTH_S = 10


def _make_stream(tokens: int, events: int) -> Stream:
    prompt = Prompt(0, SITE.kinds[0], 0, tokens, events * 46, 1)
    return Stream(prompt, 0, 1, events)


def test_engine_alone_takes_what_the_formula_says() -> None:
    """Engine alone takes what the formula says."""
    ended: list[float] = []
    engine = SimEngine(
        SITE.profile,
        lambda stream, now: engine.write(stream),
        lambda stream, now: ended.append(now),
    )
    engine.read(_make_stream(5000, 3), 1, is_helping=False)
    now: float = 0
    engine.begin_pass(now)
    while engine.pass_ends_s is not None:
        now = engine.pass_ends_s
        engine.end_pass(now)
        engine.begin_pass(now)
    writing_s = 3 * decode_pass_time_s(SITE.profile, 1, 5000)
    assert ended == [
        pytest.approx(prefill_time_s(SITE.profile, 5000) + writing_s)
    ]


@pytest.mark.parametrize('site', SITES)
def test_own_policy_earns_more_than_baselines(site: str) -> None:
    """Own policy earns more than baselines, and no more than the bound."""
    load = draw_load(SITES[site], LENGTH_S, seed=1)
    earned = {
        policy: sum_up(
            Player(SITES[site], policy, 1).play(load),
            LENGTH_S,
        ).whole
        for policy in PlacementName
    }
    own = earned.pop(PlacementName.ENGINE_TIME)
    assert own > max(earned.values())
    assert own <= bound_by_time(SITES[site], load, LENGTH_S)


def test_every_prompt_is_accounted_for() -> None:
    """Every prompt is accounted for, once."""
    load = draw_load(SITE, LENGTH_S, seed=2)
    streams = Player(SITE, PlacementName.RANDOM, 2).play(load)
    assert sorted(stream.prompt.number for stream in streams) == list(
        range(len(load)),
    )


@pytest.mark.parametrize('policy', PlacementName)
def test_policy_is_selected_by_the_settings(
    policy: PlacementName,
    tmp_path: Path,
) -> None:
    """Policy is selected by the settings."""
    path = tmp_path / 'entry.toml'
    path.write_text('placement = "{0}"'.format(policy.value))
    assert read_local_settings(path).placement is policy
