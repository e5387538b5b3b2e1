"""Tests that entries send no requests to evacuated data centres."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Final, TypeVar

import pytest
from bench.giftwrap.caller import Answer, Caller
from bench.giftwrap.deployment import DESK, POOL, make_configuration
from bench.giftwrap.store import PlatformStore, StoreMode
from bench.giftwrap.upstream import Fault, Pace, Upstream, stream_bytes

from figspread.direct.state.registry import RELIST_GRACE_S
from figspread.ids import DataCentreId
from figspread.policy import engine_cost
from figspread.policy.evacuations import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S
from tests.giftwrap_fleet import (
    TIMEOUT_S,
    Fleet,
    allocate_host,
    wait_until,
)

KIND: Final = 'evacuations'
# The entries are in data centre `a`, whose upstreams they prefer.
HOME: Final = 'a'
OTHER: Final = 'b'
USAGE: Final = '5000,230'
# A prompt that needs the memory of two engines.
GIANT_USAGE: Final = '700000,460'
# One that an engine holds, but two read together.
SHARED_USAGE: Final = '200000,460'
ENTRIES: Final = 3
_Result = TypeVar('_Result')


def _run(
    folder: Path,
    scenario: Callable[[Fleet], Awaitable[_Result]],
    *,
    entries: int = ENTRIES,
    zones: str = HOME + OTHER,
    pace: Pace = Pace(),
    slots: int = 8,
) -> _Result:
    """Run a scenario with two engines and a plain upstream in each zone."""

    async def run() -> _Result:
        fleet = Fleet(folder)
        await fleet.store.start()
        fleet.store.put('config', 'main', make_configuration(7))
        try:
            for zone in zones:
                await _add_upstreams(fleet, zone, pace=pace, slots=slots)
            for _ in range(entries):
                await _add_entry(fleet)
            await wait_until(
                lambda: all(entry.is_ready for entry in fleet.entries)
            )
            async with asyncio.timeout(TIMEOUT_S):
                return await scenario(fleet)
        finally:
            await fleet.stop()

    return asyncio.run(run())


async def _add_entry(
    fleet: Fleet, *, seeds: str = '', store: PlatformStore | None = None
) -> Caller:
    enabled = {'bounds.evacuationMs': '5000'}
    return await fleet.add_entry(
        store=store, ip=allocate_host(), seeds=seeds, **enabled
    )


async def _wait_for_placements(fleet: Fleet, count: int) -> None:
    await wait_until(
        lambda: len(fleet.logs[0].events('request placed')) == count
    )


async def _add_other_zone(fleet: Fleet) -> None:
    """Add upstreams in `OTHER` and wait until the first entry knows."""
    await _add_upstreams(fleet, OTHER)
    await wait_until(lambda: len(fleet.logs[0].events('upstream updated')) >= 3)


async def _add_upstreams(
    fleet: Fleet, zone: str, *, pace: Pace = Pace(), slots: int = 8
) -> None:
    for name in ('e-1', 'e-2'):
        await fleet.add_upstream(
            zone + name, POOL, zone=zone, pace=pace, slots=slots
        )
    await fleet.add_upstream(zone + 'd-1', DESK, zone=zone, pace=pace)


def _list_upstreams(fleet: Fleet, zone: str) -> list[Upstream]:
    return [known for known in fleet.upstreams.values() if known.zone == zone]


def _count_arrivals(fleet: Fleet, zone: str) -> int:
    return sum(
        len(upstream.arrivals_s) for upstream in _list_upstreams(fleet, zone)
    )


def _count_events(fleet: Fleet, name: str) -> list[int]:
    return [len(log.events(name)) for log in fleet.logs]


async def _evacuate(fleet: Fleet, *zones: str) -> None:
    """Evacuate data centres and wait until all entries know."""
    before = _count_events(fleet, 'evacuation started')
    for zone in zones:
        fleet.store.put(KIND, zone, {})
    await wait_until(
        lambda: all(
            count >= earlier + len(zones)
            for count, earlier in zip(
                _count_events(fleet, 'evacuation started'), before, strict=True
            )
        )
    )


async def _withdraw(fleet: Fleet, zone: str) -> None:
    fleet.store.delete(KIND, zone)
    await wait_until(lambda: all(_count_events(fleet, 'evacuation ended')))


async def _call_all_routes(caller: Caller) -> set[int]:
    answers = await asyncio.gather(
        *(
            caller.call(route, usage=USAGE if is_stream else '')
            for route, is_stream in (
                ('caption', True),
                ('once', True),
                ('status', False),
                ('order', False),
            )
            for _ in range(3)
        )
    )
    return {answer.status for answer in answers}


@contextmanager
def _no_arrivals(fleet: Fleet, zone: str = HOME) -> Iterator[None]:
    before = _count_arrivals(fleet, zone)
    yield
    assert _count_arrivals(fleet, zone) == before


@pytest.mark.parametrize('zone', [HOME, OTHER])
def test_no_request_reaches_an_evacuated_data_centre(
    zone: str, tmp_path: Path
) -> None:
    """Guard against placement of any kind of request there."""

    async def scenario(fleet: Fleet) -> set[int]:
        await _evacuate(fleet, zone)
        statuses = set()
        with _no_arrivals(fleet, zone):
            for caller in fleet.callers:
                statuses |= await _call_all_routes(caller)
        return statuses

    assert _run(tmp_path, scenario) == {200}


def test_retries_stay_out_of_an_evacuated_data_centre(tmp_path: Path) -> None:
    """Guard against a retry there after all others have failed."""

    async def scenario(fleet: Fleet) -> None:
        await _evacuate(fleet, HOME)
        for upstream in _list_upstreams(fleet, OTHER):
            upstream.fault = Fault.RESETS
        with _no_arrivals(fleet):
            for _ in range(4):
                for route, usage in (('caption', USAGE), ('status', '')):
                    await fleet.callers[0].call(route, usage=usage)
        assert fleet.logs[0].events('request retried')

    _run(tmp_path, scenario, entries=1)


def test_resumed_stream_goes_to_another_data_centre(tmp_path: Path) -> None:
    """Guard against resuming a stream where it was cut off."""

    async def scenario(fleet: Fleet) -> tuple[Answer, bool]:
        stream = asyncio.create_task(
            fleet.callers[0].call('caption', usage='5000,4600')
        )
        await wait_until(lambda: _count_arrivals(fleet, HOME))
        await _add_other_zone(fleet)
        await _evacuate(fleet, HOME)
        with _no_arrivals(fleet):
            for upstream in _list_upstreams(fleet, HOME):
                await upstream.stop()
            answer = await stream
        return answer, bool(_count_arrivals(fleet, OTHER))

    pace = Pace(event_s=0.02)
    answer, is_resumed = _run(
        tmp_path, scenario, entries=1, zones=HOME, pace=pace
    )
    assert answer.body == stream_bytes(4600)
    assert is_resumed


def test_running_streams_end_whole(tmp_path: Path) -> None:
    """Guard against breaking off what already runs in the data centre."""

    async def scenario(fleet: Fleet) -> tuple[Answer, int]:
        stream = asyncio.create_task(
            fleet.callers[0].call('once', usage='5000,4600')
        )
        await wait_until(lambda: _count_arrivals(fleet, HOME))
        await _add_other_zone(fleet)
        await _evacuate(fleet, HOME)
        assert not stream.done()
        return await stream, _count_arrivals(fleet, OTHER)

    pace = Pace(event_s=0.01)
    answer, elsewhere = _run(
        tmp_path, scenario, entries=1, zones=HOME, pace=pace
    )
    assert (answer.is_complete, answer.body) == (True, stream_bytes(4600))
    assert elsewhere == 0


def test_queued_requests_go_to_the_other_data_centres(tmp_path: Path) -> None:
    """Guard against a queued request that is placed there when a slot frees."""

    async def scenario(fleet: Fleet) -> list[Answer]:
        caller = fleet.callers[0]
        calls = [
            asyncio.create_task(
                caller.call('caption', usage='5000,920', limit_ms=9000)
            )
            for _ in range(10)
        ]
        await wait_until(
            lambda: (
                sum(
                    len(known.running_ids) for known in fleet.upstreams.values()
                )
                == 4
            )
        )
        await _evacuate(fleet, HOME)
        with _no_arrivals(fleet):
            return await asyncio.gather(*calls)

    pace = Pace(event_s=0.02)
    answers = _run(tmp_path, scenario, entries=1, pace=pace, slots=1)
    whole = [answer for answer in answers if answer.status == 200]
    assert {answer.body for answer in whole} == {stream_bytes(920)}
    # More than the four that ran before; others may have become hopeless.
    assert len(whole) > 4
    assert {answer.status for answer in answers} <= {200, 503}


def test_helpers_and_memory_stay_out_of_an_evacuated_data_centre(
    tmp_path: Path,
) -> None:
    """Guard against helpers there, and against memory reserved there."""

    async def scenario(fleet: Fleet) -> Answer:
        await _evacuate(fleet, HOME)
        with _no_arrivals(fleet):
            answer = await fleet.callers[0].call('caption', usage=GIANT_USAGE)
        reserved = fleet.logs[0].events('memory reserved')
        assert {row['upstream'][0] for row in reserved} == {OTHER}
        addresses = {known.address for known in _list_upstreams(fleet, HOME)}
        for upstream in _list_upstreams(fleet, OTHER):
            for request in upstream.received_requests:
                fields = b' '.join(field for _, field in request.fields)
                assert not any(
                    address.encode() in fields for address in addresses
                )
        return answer

    answer = _run(tmp_path, scenario, entries=1)
    assert answer.body == stream_bytes(460)


@pytest.fixture
def _shared_helpers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a long prompt use the engines of another, whose turn it waits for."""
    monkeypatch.setattr(engine_cost, 'GAP_EXCEEDED_PENALTY_S', 0)


