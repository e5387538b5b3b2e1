"""End-to-end tests of a direct entry with stand-ins for the platform."""

import asyncio
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from bench.giftwrap.caller import Answer
from bench.giftwrap.deployment import POOL, make_configuration, make_route
from bench.giftwrap.store import PlatformStore, StoreMode
from bench.giftwrap.upstream import Fault, StatedTerms, Upstream, stream_bytes

from figspread.direct.requests.retry_policy import REJECTED_LIMIT
from figspread.direct.state.registry import RELIST_GRACE_S
from figspread.http1.fields import find_field
from tests.giftwrap_fleet import (
    Fleet,
    MemoryLog,
    run_scenario,
    silent_listener,
    wait_until,
)

USAGE = '5000,460'
UNSAFE_ROUTE = 'order'


def _count_runs(fleet: Fleet, name: str) -> int:
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
def test_each_call_kind_is_served(case: str, tmp_path: Path) -> None:
    """Serve a request of each call kind."""
    route, usage, body = ROUTES[case]

    async def scenario(fleet: Fleet) -> Answer:
        return await fleet.callers[0].call(
            route,
            usage=usage,
            request_id='r',
        )

    answer = run_scenario(tmp_path, scenario)
    assert (answer.status, answer.body, answer.is_complete) == (200, body, True)
    assert answer.signature


REFUSED = {
    'no route': ('nowhere', 'key-1', 404),
    'unknown key': ('status', 'key-9', 401),
}


@pytest.mark.parametrize('case', REFUSED)
def test_unauthorized_and_unrouted_requests_are_refused(
    case: str, tmp_path: Path
) -> None:
    """Refuse requests without a route or a known key."""
    route, key, status = REFUSED[case]

    async def scenario(fleet: Fleet) -> Answer:
        return await fleet.callers[0].call(route, key=key)

    assert run_scenario(tmp_path, scenario).status == status


def test_upstream_gets_platform_headers_without_credentials(
    tmp_path: Path,
) -> None:
    """Send the upstream the platform's headers, not the caller's key."""

    async def scenario(fleet: Fleet) -> Upstream:
        await fleet.callers[0].call(UNSAFE_ROUTE, limit_ms=5000)
        return next(
            upstream
            for upstream in fleet.upstreams.values()
            if upstream.received_requests
        )

    upstream = run_scenario(tmp_path, scenario)
    fields = upstream.received_requests[0].fields
    assert find_field(fields, b'authorization') is None
    assert find_field(fields, b'x-figspread-tenant') == 'studio'
    instance = find_field(fields, b'x-figspread-expect-instance')
    assert instance == upstream.name
    left_ms = find_field(fields, b'x-figspread-request-deadline')
    assert 0 < int(left_ms or 0) <= 5000


# Statuses that the caller gets by the fault of an upstream: of a call that may
# run only once and all upstreams have the fault, and of a safe call where only
# one upstream has it.
PLAIN_FAULTS = {
    Fault.FULL: (503, 200),
    Fault.LOSES_ANSWER: (502, 200),
    Fault.FOREIGN: (502, 200),
    Fault.CONTENT_CODED: (502, 200),
    Fault.TRUNCATED: (502, 200),
    Fault.ERROR: (500, 200),
    Fault.UNFRAMED: (200, 200),
    Fault.UNFRAMED_CRASH: (502, 200),
    Fault.UNFRAMED_EXIT: (502, 200),
    Fault.DUPLICATE_RESPONSE: (200, 200),
}


@pytest.mark.parametrize('fault', PLAIN_FAULTS)
def test_unsafe_call_runs_at_most_once(fault: Fault, tmp_path: Path) -> None:
    """Run a call that must not be repeated at most once."""

    async def scenario(fleet: Fleet) -> tuple[Answer, int]:
        _set_fault(fleet, fault, 'd-1', 'd-2')
        answer = await fleet.callers[0].call(UNSAFE_ROUTE, request_id='r')
        return answer, _count_runs(fleet, 'r')

    answer, runs = run_scenario(tmp_path, scenario)
    assert answer.status == PLAIN_FAULTS[fault][0]
    expected_runs = 0 if fault is Fault.FULL else 1
    assert runs == expected_runs
    assert (answer.status == 503) == (answer.retry_after_s is not None)


