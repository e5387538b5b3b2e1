"""Tests of the decision whether an upstream is cold, and what follows from it."""

import itertools
import random
from collections.abc import Sequence

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.ids import DataCentreId, PeerId, UpstreamId
from figspread.inner.entry_messages import NoticeRow
from figspread.policy.cold_upstreams import (
    PERMIT_LIFE_S,
    RECORD_DELAY_S,
    ColdBound,
    ColdFacts,
    ColdSource,
    Temperature,
    classify,
    plan_limit,
)
from figspread.policy.engine_choice import MAX_JITTER_S, choose_engine
from figspread.policy.engine_cost import COLD_PENALTY_S
from figspread.policy.engine_time import EngineProfile
from figspread.policy.owner_stability import OwnerStability
from figspread.policy.placement import choose_service_upstream
from figspread.policy.rate_owner import (
    FORGET_COLD_S,
    FORGET_ENTRY_S,
    EntryCensus,
    RateAllowance,
    make_cold_terms,
)
from figspread.policy.upstream_load import PlacementRequirements, UpstreamLoad

DURATION_S = 3.0
COLD = (Temperature.COLD, ColdSource.RECORD)
WARM = (Temperature.WARM, ColdSource.RECORD)
RESTARTED = (Temperature.POSSIBLY_COLD, ColdSource.RESTART)
COPIED = (Temperature.POSSIBLY_COLD, ColdSource.COPY)
EVACUATED = (Temperature.POSSIBLY_COLD, ColdSource.EVACUATION)
CUT_OFF = (Temperature.POSSIBLY_COLD, ColdSource.NO_CONTACT)
# Facts, the class and source, and the failure that the row guards against.
VERDICTS = {
    'no cold limit after a start': (ColdFacts(cold_s=3, record_age_s=1), COLD),
    'a cold limit without end': (ColdFacts(cold_s=3, record_age_s=3), WARM),
    'a limit for a warm engine': (ColdFacts(record_age_s=60), WARM),
    'a herd before the new record': (
        ColdFacts(record_age_s=1, restart_age_s=0),
        RESTARTED,
    ),
    'a record from before the restart that ends it': (
        ColdFacts(record_age_s=0.5, restart_age_s=1),
        RESTARTED,
    ),
    'a limit without end of a warm engine whose record does not change': (
        ColdFacts(record_age_s=60, restart_age_s=DURATION_S + RECORD_DELAY_S),
        WARM,
    ),
    'a herd that begins before an engine that restarted is warm': (
        ColdFacts(record_age_s=60, restart_age_s=DURATION_S + 0.9),
        RESTARTED,
    ),
    'a restart that no record ends': (
        ColdFacts(record_age_s=0.1, restart_age_s=1.2),
        WARM,
    ),
    'a sign of a restart that hides the record': (
        ColdFacts(cold_s=3, record_age_s=0.1, restart_age_s=0.2),
        COLD,
    ),
    'trust in a copy of the store': (
        ColdFacts(record_age_s=5, is_copied=True),
        COPIED,
    ),
    'a herd after an evacuation': (
        ColdFacts(record_age_s=0.1, evacuation_age_s=2),
        EVACUATED,
    ),
    'a limit long after an evacuation': (
        ColdFacts(record_age_s=0.1, evacuation_age_s=3),
        WARM,
    ),
    'an entry that is exempt because it is cut off': (
        ColdFacts(record_age_s=9, can_know=False),
        CUT_OFF,
    ),
}


@pytest.mark.parametrize('case', VERDICTS)
def test_facts_decide_whether_an_upstream_is_cold(case: str) -> None:
    """Guard against the failure that the case names."""
    facts, expected = VERDICTS[case]
    verdict = classify(facts, DURATION_S)
    assert (verdict.temperature, verdict.source) == expected
    assert verdict.is_limited == (expected != WARM)


AGES_S = st.floats(0, 20)
FACTS = st.builds(
    ColdFacts,
    cold_s=st.floats(0, 5),
    record_age_s=AGES_S,
    is_copied=st.booleans(),
    restart_age_s=st.none() | AGES_S,
    evacuation_age_s=st.none() | AGES_S,
    can_know=st.booleans(),
)


