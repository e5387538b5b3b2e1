"""Placement of requests on engines and plain services by their load."""

import random
from collections import Counter
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from figspread.ids import DataCentreId, UpstreamId
from figspread.policy.engine_choice import (
    ENGINE_COUNTS,
    choose_engine,
    max_parts,
)
from figspread.policy.engine_cost import estimate_engine
from figspread.policy.engine_time import (
    EngineProfile,
    decode_pass_time_s,
    decode_time_s,
    prefill_time_s,
)
from figspread.policy.placement import (
    choose_service_upstream,
)
from figspread.policy.upstream_load import (
    PlacementRequirements,
    RunningRequest,
    UpstreamLoad,
)

HOME = DataCentreId('a')
ENGINE = EngineProfile(
    step_ms=0.925,
    step_ms_per_request=0.00966,
    step_ms_per_k_context=0.00254,
    prefill_tokens_per_ms=256,
    prefill_ms_per_m_pairs=0.0917,
)
# Captions are short with tight gap limits; reviews, audits and giants are
# increasingly long.
CAPTION = PlacementRequirements(5000, 1600, 0.3, 0.2, HOME)
REVIEW = PlacementRequirements(45_000, 960, 1.5, 0.5, HOME)
AUDIT = PlacementRequirements(210_000, 800, 3, 0.8, HOME)
GIANT = PlacementRequirements(1_000_000, 800, 3, 0.8, HOME)


def _make_candidate(
    name: str, tokens: int = CAPTION.kv_tokens, **fields: Any
) -> UpstreamLoad:
    """Return an upstream whose requests have `tokens` each."""
    candidate = msgspec.structs.replace(
        UpstreamLoad(UpstreamId(name), HOME, 8), **fields
    )
    running = RunningRequest(candidate.target_gap_s, tokens)
    return msgspec.structs.replace(
        candidate, running=(running,) * candidate.requests
    )


def _make_rng() -> random.Random:
    return random.Random(1)


def _idle_seats(count: int) -> list[UpstreamLoad]:
    return [_make_candidate('e-{0}'.format(number)) for number in range(count)]


DECODING_CAPTIONS: dict[str, Any] = {
    'requests': 2,
    'decoding_requests': 2,
    'target_gap_s': 0.2,
}

ENGINE_CASES = {
    'captions share an engine': (
        CAPTION,
        [
            _make_candidate('idle'),
            _make_candidate('captions', **DECODING_CAPTIONS),
        ],
        'captions',
    ),
    'a caption keeps off a long read': (
        CAPTION,
        [
            _make_candidate('reading', requests=1, prefill_backlog_s=1),
            _make_candidate('idle'),
        ],
        'idle',
    ),
    'a caption goes to a new engine rather than a full one': (
        CAPTION,
        [
            _make_candidate(
                'full', requests=8, decoding_requests=8, target_gap_s=0.2
            ),
            _make_candidate('idle'),
        ],
        'idle',
    ),
    'a review keeps off captions': (
        REVIEW,
        [
            _make_candidate('captions', **DECODING_CAPTIONS),
            _make_candidate('idle'),
        ],
        'idle',
    ),
    'a review goes where an audit writes': (
        REVIEW,
        [
            _make_candidate('captions', **DECODING_CAPTIONS),
            _make_candidate(
                'audits',
                AUDIT.kv_tokens,
                requests=1,
                decoding_requests=1,
                target_gap_s=0.8,
            ),
        ],
        'audits',
    ),
    'a failing engine is left out': (
        CAPTION,
        [_make_candidate('failing', failures=3), _make_candidate('sound')],
        'sound',
    ),
    'an engine that fails part of its requests is left out': (
        CAPTION,
        [_make_candidate('grey', failure_rate=0.4), _make_candidate('sound')],
        'sound',
    ),
    'a slow engine is left out': (
        CAPTION,
        [
            _make_candidate('slow', slowdown=4, prefill_backlog_s=0.1),
            _make_candidate('sound', prefill_backlog_s=0.1),
        ],
        'sound',
    ),
    'memory that is taken is left out': (
        REVIEW,
        [
            _make_candidate('taken', kv_tokens=420_000),
            _make_candidate('free', prefill_backlog_s=0.3),
        ],
        'free',
    ),
}