@pytest.mark.parametrize('full', ['d-1', 'd-2'])
def test_rejected_call_is_retried_at_another_upstream(
    full: str,
    tmp_path: Path,
) -> None:
    """Retry a rejected call at another upstream.

    A rejected call has not run, so it must not use up the route's only
    attempt.
    """

    async def scenario(fleet: Fleet) -> tuple[int, int]:
        _set_fault(fleet, Fault.FULL, full)
        answer = await fleet.callers[0].call(UNSAFE_ROUTE, request_id='r')
        return answer.status, _count_runs(fleet, 'r')

    assert run_scenario(tmp_path, scenario) == (200, 1)


def test_call_rejected_everywhere_is_refused_after_the_limit(
    tmp_path: Path,
) -> None:
    """Refuse a call that all upstreams reject, after a few attempts."""

    async def scenario(fleet: Fleet) -> tuple[int, int]:
        _set_fault(fleet, Fault.FULL, 'd-1', 'd-2')
        answer = await fleet.callers[0].call(UNSAFE_ROUTE)
        seen = sum(
            len(fleet.upstreams[name].received_requests)
            for name in ('d-1', 'd-2')
        )
        return answer.status, seen

    assert run_scenario(tmp_path, scenario) == (503, REJECTED_LIMIT)


@pytest.mark.parametrize('fault', PLAIN_FAULTS)
def test_safe_call_is_retried_at_another_upstream(
    fault: Fault,
    tmp_path: Path,
) -> None:
    """Retry a failed safe call at another upstream."""

    async def scenario(fleet: Fleet) -> list[Answer]:
        _set_fault(fleet, fault, 'd-1')
        caller = fleet.callers[0]
        return [
            await caller.call('status', request_id='r{0}'.format(number))
            for number in range(4)
        ]

    answers = run_scenario(tmp_path, scenario)
    assert {answer.status for answer in answers} == {200}
    assert [answer.body for answer in answers] == [
        'answer to r{0}'.format(number).encode() for number in range(4)
    ]


@pytest.mark.parametrize(
    'fault',
    [
        Fault.RESETS,
        Fault.TRUNCATED,
        Fault.WITHIN_EVENT,
        Fault.CRASHES,
        Fault.UNFRAMED_WITHIN_EVENT,
        Fault.UNFRAMED_RESET,
        Fault.UNFRAMED_CRASH,
    ],
)
def test_interrupted_stream_resumes_at_another_engine(
    fault: Fault,
    tmp_path: Path,
) -> None:
    """Resume an interrupted stream at another engine."""

    async def scenario(fleet: Fleet) -> list[Answer]:
        _set_fault(fleet, fault, 'e-1')
        return [
            await fleet.callers[0].call('caption', usage=USAGE)
            for _ in range(3)
        ]

    for answer in run_scenario(tmp_path, scenario):
        assert answer.is_complete
        assert answer.body == stream_bytes(460)


async def _call_until_run_by(fleet: Fleet, name: str) -> list[Answer]:
    """Send streams until an upstream has run one; return their answers."""
    answers = []
    while not fleet.upstreams[name].runs:
        answers.append(await fleet.callers[0].call('caption', usage=USAGE))
    return answers


@pytest.mark.parametrize('other', [Fault.NONE, Fault.UNFRAMED])
def test_whole_stream_of_an_engine_that_left_ends_as_complete(
    other: Fault, tmp_path: Path
) -> None:
    """Complete a stream of which another engine has no further events.

    Its engine exits at once after the last event, so that nothing shows there
    that the stream was whole.
    """

    async def scenario(fleet: Fleet) -> list[Answer]:
        _set_fault(fleet, Fault.UNFRAMED_EXIT, 'e-1')
        _set_fault(fleet, other, 'e-2')
        return await _call_until_run_by(fleet, 'e-1')

    for answer in run_scenario(tmp_path, scenario):
        assert (answer.is_complete, answer.body) == (True, stream_bytes(460))


