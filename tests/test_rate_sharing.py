"""Tests that many entries together keep an upstream's limit, and use it."""

import asyncio
import itertools
from functools import partial

import pytest
from bench.limits.fleet import PermitFleet
from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.direct.peers import permits
from figspread.ids import PeerId, UpstreamId
from figspread.policy.rate_owner import (
    FORGET_ENTRY_S,
    EntryCensus,
    RateAllowance,
    choose_owner,
)
from tests.test_stated_terms import (
    allowed_in_window,
    count_in_worst_window,
)

LIMITS = (0.5, 1, 5, 40)
ENTRY_COUNTS = (3, 12, 68)
# Part of the limit that has to be used while callers want more.
USED_SHARE = 0.8
LENGTH_S = 20
# The users count from some seconds after an upstream first states a limit.
SETTLING_S = 3
DEMAND_FACTOR = 3
MIN_REQUESTS_PER_S = 20
CASES = tuple(itertools.product(LIMITS, ENTRY_COUNTS))


@pytest.fixture(autouse=True)
def _wait_little_for_replies(monkeypatch: pytest.MonkeyPatch) -> None:
    # Replies come at once here or never, whatever the manual clock says.
    monkeypatch.setattr(permits, 'REPLY_TIMEOUT_S', 0.005)


def _play(fleet: PermitFleet, seconds: float) -> None:
    limit = fleet.rate_limit or 0
    demand = max(MIN_REQUESTS_PER_S, DEMAND_FACTOR * limit)
    asyncio.run(fleet.run(seconds, demand))


def _find_group(address: str, groups: int) -> int:
    return int(address.rpartition('.')[2]) % groups


def _settled(rate_limit: float, entries: int, seed: int = 1) -> PermitFleet:
    fleet = PermitFleet(entries, rate_limit, seed)
    _play(fleet, SETTLING_S)
    fleet.arrivals_s.clear()
    return fleet


@pytest.mark.parametrize(('rate_limit', 'entries'), CASES)
def test_limit_is_kept_and_used(rate_limit: float, entries: int) -> None:
    """Keep and use a limit while all entries are connected."""
    fleet = _settled(rate_limit, entries)
    _play(fleet, LENGTH_S)
    worst = count_in_worst_window(fleet.arrivals_s)
    assert worst <= allowed_in_window(rate_limit)
    assert len(fleet.arrivals_s) >= USED_SHARE * rate_limit * LENGTH_S