@pytest.mark.usefixtures('_shared_helpers')
def test_assigned_request_goes_elsewhere_before_it_is_sent(
    tmp_path: Path,
) -> None:
    """Guard against sending what was assigned before the evacuation.

    The second prompt waits until the helper has read the first one.
    """

    async def scenario(fleet: Fleet) -> list[Answer]:
        caller = fleet.callers[0]
        first = asyncio.create_task(
            caller.call('caption', usage=SHARED_USAGE, limit_ms=9000)
        )
        await wait_until(lambda: _count_arrivals(fleet, HOME))
        second = asyncio.create_task(
            caller.call('caption', usage=SHARED_USAGE, limit_ms=9000)
        )
        await _wait_for_placements(fleet, 2)
        before = _count_arrivals(fleet, HOME)
        await _add_other_zone(fleet)
        await _evacuate(fleet, HOME)
        answers = list(await asyncio.gather(first, second))
        assert (before, _count_arrivals(fleet, HOME)) == (1, 1)
        assert fleet.logs[0].events('request turned elsewhere')
        metrics = fleet.entries[0]._parts.metrics.render()  # noqa: SLF001
        assert b'{result="redirected"} 1.0' in metrics
        return answers

    pace = Pace(prefill_s=1)
    answers = _run(tmp_path, scenario, entries=1, zones=HOME, pace=pace)
    assert {answer.body for answer in answers} == {stream_bytes(460)}