def test_stream_of_an_engine_that_left_makes_no_suspect(
    tmp_path: Path,
) -> None:
    """Don't take the announced exit of an engine for a crash."""

    async def scenario(fleet: Fleet) -> list[dict[str, Any]]:
        _set_fault(fleet, Fault.UNFRAMED_EXIT, 'e-1')
        fleet.upstreams['e-1'].terms = StatedTerms(is_leaving=True)
        answers = await _call_until_run_by(fleet, 'e-1')
        assert all(answer.is_complete for answer in answers)
        return fleet.logs[0].events('request suspected of crash')

    assert not run_scenario(tmp_path, scenario)


def test_unresumable_stream_of_a_dead_engine_is_broken_off(
    tmp_path: Path,
) -> None:
    """Show the caller that a stream without framing ended in a crash."""

    async def scenario(fleet: Fleet) -> tuple[Answer, int]:
        _set_fault(fleet, Fault.UNFRAMED_CRASH, *ENGINES)
        answer = await fleet.callers[0].call(
            'once', usage=USAGE, request_id='r'
        )
        return answer, _count_runs(fleet, 'r')

    answer, runs = run_scenario(tmp_path, scenario)
    assert (answer.status, answer.is_complete, runs) == (200, False, 1)
    assert answer.body
    assert stream_bytes(460).startswith(answer.body)


def test_unframed_stream_is_complete_if_its_engine_is_alive(
    tmp_path: Path,
) -> None:
    """Complete a stream that ends with its connection, between two events."""

    async def scenario(fleet: Fleet) -> Answer:
        _set_fault(fleet, Fault.UNFRAMED, *ENGINES)
        return await fleet.callers[0].call('once', usage=USAGE)

    answer = run_scenario(tmp_path, scenario)
    assert (answer.is_complete, answer.body) == (True, stream_bytes(460))


def test_unresumable_stream_is_broken_off(tmp_path: Path) -> None:
    """Break off an interrupted stream that can't be resumed."""

    async def scenario(fleet: Fleet) -> tuple[Answer, int]:
        _set_fault(fleet, Fault.WITHIN_EVENT, 'e-1', 'e-2')
        answer = await fleet.callers[0].call(
            'once',
            usage=USAGE,
            request_id='r',
        )
        return answer, _count_runs(fleet, 'r')

    answer, runs = run_scenario(tmp_path, scenario)
    assert not answer.is_complete
    assert stream_bytes(460).startswith(answer.body)
    assert runs == 1


def test_caller_resumes_stream_after_its_last_event(tmp_path: Path) -> None:
    """Start a resumed stream after the caller's last event."""

    async def scenario(fleet: Fleet) -> Answer:
        return await fleet.callers[0].call(
            'caption',
            usage=USAGE,
            last_event=4,
        )

    assert run_scenario(tmp_path, scenario).body == stream_bytes(460, begin=5)


def test_route_timeout_ends_the_request(tmp_path: Path) -> None:
    """End a request at the route's timeout."""

    async def scenario(fleet: Fleet) -> Answer:
        routes = [make_route('status', 'safe', 'desk', timeoutMs=200)]
        fleet.store.put('config', 'main', make_configuration(8, routes=routes))
        await wait_until(lambda: fleet.entries[0].version == 8)
        _set_fault(fleet, Fault.HANGS, 'd-1', 'd-2')
        return await fleet.callers[0].call('status')

    assert run_scenario(tmp_path, scenario).status == 504


def test_stream_of_hanging_engine_is_retried_in_time(tmp_path: Path) -> None:
    """Retry a hanging engine's stream before callers would time out."""

    async def scenario(fleet: Fleet) -> Answer:
        _set_fault(fleet, Fault.HANGS, 'e-1')
        caller = fleet.callers[0]
        async with asyncio.timeout(2 * len(ENGINES)):
            answers = [
                await caller.call('caption', usage=USAGE) for _ in ENGINES
            ]
        assert answers[0].body == answers[1].body
        return answers[0]

    assert run_scenario(tmp_path, scenario).body == stream_bytes(460)


