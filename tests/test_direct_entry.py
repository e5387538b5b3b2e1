"""An entry on the platform's stand-ins: what callers and upstreams see."""

import asyncio
from functools import partial
from pathlib import Path

import pytest
from bench.giftwrap.caller import Answer
from bench.giftwrap.deployment import POOL, make_configuration, make_route
from bench.giftwrap.store import PlatformStore, StoreMode
from bench.giftwrap.upstream import Fault, Upstream, stream_bytes

from figspread.direct.registry import RELIST_S
from figspread.direct.request_state import REJECTED_LIMIT
from figspread.http1.fields import find_field
from tests.giftwrap_fleet import (
    Fleet,
    MemoryLog,
    play,
    silent_listener,
    until,
)

USAGE = '5000,460'
ORDER = 'order'


def _runs(fleet: Fleet, name: str) -> int:
    return sum(upstream.runs[name] for upstream in fleet.upstreams.values())


def _set_fault(
    fleet: Fleet,
    fault: Fault,
    *names: str,
) -> None:
    for name in names:
        fleet.upstreams[name].fault = fault


ROUTES = {
    'a stream': ('caption', USAGE, stream_bytes(460)),
    'a safe call': ('status', '', b'answer to r'),
    'an unsafe call': ('order', '', b'answer to r'),
}


@pytest.mark.parametrize('case', ROUTES)
def test_serves_each_kind(case: str, tmp_path: Path) -> None:
    """Serves each kind."""
    route, usage, body = ROUTES[case]

    async def scene(fleet: Fleet) -> Answer:
        return await fleet.callers[0].call(
            route,
            usage=usage,
            request_id='r',
        )

    answer = play(tmp_path, scene)
    assert (answer.status, answer.body, answer.is_whole) == (200, body, True)
    assert answer.signature


REFUSED = {
    'no route': ('nowhere', 'key-1', 404),
    'unknown key': ('status', 'key-9', 401),
}


@pytest.mark.parametrize('case', REFUSED)
def test_refuses_improper_requests(case: str, tmp_path: Path) -> None:
    """Refuses improper requests."""
    route, key, status = REFUSED[case]

    async def scene(fleet: Fleet) -> Answer:
        return await fleet.callers[0].call(route, key=key)

    assert play(tmp_path, scene).status == status


def test_upstream_sees_only_what_it_should(tmp_path: Path) -> None:
    """Upstream sees only what it should."""

    async def scene(fleet: Fleet) -> Upstream:
        await fleet.callers[0].call(ORDER, limit_ms=5000)
        return next(
            upstream for upstream in fleet.upstreams.values() if upstream.seen
        )

    upstream = play(tmp_path, scene)
    fields = upstream.seen[0].fields
    assert find_field(fields, b'authorization') is None
    assert find_field(fields, b'x-figspread-tenant') == 'studio'
    instance = find_field(fields, b'x-figspread-expect-instance')
    assert instance == upstream.name
    left_ms = find_field(fields, b'x-figspread-request-deadline')
    assert 0 < int(left_ms or 0) <= 5000


# What an upstream does, whether the other one does it too, and what the
# caller of a call that may run once and of a safe one gets.
PLAIN_FAULTS = {
    Fault.FULL: (503, 200),
    Fault.LOSES_ANSWER: (502, 200),
    Fault.FOREIGN: (502, 200),
    Fault.CODED: (502, 200),
    Fault.TRUNCATED: (502, 200),
    Fault.ERROR: (500, 200),
    Fault.UNFRAMED: (200, 200),
    Fault.EXTRA: (200, 200),
}


@pytest.mark.parametrize('fault', PLAIN_FAULTS)
def test_call_that_may_run_once(fault: Fault, tmp_path: Path) -> None:
    """Call that may run once."""

    async def scene(fleet: Fleet) -> tuple[Answer, int]:
        _set_fault(fleet, fault, 'd-1', 'd-2')
        answer = await fleet.callers[0].call(ORDER, request_id='r')
        return answer, _runs(fleet, 'r')

    answer, runs = play(tmp_path, scene)
    assert answer.status == PLAIN_FAULTS[fault][0]
    expected_runs = 0 if fault is Fault.FULL else 1
    assert runs == expected_runs
    assert (answer.status == 503) == (answer.retry_after_s is not None)


