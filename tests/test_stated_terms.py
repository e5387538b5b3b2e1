"""Tests that entries keep to what upstreams state in their answers."""

import asyncio
import itertools
from bisect import bisect_left
from collections.abc import Sequence
from pathlib import Path

import pytest
from bench.giftwrap.caller import Answer
from bench.giftwrap.upstream import Fault, StatedTerms

from figspread.direct.lifecycle.app import HOUSEKEEPING_INTERVAL_S
from figspread.direct.requests.claims import PLAIN_SERVICE_TIME_S
from tests.giftwrap_fleet import Fleet, run_scenario, wait_until

# The users' bound: half as much again as the limit allows, and five requests.
WINDOW_S = 4
ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 5
ENTRIES = 3
ROUNDS = 12


def count_in_worst_window(arrivals_s: Sequence[float]) -> int:
    """Return the largest number of arrivals within `WINDOW_S`."""
    return max(
        (
            end + 1 - bisect_left(arrivals_s, arrivals_s[end] - WINDOW_S)
            for end in range(len(arrivals_s))
        ),
        default=0,
    )


def allowed_in_window(rate_limit: float) -> float:
    """Return how many requests the users allow within `WINDOW_S`."""
    return ALLOWED_FACTOR * rate_limit * WINDOW_S + ALLOWED_REQUESTS


async def _call_all_entries(
    fleet: Fleet, route: str, usage: str
) -> list[Answer]:
    return await asyncio.gather(
        *(caller.call(route, usage=usage) for caller in fleet.callers * 2)
    )


LIMITED = {
    'plain service': ('d-1', 'status', ''),
    'engine': ('e-1', 'caption', '5000,460'),
}


@pytest.mark.parametrize('case', LIMITED)
@pytest.mark.parametrize('rate_limit', [1, 2])
def test_entries_together_keep_the_limit_that_an_upstream_states(
    rate_limit: float, case: str, tmp_path: Path
) -> None:
    """Keep a limit over all entries, and serve the rest elsewhere."""
    name, route, usage = LIMITED[case]

    async def scenario(fleet: Fleet) -> tuple[set[int], int]:
        limited = fleet.upstreams[name]
        limited.terms = StatedTerms(rate_limit=rate_limit)
        answers = await _call_all_entries(fleet, route, usage)
        # Requests before the entries have heard of the limit don't count.
        known = len(limited.arrivals_s)
        for _ in range(ROUNDS):
            answers.extend(await _call_all_entries(fleet, route, usage))
        statuses = {answer.status for answer in answers}
        return statuses, count_in_worst_window(limited.arrivals_s[known:])

    statuses, arrived = run_scenario(tmp_path, scenario, entries=ENTRIES)
    assert statuses == {200}
    assert arrived <= allowed_in_window(rate_limit)


def test_upstream_that_says_it_leaves_gets_no_more_from_any_entry(
    tmp_path: Path,
) -> None:
    """Send an upstream nothing once it has said that it leaves."""

    async def scenario(fleet: Fleet) -> tuple[set[int], int]:
        leaving = fleet.upstreams['d-1']
        leaving.terms = StatedTerms(is_leaving=True)
        answers = await _call_all_entries(fleet, 'status', '')
        await wait_until(
            lambda: all(
                log.events('upstream announced leaving') for log in fleet.logs
            )
        )
        arrived = len(leaving.arrivals_s)
        # A late record of the store does not bring it back, nor does a peer
        # that restarts without knowing.
        fleet.store.put('servers', 'd-1', {**leaving.record, 'slots': 7})
        await fleet.add_entry()
        await wait_until(lambda: fleet.entries[-1].is_ready)
        await wait_until(
            lambda: fleet.logs[-1].events('upstream announced leaving')
        )
        for _ in range(4):
            answers.extend(await _call_all_entries(fleet, 'status', ''))
        statuses = {answer.status for answer in answers}
        return statuses, len(leaving.arrivals_s) - arrived

    statuses, arrived = run_scenario(tmp_path, scenario, entries=ENTRIES)
    assert (statuses, arrived) == ({200}, 0)