def test_stream_that_trickles_without_an_event_is_retried_in_time(
    tmp_path: Path,
) -> None:
    """Retry a stream that sends bytes now and then but no event."""

    async def scenario(fleet: Fleet) -> list[Answer]:
        _set_fault(fleet, Fault.TRICKLES, 'e-1')
        return await asyncio.gather(
            *(fleet.callers[0].call('caption', usage=USAGE) for _ in range(4))
        )

    answers = run_scenario(tmp_path, scenario)
    assert {answer.status for answer in answers} == {200}
    assert {answer.body for answer in answers} == {stream_bytes(460)}


def test_late_copy_of_an_answer_reaches_no_other_caller(
    tmp_path: Path,
) -> None:
    """Drop a second copy that arrives on a connection in use again."""

    async def scenario(fleet: Fleet) -> list[Answer]:
        _set_fault(fleet, Fault.LATE_COPY, 'd-1', 'd-2')
        caller = fleet.callers[0]
        return [
            await caller.call('status', request_id='r{0}'.format(number))
            for number in range(6)
        ]

    answers = run_scenario(tmp_path, scenario)
    assert [answer.body for answer in answers if answer.status == 200] == [
        'answer to r{0}'.format(number).encode()
        for number, answer in enumerate(answers)
        if answer.status == 200
    ]
    assert {answer.status for answer in answers} <= {200, 502}


def test_call_of_hanging_upstream_is_retried(tmp_path: Path) -> None:
    """Retry a hanging upstream's call at another one."""

    async def scenario(fleet: Fleet) -> Answer:
        _set_fault(fleet, Fault.HANGS, 'd-1')
        answers = [
            await fleet.callers[0].call('status', limit_ms=600)
            for _ in range(2)
        ]
        assert {answer.status for answer in answers} == {200}
        return answers[0]

    run_scenario(tmp_path, scenario)


def test_caller_disconnect_cancels_the_upstream_request(tmp_path: Path) -> None:
    """Cancel the upstream's request when the caller disconnects."""

    async def scenario(fleet: Fleet) -> None:
        _set_fault(fleet, Fault.HANGS, 'e-1', 'e-2')
        upstreams = [fleet.upstreams[name] for name in ('e-1', 'e-2')]
        task = asyncio.create_task(
            fleet.callers[0].call('caption', usage=USAGE),
        )
        await wait_until(
            lambda: any(upstream.running_ids for upstream in upstreams)
        )
        task.cancel()
        await wait_until(
            lambda: not any(upstream.running_ids for upstream in upstreams)
        )

    run_scenario(tmp_path, scenario)


def test_call_does_not_run_at_a_different_instance(tmp_path: Path) -> None:
    """Run nothing if another instance listens at the address."""

    async def scenario(fleet: Fleet) -> tuple[Answer, int]:
        for name in ('d-1', 'd-2'):
            fleet.upstreams[name].name = 'another-{0}'.format(name)
        answer = await fleet.callers[0].call(UNSAFE_ROUTE, request_id='r')
        return answer, _count_runs(fleet, 'r')

    answer, runs = run_scenario(tmp_path, scenario)
    assert (answer.status, runs) == (503, 0)


def test_leaving_upstream_gets_no_new_requests(tmp_path: Path) -> None:
    """Send no new requests to a leaving upstream."""

    async def scenario(fleet: Fleet) -> int:
        leaving = fleet.upstreams['e-1']
        leaving.state = 'draining'
        fleet.register(leaving)
        await wait_until(lambda: fleet.logs[0].events('upstream updated'))
        before = sum(leaving.runs.values())
        for _ in range(4):
            answer = await fleet.callers[0].call('caption', usage=USAGE)
            assert answer.status == 200
        return sum(leaving.runs.values()) - before

    assert run_scenario(tmp_path, scenario) == 0


def test_invalid_upstream_records_are_skipped(tmp_path: Path) -> None:
    """Skip invalid upstream records and use the valid ones."""

    async def scenario(fleet: Fleet) -> Answer:
        for number, entry in enumerate(
            (None, 5, {}, {'service': POOL, 'address': 'x', 'state': 'odd'}),
        ):
            fleet.store.put('servers', 'bad-{0}'.format(number), entry)
        await wait_until(
            lambda: len(fleet.logs[0].events('upstream record invalid')) == 4,
        )
        return await fleet.callers[0].call('caption', usage=USAGE)

    assert run_scenario(tmp_path, scenario).status == 200