@pytest.mark.parametrize('full', ['d-1', 'd-2'])
def test_call_that_an_upstream_rejects_goes_to_another(
    full: str,
    tmp_path: Path,
) -> None:
    """Call that an upstream rejects goes to another.

    It has not run, so the route's one attempt is not used up.
    """

    async def scene(fleet: Fleet) -> tuple[int, int]:
        _set_fault(fleet, Fault.FULL, full)
        answer = await fleet.callers[0].call(ORDER, request_id='r')
        return answer.status, _runs(fleet, 'r')

    assert play(tmp_path, scene) == (200, 1)


def test_call_that_all_reject_is_refused_after_few_tries(
    tmp_path: Path,
) -> None:
    """Call that all reject is refused after few tries."""

    async def scene(fleet: Fleet) -> tuple[int, int]:
        _set_fault(fleet, Fault.FULL, 'd-1', 'd-2')
        answer = await fleet.callers[0].call(ORDER)
        seen = sum(len(fleet.upstreams[name].seen) for name in ('d-1', 'd-2'))
        return answer.status, seen

    assert play(tmp_path, scene) == (503, REJECTED_LIMIT)


@pytest.mark.parametrize('fault', PLAIN_FAULTS)
def test_safe_call_goes_to_another_upstream(
    fault: Fault,
    tmp_path: Path,
) -> None:
    """Safe call goes to another upstream."""

    async def scene(fleet: Fleet) -> list[Answer]:
        _set_fault(fleet, fault, 'd-1')
        caller = fleet.callers[0]
        return [
            await caller.call('status', request_id='r{0}'.format(number))
            for number in range(4)
        ]

    answers = play(tmp_path, scene)
    assert {answer.status for answer in answers} == {200}
    assert [answer.body for answer in answers] == [
        'answer to r{0}'.format(number).encode() for number in range(4)
    ]


@pytest.mark.parametrize(
    'fault',
    [Fault.RESETS, Fault.TRUNCATED, Fault.WITHIN_EVENT, Fault.CRASHES],
)
def test_stream_goes_on_at_another_engine(
    fault: Fault,
    tmp_path: Path,
) -> None:
    """Stream goes on at another engine."""

    async def scene(fleet: Fleet) -> list[Answer]:
        _set_fault(fleet, fault, 'e-1')
        return [
            await fleet.callers[0].call('caption', usage=USAGE)
            for _ in range(3)
        ]

    for answer in play(tmp_path, scene):
        assert answer.is_whole
        assert answer.body == stream_bytes(460)


def test_stream_that_can_not_be_resumed_is_broken_off(tmp_path: Path) -> None:
    """Stream that can not be resumed is broken off."""

    async def scene(fleet: Fleet) -> tuple[Answer, int]:
        _set_fault(fleet, Fault.WITHIN_EVENT, 'e-1', 'e-2')
        answer = await fleet.callers[0].call(
            'once',
            usage=USAGE,
            request_id='r',
        )
        return answer, _runs(fleet, 'r')

    answer, runs = play(tmp_path, scene)
    assert not answer.is_whole
    assert stream_bytes(460).startswith(answer.body)
    assert runs == 1


def test_caller_resumes_after_its_last_event(tmp_path: Path) -> None:
    """Caller resumes after its last event."""

    async def scene(fleet: Fleet) -> Answer:
        return await fleet.callers[0].call(
            'caption',
            usage=USAGE,
            last_event=4,
        )

    assert play(tmp_path, scene).body == stream_bytes(460, begin=5)


def test_time_limit_of_the_route_is_kept(tmp_path: Path) -> None:
    """Time limit of the route is kept."""

    async def scene(fleet: Fleet) -> Answer:
        routes = [make_route('status', 'safe', 'desk', timeoutMs=200)]
        fleet.store.put('config', 'main', make_configuration(8, routes=routes))
        await until(lambda: fleet.entries[0].version == 8)
        _set_fault(fleet, Fault.HANGS, 'd-1', 'd-2')
        return await fleet.callers[0].call('status')

    assert play(tmp_path, scene).status == 504


def test_hanging_engine_is_left_for_another(tmp_path: Path) -> None:
    """Hanging engine is left for another, before a caller would leave."""

    async def scene(fleet: Fleet) -> Answer:
        _set_fault(fleet, Fault.HANGS, 'e-1')
        caller = fleet.callers[0]
        async with asyncio.timeout(2 * len(ENGINES)):
            answers = [
                await caller.call('caption', usage=USAGE) for _ in ENGINES
            ]
        assert answers[0].body == answers[1].body
        return answers[0]

    assert play(tmp_path, scene).body == stream_bytes(460)