@pytest.mark.usefixtures('_shared_helpers')
@pytest.mark.parametrize('role', ['upstream', 'helper'])
def test_upstream_and_helpers_are_checked_again_before_sending(
    role: str, tmp_path: Path
) -> None:
    """Guard against a gate that asks only for one of the two.

    They are in different data centres, of which one is evacuated while the
    second prompt waits for its turn.
    """

    async def scenario(fleet: Fleet) -> list[Answer]:
        for zone in (HOME, OTHER):
            await fleet.add_upstream(
                zone + 'e-1', POOL, zone=zone, pace=Pace(prefill_s=1)
            )
        caller = await _add_entry(fleet)
        await wait_until(lambda: fleet.entries[0].is_ready)
        calls = []
        for number in (1, 2):
            calls.append(
                asyncio.create_task(
                    caller.call('caption', usage=SHARED_USAGE, limit_ms=9000)
                )
            )
            await _wait_for_placements(fleet, number)
        placed = fleet.logs[0].events('request placed')[-1]
        evacuated = fleet.upstreams[
            placed['upstream'] if role == 'upstream' else placed['helpers'][0]
        ]
        sent = [known.received_requests for known in fleet.upstreams.values()]
        before = sum(map(len, sent))
        await _evacuate(fleet, evacuated.zone)
        with _no_arrivals(fleet, evacuated.zone):
            answers = list(await asyncio.gather(*calls))
        assert (before, sum(map(len, sent))) == (1, 2)
        second = next(
            known.received_requests[-1]
            for known in fleet.upstreams.values()
            if known is not evacuated
        )
        fields = b' '.join(field for _, field in second.fields)
        assert evacuated.address.encode() not in fields
        return answers

    answers = _run(tmp_path, scenario, entries=0, zones='')
    assert {answer.body for answer in answers} == {stream_bytes(460)}