def test_invalid_configuration_keeps_the_previous_one(tmp_path: Path) -> None:
    """Keep the configuration in force if the new one is invalid."""

    async def scenario(fleet: Fleet) -> Answer:
        fleet.store.put('config', 'main', {'version': 'odd'})
        await wait_until(lambda: fleet.logs[0].events('configuration invalid'))
        return await fleet.callers[0].call('status')

    assert run_scenario(tmp_path, scenario).status == 200


def test_older_configuration_is_ignored(tmp_path: Path) -> None:
    """Ignore a configuration with a lower version."""

    async def scenario(fleet: Fleet) -> int:
        fleet.store.put('config', 'main', make_configuration(6))
        fleet.store.put('servers', 'd-1', fleet.upstreams['d-1'].record)
        fleet.upstreams['d-1'].state = 'draining'
        fleet.register(fleet.upstreams['d-1'])
        await wait_until(lambda: fleet.logs[0].events('upstream updated'))
        return fleet.entries[0].version

    assert run_scenario(tmp_path, scenario) == 7


def test_expired_watch_history_is_listed_again(tmp_path: Path) -> None:
    """List a kind again when its watch history has expired."""

    async def scenario(fleet: Fleet) -> None:
        fleet.store.put('other', 'x', 1)
        fleet.store.forget_history()
        fleet.store.put('config', 'main', make_configuration(9))
        await wait_until(lambda: fleet.entries[0].version == 9)

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    'mode',
    [
        StoreMode.BUSY,
        StoreMode.TOO_MANY_REQUESTS,
        StoreMode.RESETS,
        StoreMode.SILENT,
    ],
)
def test_requests_are_served_during_a_store_outage(
    mode: StoreMode,
    tmp_path: Path,
) -> None:
    """Serve requests during an outage and apply changes after it."""

    async def scenario(fleet: Fleet) -> None:
        fleet.store.switch_mode(mode)
        await wait_until(lambda: fleet.logs[0].events('store connection lost'))
        answer = await fleet.callers[0].call('caption', usage=USAGE)
        assert answer.status == 200
        fleet.store.switch_mode(StoreMode.WORKS)
        fleet.store.put('config', 'main', make_configuration(9))
        await wait_until(lambda: fleet.entries[0].version == 9)
        await wait_until(
            lambda: fleet.logs[0].events('store connection restored')
        )

    run_scenario(tmp_path, scenario)


def test_entry_without_store_gets_state_from_a_peer(tmp_path: Path) -> None:
    """Get the state from a peer while the store is unavailable."""

    async def scenario(fleet: Fleet) -> Answer:
        seeds = fleet.entries[0].peer_address
        fleet.store.switch_mode(StoreMode.BUSY)
        caller = await fleet.add_entry(seeds=seeds)
        await wait_until(lambda: fleet.entries[1].is_ready)
        return await caller.call('caption', usage=USAGE)

    assert run_scenario(tmp_path, scenario).status == 200


def test_new_version_reaches_an_entry_through_its_peer(
    tmp_path: Path,
) -> None:
    """Get a new version from a peer that sees a newer store."""

    async def scenario(fleet: Fleet) -> None:
        newer = PlatformStore()
        await newer.start()
        newer.put('config', 'main', make_configuration(9))
        seeds = fleet.entries[0].peer_address
        await fleet.add_entry(store=newer, seeds=seeds)
        await wait_until(lambda: fleet.entries[0].version == 9)
        await newer.stop()

    run_scenario(tmp_path, scenario)


def test_entries_share_their_placements(tmp_path: Path) -> None:
    """Share placements, and their ends, between entries."""

    async def scenario(fleet: Fleet) -> None:
        _set_fault(fleet, Fault.HANGS, 'e-1', 'e-2')
        first, second = fleet.callers
        tasks = [
            asyncio.create_task(first.call('caption', usage='40000,460')),
        ]
        await wait_until(lambda: fleet.entries[1].count_placed())
        tasks.append(
            asyncio.create_task(second.call('caption', usage='40000,460')),
        )
        await wait_until(
            lambda: all(_is_working(fleet, name) for name in ENGINES)
        )
        for task in tasks:
            task.cancel()
        await wait_until(lambda: not fleet.entries[0].count_placed())

    run_scenario(tmp_path, scenario, entries=2)


