"""Tests of an agent with a plain service, whose calls must not repeat."""

from collections.abc import Awaitable, Callable

import pytest
from bench.agent_fakes import (
    FakeEntry,
    FakeService,
    RunningAgent,
    run_async,
    running_agent,
    wait_for_call,
    wait_until,
)

from figspread.config.document import dump_fleet
from figspread.config.fleet import Fleet, ServiceUpstream
from figspread.ids import AttemptId, DataCentreId, ServiceName, UpstreamId
from figspread.inner.messages import (
    INITIAL_CREDIT_BYTES,
    Accepted,
    Cancel,
    ConfigCopy,
    Head,
    Heartbeat,
    Settled,
    UpstreamKind,
)
from figspread.outcome import (
    Answered,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from figspread.upstream.types import UpstreamFault, UpstreamFaultKind

ATTEMPT = AttemptId('order')
LOST = UnknownReason.CONNECTION_LOST


async def submit_call(
    entry: FakeEntry, name: str = 'order', **fields: object
) -> None:
    """Submit a call, by default one that must not be repeated."""
    repeatable = fields.pop('repeatable', False)
    await entry.submit(
        name,
        kind=UpstreamKind.SERVICE,
        path='/jobs',
        repeatable=repeatable,
        **fields,
    )


def test_head_and_body_are_relayed() -> None:
    """The status and headers are sent first, then the body's bytes."""
    service = FakeService()

    async def check() -> None:
        async with running_agent(service) as agent:
            entry = await agent.connect()
            await submit_call(
                entry, method='PUT', headers={'X-Job': '1'}, body=b'j'
            )
            assert await entry.next() == Accepted(ATTEMPT)
            await wait_for_call(service)
            service.answers[ATTEMPT].put(b'no', b' event')
            service.answers[ATTEMPT].end()
            headers = {'Content-Type': 'text/plain'}
            assert await entry.next() == Head(ATTEMPT, 200, headers)
            done, chunks = await entry.wait_for_finish('order')
            assert b''.join(chunk.data for chunk in chunks) == b'no event'
            assert (done.outcome, done.tokens) == (Answered(), 0)
            assert (service.calls[0].method, service.calls[0].body) == (
                'PUT',
                b'j',
            )

    run_async(check)


FAULTS = [
    (UpstreamFaultKind.NOT_SENT, False, NotRun(NotRunReason.NO_UPSTREAM)),
    (UpstreamFaultKind.BROKEN, False, Unknown(LOST)),
    (UpstreamFaultKind.TIMED_OUT, False, Unknown(LOST)),
    (UpstreamFaultKind.ERROR, False, Unknown(LOST)),
    (UpstreamFaultKind.BROKEN, True, Failed(FailedReason.BROKEN_STREAM)),
]


@pytest.mark.parametrize(('kind', 'repeatable', 'outcome'), FAULTS)
def test_faulty_call_that_may_have_run_is_unknown(
    kind: UpstreamFaultKind,
    repeatable: bool,
    outcome: Outcome,
) -> None:
    """A fault after the call may have run gives `Unknown`.

    A repeatable call has failed instead.
    """
    service = FakeService()
    service.fault = UpstreamFault(kind)

    async def check() -> None:
        async with running_agent(service) as agent:
            entry = await agent.connect()
            await submit_call(entry, repeatable=repeatable)
            done, _ = await entry.wait_for_finish('order')
            assert done.outcome == outcome

    run_async(check)


def test_running_call_is_unknown_at_deadline() -> None:
    """A call that runs at its deadline is `Unknown`: it may have run."""
    service = FakeService()

    async def check() -> None:
        async with running_agent(service) as agent:
            entry = await agent.connect()
            await submit_call(entry, time_left_ms=300)
            await wait_for_call(service)
            done, _ = await entry.wait_for_finish('order')
            assert done.outcome == Unknown(UnknownReason.DEADLINE)

    run_async(check)


async def lose(entry: FakeEntry) -> None:
    """Abort the connection."""
    entry.conn.abort()


async def cancel(entry: FakeEntry) -> None:
    """Cancel the call."""
    await entry.conn.send(Cancel(ATTEMPT))


@pytest.mark.parametrize('give_up', [lose, cancel])
def test_abandoned_call_is_read_to_its_end(
    give_up: Callable[[FakeEntry], Awaitable[None]],
) -> None:
    """A begun call is read to its end and its outcome recorded.

    The answer is larger than the credit, which nobody extends any more.
    """
    service = FakeService()
    part = b'x' * 50_000

    async def check() -> None:
        async with running_agent(service) as agent:
            entry = await agent.connect()
            await submit_call(entry)
            await wait_for_call(service)
            await give_up(entry)
            answer = service.answers[ATTEMPT]
            answer.put(*[part for _part in range(20)])
            answer.end()
            assert 20 * len(part) > INITIAL_CREDIT_BYTES
            await wait_until(lambda: not agent.app.status.attempts)
            assert await settle_call(agent) == Settled(ATTEMPT, Answered())

    run_async(check)
    assert len(service.calls) == 1


def test_waiting_call_is_not_run_after_lost_connection() -> None:
    """A call that has not begun when its connection is lost never runs."""
    service = FakeService()

    async def check() -> None:
        async with running_agent(service) as agent:
            entry = await agent.connect()
            await submit_call(entry, body_size=5)
            assert await entry.next() == Accepted(ATTEMPT)
            entry.conn.abort()
            await wait_until(lambda: not agent.app.status.attempts)
            settled = await settle_call(agent)
            assert isinstance(settled.outcome, NotRun)

    run_async(check)
    assert not service.calls


def test_configured_concurrency_limits_running_calls() -> None:
    """The service's concurrency limit is taken from the configuration."""
    service = FakeService()
    name = UpstreamId('engine-1')
    record = ServiceUpstream(
        name,
        ServiceName('order-desk'),
        DataCentreId('mu-1'),
        '',
        '',
        concurrency=1,
    )
    fleet = Fleet(number=1, service_upstreams={name: record})

    async def check() -> None:
        async with running_agent(service) as agent:
            entry = await agent.connect()
            await entry.conn.send(ConfigCopy(1, dump_fleet(fleet)))
            await entry.wait_for_heartbeat(lambda beat: beat.config_number == 1)
            await submit_call(entry, 'first')
            await submit_call(entry, 'second')
            await wait_for_call(service)
            await entry.wait_for_heartbeat(_has_one_queued_and_one_running)
            assert [call.attempt for call in service.calls] == ['first']
            service.answers[AttemptId('first')].end()
            await entry.wait_for_finish('first')
            await wait_for_call(service)
            assert [call.attempt for call in service.calls][1:] == ['second']

    run_async(check)


def _has_one_queued_and_one_running(beat: Heartbeat) -> bool:
    return beat.load is not None and (beat.load.queued, beat.load.running) == (
        1,
        1,
    )


async def settle_call(agent: RunningAgent) -> Settled:
    """Request the outcome of the call over another connection."""
    entry = await agent.connect('entry-2')
    return await entry.settle('order')