def test_hanging_upstream_is_left_for_another(tmp_path: Path) -> None:
    """Hanging upstream is left for another."""

    async def scene(fleet: Fleet) -> Answer:
        _set_fault(fleet, Fault.HANGS, 'd-1')
        answers = [
            await fleet.callers[0].call('status', limit_ms=600)
            for _ in range(2)
        ]
        assert {answer.status for answer in answers} == {200}
        return answers[0]

    play(tmp_path, scene)


def test_caller_that_leaves_ends_the_work(tmp_path: Path) -> None:
    """Caller that leaves ends the work."""

    async def scene(fleet: Fleet) -> None:
        _set_fault(fleet, Fault.HANGS, 'e-1', 'e-2')
        upstreams = [fleet.upstreams[name] for name in ('e-1', 'e-2')]
        task = asyncio.create_task(
            fleet.callers[0].call('caption', usage=USAGE),
        )
        await until(lambda: any(known.working for known in upstreams))
        task.cancel()
        await until(lambda: not any(known.working for known in upstreams))

    play(tmp_path, scene)


def test_address_of_another_instance_runs_nothing(tmp_path: Path) -> None:
    """Address of another instance runs nothing."""

    async def scene(fleet: Fleet) -> tuple[Answer, int]:
        for name in ('d-1', 'd-2'):
            fleet.upstreams[name].name = 'another-{0}'.format(name)
        answer = await fleet.callers[0].call(ORDER, request_id='r')
        return answer, _runs(fleet, 'r')

    answer, runs = play(tmp_path, scene)
    assert (answer.status, runs) == (503, 0)


def test_leaving_upstream_gets_no_new_work(tmp_path: Path) -> None:
    """Leaving upstream gets no new work."""

    async def scene(fleet: Fleet) -> int:
        leaving = fleet.upstreams['e-1']
        leaving.state = 'draining'
        fleet.register(leaving)
        await until(lambda: fleet.logs[0].events('upstream updated'))
        before = sum(leaving.runs.values())
        for _ in range(4):
            answer = await fleet.callers[0].call('caption', usage=USAGE)
            assert answer.status == 200
        return sum(leaving.runs.values()) - before

    assert play(tmp_path, scene) == 0


def test_unreadable_entries_hide_no_others(tmp_path: Path) -> None:
    """Unreadable entries hide no others."""

    async def scene(fleet: Fleet) -> Answer:
        for number, entry in enumerate(
            (None, 5, {}, {'service': POOL, 'address': 'x', 'state': 'odd'}),
        ):
            fleet.store.put('servers', 'bad-{0}'.format(number), entry)
        await until(
            lambda: len(fleet.logs[0].events('upstream record invalid')) == 4,
        )
        return await fleet.callers[0].call('caption', usage=USAGE)

    assert play(tmp_path, scene).status == 200


def test_unreadable_configuration_leaves_the_last_one(tmp_path: Path) -> None:
    """Unreadable configuration leaves the last one."""

    async def scene(fleet: Fleet) -> Answer:
        fleet.store.put('config', 'main', {'version': 'odd'})
        await until(lambda: fleet.logs[0].events('configuration invalid'))
        return await fleet.callers[0].call('status')

    assert play(tmp_path, scene).status == 200


def test_older_configuration_is_not_taken(tmp_path: Path) -> None:
    """Older configuration is not taken."""

    async def scene(fleet: Fleet) -> int:
        fleet.store.put('config', 'main', make_configuration(6))
        fleet.store.put('servers', 'd-1', fleet.upstreams['d-1'].entry)
        fleet.upstreams['d-1'].state = 'draining'
        fleet.register(fleet.upstreams['d-1'])
        await until(lambda: fleet.logs[0].events('upstream updated'))
        return fleet.entries[0].version

    assert play(tmp_path, scene) == 7


def test_history_that_is_gone_is_listed_anew(tmp_path: Path) -> None:
    """History that is gone is listed anew."""

    async def scene(fleet: Fleet) -> None:
        fleet.store.put('other', 'x', 1)
        fleet.store.forget_history()
        fleet.store.put('config', 'main', make_configuration(9))
        await until(lambda: fleet.entries[0].version == 9)

    play(tmp_path, scene)


