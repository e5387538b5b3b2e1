"""Tests of the part of a cold upstream's limit that each entry has."""

import random
from bisect import bisect_left

import pytest
from hypothesis import given
from hypothesis import strategies as st

from figspread.ids import UpstreamId
from figspread.policy.cold_share import SPAN_S, ColdShare, plan_share
from figspread.policy.cold_upstreams import PERMIT_LIFE_S

ENGINE = UpstreamId('e-1')
LENGTH_S = 12


@pytest.mark.parametrize(
    ('bound', 'entries', 'share'),
    [
        (56, 3, 14),
        (56, 23, 2),
        (56, 55, 1),
        # The parts would be below one request: an owner has to decide.
        (56, 56, 0),
        (6.5, 3, 1),
        (6.5, 23, 0),
    ],
)
def test_parts_of_all_entries_and_one_more_are_within_the_bound(
    bound: float, entries: int, share: int
) -> None:
    """Guard against parts that add up to more than an engine tolerates."""
    assert plan_share(bound, entries) == share
    assert share * (entries + 1) <= bound


@given(
    entries=st.integers(1, 60),
    seed=st.integers(0, 9),
    restarted=st.booleans(),
)
def test_entries_that_hear_nothing_of_each_other_keep_the_bound(
    entries: int, seed: int, restarted: bool
) -> None:
    """Guard against a herd at a cold engine while all entries are cut off.

    The load is requests of every entry every 50 ms, each sent up to the life of
    its permit later; processes that restart begin without a memory.
    """
    bound = 56
    share = plan_share(bound, entries)
    rng = random.Random(seed)
    sent_s: list[float] = []
    for _ in range(entries if share else 0):
        restart_s = rng.uniform(2, LENGTH_S) if restarted else LENGTH_S
        part = ColdShare(-SPAN_S)
        now = rng.random() / 10
        while now < LENGTH_S:
            if now >= restart_s:
                restart_s = LENGTH_S
                # The last request of the process before has been sent by now.
                part = ColdShare(now + PERMIT_LIFE_S)
            if not part.take(ENGINE, share, now):
                sent_s.append(now + rng.uniform(0, PERMIT_LIFE_S))
            now += 0.05
    sent_s.sort()
    worst = max(
        (
            end + 1 - bisect_left(sent_s, sent_s[end] - 1)
            for end in range(len(sent_s))
        ),
        default=0,
    )
    assert worst <= bound


def test_an_entry_uses_its_part_again_after_a_span() -> None:
    """Guard against a part that is lost after it was used once."""
    part = ColdShare(0)
    assert part.take(ENGINE, 2, 1) > 0
    assert [part.take(ENGINE, 2, 2), part.take(ENGINE, 2, 2.1)] == [0, 0]
    wait_s = part.take(ENGINE, 2, 2.2)
    assert wait_s == pytest.approx(SPAN_S - 0.2)
    assert part.take(ENGINE, 2, 2.21 + wait_s) == 0
    # A smaller part, after entries were added, counts what was sent before.
    assert part.take(ENGINE, 1, 3.5) > 0


def test_second_restart_within_a_second_gives_no_second_part() -> None:
    """Guard against a part for each start of an upstream that flaps.

    Found by the soak, seeds 3 to 5: 10 to 15 requests in a second, 8 allowed.
    """
    part = ColdShare(-SPAN_S)
    allowed = [part.take(ENGINE, 2, now) for now in (0, 0.1, 0.5, 0.9)]
    assert [wait_s > 0 for wait_s in allowed] == [False, False, True, True]