def test_restarted_upstream_is_used_again_under_its_former_id(
    tmp_path: Path,
) -> None:
    """Use a new incarnation of an upstream that had said that it leaves."""

    async def scenario(fleet: Fleet) -> bool:
        upstream = fleet.upstreams['d-1']
        upstream.terms = StatedTerms(is_leaving=True)
        await _call_all_entries(fleet, 'status', '')
        upstream.terms = StatedTerms()
        upstream.start_number += 1
        fleet.register(upstream)
        await wait_until(
            lambda: len(fleet.logs[0].events('upstream updated')) > 0
        )
        arrived = len(upstream.arrivals_s)
        for _ in range(4):
            await _call_all_entries(fleet, 'status', '')
        return len(upstream.arrivals_s) > arrived

    assert run_scenario(tmp_path, scenario)


# The users allow two requests of an entry while it should send none.
PAUSED_REQUESTS = 2


def test_upstream_that_asks_for_a_pause_gets_none_until_it_ends(
    tmp_path: Path,
) -> None:
    """Send an upstream nothing during a pause, and one request after it."""

    async def scenario(fleet: Fleet) -> tuple[set[int], int, int]:
        busy = fleet.upstreams['d-1']
        busy.fault = Fault.FULL
        busy.terms = StatedTerms(pause_s=2)
        caller = fleet.callers[0]
        statuses = set()
        while not busy.arrivals_s:
            statuses.add((await caller.call('status')).status)
        arrived = len(busy.arrivals_s)
        for _ in range(20):
            statuses.add((await caller.call('status')).status)
        during = len(busy.arrivals_s) - arrived
        fleet.clock.advance(2)
        # As many as the other upstream takes, and a few more.
        answers = await asyncio.gather(
            *(caller.call('status') for _ in range(20))
        )
        statuses.update(answer.status for answer in answers)
        return statuses, during, len(busy.arrivals_s) - arrived - during

    statuses, during, after = run_scenario(tmp_path, scenario)
    assert statuses == {200}
    assert during == 0
    assert 0 < after <= PAUSED_REQUESTS


async def _pause(fleet: Fleet) -> None:
    paused = fleet.upstreams['d-1']
    paused.fault = Fault.FULL
    paused.terms = StatedTerms(pause_s=30)
    while not fleet.logs[0].events('upstream paused'):
        await fleet.callers[0].call('status')


async def _crash(fleet: Fleet) -> None:
    await fleet.upstreams['d-1'].stop()
    while not fleet.logs[0].events('attempt failed'):
        await fleet.callers[0].call('status')


UNUSABLE = {'is paused': _pause, 'has crashed': _crash}


def test_pause_holds_while_the_record_of_the_upstream_is_away(
    tmp_path: Path,
) -> None:
    """Send a paused upstream nothing when its record goes and comes back."""

    async def scenario(fleet: Fleet) -> tuple[set[int], int]:
        busy = fleet.upstreams['d-1']
        await _pause(fleet)
        busy.fault = Fault.NONE
        arrived = len(busy.arrivals_s)
        log = fleet.logs[0]
        known = len(log.events('upstream updated'))
        fleet.store.delete('servers', 'd-1')
        await wait_until(lambda: log.events('upstream removed'))
        await asyncio.sleep(2 * HOUSEKEEPING_INTERVAL_S)
        fleet.register(busy)
        await wait_until(lambda: len(log.events('upstream updated')) > known)
        # More than the other upstream has slots.
        answers = await asyncio.gather(
            *(fleet.callers[0].call('status') for _ in range(20))
        )
        statuses = {answer.status for answer in answers}
        return statuses, len(busy.arrivals_s) - arrived

    assert run_scenario(tmp_path, scenario) == ({200}, 0)