def test_withdrawn_evacuation_brings_load_back(tmp_path: Path) -> None:
    """Guard against a data centre that stays without load."""

    async def scenario(fleet: Fleet) -> list[float | None]:
        home = DataCentreId(HOME)
        evacuations = [
            entry._parts.evacuations  # noqa: SLF001
            for entry in fleet.entries
        ]
        await _evacuate(fleet, HOME)
        assert {known.ended_s(home) for known in evacuations} == {None}
        await _withdraw(fleet, HOME)
        before = _count_arrivals(fleet, HOME)
        for caller in fleet.callers:
            assert await _call_all_routes(caller) == {200}
        assert _count_arrivals(fleet, HOME) > before
        now = fleet.clock.now()
        return [now - (known.ended_s(home) or 0) for known in evacuations]

    for age_s in _run(tmp_path, scenario):
        assert age_s is not None
        assert 0 <= age_s < TIMEOUT_S


def test_all_data_centres_evacuated_is_refused_at_once(tmp_path: Path) -> None:
    """Guard against waits, retries and 5xx without a time to come back."""

    async def scenario(fleet: Fleet) -> list[Answer]:
        await _evacuate(fleet, HOME, OTHER)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        with _no_arrivals(fleet), _no_arrivals(fleet, OTHER):
            answers = [
                await fleet.callers[0].call(route, usage=usage)
                for route, usage in (
                    ('caption', USAGE),
                    ('once', GIANT_USAGE),
                    ('status', ''),
                    ('order', ''),
                )
            ]
        assert loop.time() - started_s < 0.5
        assert not fleet.logs[0].events('request retried')
        assert not fleet.logs[0].events('request turned elsewhere')
        return answers

    for answer in _run(tmp_path, scenario, entries=1):
        assert answer.status == 503
        assert answer.retry_after_s is not None
        assert MIN_RETRY_AFTER_S <= answer.retry_after_s <= MAX_RETRY_AFTER_S
        assert b'evacuated' in answer.body