@pytest.mark.parametrize(('rate_limit', 'entries'), CASES)
def test_limit_is_kept_and_used_while_entries_restart(
    rate_limit: float, entries: int
) -> None:
    """Keep and use a limit while one entry after the other restarts."""
    fleet = _settled(rate_limit, entries)
    addresses = itertools.cycle(tuple(fleet.entries))
    for _ in range(LENGTH_S // 4):
        fleet.restart(next(addresses))
        _play(fleet, 4)
    worst = count_in_worst_window(fleet.arrivals_s)
    assert worst <= allowed_in_window(rate_limit)
    assert len(fleet.arrivals_s) >= USED_SHARE * rate_limit * LENGTH_S


# Group of an entry by the last part of its address.
CUTS = {'halves': 2, 'thirds': 3, 'each alone': 100}


@pytest.mark.parametrize('cut', CUTS)
@pytest.mark.parametrize(('rate_limit', 'entries'), CASES)
def test_limit_is_kept_while_entries_are_cut_off(
    rate_limit: float, entries: int, cut: str
) -> None:
    """Keep a limit over groups of entries that don't reach each other."""
    fleet = _settled(rate_limit, entries)
    fleet.cut(partial(_find_group, groups=CUTS[cut]))
    _play(fleet, LENGTH_S / 2)
    fleet.cut(lambda _: 0)
    _play(fleet, LENGTH_S / 2)
    worst = count_in_worst_window(fleet.arrivals_s)
    assert worst <= allowed_in_window(rate_limit)


@pytest.mark.parametrize(('rate_limit', 'entries'), CASES)
def test_limit_is_kept_while_its_owner_freezes(
    rate_limit: float, entries: int
) -> None:
    """Keep a limit when its owner stops and goes on later."""
    fleet = _settled(rate_limit, entries)
    names = {entry.entry: entry for entry in fleet.entries.values()}
    owner = names[choose_owner(names, UpstreamId('e-1'))]
    owner.is_frozen = True
    fleet.cut(lambda address: int(address == owner.address))
    _play(fleet, 5)
    owner.is_frozen = False
    _play(fleet, 1)
    fleet.cut(lambda _: 0)
    _play(fleet, LENGTH_S / 2)
    worst = count_in_worst_window(fleet.arrivals_s)
    assert worst <= allowed_in_window(rate_limit)


def test_raised_lowered_and_dropped_limit_is_followed() -> None:
    """Follow an upstream that changes its limit and then drops it."""
    fleet = _settled(1, 12)
    for rate_limit in (5, 0.5, 2):
        fleet.rate_limit = rate_limit
        _play(fleet, SETTLING_S)
        fleet.arrivals_s.clear()
        _play(fleet, LENGTH_S)
        worst = count_in_worst_window(fleet.arrivals_s)
        assert worst <= allowed_in_window(rate_limit)
        assert len(fleet.arrivals_s) >= USED_SHARE * rate_limit * LENGTH_S
    fleet.rate_limit = None
    _play(fleet, SETTLING_S)
    fleet.arrivals_s.clear()
    _play(fleet, 2)
    assert len(fleet.arrivals_s) > 2 * MIN_REQUESTS_PER_S * USED_SHARE


def test_upstream_that_accepts_nothing_is_still_asked_at_times() -> None:
    """Send a few requests to hear of the end of a limit of 0."""
    fleet = _settled(0, 3)
    _play(fleet, LENGTH_S)
    assert 0 < len(fleet.arrivals_s) <= LENGTH_S / 4
    assert count_in_worst_window(fleet.arrivals_s) <= allowed_in_window(0)


@settings(derandomize=True, deadline=None, max_examples=40)
@given(
    st.sampled_from(LIMITS),
    st.integers(2, 8),
    st.lists(
        st.one_of(
            st.tuples(st.just('restart'), st.integers(0, 7)),
            st.tuples(st.just('cut'), st.integers(1, 3)),
            st.tuples(st.just('wait'), st.integers(1, 4)),
        ),
        max_size=8,
    ),
)
def test_limit_is_kept_in_any_order_of_restarts_and_cuts(
    rate_limit: float, entries: int, events: list[tuple[str, int]]
) -> None:
    """Keep a limit whatever happens to the entries, and in which order.

    A restart excuses its entry, so requests near one are not counted.
    """
    fleet = _settled(rate_limit, entries)
    for kind, number in events:
        if kind == 'restart':
            fleet.restart('10.0.0.{0}'.format(number % entries))
        elif kind == 'cut':
            fleet.cut(partial(_find_group, groups=number))
        _play(fleet, number if kind == 'wait' else 1)
    worst = count_in_worst_window(fleet.arrivals_s)
    assert worst <= allowed_in_window(rate_limit)


def test_entries_with_the_same_view_choose_the_same_owner() -> None:
    """Choose the owner by the members alone, whatever their order."""
    members = [PeerId('entry-{0}'.format(number)) for number in range(9)]
    upstreams = [UpstreamId('e-{0}'.format(number)) for number in range(40)]
    owners = [choose_owner(members, upstream) for upstream in upstreams]
    assert owners == [
        choose_owner(reversed(members), upstream) for upstream in upstreams
    ]
    assert len(set(owners)) > len(members) / 2


def test_census_forgets_removed_entries() -> None:
    """Count a lost entry until it must have ended, or has said that it does."""
    census = EntryCensus()
    census.update(0, {'a', 'b'}, {'a', 'b', 'c'})
    assert census.share(0) == 3 / 4
    census.update(1, {'a'}, {'a', 'b', 'c'})
    assert census.share(1) == 2 / 4
    census.forget('b')
    assert census.share(1) == 2 / 3
    census.update(2 + FORGET_ENTRY_S, {'a'}, {'a', 'b', 'c'})
    assert census.share(2 + FORGET_ENTRY_S) == 1


def test_new_owner_allows_nothing_at_first() -> None:
    """Leave time for a previous owner that has not noticed its loss."""
    allowance = RateAllowance(0, 1)
    assert allowance.take(0.5, 40, 1) == 0.5
    assert allowance.take(1, 40, 1) == 0