@pytest.mark.parametrize(
    'mode',
    [StoreMode.BUSY, StoreMode.MANY, StoreMode.RESETS, StoreMode.SILENT],
)
def test_outage_of_the_store_is_served_through(
    mode: StoreMode,
    tmp_path: Path,
) -> None:
    """Outage of the store is served through."""

    async def scene(fleet: Fleet) -> None:
        fleet.store.put_in_force(mode)
        await until(lambda: fleet.logs[0].events('store connection lost'))
        answer = await fleet.callers[0].call('caption', usage=USAGE)
        assert answer.status == 200
        fleet.store.put_in_force(StoreMode.WORKS)
        fleet.store.put('config', 'main', make_configuration(9))
        await until(lambda: fleet.entries[0].version == 9)
        await until(lambda: fleet.logs[0].events('store connection restored'))

    play(tmp_path, scene)


def test_entry_without_store_learns_from_another(tmp_path: Path) -> None:
    """Entry without store learns from another."""

    async def scene(fleet: Fleet) -> Answer:
        seeds = fleet.entries[0].peer_address
        fleet.store.put_in_force(StoreMode.BUSY)
        caller = await fleet.add_entry(seeds=seeds)
        await until(lambda: fleet.entries[1].is_ready)
        return await caller.call('caption', usage=USAGE)

    assert play(tmp_path, scene).status == 200


def test_new_version_reaches_an_entry_that_the_store_turns_away(
    tmp_path: Path,
) -> None:
    """New version reaches an entry that the store turns away."""

    async def scene(fleet: Fleet) -> None:
        newer = PlatformStore()
        await newer.start()
        newer.put('config', 'main', make_configuration(9))
        seeds = fleet.entries[0].peer_address
        await fleet.add_entry(store=newer, seeds=seeds)
        await until(lambda: fleet.entries[0].version == 9)
        await newer.stop()

    play(tmp_path, scene)


def test_entries_know_what_others_have_placed(tmp_path: Path) -> None:
    """Entries know what others have placed."""

    async def scene(fleet: Fleet) -> None:
        _set_fault(fleet, Fault.HANGS, 'e-1', 'e-2')
        first, second = fleet.callers
        tasks = [
            asyncio.create_task(first.call('caption', usage='40000,460')),
        ]
        await until(lambda: fleet.entries[1].count_placed())
        tasks.append(
            asyncio.create_task(second.call('caption', usage='40000,460')),
        )
        await until(lambda: all(_is_working(fleet, name) for name in ENGINES))
        for task in tasks:
            task.cancel()
        await until(lambda: not fleet.entries[0].count_placed())

    play(tmp_path, scene, entries=2)


ENGINES = ('e-1', 'e-2')


def _is_working(fleet: Fleet, name: str) -> bool:
    return bool(fleet.upstreams[name].working)


def test_prompt_larger_than_an_engine_gives_its_memory_back(
    tmp_path: Path,
) -> None:
    """Prompt larger than an engine gives its memory back."""

    async def scene(fleet: Fleet) -> Answer:
        answer = await fleet.callers[0].call('caption', usage='700000,460')
        await until(
            lambda: not any(fleet.upstreams[name].tickets for name in ENGINES),
        )
        assert fleet.logs[0].events('memory reserved')
        return answer

    answer = play(tmp_path, scene)
    assert answer.body == stream_bytes(460)


def test_request_that_crashes_engines_is_given_up(tmp_path: Path) -> None:
    """Request that crashes engines is given up."""

    async def scene(fleet: Fleet) -> None:
        _set_fault(fleet, Fault.CRASHES, *ENGINES)
        caller = fleet.callers[0]
        for _ in range(6):
            await caller.call('caption', usage=USAGE, body=b'deadly')
            for name in ENGINES:
                upstream = fleet.upstreams[name]
                if not upstream.is_listening:
                    await upstream.start(
                        int(upstream.address.rpartition(':')[2])
                    )
                    upstream.born += 1
                    fleet.register(upstream)
        # The entry has the platform's window to learn of the new starts.
        async with asyncio.timeout(3):
            await until(
                lambda: (
                    len(fleet.logs[0].events('request suspected of crash')) > 1
                ),
            )
        seen = sum(len(fleet.upstreams[name].seen) for name in ENGINES)
        answer = await caller.call('caption', usage=USAGE, body=b'deadly')
        assert answer.status == 503
        assert answer.retry_after_s
        after = sum(len(fleet.upstreams[name].seen) for name in ENGINES)
        assert after == seen
        _set_fault(fleet, Fault.NONE, *ENGINES)
        answer = await caller.call('caption', usage=USAGE, body=b'harmless')
        assert answer.status == 200

    play(tmp_path, scene)


