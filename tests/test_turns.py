"""The order of prefills at engines that help with long prompts."""

import asyncio
from pathlib import Path

import pytest
from bench.giftwrap.caller import Answer
from bench.giftwrap.upstream import Fault

from figspread.clock import ManualClock
from figspread.direct.state.placements import (
    MIN_LEFT_SHARE,
    OVERDUE_SLACK_S,
    Placement,
    PlacementRegistry,
)
from figspread.direct.state.turns import PrefillTurns
from figspread.ids import PlacementId, UpstreamId
from tests.giftwrap_fleet import Fleet, run_scenario, wait_until

ENGINE = UpstreamId('e-1')
FIRST, SECOND = PlacementId('p.1'), PlacementId('p.2')


def _make_registry(clock: ManualClock) -> PlacementRegistry:
    registry = PlacementRegistry(clock, lambda: None)
    for name, prefill_s in ((FIRST, 2), (SECOND, 1)):
        registry.start(Placement(name, ENGINE, prefill_s=prefill_s))
    return registry


def test_backlog_keeps_later_prefills_whole_when_the_first_is_slow() -> None:
    """A prefill that takes longer than estimated doesn't hide the next ones."""
    clock = ManualClock()
    registry = _make_registry(clock)
    clock.advance(2 + OVERDUE_SLACK_S)
    first_left_s = 2 * MIN_LEFT_SHARE
    assert registry.estimate_prefill_left_s(ENGINE) == first_left_s + 1
    clock.advance(0.5)
    overdue_s = 0.5 + OVERDUE_SLACK_S
    assert registry.estimate_prefill_left_s(ENGINE) == overdue_s + 1
    registry.record_prefill_end(FIRST)
    clock.advance(0.25)
    assert registry.estimate_prefill_left_s(ENGINE) == 0.75
    registry.record_prefill_end(SECOND)
    assert registry.estimate_prefill_left_s(ENGINE) == 0


@pytest.mark.parametrize('is_ended', [True, False])
def test_turn_comes_after_all_earlier_prefills(is_ended: bool) -> None:
    """A wait ends with the last earlier prefill, or at its time limit."""

    async def scenario() -> bool:
        registry = _make_registry(ManualClock())
        turns = PrefillTurns(registry)
        timeout_s = 20 if is_ended else 0.01
        wait = asyncio.create_task(turns.wait((FIRST, SECOND), timeout_s))
        await asyncio.sleep(0)
        registry.record_prefill_end(SECOND)
        turns.notify()
        await asyncio.sleep(0)
        assert not wait.done()
        if is_ended:
            registry.end(FIRST)
            turns.notify()
        await wait
        return registry.is_prefilling(FIRST)

    assert asyncio.run(scenario()) != is_ended


def test_wait_ends_when_it_is_in_vain() -> None:
    """Guard against a wait for engines that an evacuation has closed."""

    async def scenario() -> None:
        turns = PrefillTurns(_make_registry(ManualClock()))
        closed = asyncio.Event()
        wait = asyncio.create_task(
            turns.wait((FIRST, SECOND), 20, closed.is_set)
        )
        await asyncio.sleep(0)
        turns.notify()
        await asyncio.sleep(0)
        assert not wait.done()
        closed.set()
        turns.notify()
        async with asyncio.timeout(1):
            await wait

    asyncio.run(scenario())


def test_long_prompt_does_not_overtake_another_at_its_helper(
    tmp_path: Path,
) -> None:
    """A prompt that needs both engines waits for one in prefill there.

    Sent at once, its parts would be prefilled before the older prompt.
    """

    async def scenario(fleet: Fleet) -> Answer:
        for name in ('e-1', 'e-2'):
            fleet.upstreams[name].fault = Fault.HANGS
        first, second = fleet.callers
        older = asyncio.create_task(first.call('caption', usage='100000,460'))
        await wait_until(lambda: _count_received(fleet) == 1)
        await wait_until(lambda: fleet.entries[1].count_placed() > 1)
        for name in ('e-1', 'e-2'):
            fleet.upstreams[name].fault = Fault.NONE
        newer = asyncio.create_task(second.call('caption', usage='700000,460'))
        await wait_until(lambda: fleet.logs[1].events('request placed'))
        assert _count_received(fleet) == 1
        older.cancel()
        return await newer

    assert run_scenario(tmp_path, scenario, entries=2).status == 200


def _count_received(fleet: Fleet) -> int:
    return sum(
        len(fleet.upstreams[name].received_requests) for name in ('e-1', 'e-2')
    )


def test_helper_memory_is_counted_until_the_request_ends(
    tmp_path: Path,
) -> None:
    """The registry shows what a helper stores after the first event too."""

    async def scenario(fleet: Fleet) -> None:
        placements = fleet.entries[0].placements
        call = asyncio.create_task(
            fleet.callers[0].call('caption', usage='700000,1840')
        )
        await wait_until(lambda: placements.count() == 2)
        await wait_until(lambda: not _list_prefilling(placements))
        stored = [
            placements.occupancy(UpstreamId(name)).kv_tokens
            for name in ('e-1', 'e-2')
        ]
        assert sum(stored) >= 700_000
        call.cancel()
        await wait_until(lambda: not placements.count())

    run_scenario(tmp_path, scenario)


def _list_prefilling(placements: PlacementRegistry) -> list[PlacementId]:
    return [
        name
        for engine in ('e-1', 'e-2')
        for name in placements.occupancy(UpstreamId(engine)).prefilling
    ]