@settings(derandomize=True, deadline=None)
@given(facts=FACTS)
def test_upstream_is_warm_only_if_no_fact_speaks_against_it(
    facts: ColdFacts,
) -> None:
    """Guard against one fact that hides another."""
    is_restarted = (
        facts.restart_age_s is not None
        and facts.restart_age_s < DURATION_S + RECORD_DELAY_S
        and facts.record_age_s + RECORD_DELAY_S > facts.restart_age_s
    )
    is_returning = (
        facts.evacuation_age_s is not None
        and facts.evacuation_age_s < DURATION_S
    )
    reasons = (
        facts.record_age_s < facts.cold_s,
        is_restarted,
        facts.is_copied,
        is_returning,
        not facts.can_know,
    )
    assert classify(facts, DURATION_S).is_limited == any(reasons)


BOUND = ColdBound(1.5, 5)


@pytest.mark.parametrize('per_s', [1, 5, 34, 100])
def test_stated_limits_are_planned_whole(per_s: float) -> None:
    """Guard against a cold engine that stands idle below its limit."""
    assert plan_limit(per_s, BOUND).per_s == per_s


@settings(derandomize=True, deadline=None)
@given(
    per_s=st.floats(0.5, 500),
    factor=st.floats(1, 3),
    slack=st.floats(2, 20),
)
def test_planned_limit_has_room_for_the_life_of_permits(
    per_s: float, factor: float, slack: float
) -> None:
    """Guard against a plan that exceeds the bound by bursts or late sends."""
    bound = ColdBound(factor, slack)
    limit = plan_limit(per_s, bound)
    worst = limit.per_s * (1 + PERMIT_LIFE_S) + limit.burst
    assert worst <= per_s * factor + slack + 1e-6
    assert 0 < limit.per_s <= per_s


def _count_in_worst_second(times_s: Sequence[float]) -> int:
    ordered = sorted(times_s)
    return max(
        (
            sum(begin <= time_s < begin + 1 for time_s in ordered)
            for begin in ordered
        ),
        default=0,
    )


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    per_s=st.sampled_from([1, 5, 34]),
    gaps_s=st.lists(
        st.sampled_from([0, 0.001, 0.01, 0.1, 1, 5]), min_size=50, max_size=300
    ),
    delays_s=st.lists(st.floats(0, PERMIT_LIFE_S), min_size=1, max_size=40),
)
def test_one_owner_keeps_the_bound_whenever_requests_come(
    per_s: float, gaps_s: list[float], delays_s: list[float]
) -> None:
    """Guard against a burst after a pause, with sends late in a permit's life."""
    limit = plan_limit(per_s, BOUND)
    allowance = RateAllowance(0, 1, 10)
    now: float = 10
    sends_s = []
    for gap_s, delay_s in zip(gaps_s, itertools.cycle(delays_s), strict=False):
        now += gap_s
        wait_s = allowance.take(
            now, limit.per_s, 1, make_cold_terms(limit.burst)
        )
        if not wait_s:
            sends_s.append(now + delay_s)
    allowed = per_s * BOUND.factor + BOUND.slack
    assert _count_in_worst_second(sends_s) <= allowed


ONE = PeerId('one')
OTHER = PeerId('other')


def test_owner_counts_as_stable_a_second_after_a_change() -> None:
    """Guard against grants beside a previous owner that has not noticed."""
    stability = OwnerStability(0)
    stability.update(0, {ONE}, 1)
    stability.update(0.9, {ONE}, 1)
    assert not stability.is_stable(0.9)
    stability.update(1.4, {ONE}, 1)
    assert stability.is_stable(1.4)
    stability.update(1.5, {ONE, OTHER}, 1)
    assert not stability.is_stable(2.4)
    assert stability.is_stable(2.5)


def test_owner_that_was_stopped_is_not_stable() -> None:
    """Guard against a process that goes on beside its successor."""
    stability = OwnerStability(0)
    assert not stability.update(1, {ONE}, 1)
    assert stability.update(4, {ONE}, 1)
    assert not stability.is_stable(4.9)