@pytest.mark.parametrize('case', ENGINE_CASES)
def test_engine_choice(case: str) -> None:
    """The expected engine is chosen for the load of each case."""
    requirements, candidates, expected = ENGINE_CASES[case]
    choice = choose_engine(candidates, ENGINE, requirements, _make_rng())
    assert choice is not None
    assert choice.upstream == expected


def test_request_waits_if_no_engine_is_free() -> None:
    """A request waits if no engine has a free slot."""
    assert (
        choose_engine(
            [_make_candidate('full', requests=8)], ENGINE, CAPTION, _make_rng()
        )
        is None
    )


WAIT_CASES = {
    'a caption waits for captions rather than behind a long read': (
        CAPTION,
        [
            _make_candidate('reading', requests=1, prefill_backlog_s=5),
            _make_candidate(
                'captions', requests=8, decoding_requests=8, target_gap_s=0.2
            ),
        ],
    ),
    'a prompt whose time ends before it is read': (
        msgspec.structs.replace(GIANT, time_left_s=15),
        [
            _make_candidate('idle', kv_tokens=0),
            *(_make_candidate(str(number), requests=8) for number in range(3)),
        ],
    ),
    'a caption whose time ends behind a long read': (
        msgspec.structs.replace(CAPTION, time_left_s=10),
        [_make_candidate('reading', requests=1, prefill_backlog_s=30)],
    ),
}


@pytest.mark.parametrize('case', WAIT_CASES)
def test_request_waits_despite_free_slot(case: str) -> None:
    """A request waits if the free slot would be slower or too late."""
    requirements, candidates = WAIT_CASES[case]
    engine = msgspec.structs.replace(ENGINE, kv_tokens=2_000_000)
    assert choose_engine(candidates, engine, requirements, _make_rng()) is None


def test_slot_behind_short_prefill_is_taken() -> None:
    """A caption accepts a short prefill ahead of it rather than wait."""
    candidates = [
        _make_candidate('reading', requests=1, prefill_backlog_s=0.2),
        _make_candidate(
            'captions', requests=8, decoding_requests=8, target_gap_s=0.2
        ),
    ]
    assert choose_engine(candidates, ENGINE, CAPTION, _make_rng()) is not None


def test_short_prompt_has_no_helpers() -> None:
    """A short prompt is prefilled on a single engine."""
    choice = choose_engine(_idle_seats(10), ENGINE, CAPTION, _make_rng())
    assert choice is not None
    assert not choice.helpers
    assert choice.engine_prefill_s == prefill_time_s(
        ENGINE, CAPTION.prompt_tokens
    )


def test_long_prompt_prefill_is_split_within_target() -> None:
    """Prefill split over idle engines meets half the first-token target."""
    choice = choose_engine(_idle_seats(10), ENGINE, AUDIT, _make_rng())
    assert choice is not None
    assert len(choice.helpers) >= 3
    assert choice.first_token_s < AUDIT.target_latency_s / 2


def test_prompt_late_on_one_engine_is_split() -> None:
    """A prompt that would be late on one engine gets a helper.

    It would be only slightly late, and the helper exceeds the gap limits of
    four captions.
    """
    captions: dict[str, Any] = {
        'requests': 4,
        'decoding_requests': 4,
        'target_gap_s': 0.2,
    }
    requirements = msgspec.structs.replace(AUDIT, prompt_tokens=218_000)
    candidates = [
        _make_candidate('idle'),
        _make_candidate('captions', **captions),
    ]
    assert (
        prefill_time_s(ENGINE, requirements.prompt_tokens)
        > requirements.target_latency_s
    )
    choice = choose_engine(candidates, ENGINE, requirements, _make_rng())
    assert choice
    assert choice.helpers == ('captions',)


def test_helpers_avoid_engines_that_decode_captions() -> None:
    """Engines that decode captions are unused while enough are idle."""
    captions = [
        _make_candidate('c-{0}'.format(number), **DECODING_CAPTIONS)
        for number in range(4)
    ]
    choice = choose_engine(
        [*captions, *_idle_seats(5)], ENGINE, AUDIT, _make_rng()
    )
    assert choice is not None
    used = {choice.upstream, *choice.helpers}
    assert not used & {candidate.upstream for candidate in captions}


