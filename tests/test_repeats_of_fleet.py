"""Tests that entries which start and end keep the budget of repeats in the sum."""

import asyncio
from pathlib import Path
from typing import Any

from bench.giftwrap.caller import Caller
from bench.giftwrap.upstream import Fault, Upstream

from tests.giftwrap_fleet import (
    Fleet,
    allocate_host,
    run_scenario,
    wait_until,
)

RATIO = 0.2


async def _start_entry(fleet: Fleet, name: str, ip: str, slack: int) -> Caller:
    overrides: Any = {'nodeName': name, 'bounds.budgetSlack': str(slack)}
    caller = await fleet.add_entry(ip=ip, **overrides)
    await wait_until(lambda: fleet.entries[-1].is_ready)
    await wait_until(lambda: fleet.logs[-1].events('repeat budget shared'))
    return caller


async def _call(caller: Caller, count: int) -> None:
    await asyncio.gather(*(caller.call('status') for _ in range(count)))


def _fail_all(fleet: Fleet) -> list[Upstream]:
    """Let all plain upstreams answer each request with an error."""
    desks = [fleet.upstreams['d-1'], fleet.upstreams['d-2']]
    for desk in desks:
        desk.fault = Fault.ERROR
    return desks


def _count_repeats(desks: list[Upstream], requests: int) -> int:
    return sum(len(desk.arrivals_s) for desk in desks) - requests


def test_restarted_entry_does_not_begin_with_another_whole_budget(
    tmp_path: Path,
) -> None:
    """Guard against a budget for each process that an entry has had."""

    async def scenario(fleet: Fleet) -> list[int]:
        desks = _fail_all(fleet)
        ip = allocate_host()
        repeats = []
        for start in range(3):
            caller = await _start_entry(fleet, 'entry', ip, slack=20)
            await _call(caller, 20)
            repeats.append(_count_repeats(desks, 20 * (start + 1)))
            await fleet.entries[-1].stop()
        return repeats

    repeats = run_scenario(tmp_path, scenario, entries=0)
    # The first process has three quarters of the budget from its start on.
    assert repeats[0] == 18
    assert repeats[-1] <= RATIO * 60 + 20


def test_entry_does_not_take_over_the_budget_of_lost_ones(
    tmp_path: Path,
) -> None:
    """Guard against a last entry that repeats on top of what lost ones have."""

    async def scenario(fleet: Fleet) -> int:
        desks = _fail_all(fleet)
        callers = [
            await _start_entry(fleet, str(number), allocate_host(), slack=40)
            for number in range(4)
        ]
        await wait_until(
            lambda: all(entry.count_entries() == 4 for entry in fleet.entries)
        )
        for caller in callers[:3]:
            await _call(caller, 10)
        for entry in fleet.entries[:3]:
            await entry.stop()
        await wait_until(lambda: fleet.entries[3].count_entries() == 1)
        # It counts the entries once a second.
        await asyncio.sleep(1.2)
        await _call(callers[3], 60)
        return _count_repeats(desks, 90)

    assert run_scenario(tmp_path, scenario, entries=0) <= RATIO * 90 + 40
