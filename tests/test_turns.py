"""The order of prefills at engines that help with long prompts."""

import asyncio
from pathlib import Path

import pytest
from bench.giftwrap.caller import Answer
from bench.giftwrap.upstream import Fault

from figspread.clock import ManualClock
from figspread.direct.placements import (
    Placement,
    PlacementId,
    PlacementRegistry,
)
from figspread.direct.turns import PrefillTurns
from figspread.ids import UpstreamId
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
    clock.advance(3.5)
    assert registry.estimate_prefill_left_s(ENGINE) == 1
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
