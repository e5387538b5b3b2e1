"""What callers get around a planned stop of their entry."""

import asyncio
from pathlib import Path
from unittest.mock import patch

import pytest
from bench.giftwrap.caller import Answer
from bench.giftwrap.deployment import DESK, make_configuration, make_route
from bench.giftwrap.store import PlatformStore
from bench.giftwrap.upstream import Fault

from figspread.http1.client import UpstreamConnection
from figspread.ids import ServiceName
from figspread.policy.planned_stop import plan_stop
from tests.giftwrap_fleet import (
    Fleet,
    run_scenario,
    silent_listener,
    wait_until,
)

USAGE = '5000,460'
LONG_USAGE = '5000,13800'
# Slots of the two engines of a fleet together.
SLOTS = 16
GRACE_S = 8
DUE_S = plan_stop(0, GRACE_S).answers_due_s
LATE_S = 3.5
MOMENT_S = 0.2


def _hang_engines(fleet: Fleet) -> None:
    for name in ('e-1', 'e-2'):
        fleet.upstreams[name].fault = Fault.HANGS


def _count_running(fleet: Fleet) -> int:
    return sum(
        len(upstream.running_ids) for upstream in fleet.upstreams.values()
    )


@pytest.mark.parametrize(
    ('is_by_caller', 'outcome'),
    [(True, 'caller_left'), (False, 'cut_by_entry')],
)
def test_log_tells_who_ended_a_connection_before_the_answer(
    tmp_path: Path, *, is_by_caller: bool, outcome: str
) -> None:
    """A request that its entry cuts is not logged as one whose caller left."""

    async def scenario(fleet: Fleet) -> None:
        _hang_engines(fleet)
        call = asyncio.create_task(
            fleet.callers[0].call('once', usage=USAGE, request_id='r-1')
        )
        await wait_until(lambda: _count_running(fleet))
        if is_by_caller:
            call.cancel()
        else:
            await fleet.entries[0].stop()
        await wait_until(lambda: fleet.logs[0].events('request finished'))
        await asyncio.wait((call,))
        row = fleet.logs[0].events('request finished')[0]
        assert (row['outcome'], row['phase']) == (outcome, 'sent')

    run_scenario(tmp_path, scenario)


def test_log_of_a_stop_tells_what_its_requests_wait_for(tmp_path: Path) -> None:
    """Requests without a place are counted apart from those at an engine."""

    async def scenario(fleet: Fleet) -> None:
        _hang_engines(fleet)
        async with asyncio.TaskGroup() as group:
            calls = [
                group.create_task(fleet.callers[0].call('once', usage=USAGE))
                for _ in range(SLOTS + 1)
            ]
            await wait_until(lambda: _count_running(fleet) == SLOTS)
            fleet.entries[0].leave()
            await wait_until(lambda: fleet.logs[0].events('shutdown started'))
            for call in calls:
                call.cancel()
        row = fleet.logs[0].events('shutdown started')[0]
        phases = (row['waiting'], row['sent'], row['streaming'])
        assert phases == (1, SLOTS, 0)

    run_scenario(tmp_path, scenario)


async def _fill_engines(
    fleet: Fleet, usage: str = USAGE
) -> tuple[list[asyncio.Task[Answer]], asyncio.Task[Answer]]:
    """Return calls that fill the engines, and one that waits for a place."""
    _hang_engines(fleet)
    caller = fleet.callers[0]
    sent = [
        asyncio.create_task(caller.call('once', usage=USAGE, limit_ms=20_000))
        for _ in range(SLOTS)
    ]
    await wait_until(lambda: _count_running(fleet) == SLOTS)
    waiting = asyncio.create_task(
        caller.call('caption', usage=usage, limit_ms=20_000)
    )
    running = fleet.entries[0]._server.running
    await wait_until(lambda: running.count_phases()['waiting'])
    return sent, waiting