ENGINES = ('e-1', 'e-2')


def _is_working(fleet: Fleet, name: str) -> bool:
    return bool(fleet.upstreams[name].running_ids)


def test_prompt_larger_than_an_engine_releases_its_memory(
    tmp_path: Path,
) -> None:
    """Release the memory reserved for a prompt larger than an engine."""

    async def scenario(fleet: Fleet) -> Answer:
        answer = await fleet.callers[0].call('caption', usage='700000,460')
        await wait_until(
            lambda: (
                not any(fleet.upstreams[name].reservations for name in ENGINES)
            ),
        )
        assert fleet.logs[0].events('memory reserved')
        return answer

    answer = run_scenario(tmp_path, scenario)
    assert answer.body == stream_bytes(460)


@pytest.mark.parametrize('route', ['status', 'order'])
def test_rejection_without_end_does_not_delay_the_retry(
    route: str, tmp_path: Path
) -> None:
    """Send a request that has not run elsewhere, whatever follows the head."""

    async def scenario(fleet: Fleet) -> tuple[set[int], float]:
        _set_fault(fleet, Fault.REJECTS_ENDLESSLY, 'd-1')
        started_s = asyncio.get_running_loop().time()
        statuses = set()
        while not fleet.upstreams['d-1'].received_requests:
            statuses.add((await fleet.callers[0].call(route)).status)
        return statuses, asyncio.get_running_loop().time() - started_s

    statuses, took_s = run_scenario(tmp_path, scenario)
    assert statuses == {200}
    assert took_s < 1


def test_request_that_crashes_engines_is_refused(tmp_path: Path) -> None:
    """Refuse a request that has crashed engines; serve others."""

    async def scenario(fleet: Fleet) -> None:
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
                    upstream.start_number += 1
                    fleet.register(upstream)
        # The platform allows an entry this time to learn of the restarts.
        async with asyncio.timeout(3):
            await wait_until(
                lambda: (
                    len(fleet.logs[0].events('request suspected of crash')) > 1
                ),
            )
        seen = sum(
            len(fleet.upstreams[name].received_requests) for name in ENGINES
        )
        answer = await caller.call('caption', usage=USAGE, body=b'deadly')
        assert answer.status == 503
        assert answer.retry_after_s
        after = sum(
            len(fleet.upstreams[name].received_requests) for name in ENGINES
        )
        assert after == seen
        _set_fault(fleet, Fault.NONE, *ENGINES)
        answer = await caller.call('caption', usage=USAGE, body=b'harmless')
        assert answer.status == 200

    run_scenario(tmp_path, scenario)


def test_leaving_entry_finishes_running_requests(tmp_path: Path) -> None:
    """Finish a running request before a leaving entry stops."""

    async def scenario(fleet: Fleet) -> Answer:
        task = asyncio.create_task(
            fleet.callers[0].call('caption', usage='5000,4600'),
        )
        await wait_until(lambda: fleet.entries[0].count_placed())
        fleet.entries[0].leave()
        assert not fleet.entries[0].is_ready
        answer = await task
        await fleet.entries[0].done.wait()
        return answer

    answer = run_scenario(tmp_path, scenario)
    assert answer.is_complete
    assert answer.body == stream_bytes(4600)


def test_each_entry_connects_to_every_other(tmp_path: Path) -> None:
    """Connect each entry to every other one."""

    async def scenario(fleet: Fleet) -> None:
        await wait_until(
            lambda: all(
                len(log.events('peer entry connected')) == 2
                for log in fleet.logs
            ),
        )

    run_scenario(tmp_path, scenario, entries=3)


