"""Tests that all entries together keep the limit of a cold engine, and use it.

Entries that send a cold engine more than it tolerates crash it, together with
the answers that it is giving.
"""

import asyncio
import itertools
from bisect import bisect_left
from collections.abc import Sequence
from functools import partial

import pytest
from bench.limits.fleet import COLD_BOUND, UPSTREAM, PermitFleet, SimulatedEntry

from figspread.direct.peers import permits
from figspread.policy.rate_owner import choose_owner

LIMITS = (1, 5, 34)
ENTRY_COUNTS = (3, 23, 68)
CASES = tuple(itertools.product(LIMITS, ENTRY_COUNTS))
SEEDS = (1, 2, 3)
# Part of the limit that has to be used while callers want more.
USED_SHARE = 0.8
LENGTH_S = 20
SETTLING_S = 3
DEMAND_FACTOR = 3
MIN_REQUESTS_PER_S = 20
WINDOW_S = 1


@pytest.fixture(autouse=True)
def _wait_little_for_replies(monkeypatch: pytest.MonkeyPatch) -> None:
    # Replies come at once here or never, whatever the manual clock says.
    monkeypatch.setattr(permits, 'REPLY_TIMEOUT_S', 0.005)


def count_in_worst_second(arrivals_s: Sequence[float]) -> int:
    """Return the largest number of arrivals in any one second."""
    ordered = sorted(arrivals_s)
    return max(
        (
            end + 1 - bisect_left(ordered, ordered[end] - WINDOW_S)
            for end in range(len(ordered))
        ),
        default=0,
    )


def allowed_in_second(per_s: float) -> float:
    """Return how many requests a cold engine may get in any one second."""
    return per_s * COLD_BOUND.factor + COLD_BOUND.slack


def _play(fleet: PermitFleet, seconds: float) -> None:
    demand = max(MIN_REQUESTS_PER_S, DEMAND_FACTOR * fleet.cold_per_s)
    asyncio.run(fleet.run(seconds, demand))


def _find_group(address: str, groups: int) -> int:
    return int(address.rpartition('.')[2]) % groups


def _start(per_s: float, entries: int, seed: int) -> PermitFleet:
    """Return a fleet that has run before the engine becomes cold."""
    fleet = PermitFleet(entries, None, seed, cold_per_s=per_s)
    fleet.cold_per_s = 0
    _play(fleet, SETTLING_S)
    fleet.arrivals_s.clear()
    fleet.cold_per_s = per_s
    return fleet


def _find_owner(fleet: PermitFleet) -> SimulatedEntry:
    names = {entry.entry: entry for entry in fleet.entries.values()}
    return names[choose_owner(names, UPSTREAM.upstream)]


async def _send_many(entry: SimulatedEntry) -> None:
    for _ in range(MIN_REQUESTS_PER_S):
        await entry.try_send()


def _check(fleet: PermitFleet, per_s: float) -> None:
    assert count_in_worst_second(fleet.arrivals_s) <= allowed_in_second(per_s)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(('per_s', 'entries'), CASES)
def test_cold_limit_is_kept_and_used(
    per_s: float, entries: int, seed: int
) -> None:
    """Guard against a crash by bursts, and against engines that stand idle."""
    fleet = _start(per_s, entries, seed)
    _play(fleet, LENGTH_S)
    _check(fleet, per_s)
    assert len(fleet.arrivals_s) >= USED_SHARE * per_s * LENGTH_S


@pytest.mark.parametrize(('per_s', 'entries'), CASES)
def test_first_requests_are_allowed_at_once(per_s: float, entries: int) -> None:
    """Guard against a wait of the handover time for each engine that starts."""
    fleet = _start(per_s, entries, 1)
    _play(fleet, 0.5)
    assert fleet.arrivals_s


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('groups', [2, 3, 1000])
@pytest.mark.parametrize(('per_s', 'entries'), CASES)
def test_cold_limit_is_kept_while_entries_are_cut_off(
    per_s: float, entries: int, groups: int, seed: int
) -> None:
    """Guard against parts of the fleet that each use the whole limit.

    The cut lasts longer than lost entries count for limits that are stated.
    """
    fleet = _start(per_s, entries, seed)
    _play(fleet, 2)
    fleet.cut(partial(_find_group, groups=groups))
    _play(fleet, LENGTH_S + LENGTH_S / 2)
    fleet.cut(lambda _: 0)
    _play(fleet, LENGTH_S / 2)
    _check(fleet, per_s)


