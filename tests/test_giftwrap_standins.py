"""Tests of the stand-ins for callers and upstreams."""

from pathlib import Path

import pytest
from bench.giftwrap.caller import Caller, KeepingCaller
from bench.giftwrap.upstream import Fault, Work

from tests.giftwrap_fleet import Fleet, run_scenario


def test_kept_connection_is_used_until_an_answer_asks_to_close_it(
    tmp_path: Path,
) -> None:
    """Callers that open a connection each time don't see how an entry drains."""

    async def scenario(fleet: Fleet) -> tuple[list[int], list[int]]:
        caller = KeepingCaller(fleet.callers[0].address)
        await caller.call('status')
        conn = caller._idle[0]
        statuses = [(await caller.call('status')).status]
        exchanges = [conn.exchanges]
        fleet.entries[0].leave()
        statuses.append((await caller.call('status')).status)
        exchanges.append(conn.exchanges)
        await caller.call('status')
        exchanges.append(conn.exchanges)
        caller.close()
        return statuses, exchanges

    assert run_scenario(tmp_path, scenario) == ([200, 200], [2, 3, 3])


@pytest.mark.parametrize('caller_type', [Caller, KeepingCaller])
def test_body_in_chunks_arrives_whole(
    tmp_path: Path, caller_type: type[Caller]
) -> None:
    """The soak's callers send sound requests, or entries refuse them as invalid."""

    async def scenario(fleet: Fleet) -> tuple[int, list[bytes]]:
        caller = caller_type(fleet.callers[0].address)
        answer = await caller.call('order', body=b'a, b', is_chunked=True)
        bodies = [
            request.body
            for upstream in fleet.upstreams.values()
            for request in upstream.received_requests
        ]
        return answer.status, bodies

    assert run_scenario(tmp_path, scenario) == (200, [b'a, b'])


@pytest.mark.parametrize(
    ('fault', 'has_broken_off'),
    [
        (Fault.NONE, False),
        (Fault.ERROR, False),
        (Fault.RESETS, True),
        (Fault.TRUNCATED, True),
        (Fault.CRASHES, True),
    ],
)
def test_upstream_records_when_it_worked_and_whether_it_broke_off(
    tmp_path: Path, fault: Fault, *, has_broken_off: bool
) -> None:
    """The check of stops depends on these records."""

    async def scenario(fleet: Fleet) -> list[Work]:
        for upstream in fleet.upstreams.values():
            upstream.fault = fault
        await fleet.callers[0].call('order', request_id='r')
        return [
            work
            for upstream in fleet.upstreams.values()
            for work in upstream.works
        ]

    works = run_scenario(tmp_path, scenario)
    assert [work.request for work in works] == ['r']
    work = works[0]
    assert work.started_s <= work.ended_s
    assert work.has_broken_off is has_broken_off