async def _stop_full_fleet(fleet: Fleet) -> tuple[list[Answer], Answer]:
    """Return the answers to the requests at the engines, and to one in the queue."""
    sent, waiting = await _fill_engines(fleet)
    fleet.entries[0].leave()
    fleet.clock.advance(DUE_S)
    return await asyncio.gather(*sent), await waiting


def test_stop_refuses_requests_that_still_wait_for_an_engine(
    tmp_path: Path,
) -> None:
    """A queued request is told that it has not run, and when to come back."""
    _, answer = run_scenario(tmp_path, _stop_full_fleet)
    assert (answer.status, answer.is_complete) == (503, True)
    assert answer.retry_after_s is not None


def test_stop_answers_requests_that_an_engine_still_works_on(
    tmp_path: Path,
) -> None:
    """A request without any output is told that it may have run."""
    answers, _ = run_scenario(tmp_path, _stop_full_fleet)
    endings = {(answer.status, answer.is_complete) for answer in answers}
    assert endings == {(504, True)}


def test_waiting_request_is_refused_once_it_would_end_after_the_stop(
    tmp_path: Path,
) -> None:
    """A request of four seconds doesn't wait for the last of seven."""

    async def scenario(fleet: Fleet) -> Answer:
        sent, waiting = await _fill_engines(fleet, usage='5000,3680')
        fleet.entries[0].leave()
        fleet.clock.advance(LATE_S)
        answer = await waiting
        assert not any(call.done() for call in sent)
        return answer

    answer = run_scenario(tmp_path, scenario)
    assert (answer.status, answer.is_complete) == (503, True)


def test_stop_breaks_off_a_stream_that_does_not_end_in_time(
    tmp_path: Path,
) -> None:
    """A begun stream ends at the exit, and doesn't look complete."""

    async def scenario(fleet: Fleet) -> Answer:
        call = asyncio.create_task(
            fleet.callers[0].call('once', usage=LONG_USAGE, limit_ms=20_000)
        )
        running = fleet.entries[0]._server.running
        await wait_until(lambda: running.count_phases()['streaming'])
        fleet.entries[0].leave()
        fleet.clock.advance(DUE_S)
        return await call

    answer = run_scenario(tmp_path, scenario)
    assert (answer.status, answer.is_complete) == (200, False)


def test_request_that_connects_at_the_end_of_a_stop_is_told_it_has_not_run(
    tmp_path: Path,
) -> None:
    """Nothing was sent while the connection to the upstream was opened."""

    async def scenario(fleet: Fleet) -> Answer:
        with silent_listener() as address:
            for name in ('d-1', 'd-2'):
                fleet.upstreams[name].address = address
                fleet.upstreams[name].start_number += 1
                fleet.upstreams[name].sequence += 1
                fleet.register(fleet.upstreams[name])
            registry = fleet.entries[0]._parts.registry
            await wait_until(
                lambda: all(
                    known.address == address
                    for known in registry.list_ready(ServiceName(DESK))
                )
            )
            call = asyncio.create_task(
                fleet.callers[0].call('order', limit_ms=20_000)
            )
            await wait_until(lambda: fleet.logs[0].events('request placed'))
            fleet.entries[0].leave()
            fleet.clock.advance(DUE_S)
            return await call

    answer = run_scenario(tmp_path, scenario)
    assert (answer.status, answer.is_complete) == (503, True)


def test_waiting_request_that_still_fits_is_served_by_a_leaving_entry(
    tmp_path: Path,
) -> None:
    """SIGTERM alone doesn't refuse a request that can end in time."""

    async def scenario(fleet: Fleet) -> Answer:
        sent, waiting = await _fill_engines(fleet)
        fleet.entries[0].leave()
        await asyncio.sleep(0.5)
        assert not waiting.done()
        for name in ('e-1', 'e-2'):
            fleet.upstreams[name].fault = Fault.NONE
        for call in sent[:2]:
            call.cancel()
        return await waiting

    answer = run_scenario(tmp_path, scenario)
    assert (answer.status, answer.is_complete) == (200, True)