@pytest.mark.parametrize('groups', [2, 3, 1000])
@pytest.mark.parametrize(('per_s', 'entries'), CASES)
def test_engine_that_becomes_cold_during_a_cut_keeps_its_limit(
    per_s: float, entries: int, groups: int
) -> None:
    """Guard against parts that all allow their first requests at once."""
    fleet = PermitFleet(entries, None, 1, cold_per_s=per_s)
    fleet.cold_per_s = 0
    _play(fleet, SETTLING_S)
    fleet.cut(partial(_find_group, groups=groups))
    _play(fleet, SETTLING_S)
    fleet.arrivals_s.clear()
    fleet.cold_per_s = per_s
    _play(fleet, LENGTH_S)
    _check(fleet, per_s)


@pytest.mark.parametrize('frozen_s', [0.5, 1, 2.2, 5])
@pytest.mark.parametrize(('per_s', 'entries'), CASES)
def test_cold_limit_is_kept_while_its_owner_freezes(
    per_s: float, entries: int, frozen_s: float
) -> None:
    """Guard against an owner that goes on beside its successor."""
    fleet = _start(per_s, entries, 1)
    _play(fleet, 2)
    owner = _find_owner(fleet)
    owner.is_frozen = True
    fleet.cut(lambda address: int(address == owner.address))
    _play(fleet, frozen_s)
    fleet.thaw(owner)
    # Requests have waited at the owner meanwhile.
    asyncio.run(_send_many(owner))
    _play(fleet, 1)
    fleet.cut(lambda _: 0)
    _play(fleet, LENGTH_S / 2)
    _check(fleet, per_s)


@pytest.mark.parametrize(('per_s', 'entries'), CASES)
def test_cold_limit_is_kept_and_used_while_entries_restart(
    per_s: float, entries: int
) -> None:
    """Guard against two owners while entries come and go."""
    fleet = _start(per_s, entries, 1)
    addresses = itertools.cycle(tuple(fleet.entries))
    for _ in range(LENGTH_S // 4):
        fleet.restart(next(addresses))
        _play(fleet, 4)
    _check(fleet, per_s)
    assert len(fleet.arrivals_s) >= USED_SHARE * per_s * LENGTH_S


@pytest.mark.parametrize(('per_s', 'entries'), CASES)
def test_entries_that_start_without_knowing_anybody_keep_the_limit(
    per_s: float, entries: int
) -> None:
    """Guard against a new entry that takes itself for the whole fleet."""
    fleet = _start(per_s, entries, 1)
    _play(fleet, 2)
    fresh = [
        fleet.add_isolated('10.0.1.{0}'.format(number)) for number in range(4)
    ]
    _play(fleet, LENGTH_S / 2)
    for entry in fresh:
        entry.is_isolated = False
        _play(fleet, 1)
    _play(fleet, LENGTH_S / 2)
    _check(fleet, per_s)


@pytest.mark.parametrize(('per_s', 'entries'), CASES)
def test_owner_that_does_not_know_grants_no_more_than_the_limit(
    per_s: float, entries: int
) -> None:
    """Guard against an owner that has not read the newest record yet."""
    fleet = _start(per_s, entries, 1)
    owner = _find_owner(fleet)
    owner.knows_cold = False
    owner.is_frozen = False
    owner.denied_until_s = float('inf')
    _play(fleet, LENGTH_S)
    _check(fleet, per_s)
    assert len(fleet.arrivals_s) >= USED_SHARE * per_s * LENGTH_S


@pytest.mark.parametrize(('per_s', 'entries'), CASES)
def test_engine_that_becomes_cold_without_notice_keeps_its_limit(
    per_s: float, entries: int
) -> None:
    """Guard against entries that learn late, one after the other.

    What the last ones send before they have read the record is not limited, so
    the bound counts from then.
    """
    fleet = _start(per_s, entries, 1)
    for entry in fleet.entries.values():
        entry.knows_cold = False
    _play(fleet, 1)
    for entry in fleet.entries.values():
        _play(fleet, 0.02)
        entry.knows_cold = True
    fleet.arrivals_s.clear()
    _play(fleet, LENGTH_S)
    _check(fleet, per_s)
    assert len(fleet.arrivals_s) >= USED_SHARE * per_s * LENGTH_S
