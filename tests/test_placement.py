"""Which engines a request is placed on, from what is there."""

import random
from collections import Counter

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from figspread.ids import DataCentreId, UpstreamId
from figspread.policy.engine_time import EngineProfile, pass_s, read_s, write_s
from figspread.policy.placement import (
    PARTS,
    Need,
    Seat,
    choose_engine,
    choose_plain,
)

HOME = DataCentreId('a')
ENGINE = EngineProfile(
    step_ms=0.925,
    writer_ms=0.00966,
    context_ms_per_k=0.00254,
    read_tokens_per_ms=256,
    pairs_ms_per_m=0.0917,
)
CAPTION = Need(5000, 1600, 0.3, 0.2, HOME)
REVIEW = Need(45_000, 960, 1.5, 0.5, HOME)
AUDIT = Need(210_000, 800, 3, 0.8, HOME)
GIANT = Need(1_000_000, 800, 3, 0.8, HOME)


def _seat(name: str, **there: object) -> Seat:
    seat = Seat(UpstreamId(name), HOME, 8)
    return msgspec.structs.replace(seat, **there)


def _rng() -> random.Random:
    return random.Random(1)


def _idle(count: int) -> list[Seat]:
    return [_seat('e-{0}'.format(number)) for number in range(count)]


WRITING = {'requests': 2, 'writers': 2, 'gap_s': 0.2}

CASES = {
    'captions share an engine': (
        CAPTION,
        [_seat('idle'), _seat('captions', **WRITING)],
        'captions',
    ),
    'a caption keeps off a long read': (
        CAPTION,
        [_seat('reading', requests=1, reading_s=1), _seat('idle')],
        'idle',
    ),
    'a caption goes to a new engine rather than a full one': (
        CAPTION,
        [
            _seat('full', requests=8, writers=8, gap_s=0.2),
            _seat('idle'),
        ],
        'idle',
    ),
    'a review keeps off captions': (
        REVIEW,
        [_seat('captions', **WRITING), _seat('idle')],
        'idle',
    ),
    'a review goes where an audit writes': (
        REVIEW,
        [
            _seat('captions', **WRITING),
            _seat('audits', requests=1, writers=1, gap_s=0.8),
        ],
        'audits',
    ),
    'a failing engine is left out': (
        CAPTION,
        [_seat('failing', failures=3), _seat('sound')],
        'sound',
    ),
    'an engine that fails part of its requests is left out': (
        CAPTION,
        [_seat('grey', failing_share=0.4), _seat('sound')],
        'sound',
    ),
    'a slow engine is left out': (
        CAPTION,
        [_seat('slow', pace=4, reading_s=0.1), _seat('sound', reading_s=0.1)],
        'sound',
    ),
    'memory that is taken is left out': (
        REVIEW,
        [_seat('taken', kv_tokens=420_000), _seat('free', reading_s=0.3)],
        'free',
    ),
}


@pytest.mark.parametrize('case', CASES)
def test_engine(case: str) -> None:
    """Engine."""
    need, seats, expected = CASES[case]
    choice = choose_engine(seats, ENGINE, need, _rng())
    assert choice is not None
    assert choice.upstream == expected


def test_no_engine_is_free() -> None:
    """No engine is free."""
    assert (
        choose_engine([_seat('full', requests=8)], ENGINE, CAPTION, _rng())
        is None
    )


WAITS = {
    'a caption waits for captions rather than behind a long read': (
        CAPTION,
        [
            _seat('reading', requests=1, reading_s=5),
            _seat('captions', requests=8, writers=8, gap_s=0.2),
        ],
    ),
    'a prompt whose time ends before it is read': (
        msgspec.structs.replace(GIANT, left_s=15),
        [
            _seat('idle', kv_tokens=0),
            *(_seat(str(number), requests=8) for number in range(3)),
        ],
    ),
    'a caption whose time ends behind a long read': (
        msgspec.structs.replace(CAPTION, left_s=10),
        [_seat('reading', requests=1, reading_s=30)],
    ),
}


@pytest.mark.parametrize('case', WAITS)
def test_waits_though_there_is_a_slot(case: str) -> None:
    """Waits though there is a slot."""
    need, seats = WAITS[case]
    engine = msgspec.structs.replace(ENGINE, kv_tokens=2_000_000)
    assert choose_engine(seats, engine, need, _rng()) is None


def test_slot_behind_a_short_read_is_taken() -> None:
    """Slot behind a short read is taken, though it makes for a late start."""
    seats = [
        _seat('reading', requests=1, reading_s=0.2),
        _seat('captions', requests=8, writers=8, gap_s=0.2),
    ]
    assert choose_engine(seats, ENGINE, CAPTION, _rng()) is not None


def test_short_prompt_has_no_helpers() -> None:
    """Short prompt has no helpers."""
    choice = choose_engine(_idle(10), ENGINE, CAPTION, _rng())
    assert choice is not None
    assert not choice.helpers
    assert choice.part_s == read_s(ENGINE, CAPTION.prompt_tokens)


def test_long_prompt_is_read_in_parts_within_its_aim() -> None:
    """Long prompt is read in parts within its aim."""
    choice = choose_engine(_idle(10), ENGINE, AUDIT, _rng())
    assert choice is not None
    assert len(choice.helpers) >= 3
    assert choice.first_token_s < AUDIT.aim_s / 2


