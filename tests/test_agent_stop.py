"""Attempts that are under way when an agent leaves."""

import asyncio

import pytest
from bench.agent_fakes import (
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
        (True, False, NotRun(NotRunReason.LEAVING)),
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