def test_clock_jump_past_the_kill_still_answers(tmp_path: Path) -> None:
    """The VM was suspended through the rest of the grace period."""

    async def scenario(fleet: Fleet) -> tuple[list[Answer], Answer]:
        sent, waiting = await _fill_engines(fleet)
        fleet.entries[0].leave()
        await asyncio.sleep(0.3)
        fleet.clock.advance(3600)
        return await asyncio.gather(*sent), await waiting

    sent, waiting = run_scenario(tmp_path, scenario)
    assert {(answer.status, answer.is_complete) for answer in sent} == {
        (504, True)
    }
    assert (waiting.status, waiting.is_complete) == (503, True)


def test_unsafe_request_that_runs_at_the_end_of_a_stop_gets_a_504(
    tmp_path: Path,
) -> None:
    """It is answered, and not told that it hasn't run."""

    async def scenario(fleet: Fleet) -> Answer:
        fleet.store.put(
            'config',
            'main',
            make_configuration(
                8,
                routes=[
                    make_route(
                        'order', 'unsafe', DESK, attempts=1, timeoutMs=20_000
                    ),
                ],
            ),
        )
        await wait_until(lambda: fleet.entries[0].version == 8)
        for name in ('d-1', 'd-2'):
            fleet.upstreams[name].fault = Fault.HANGS
        call = asyncio.create_task(
            fleet.callers[0].call('order', limit_ms=20_000)
        )
        await wait_until(
            lambda: any(
                fleet.upstreams[name].running_ids for name in ('d-1', 'd-2')
            )
        )
        fleet.entries[0].leave()
        fleet.clock.advance(DUE_S)
        return await call

    answer = run_scenario(tmp_path, scenario)
    assert (answer.status, answer.is_complete) == (504, True)


def test_wait_that_runs_out_during_a_stop_is_not_blamed_on_the_stop(
    tmp_path: Path,
) -> None:
    """The time of the request was up, seconds before that of the entry."""

    async def scenario(fleet: Fleet) -> Answer:
        _, waiting = await _fill_engines(fleet)
        waiting.cancel()
        fleet.entries[0].leave()
        return await fleet.callers[0].call(
            'caption', usage=USAGE, limit_ms=1500
        )

    answer = run_scenario(tmp_path, scenario)
    assert (answer.status, answer.body) == (503, b'no place in time')


def test_request_that_would_be_sent_too_late_in_a_stop_is_not_sent(
    tmp_path: Path,
) -> None:
    """What an engine could not end in time is not begun there."""

    async def scenario(fleet: Fleet) -> Answer:
        pool = fleet.entries[0]._parts.pool
        acquire, may_connect = pool.acquire, asyncio.Event()

        async def delay(address: str, **options: bool) -> UpstreamConnection:
            await may_connect.wait()
            return await acquire(address, is_fresh=options['is_fresh'])

        with patch.object(pool, 'acquire', delay):
            call = asyncio.create_task(
                fleet.callers[0].call('caption', usage=USAGE, limit_ms=20_000)
            )
            await wait_until(lambda: fleet.logs[0].events('request placed'))
            fleet.entries[0].leave()
            fleet.clock.advance(DUE_S - MOMENT_S)
            may_connect.set()
            answer = await call
        assert not any(up.runs for up in fleet.upstreams.values())
        return answer

    answer = run_scenario(tmp_path, scenario)
    assert (answer.status, answer.is_complete) == (503, True)


def test_leaving_entry_does_not_wait_for_its_first_configuration(
    tmp_path: Path,
) -> None:
    """It would be gone before it could serve the request."""

    async def scenario(fleet: Fleet) -> Answer:
        empty_store = PlatformStore()
        await empty_store.start()
        caller = await fleet.add_entry(store=empty_store)
        entry = fleet.entries[-1]
        entry.leave()
        await wait_until(lambda: fleet.logs[-1].events('shutdown started'))
        startup = entry._parts.startup
        with patch.object(startup, 'wait', side_effect=AssertionError):
            answer = await caller.call('status')
        await empty_store.stop()
        return answer

    answer = run_scenario(tmp_path, scenario)
    assert (answer.status, answer.is_complete) == (503, True)