@pytest.mark.parametrize('case', UNUSABLE)
def test_request_waits_for_a_free_slot_while_the_other_upstream(
    case: str, tmp_path: Path
) -> None:
    """Refuse no request that the only open upstream can serve in time.

    Its slots are all taken when the rest of the requests arrive.
    """

    async def scenario(fleet: Fleet) -> tuple[list[int], int]:
        other = fleet.upstreams['d-2']
        caller = fleet.callers[0]
        await UNUSABLE[case](fleet)
        other.fault = Fault.HANGS
        held = [asyncio.create_task(caller.call('status')) for _ in range(8)]
        await wait_until(lambda: len(other.running_ids) == other.slots)
        other.fault = Fault.NONE
        calls = [asyncio.create_task(caller.call('status')) for _ in range(6)]
        await wait_until(lambda: other.rejections)
        await asyncio.sleep(0.3)
        for call in held:
            call.cancel()
        answers = await asyncio.gather(*calls)
        return [answer.status for answer in answers], len(other.rejections)

    statuses, rejections = run_scenario(tmp_path, scenario)
    assert set(statuses) == {200}
    # Each may be turned away once, before the entry knows that it is full.
    assert rejections <= len(statuses)


def test_request_is_refused_at_once_if_all_upstreams_ask_for_a_pause(
    tmp_path: Path,
) -> None:
    """Tell the caller when an upstream takes requests again."""

    async def scenario(fleet: Fleet) -> tuple[list[Answer], list[float]]:
        for name in ('d-1', 'd-2'):
            fleet.upstreams[name].fault = Fault.FULL
            fleet.upstreams[name].terms = StatedTerms(pause_s=3)
        caller = fleet.callers[0]
        await caller.call('status')
        await caller.call('status')
        answers = [await caller.call('status') for _ in range(3)]
        refusals = fleet.logs[0].events('request refused')[-len(answers) :]
        return answers, [row['timestamp'] + row['after_s'] for row in refusals]

    answers, return_times_s = run_scenario(tmp_path, scenario)
    assert {answer.status for answer in answers} == {503}
    delays_s = [answer.retry_after_s or 0 for answer in answers]
    assert all(2 < delay_s < 4 for delay_s in delays_s)
    spreads_s = [
        later_s - earlier_s
        for earlier_s, later_s in itertools.pairwise(return_times_s)
    ]
    assert all(spread_s > PLAIN_SERVICE_TIME_S / 2 for spread_s in spreads_s)


LONG_USAGE = '45000,460'


def test_long_prompt_takes_a_limited_engine_if_the_others_are_full(
    tmp_path: Path,
) -> None:
    """Don't wait for engines without a limit while a limited one is free."""

    async def scenario(fleet: Fleet) -> tuple[int, bool]:
        limited, other = fleet.upstreams['e-1'], fleet.upstreams['e-2']
        limited.terms = StatedTerms(rate_limit=40)
        caller = fleet.callers[0]
        while not fleet.logs[0].events('upstream limit stated'):
            await caller.call('caption', usage='5000,460')
        other.slots = 1
        other.fault = Fault.HANGS
        fleet.register(other)
        await wait_until(lambda: fleet.logs[0].events('upstream updated'))
        running = asyncio.create_task(caller.call('caption', usage=LONG_USAGE))
        await wait_until(lambda: other.running_ids)
        answer = await caller.call('caption', usage=LONG_USAGE)
        was_running = not running.done()
        running.cancel()
        return answer.status, was_running

    assert run_scenario(tmp_path, scenario) == (200, True)


def test_upstream_that_has_failed_is_used_if_the_others_are_leaving(
    tmp_path: Path,
) -> None:
    """Don't refuse a request while a failed upstream may take it."""

    async def scenario(fleet: Fleet) -> set[int]:
        failed, leaving = fleet.upstreams['d-1'], fleet.upstreams['d-2']
        failed.fault = Fault.RESETS
        caller = fleet.callers[0]
        statuses = set()
        while not fleet.logs[0].events('attempt failed'):
            statuses.add((await caller.call('status')).status)
        failed.fault = Fault.NONE
        leaving.terms = StatedTerms(is_leaving=True)
        while not fleet.logs[0].events('upstream announced leaving'):
            statuses.add((await caller.call('status')).status)
        statuses.add((await caller.call('status')).status)
        return statuses

    assert run_scenario(tmp_path, scenario) == {200}