def test_entries_that_start_together_connect(tmp_path: Path) -> None:
    """Connect entries that register at the same time."""

    async def scenario(fleet: Fleet) -> None:
        # The delay lets all entries read the list before any writes to it.
        fleet.store.delay_s = 0.05
        await asyncio.gather(*(fleet.add_entry() for _ in range(3)))
        await wait_until(
            lambda: all(
                len(log.events('peer entry connected')) == 3
                for log in fleet.logs
            ),
        )

    run_scenario(tmp_path, scenario)


def test_outage_ends_when_the_store_answers_again(tmp_path: Path) -> None:
    """End an outage as soon as the store answers again.

    The grace period for expired records must not start late because a watch
    is still waiting: an upstream deleted later would stay in use too long.
    """

    async def scenario(fleet: Fleet) -> None:
        fleet.store.switch_mode(StoreMode.SILENT)
        await wait_until(lambda: fleet.logs[0].events('store connection lost'))
        fleet.store.switch_mode(StoreMode.WORKS)
        await wait_until(
            lambda: fleet.logs[0].events('store connection restored')
        )
        fleet.clock.advance(RELIST_GRACE_S)
        fleet.store.delete('servers', 'e-1')
        async with asyncio.timeout(1):
            await wait_until(lambda: fleet.logs[0].events('upstream removed'))

    run_scenario(tmp_path, scenario)


def test_leaving_entry_accepts_what_can_finish_in_time(tmp_path: Path) -> None:
    """Accept the requests that can finish while the entry is leaving.

    80 events take an engine about four of the remaining seven seconds.
    """

    async def scenario(fleet: Fleet) -> list[int]:
        fleet.entries[0].leave()
        await wait_until(lambda: fleet.logs[0].events('shutdown started'))
        answers = [
            await fleet.callers[0].call('caption', usage=usage)
            for usage in ('5000,3680', '5000,46000')
        ]
        assert answers[1].retry_after_s
        return [answer.status for answer in answers]

    assert run_scenario(tmp_path, scenario) == [200, 503]


def _has_logged_starts(log: MemoryLog, starts: int) -> bool:
    return len(log.events('upstream updated')) >= starts - 1


def test_good_answer_clears_requests_of_same_fingerprint(
    tmp_path: Path,
) -> None:
    """Clear suspected requests of one fingerprint after a good answer.

    Calls of a path without a body share a fingerprint. Two crashes caused by
    other requests must not block the path.
    """

    async def scenario(fleet: Fleet) -> list[int]:
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
                upstream.start_number += 1
                fleet.register(upstream)
            await wait_until(
                partial(
                    _has_logged_starts,
                    fleet.logs[0],
                    fleet.upstreams[name].start_number,
                ),
            )
        return statuses

    assert set(run_scenario(tmp_path, scenario)) == {200}


def test_crash_of_several_equal_calls_counts_once(tmp_path: Path) -> None:
    """Count a crash once for all calls of one fingerprint.

    Counting it per call would block their path.
    """

    async def scenario(fleet: Fleet) -> int:
        caller = fleet.callers[0]
        upstream = fleet.upstreams['d-1']
        _set_fault(fleet, Fault.HANGS, 'd-1', 'd-2')
        async with asyncio.TaskGroup() as group:
            calls = [group.create_task(caller.call('status')) for _ in range(8)]
            await wait_until(lambda: len(upstream.received_requests) > 2)
            await upstream.stop()
            await upstream.start(int(upstream.address.rpartition(':')[2]))
            upstream.start_number += 1
            fleet.register(upstream)
            await wait_until(
                lambda: (
                    len(fleet.logs[0].events('request suspected of crash')) > 2
                ),
            )
            _set_fault(fleet, Fault.NONE, 'd-1', 'd-2')
            answer = await caller.call('status')
            for call in calls:
                call.cancel()
        return answer.status

    assert run_scenario(tmp_path, scenario) == 200