def test_leaving_entry_ends_what_it_has_begun(tmp_path: Path) -> None:
    """Leaving entry ends what it has begun."""

    async def scene(fleet: Fleet) -> Answer:
        task = asyncio.create_task(
            fleet.callers[0].call('caption', usage='5000,4600'),
        )
        await until(lambda: fleet.entries[0].count_placed())
        fleet.entries[0].leave()
        assert not fleet.entries[0].is_ready
        answer = await task
        await fleet.entries[0].done.wait()
        return answer

    answer = play(tmp_path, scene)
    assert answer.is_whole
    assert answer.body == stream_bytes(4600)


def test_entries_reach_each_other_both_ways(tmp_path: Path) -> None:
    """Entries reach each other both ways."""

    async def scene(fleet: Fleet) -> None:
        await until(
            lambda: all(
                len(log.events('peer entry connected')) == 2
                for log in fleet.logs
            ),
        )

    play(tmp_path, scene, entries=3)


def test_entries_that_start_at_once_find_each_other(tmp_path: Path) -> None:
    """Entries that start at once find each other."""

    async def scene(fleet: Fleet) -> None:
        # All of them have read the list before any can write to it.
        fleet.store.delay_s = 0.05
        await asyncio.gather(*(fleet.add_entry() for _ in range(3)))
        await until(
            lambda: all(
                len(log.events('peer entry connected')) == 3
                for log in fleet.logs
            ),
        )

    play(tmp_path, scene)


def test_outage_ends_when_the_store_answers_again(tmp_path: Path) -> None:
    """Outage ends when the store answers again.

    A watch that waits long after the outage must not make an upstream that
    leaves then count as one that the outage has let lapse.
    """

    async def scene(fleet: Fleet) -> None:
        fleet.store.put_in_force(StoreMode.SILENT)
        await until(lambda: fleet.logs[0].events('store connection lost'))
        fleet.store.put_in_force(StoreMode.WORKS)
        await until(lambda: fleet.logs[0].events('store connection restored'))
        fleet.clock.skip(RELIST_S)
        fleet.store.delete('servers', 'e-1')
        async with asyncio.timeout(1):
            await until(lambda: fleet.logs[0].events('upstream removed'))

    play(tmp_path, scene)


def test_leaving_entry_takes_what_it_can_still_end(tmp_path: Path) -> None:
    """Leaving entry takes what it can still end.

    80 events take an engine about four of the seven seconds that are left.
    """

    async def scene(fleet: Fleet) -> list[int]:
        fleet.entries[0].leave()
        await until(lambda: fleet.logs[0].events('shutdown started'))
        answers = [
            await fleet.callers[0].call('caption', usage=usage)
            for usage in ('5000,3680', '5000,46000')
        ]
        assert answers[1].retry_after_s
        return [answer.status for answer in answers]

    assert play(tmp_path, scene) == [200, 503]


def _has_all(log: MemoryLog, starts: int) -> bool:
    return len(log.events('upstream updated')) >= starts - 1


def test_good_answer_clears_what_looks_alike(tmp_path: Path) -> None:
    """Good answer clears what looks alike.

    Calls without a body look the same. Two crashes of other requests' doing
    must not close their path.
    """

    async def scene(fleet: Fleet) -> list[int]:
        caller = fleet.callers[0]
        statuses = []
        for name in ('d-1', 'd-1', 'd-1'):
            _set_fault(fleet, Fault.CRASHES, name)
            for _ in range(2):
                answer = await caller.call('status')
                statuses.append(answer.status)
            _set_fault(fleet, Fault.NONE, name)
            upstream = fleet.upstreams[name]
            if not upstream.is_listening:
                port = int(upstream.address.rpartition(':')[2])
                await upstream.start(port)
                upstream.born += 1
                fleet.register(upstream)
            await until(
                partial(_has_all, fleet.logs[0], fleet.upstreams[name].born),
            )
        return statuses

    assert set(play(tmp_path, scene)) == {200}


