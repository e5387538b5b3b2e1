"""Attempts that are under way when an agent leaves."""

import asyncio

import pytest
from bench.agent_fakes import (
    FakeEngine,
    FakeEntry,
    FakeService,
    RunningAgent,
    make_options,
    run_async,
    running_agent,
    wait_for_call,
)

from figspread.agent.leave import MAX_NOTICE_S, QUIET_S, find_exit_time
from figspread.inner.messages import UpstreamKind
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

MS_PER_S = 1000
# One attempt of this size fills the upstream's queue limit.
TOKENS = 900


async def drain_and_stop(agent: RunningAgent) -> None:
    """End the agent as its process does on SIGTERM."""
    await agent.app.drain()
    await agent.app.stop()


async def submit_call(
    entry: FakeEntry, name: str, *, repeatable: bool, time_left_s: float = 20
) -> None:
    """Submit a call of a plain service."""
    await entry.submit(
        name,
        kind=UpstreamKind.SERVICE,
        path='/jobs',
        repeatable=repeatable,
        prompt_tokens=TOKENS,
        time_left_ms=int(time_left_s * MS_PER_S),
    )


@pytest.mark.parametrize('delay_s', [0, 0.05, 0.2])
def test_attempt_sent_before_the_entry_knows_of_the_stop_is_not_run(
    delay_s: float,
) -> None:
    """Guard against requests that are lost as an idle agent leaves."""
    service = FakeService()

    async def check() -> None:
        async with running_agent(service) as agent:
            entry = await agent.connect()
            stopping = asyncio.create_task(drain_and_stop(agent))
            await asyncio.sleep(delay_s)
            await submit_call(entry, 'late', repeatable=False)
            done, _ = await entry.wait_for_finish('late')
            assert done.outcome == NotRun(NotRunReason.LEAVING, 0)
            await stopping

    run_async(check)
    assert not service.calls


@pytest.mark.parametrize(
    ('submitted_s', 'exit_s'),
    [
        (0, 100 + QUIET_S),
        (100, 100 + QUIET_S),
        (100.25, 100.25 + QUIET_S),
        (104, 104 + QUIET_S),
        (104.75, 100 + MAX_NOTICE_S),
        (110, 100 + MAX_NOTICE_S),
    ],
)
def test_agent_leaves_once_entries_have_stopped_sending(
    submitted_s: float, exit_s: float
) -> None:
    """Guard against exits that cut submissions, and against endless ones."""
    assert find_exit_time(100, submitted_s) == exit_s


@pytest.mark.parametrize(
    ('is_waiting', 'repeatable', 'expected'),
    [
        (False, True, Failed(FailedReason.BROKEN_STREAM)),
        (False, False, Unknown(UnknownReason.CONNECTION_LOST)),
        (True, True, NotRun(NotRunReason.LEAVING)),
        (True, False, NotRun(NotRunReason.LEAVING, 0)),
    ],
)
def test_entry_is_told_what_ran_when_the_drain_ends(
    is_waiting: bool, repeatable: bool, expected: Outcome
) -> None:
    """Guard against attempts that end with the agent and without outcome."""
    service = FakeService()

    async def check() -> None:
        options = make_options(drain_limit_s=0.2)
        async with running_agent(service, options=options) as agent:
            entry = await agent.connect()
            if is_waiting:
                await submit_call(entry, 'other', repeatable=True)
                await wait_for_call(service)
            await submit_call(entry, 'a', repeatable=repeatable)
            if not is_waiting:
                await wait_for_call(service)
            await asyncio.sleep(0.05)
            stopping = asyncio.create_task(drain_and_stop(agent))
            done, _ = await entry.wait_for_finish('a')
            assert done.outcome == expected
            await stopping

    run_async(check)
    assert len(service.calls) == 1


@pytest.mark.parametrize(
    ('repeatable', 'time_left_s', 'is_run'),
    [(False, 20, False), (False, 4, True), (True, 20, True)],
)
def test_waiting_attempt_that_the_drain_would_cut_goes_elsewhere(
    repeatable: bool, time_left_s: float, is_run: bool
) -> None:
    """Guard against calls that start at a leaving agent only to be cut.

    Of those only the ones that must not be repeated: others can be.
    """
    service = FakeService()

    async def check() -> None:
        async with running_agent(service) as agent:
            entry = await agent.connect()
            await submit_call(entry, 'running', repeatable=False)
            await wait_for_call(service)
            await submit_call(
                entry, 'a', repeatable=repeatable, time_left_s=time_left_s
            )
            await asyncio.sleep(0.05)
            draining = asyncio.create_task(agent.app.drain())
            if not is_run:
                await _expect(entry, 'a', NotRun(NotRunReason.LEAVING, 0))
            await _complete(service, entry, 'running')
            if is_run:
                await wait_for_call(service)
                await _complete(service, entry, 'a')
            assert await draining

    run_async(check)


async def _expect(entry: FakeEntry, name: str, outcome: Outcome) -> None:
    done, _ = await entry.wait_for_finish(name)
    assert done.outcome == outcome


async def _complete(service: FakeService, entry: FakeEntry, name: str) -> None:
    answer = next(
        answer for attempt, answer in service.answers.items() if attempt == name
    )
    answer.end()
    await _expect(entry, name, Answered())


def test_drain_of_an_engine_runs_what_waits() -> None:
    """Guard against completions that lose their place as an agent leaves."""
    engine = FakeEngine()

    async def check() -> None:
        async with running_agent(engine) as agent:
            entry = await agent.connect()
            await entry.submit('first', prompt_tokens=TOKENS)
            await wait_for_call(engine)
            await entry.submit('second', prompt_tokens=TOKENS)
            await asyncio.sleep(0.05)
            draining = asyncio.create_task(agent.app.drain())
            engine.complete_answer('first')
            await wait_for_call(engine)
            engine.complete_answer('second')
            await _expect(entry, 'second', Answered())
            assert await draining

    run_async(check)