@pytest.mark.parametrize(
    ('captions', 'expected'), [(2, 'captions'), (8, 'audit')]
)
def test_prompt_delays_the_requests_that_lose_least(
    captions: int, expected: str
) -> None:
    """Guard against long answers that are late for the sake of short ones.

    Callers lose as much by one late audit as by several captions. The load is a
    burst of audits on a fleet whose engines all decode.
    """
    requirements = msgspec.structs.replace(AUDIT, prompt_tokens=130_000)
    candidates = [
        _make_candidate(
            'captions',
            requests=captions,
            decoding_requests=captions,
            target_gap_s=0.2,
        ),
        _make_candidate(
            'audit',
            AUDIT.kv_tokens,
            requests=1,
            decoding_requests=1,
            target_gap_s=0.8,
        ),
    ]
    ranked = [
        estimate_engine(
            candidate,
            ENGINE,
            requirements,
            prefill_time_s(ENGINE, requirements.prompt_tokens),
        )
        for candidate in candidates
    ]
    best = min(ranked, key=lambda estimate: estimate.penalty_s)
    assert best.candidate.upstream == expected


def test_only_requests_whose_gap_is_exceeded_count() -> None:
    """Guard against engines left unused for requests that lose nothing.

    A review of 0.5 s fits between the events of audits, which may be 0.8 s apart,
    also where a caption ends its answer beside them.
    """
    mixed = msgspec.structs.replace(
        _make_candidate(
            'mixed', requests=4, decoding_requests=4, target_gap_s=0.2
        ),
        running=(
            RunningRequest(0.2, CAPTION.kv_tokens),
            *(RunningRequest(0.8, AUDIT.kv_tokens),) * 3,
        ),
    )
    captions = _make_candidate(
        'captions', requests=4, decoding_requests=4, target_gap_s=0.2
    )
    choice = choose_engine([mixed, captions], ENGINE, REVIEW, _make_rng())
    assert choice is not None
    assert choice.upstream == 'mixed'


def test_prompt_larger_than_one_engine_is_stored_on_several() -> None:
    """The KV cache of a prompt too large for one engine is split."""
    choice = choose_engine(_idle_seats(12), ENGINE, GIANT, _make_rng())
    assert choice is not None
    held = sum(choice.helper_kv_tokens)
    assert GIANT.kv_tokens - held <= ENGINE.kv_tokens
    assert max(choice.helper_kv_tokens) <= ENGINE.kv_tokens
    assert sum(1 for tokens in choice.helper_kv_tokens if tokens) == 2


def test_prompt_larger_than_all_engines_is_not_placed() -> None:
    """A prompt larger than the memory of all engines is not placed."""
    assert choose_engine(_idle_seats(2), ENGINE, GIANT, _make_rng()) is None


candidate_strategy = st.builds(
    UpstreamLoad,
    st.uuids().map(lambda name: UpstreamId(str(name))),
    st.sampled_from([HOME, DataCentreId('b')]),
    st.just(8),
    requests=st.integers(0, 9),
    decoding_requests=st.integers(0, 8),
    prefill_backlog_s=st.floats(0, 20),
    target_gap_s=st.sampled_from([0.2, 0.5, 0.8, float('inf')]),
    kv_tokens=st.integers(0, 450_000),
    slowdown=st.floats(0.5, 8),
    failures=st.integers(0, 8),
)


@given(
    candidates=st.lists(candidate_strategy, max_size=20),
    prompt=st.integers(0, 1_000_000),
)
def test_choice_is_feasible(
    candidates: list[UpstreamLoad], prompt: int
) -> None:
    """Chosen engines are distinct and have a free slot and enough memory."""
    requirements = PlacementRequirements(prompt, 500, 3, 0.8, HOME)
    choice = choose_engine(candidates, ENGINE, requirements, _make_rng())
    if choice is None:
        return
    used = (choice.upstream, *choice.helpers)
    seat_by_name = {candidate.upstream: candidate for candidate in candidates}
    assert len(set(used)) == len(used)
    assert len(used) <= max(ENGINE_COUNTS)
    assert all(
        seat_by_name[name].requests < seat_by_name[name].slots for name in used
    )
    assert len(choice.helper_kv_tokens) == len(choice.helpers)
    first_tokens = requirements.kv_tokens - sum(choice.helper_kv_tokens)
    for name, tokens in zip(
        used,
        (first_tokens, *choice.helper_kv_tokens),
        strict=True,
    ):
        assert seat_by_name[name].kv_tokens + tokens <= ENGINE.kv_tokens