def test_queued_requests_are_refused_when_all_is_evacuated(
    tmp_path: Path,
) -> None:
    """Guard against requests that wait for data centres until their deadline."""

    async def scenario(fleet: Fleet) -> list[tuple[float, Answer]]:
        loop = asyncio.get_running_loop()

        async def call() -> tuple[float, Answer]:
            answer = await fleet.callers[0].call(
                'caption', usage='5000,4600', limit_ms=9000
            )
            return loop.time(), answer

        calls = [asyncio.create_task(call()) for _ in range(6)]
        await wait_until(
            lambda: (
                sum(
                    len(known.running_ids) for known in fleet.upstreams.values()
                )
                == 4
            )
        )
        await _evacuate(fleet, HOME, OTHER)
        known_s = loop.time()
        answers = await asyncio.gather(*calls)
        return [(ended_s - known_s, answer) for ended_s, answer in answers]

    pace = Pace(event_s=0.02)
    answers = _run(tmp_path, scenario, entries=1, pace=pace, slots=1)
    refused = [row for row in answers if row[1].status == 503]
    assert len(refused) == 2
    assert max(after_s for after_s, _ in refused) < 0.5
    assert all(b'evacuated' in answer.body for _, answer in refused)


def test_entry_that_starts_in_a_store_outage_knows_of_evacuations(
    tmp_path: Path,
) -> None:
    """Guard against an entry that serves before a peer has told it."""

    async def scenario(fleet: Fleet) -> set[int]:
        await _evacuate(fleet, HOME)
        fleet.store.switch_mode(StoreMode.RESETS)
        seeds = fleet.entries[0].peer_address
        with _no_arrivals(fleet):
            caller = await _add_entry(fleet, seeds=seeds)
            return await _call_all_routes(caller)

    assert _run(tmp_path, scenario, entries=1) == {200}


def test_entry_that_starts_reads_evacuations_before_it_serves(
    tmp_path: Path,
) -> None:
    """Guard against requests that arrive before the first listing."""

    async def scenario(fleet: Fleet) -> set[int]:
        fleet.store.put(KIND, HOME, {})
        with _no_arrivals(fleet):
            caller = await _add_entry(fleet)
            return await _call_all_routes(caller)

    assert _run(tmp_path, scenario, entries=0) == {200}


@pytest.mark.parametrize('is_change_lost', [False, True])
def test_entry_that_is_cut_off_from_the_store_hears_from_a_peer(
    is_change_lost: bool, tmp_path: Path
) -> None:
    """Guard against an entry without the store, also if a message is lost."""

    async def scenario(fleet: Fleet) -> set[int]:
        own = PlatformStore()
        await own.start()
        own.put('config', 'main', make_configuration(7))
        for upstream in fleet.upstreams.values():
            own.put('servers', upstream.name, upstream.record)
        seeds = fleet.entries[0].peer_address
        caller = await _add_entry(fleet, seeds=seeds, store=own)
        await wait_until(lambda: fleet.entries[-1].is_ready)
        await wait_until(lambda: fleet.entries[0].count_entries() == 2)
        own.switch_mode(StoreMode.SILENT)
        if is_change_lost:
            evacuations = fleet.entries[0]._parts.evacuations  # noqa: SLF001
            evacuations.announcers.clear()
        await _evacuate(fleet, HOME)
        with _no_arrivals(fleet):
            statuses = await _call_all_routes(caller)
        source = fleet.logs[-1].events('evacuation started')[0]['source']
        assert source.startswith('entry-0')
        await _withdraw(fleet, HOME)
        await own.stop()
        return statuses

    assert _run(tmp_path, scenario, entries=1) == {200}


def test_store_outage_changes_nothing(tmp_path: Path) -> None:
    """Guard against an evacuation that is forgotten in an outage."""

    async def scenario(fleet: Fleet) -> int:
        await _evacuate(fleet, HOME)
        fleet.store.switch_mode(StoreMode.BUSY)
        await wait_until(
            lambda: all(_count_events(fleet, 'store connection lost'))
        )
        fleet.clock.advance(10 * RELIST_GRACE_S)
        with _no_arrivals(fleet):
            assert await _call_all_routes(fleet.callers[0]) == {200}
        fleet.store.switch_mode(StoreMode.WORKS)
        await wait_until(
            lambda: all(_count_events(fleet, 'store connection restored'))
        )
        with _no_arrivals(fleet):
            assert await _call_all_routes(fleet.callers[0]) == {200}
        return sum(_count_events(fleet, 'evacuation ended'))

    assert _run(tmp_path, scenario) == 0


