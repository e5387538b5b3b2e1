"""Placements that several entries make at the same moment."""

import asyncio
from pathlib import Path

import pytest
from bench.giftwrap.caller import Answer
from bench.giftwrap.upstream import Fault

from figspread.clock import ManualClock
from figspread.direct.state.placements import (
    Placement,
    PlacementRegistry,
)
from figspread.ids import PeerId, PlacementId, UpstreamId
from figspread.policy.contention import (
    CONTENDED_SLOTS,
    CONTENTION_WINDOW_S,
    is_contended,
    keeps_slot,
)
from tests.giftwrap_fleet import Fleet, run_scenario, wait_until

ENGINE = UpstreamId('e-1')
NAMES = [PlacementId('entry-{0}.1'.format(number)) for number in range(9)]


@pytest.mark.parametrize(
    ('requests_before', 'expected'),
    [(0, False), (8 - CONTENDED_SLOTS, True), (7, True), (9, True)],
)
def test_only_last_slots_are_contended(
    requests_before: int, expected: bool
) -> None:
    """A placement at an engine with many free slots is sent at once."""
    assert is_contended(8, requests_before) == expected


@pytest.mark.parametrize('free', range(-1, 10))
def test_as_many_contenders_as_slots_keep_theirs(free: int) -> None:
    """No slot is given twice, and none is left while someone wants it."""
    kept = [name for name in NAMES if keeps_slot(name, NAMES, free)]
    assert len(kept) == min(len(NAMES), max(0, free))


def test_entries_agree_whatever_order_they_heard_in() -> None:
    """The result depends on the names alone."""
    kept = {name for name in NAMES if keeps_slot(name, NAMES, 4)}
    backwards = tuple(reversed(NAMES))
    assert kept == {name for name in NAMES if keeps_slot(name, backwards, 4)}


def _place(
    registry: PlacementRegistry, name: PlacementId, *, is_helper: bool = False
) -> None:
    placement = Placement(name, ENGINE, prefill_s=0.02, is_helper=is_helper)
    registry.start(placement, PeerId(name))


def test_older_placements_and_helpers_are_no_contenders() -> None:
    """An established placement keeps its slot; a helper holds none."""
    clock = ManualClock()
    registry = PlacementRegistry(clock, lambda: None)
    for name in NAMES[:2]:
        _place(registry, name)
    clock.advance(2 * CONTENTION_WINDOW_S)
    for name in NAMES[2:5]:
        _place(registry, name)
    _place(registry, NAMES[5], is_helper=True)
    occupancy = registry.occupancy(ENGINE)
    for slots, kept in ((5, 3), (4, 2), (2, 0)):
        assert kept == sum(
            occupancy.keeps_slot(name, slots, clock.now())
            for name in NAMES[2:5]
        )


def test_requests_of_two_entries_do_not_share_the_last_slots(
    tmp_path: Path,
) -> None:
    """What both entries place at the same moment spreads over both engines.

    Each engine has eight slots. Both entries see the same free slots, and
    without settling would place up to sixteen requests at one engine.
    """

    async def scenario(fleet: Fleet) -> list[int]:
        for name in ('e-1', 'e-2'):
            fleet.upstreams[name].fault = Fault.HANGS
        calls = [
            asyncio.create_task(caller.call('caption', usage='1000,460'))
            for _ in range(8)
            for caller in fleet.callers
        ]
        counts: list[int] = []
        await wait_until(lambda: sum(_count_running(fleet)) == len(calls))
        counts = _count_running(fleet)
        for call in calls:
            call.cancel()
        return counts

    assert run_scenario(tmp_path, scenario, entries=2) == [8, 8]


def _count_running(fleet: Fleet) -> list[int]:
    return [len(fleet.upstreams[name].running_ids) for name in ('e-1', 'e-2')]


def test_waiting_caller_that_leaves_frees_its_place(tmp_path: Path) -> None:
    """A request that is cancelled while it settles leaves no placement."""

    async def scenario(fleet: Fleet) -> Answer:
        for name in ('e-1', 'e-2'):
            fleet.upstreams[name].fault = Fault.HANGS
        caller = fleet.callers[0]
        calls = [
            asyncio.create_task(caller.call('caption', usage='1000,460'))
            for _ in range(16)
        ]
        await wait_until(lambda: fleet.entries[0].count_placed() > 13)
        for call in calls:
            call.cancel()
        await wait_until(lambda: not fleet.entries[0].count_placed())
        for name in ('e-1', 'e-2'):
            fleet.upstreams[name].fault = Fault.NONE
        return await caller.call('caption', usage='1000,460')

    assert run_scenario(tmp_path, scenario).status == 200