def test_one_crash_under_several_calls_counts_once(tmp_path: Path) -> None:
    """One crash under several calls counts once.

    They look alike, and their path stays open.
    """

    async def scene(fleet: Fleet) -> int:
        caller = fleet.callers[0]
        upstream = fleet.upstreams['d-1']
        _set_fault(fleet, Fault.HANGS, 'd-1', 'd-2')
        async with asyncio.TaskGroup() as group:
            calls = [group.create_task(caller.call('status')) for _ in range(8)]
            await until(lambda: len(upstream.seen) > 2)
            await upstream.stop()
            await upstream.start(int(upstream.address.rpartition(':')[2]))
            upstream.born += 1
            fleet.register(upstream)
            await until(
                lambda: (
                    len(fleet.logs[0].events('request suspected of crash')) > 2
                ),
            )
            _set_fault(fleet, Fault.NONE, 'd-1', 'd-2')
            answer = await caller.call('status')
            for call in calls:
                call.cancel()
        return answer.status

    assert play(tmp_path, scene) == 200


def test_upstream_that_is_cut_off_has_not_crashed(tmp_path: Path) -> None:
    """Upstream that is cut off has not crashed.

    Its connections break off and new ones get no answer; that says nothing of
    the calls that were on it.
    """

    async def scene(fleet: Fleet) -> None:
        upstream = fleet.upstreams['d-1']
        log = fleet.logs[0]
        _set_fault(fleet, Fault.HANGS, 'd-1')
        fleet.store.delete('servers', 'd-2')
        await until(lambda: log.events('upstream removed'))
        with silent_listener() as address:
            call = asyncio.create_task(fleet.callers[0].call('status'))
            await until(lambda: upstream.seen)
            upstream.address = address
            fleet.register(upstream)
            await until(lambda: log.events('upstream updated'))
            await upstream.stop()
            # The first try breaks off; the next one isn't answered.
            await until(lambda: len(log.events('attempt failed')) > 1)
            call.cancel()
        assert not fleet.logs[0].events('request suspected of crash')

    play(tmp_path, scene)


def test_start_during_an_outage_ends_soon_after_it(tmp_path: Path) -> None:
    """Start during an outage ends soon after it.

    What was asked of a silent store is never answered; checks, which go out
    each half second at most, tell that it answers again.
    """

    async def scene(fleet: Fleet) -> None:
        fleet.store.put_in_force(StoreMode.SILENT)
        await fleet.add_entry()
        await until(lambda: fleet.store.calls)
        fleet.store.put_in_force(StoreMode.WORKS)
        async with asyncio.timeout(1):
            await until(lambda: fleet.entries[0].is_ready)
            await until(lambda: fleet.store.names('entries'))

    play(tmp_path, scene, entries=0)


def test_watch_that_hears_nothing_after_trouble_ends_soon(
    tmp_path: Path,
) -> None:
    """Watch that hears nothing after trouble ends soon.

    A version that is written then has to be in force within 3 s.
    """

    async def scene(fleet: Fleet) -> None:
        fleet.store.is_deaf = True
        fleet.store.put_in_force(StoreMode.RESETS)
        await until(lambda: fleet.logs[0].events('store connection lost'))
        fleet.store.put_in_force(StoreMode.WORKS)
        before = fleet.store.calls
        await until(lambda: fleet.store.calls > before + 2)
        fleet.store.is_deaf = False
        fleet.store.put('config', 'main', make_configuration(9))
        async with asyncio.timeout(3):
            await until(lambda: fleet.entries[0].version == 9)

    play(tmp_path, scene)


def test_entry_that_leaves_soon_takes_only_what_surely_ends(
    tmp_path: Path,
) -> None:
    """Entry that leaves soon takes only what surely ends."""

    async def scene(fleet: Fleet) -> list[int]:
        fleet.entries[0].leave()
        await until(lambda: fleet.logs[0].events('shutdown started'))
        fleet.clock.skip(3)
        caller = fleet.callers[0]
        stream = await caller.call('caption', usage=USAGE, limit_ms=5000)
        plain = await caller.call('status', limit_ms=600)
        return [stream.status, plain.status]

    assert play(tmp_path, scene) == [503, 200]