def test_share_that_rises_counts_a_second_later() -> None:
    """Guard against two owners with large shares while a cut heals."""
    stability = OwnerStability(0)
    for now, share, expected in (
        (0, 0.5, 0.5),
        (0.5, 1, 0.5),
        (1, 1, 0.5),
        (1.4, 1, 0.5),
        (1.5, 1, 1),
        (2, 0.3, 0.3),
        (2.5, 0.6, 0.3),
        (3, 1, 0.3),
        (3.6, 1, 0.6),
        (4.1, 1, 1),
    ):
        stability.update(now, {ONE}, share)
        assert stability.share == expected, now


def test_lost_entries_count_longer_for_cold_limits() -> None:
    """Guard against parts of a long cut that each take themselves for all."""
    census = EntryCensus()
    census.update(0, {'a'}, {'a'})
    census.update(1, (), {'a'})
    now = 2 + FORGET_ENTRY_S
    assert census.share(now) == 1
    assert census.share(now, FORGET_COLD_S) == 0.5


def test_owner_without_all_entries_counts_who_asks() -> None:
    """Guard against two owners that each reach all but the other one."""
    allowance = RateAllowance(0, 0)
    allowance.record_asker(10, ONE)
    allowance.record_asker(11, OTHER)
    assert allowance.share_of_askers(11, 4) == 0.5
    assert allowance.share_of_askers(12.5, 4) == 0.25
    assert allowance.is_asked_for(12.5)
    assert not allowance.is_asked_for(13)


HOME = DataCentreId('a')
ENGINE = EngineProfile(
    step_ms=0.925,
    step_ms_per_request=0.00966,
    step_ms_per_k_context=0.00254,
    prefill_tokens_per_ms=256,
    prefill_ms_per_m_pairs=0.0917,
)
SHORT = PlacementRequirements(5000, 1600, 0.3, 0.2, HOME)


def _make_load(name: str, requests: int, *, is_cold: bool) -> UpstreamLoad:
    return UpstreamLoad(
        UpstreamId(name), HOME, 8, requests=requests, is_cold=is_cold
    )


# Requests at the warm and at the cold upstream, and which one is chosen.
CHOICES = {
    'both idle': (0, 0, 'warm'),
    'the warm one is full': (8, 0, 'cold'),
}


@pytest.mark.parametrize('case', CHOICES)
@pytest.mark.parametrize('seed', range(20))
def test_short_prompt_takes_a_cold_engine_only_if_warm_ones_are_full(
    case: str, seed: int
) -> None:
    """Guard against load on an engine that just starts, and against waiting."""
    at_warm, at_cold, expected = CHOICES[case]
    candidates = [
        _make_load('cold', at_cold, is_cold=True),
        _make_load('warm', at_warm, is_cold=False),
    ]
    choice = choose_engine(candidates, ENGINE, SHORT, random.Random(seed))
    assert choice is not None
    assert choice.upstream == expected


def test_cold_engine_costs_more_than_the_random_part_of_a_choice() -> None:
    """Guard against a later change that lets chance prefer cold engines."""
    assert COLD_PENALTY_S > MAX_JITTER_S


@pytest.mark.parametrize(
    ('at_warm', 'at_cold', 'expected'),
    [(0, 0, 'warm'), (1, 0, 'warm'), (4, 0, 'cold')],
)
def test_plain_request_takes_a_cold_upstream_later(
    at_warm: int, at_cold: int, expected: str
) -> None:
    """Guard against load on a process that just starts, or none at all."""
    candidates = [
        _make_load('cold', at_cold, is_cold=True),
        _make_load('warm', at_warm, is_cold=False),
    ]
    choice = choose_service_upstream(candidates, HOME, 2)
    assert choice is not None
    assert choice.upstream == expected


def test_row_of_an_entry_of_the_previous_build_is_read() -> None:
    """Guard against entries of two builds that don't understand each other."""
    row = NoticeRow(UpstreamId('e-1'), 7, 5, states_limit=True)
    shorter = msgspec.to_builtins(row)[:6]
    assert msgspec.convert(shorter, NoticeRow) == row