def test_plain_service_chooses_least_loaded() -> None:
    """The least loaded upstream is chosen, and none if all are full."""
    candidates = [
        _make_candidate('busy', requests=6),
        _make_candidate('free', requests=1),
    ]
    choice = choose_service_upstream(candidates, HOME, 2)
    assert choice is not None
    assert choice.upstream == 'free'
    assert (
        choose_service_upstream([_make_candidate('full', requests=16)], HOME, 2)
        is None
    )


def test_engine_times_follow_the_published_formula() -> None:
    """Estimates match the platform's published figures."""
    assert prefill_time_s(ENGINE, 210_000) == pytest.approx(2.84, abs=0.01)
    assert prefill_time_s(ENGINE, 210_000, 4) == pytest.approx(0.71, abs=0.01)
    assert decode_pass_time_s(ENGINE, 0, 0) == 0
    assert decode_pass_time_s(ENGINE, 8, 40_000) == pytest.approx(
        0.0508, abs=0.001
    )
    assert decode_time_s(ENGINE, 460, 0) == pytest.approx(0.445, abs=0.01)


def test_simultaneous_choices_are_spread() -> None:
    """Random jitter spreads simultaneous choices over similar engines."""
    candidates = [
        _make_candidate('c-{0}'.format(number), **DECODING_CAPTIONS)
        for number in range(6)
    ]
    rngs = [random.Random(seed) for seed in range(12)]
    chosen = [choose_engine(candidates, ENGINE, CAPTION, rng) for rng in rngs]
    counts = Counter(choice.upstream for choice in chosen if choice)
    assert max(counts.values()) <= 6


def test_last_slots_are_avoided() -> None:
    """An engine with one free slot is avoided if another has more."""
    candidates = [
        _make_candidate(
            'crowded', requests=7, decoding_requests=7, target_gap_s=0.2
        ),
        _make_candidate('open', **DECODING_CAPTIONS),
    ]
    for seed in range(10):
        choice = choose_engine(candidates, ENGINE, CAPTION, random.Random(seed))
        assert choice is not None
        assert choice.upstream == 'open'


def test_home_data_centre_is_chosen_more_often() -> None:
    """Of two equal engines, the one at home is chosen more often."""
    candidates = [
        _make_candidate('away', data_centre=DataCentreId('b')),
        _make_candidate('near'),
    ]
    chosen = [
        choose_engine(candidates, ENGINE, CAPTION, random.Random(seed))
        for seed in range(200)
    ]
    near = sum(choice.upstream == 'near' for choice in chosen if choice)
    assert near > 110


@pytest.mark.parametrize(
    ('tokens', 'engines', 'parts'),
    [(5000, 30, 1), (400_000, 30, 17), (400_000, 9, 8), (400_000, 0, 1)],
)
def test_parts_of_a_prompt_are_limited(
    tokens: int, engines: int, parts: int
) -> None:
    """A short prompt has one part, a long one as many as engines may help."""
    assert max_parts(ENGINE, tokens, engines) == parts


def test_engine_with_an_idle_connection_wins_between_equal_ones() -> None:
    """New connections to engines are priced, but load decides first."""
    rng = _make_rng()
    equal = _idle_seats(9)
    seats = [*equal, _make_candidate('known', has_connection=True)]
    choices = [choose_engine(seats, ENGINE, CAPTION, rng) for _ in range(1000)]
    chosen = Counter(choice.upstream for choice in choices if choice)
    # A tenth without the bonus; all would follow a bonus above the jitter.
    assert 200 < chosen[UpstreamId('known')] < 600
    busy = _make_candidate(
        'known', has_connection=True, requests=1, prefill_backlog_s=0.1
    )
    choice = choose_engine([*equal, busy], ENGINE, CAPTION, rng)
    assert choice is not None
    assert choice.upstream != busy.upstream