def test_unreachable_upstream_does_not_count_as_crashed(tmp_path: Path) -> None:
    """Suspect no request if an upstream becomes unreachable.

    Its connections break and new ones get no answer. That is no evidence
    against the calls that ran there.
    """

    async def scenario(fleet: Fleet) -> None:
        upstream = fleet.upstreams['d-1']
        log = fleet.logs[0]
        _set_fault(fleet, Fault.HANGS, 'd-1')
        fleet.store.delete('servers', 'd-2')
        await wait_until(lambda: log.events('upstream removed'))
        with silent_listener() as address:
            call = asyncio.create_task(fleet.callers[0].call('status'))
            await wait_until(lambda: upstream.received_requests)
            upstream.address = address
            fleet.register(upstream)
            await wait_until(lambda: log.events('upstream updated'))
            await upstream.stop()
            # The first attempt breaks off; the next one gets no answer.
            await wait_until(lambda: len(log.events('attempt failed')) > 1)
            call.cancel()
        assert not fleet.logs[0].events('request suspected of crash')

    run_scenario(tmp_path, scenario)


def test_request_waits_for_an_entry_that_starts(tmp_path: Path) -> None:
    """A request that arrives before the configuration waits for it.

    Its caller may have been cut off by the event that restarted the entry, and
    have no attempt left.
    """

    async def scenario(fleet: Fleet) -> Answer:
        fleet.store.switch_mode(StoreMode.BUSY)
        caller = await fleet.add_entry()
        call = asyncio.create_task(caller.call('caption', usage=USAGE))
        await wait_until(lambda: fleet.logs[1].events('store connection lost'))
        assert not call.done()
        fleet.store.switch_mode(StoreMode.WORKS)
        return await call

    assert run_scenario(tmp_path, scenario).status == 200


def test_request_waits_only_a_part_of_its_time(tmp_path: Path) -> None:
    """A refusal after a wait in vain leaves time for another attempt."""

    async def scenario(fleet: Fleet) -> Answer:
        fleet.store.switch_mode(StoreMode.BUSY)
        caller = await fleet.add_entry()
        fleet.clock.advance(2)
        async with asyncio.timeout(0.9):
            return await caller.call('status', limit_ms=900)

    answer = run_scenario(tmp_path, scenario)
    assert answer.status == 503
    assert answer.retry_after_s and 2 <= answer.retry_after_s <= 3


def test_entry_started_in_an_outage_is_ready_soon_after(tmp_path: Path) -> None:
    """Become ready soon after an outage during which the entry started.

    Calls made while the store is silent are never answered. Checks, sent at
    least every half second, detect that it answers again.
    """

    async def scenario(fleet: Fleet) -> None:
        fleet.store.switch_mode(StoreMode.SILENT)
        await fleet.add_entry()
        await wait_until(lambda: fleet.store.request_count)
        fleet.store.switch_mode(StoreMode.WORKS)
        async with asyncio.timeout(1):
            await wait_until(lambda: fleet.entries[0].is_ready)
            await wait_until(lambda: fleet.store.list_names('entries'))

    run_scenario(tmp_path, scenario, entries=0)


def test_silent_watch_after_a_store_failure_ends_soon(
    tmp_path: Path,
) -> None:
    """End a watch soon that returns no changes after a store failure.

    A version written meanwhile must be in force within 3 s.
    """

    async def scenario(fleet: Fleet) -> None:
        fleet.store.drops_watch_events = True
        fleet.store.switch_mode(StoreMode.RESETS)
        await wait_until(lambda: fleet.logs[0].events('store connection lost'))
        fleet.store.switch_mode(StoreMode.WORKS)
        before = fleet.store.request_count
        await wait_until(lambda: fleet.store.request_count > before + 2)
        fleet.store.drops_watch_events = False
        fleet.store.put('config', 'main', make_configuration(9))
        async with asyncio.timeout(3):
            await wait_until(lambda: fleet.entries[0].version == 9)

    run_scenario(tmp_path, scenario)


def test_entry_about_to_exit_accepts_only_short_requests(
    tmp_path: Path,
) -> None:
    """Accept only requests whose time limit ends before the exit."""

    async def scenario(fleet: Fleet) -> list[int]:
        fleet.entries[0].leave()
        await wait_until(lambda: fleet.logs[0].events('shutdown started'))
        fleet.clock.advance(3)
        caller = fleet.callers[0]
        stream = await caller.call('caption', usage=USAGE, limit_ms=5000)
        plain = await caller.call('status', limit_ms=600)
        return [stream.status, plain.status]

    assert run_scenario(tmp_path, scenario) == [503, 200]