def test_prompt_that_would_be_late_alone_is_read_in_parts() -> None:
    """Prompt that would be late alone is read in parts.

    It is late by little, and a helper makes the pauses of four captions long.
    """
    captions = {'requests': 4, 'writers': 4, 'gap_s': 0.2}
    need = msgspec.structs.replace(AUDIT, prompt_tokens=218_000)
    seats = [_seat('idle'), _seat('captions', **captions)]
    assert read_s(ENGINE, need.prompt_tokens) > need.aim_s
    choice = choose_engine(seats, ENGINE, need, _rng())
    assert choice
    assert choice.helpers == ('captions',)


def test_helpers_are_none_of_those_where_captions_write() -> None:
    """Helpers are none of those where captions write."""
    captions = [_seat('c-{0}'.format(number), **WRITING) for number in range(4)]
    choice = choose_engine([*captions, *_idle(5)], ENGINE, AUDIT, _rng())
    assert choice is not None
    used = {choice.upstream, *choice.helpers}
    assert not used & {seat.upstream for seat in captions}


def test_prompt_larger_than_an_engine_is_stored_at_several() -> None:
    """Prompt larger than an engine is stored at several."""
    choice = choose_engine(_idle(12), ENGINE, GIANT, _rng())
    assert choice is not None
    held = sum(choice.held_tokens)
    assert GIANT.kv_tokens - held <= ENGINE.kv_tokens
    assert max(choice.held_tokens) <= ENGINE.kv_tokens
    assert sum(1 for tokens in choice.held_tokens if tokens) == 2


def test_prompt_larger_than_all_engines_finds_no_place() -> None:
    """Prompt larger than all engines finds no place."""
    assert choose_engine(_idle(2), ENGINE, GIANT, _rng()) is None


_seats = st.builds(
    Seat,
    st.uuids().map(lambda name: UpstreamId(str(name))),
    st.sampled_from([HOME, DataCentreId('b')]),
    st.just(8),
    requests=st.integers(0, 9),
    writers=st.integers(0, 8),
    reading_s=st.floats(0, 20),
    gap_s=st.sampled_from([0.2, 0.5, 0.8, float('inf')]),
    kv_tokens=st.integers(0, 450_000),
    pace=st.floats(0.5, 8),
    failures=st.integers(0, 8),
)


@given(
    seats=st.lists(_seats, max_size=20),
    prompt=st.integers(0, 1_000_000),
)
def test_choice_can_be_carried_out(seats: list[Seat], prompt: int) -> None:
    """Choice can be carried out."""
    need = Need(prompt, 500, 3, 0.8, HOME)
    choice = choose_engine(seats, ENGINE, need, _rng())
    if choice is None:
        return
    used = (choice.upstream, *choice.helpers)
    known = {seat.upstream: seat for seat in seats}
    assert len(set(used)) == len(used)
    assert len(used) <= max(PARTS)
    assert all(known[name].requests < known[name].slots for name in used)
    assert len(choice.held_tokens) == len(choice.helpers)
    first_holds = need.kv_tokens - sum(choice.held_tokens)
    for name, tokens in zip(
        used,
        (first_holds, *choice.held_tokens),
        strict=True,
    ):
        assert known[name].kv_tokens + tokens <= ENGINE.kv_tokens


def test_plain_service_takes_the_least_busy() -> None:
    """Plain service takes the least busy."""
    seats = [_seat('busy', requests=6), _seat('free', requests=1)]
    choice = choose_plain(seats, HOME, 2)
    assert choice is not None
    assert choice.upstream == 'free'
    assert choose_plain([_seat('full', requests=16)], HOME, 2) is None


def test_engine_times_follow_the_published_formula() -> None:
    """Engine times follow the published formula."""
    assert read_s(ENGINE, 210_000) == pytest.approx(2.84, abs=0.01)
    assert read_s(ENGINE, 210_000, 4) == pytest.approx(0.71, abs=0.01)
    assert pass_s(ENGINE, 0, 0) == 0
    assert pass_s(ENGINE, 8, 40_000) == pytest.approx(0.0508, abs=0.001)
    assert write_s(ENGINE, 460, 0) == pytest.approx(0.445, abs=0.01)


def test_entries_that_choose_at_once_choose_differently() -> None:
    """Entries that choose at once choose differently."""
    seats = [_seat('c-{0}'.format(number), **WRITING) for number in range(6)]
    rngs = [random.Random(seed) for seed in range(12)]
    chosen = [choose_engine(seats, ENGINE, CAPTION, rng) for rng in rngs]
    counts = Counter(choice.upstream for choice in chosen if choice)
    assert max(counts.values()) <= 6


def test_last_places_are_left_while_there_are_others() -> None:
    """Last places are left while there are others."""
    seats = [
        _seat('crowded', requests=7, writers=7, gap_s=0.2),
        _seat('open', **WRITING),
    ]
    for seed in range(10):
        choice = choose_engine(seats, ENGINE, CAPTION, random.Random(seed))
        assert choice is not None
        assert choice.upstream == 'open'


def test_own_data_centre_is_chosen_more_often() -> None:
    """Own data centre is chosen more often."""
    seats = [_seat('away', data_centre=DataCentreId('b')), _seat('near')]
    chosen = [
        choose_engine(seats, ENGINE, CAPTION, random.Random(seed))
        for seed in range(200)
    ]
    near = sum(choice.upstream == 'near' for choice in chosen if choice)
    assert near > 110