@pytest.mark.parametrize('is_withdrawn', [False, True])
def test_lost_history_is_listed_again(
    is_withdrawn: bool, tmp_path: Path
) -> None:
    """Guard against changes that are missed when a watch is answered 410."""

    async def scenario(fleet: Fleet) -> None:
        if is_withdrawn:
            await _evacuate(fleet, HOME)
        fleet.store.switch_mode(StoreMode.BUSY)
        fleet.store.forget_history()
        await wait_until(
            lambda: all(_count_events(fleet, 'store connection lost'))
        )
        if is_withdrawn:
            fleet.store.delete(KIND, HOME)
        else:
            fleet.store.put(KIND, HOME, {})
        fleet.store.forget_history()
        fleet.store.switch_mode(StoreMode.WORKS)
        event = 'evacuation ended' if is_withdrawn else 'evacuation started'
        await wait_until(lambda: all(_count_events(fleet, event)))

    _run(tmp_path, scenario, entries=1)


def test_evacuation_that_a_restored_store_lacks_holds_until_it_is_back(
    tmp_path: Path,
) -> None:
    """Guard against load between the restoration and the operator's write."""

    async def scenario(fleet: Fleet) -> int:
        earlier = fleet.store.take_copy()
        await _evacuate(fleet, HOME)
        fleet.store.restore(earlier)
        await wait_until(
            lambda: all(_count_events(fleet, 'watch history expired'))
        )
        with _no_arrivals(fleet):
            assert await _call_all_routes(fleet.callers[0]) == {200}
        fleet.store.put(KIND, HOME, {})
        fleet.store.put('config', 'main', make_configuration(9))
        await wait_until(
            lambda: all(entry.version == 9 for entry in fleet.entries)
        )
        # By now the change before it has been read as well.
        await asyncio.sleep(0.5)
        fleet.clock.advance(2 * RELIST_GRACE_S)
        with _no_arrivals(fleet):
            assert await _call_all_routes(fleet.callers[0]) == {200}
        return sum(_count_events(fleet, 'evacuation ended'))

    assert _run(tmp_path, scenario) == 0


def test_evacuation_that_nobody_writes_again_ends_after_the_grace_period(
    tmp_path: Path,
) -> None:
    """Guard against an evacuation that no object in the store stands for."""

    async def scenario(fleet: Fleet) -> None:
        earlier = fleet.store.take_copy()
        await _evacuate(fleet, HOME)
        fleet.store.restore(earlier)
        await wait_until(
            lambda: all(_count_events(fleet, 'watch history expired'))
        )
        await wait_until(lambda: all(_count_events(fleet, 'evacuation ended')))

    _run(tmp_path, scenario)


def test_unknown_data_centre_has_no_effect(tmp_path: Path) -> None:
    """Guard against an evacuation that refuses requests of other places."""

    async def scenario(fleet: Fleet) -> set[int]:
        await _evacuate(fleet, 'elsewhere')
        return await _call_all_routes(fleet.callers[0])

    assert _run(tmp_path, scenario, entries=1) == {200}


def test_deployment_without_evacuations_makes_no_calls_for_them(
    tmp_path: Path,
) -> None:
    """Guard against store calls of deployments that don't use the feature."""

    async def scenario(fleet: Fleet) -> tuple[int, set[int]]:
        caller = await fleet.add_entry()
        await wait_until(lambda: fleet.entries[0].is_ready)
        fleet.store.put(KIND, HOME, {})
        fleet.store.put('config', 'main', make_configuration(9))
        await wait_until(lambda: fleet.entries[0].version == 9)
        statuses = await _call_all_routes(caller)
        assert _count_arrivals(fleet, HOME)
        return fleet.store.requested_kinds[KIND], statuses

    assert _run(tmp_path, scenario, entries=0) == (0, {200})
