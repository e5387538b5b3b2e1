"""Tests that background tasks go on after exceptions of any type.

A task that follows the store once ended for good by an exception that nobody
expected. The process stayed up, but heard of no change any more.
"""

import asyncio
import threading
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from unittest.mock import patch

import pytest

from figspread.background import (
    RESTART_FIRST_S,
    RESTART_MAX_S,
    BackgroundTasks,
    TaskFaults,
    run_again,
    run_rounds,
)
from figspread.clock import ManualClock
from figspread.direct.state.admission_queue import AdmissionQueue, Claim
from figspread.telemetry.logs import Level, Log
from figspread.telemetry.metrics import Metrics
from tests.giftwrap_fleet import Fleet, MemoryLog, run_scenario, wait_until

FAILURES: dict[str, BaseException] = {
    'an error': ValueError('broken'),
    'deep recursion': RecursionError('too deep'),
    'no memory': MemoryError(),
    'a cancelled call': asyncio.CancelledError(),
    'a broken invariant': AssertionError(),
}


class _Failing:
    """Raises `exc` in the first `failures` calls, then waits for ever."""

    def __init__(self, exc: BaseException, failures: int) -> None:
        self._exc = exc
        self._failures = failures
        self.calls = 0

    async def run(self) -> None:
        self.calls += 1
        if self.calls <= self._failures:
            raise self._exc
        await asyncio.Event().wait()


def _make_tasks() -> tuple[BackgroundTasks, MemoryLog]:
    log = MemoryLog()
    faults = TaskFaults(Log(Level.DEBUG, {}, logger=log), Metrics('entry'))
    return BackgroundTasks(ManualClock(), faults), log


@pytest.mark.parametrize('case', FAILURES)
def test_task_runs_again_after_any_exception(
    case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Run a task again after each failure, with pauses that grow."""
    pauses: list[float] = []
    real_sleep = asyncio.sleep

    async def record_pause(pause_s: float) -> None:
        pauses.append(pause_s)
        await real_sleep(0)

    async def scenario() -> tuple[int, list[dict[str, Any]]]:
        tasks, log = _make_tasks()
        failing = _Failing(FAILURES[case], failures=7)
        monkeypatch.setattr(asyncio, 'sleep', record_pause)
        task = tasks.keep_running('upstreams', failing.run)
        while failing.calls < 8:
            await real_sleep(0)
        tasks.cancel_all()
        with pytest.raises(asyncio.CancelledError):
            await task
        return failing.calls, log.events('background task failed')

    calls, rows = asyncio.run(scenario())
    assert calls == 8
    assert len(rows) == 7
    assert {row['task'] for row in rows} == {'upstreams'}
    assert pauses[:3] == [RESTART_FIRST_S, RESTART_FIRST_S * 2, 0.4]
    assert pauses[-1] == RESTART_MAX_S


def test_task_that_returns_runs_again_unless_it_may_end() -> None:
    """Run an endless task again when it returns, another one only once."""

    async def scenario() -> tuple[int, int]:
        tasks, log = _make_tasks()
        calls = {'endless': 0, 'once': 0}

        async def run(name: str) -> None:
            calls[name] += 1

        tasks.keep_running('endless', lambda: run('endless'))
        await tasks.run_to_end('once', lambda: run('once'))
        await wait_until(lambda: calls['endless'] > 1)
        tasks.cancel_all()
        why = log.events('background task failed')[0]['why']
        assert 'must not end has ended' in why
        return calls['endless'], calls['once']

    endless, once = asyncio.run(scenario())
    assert endless > 1
    assert once == 1


def _find_part(fleet: Fleet, path: str) -> Any:
    part: Any = fleet.entries[0]
    for name in path.split('.'):
        part = getattr(part, name)
    return part


# What each background task of an entry calls again and again.
TASK_CALLS = {
    'upstreams': ('_follower._registry', 'record_revision'),
    'configuration': ('_follower._faults', 'report_unnamed'),
    'store check': ('_follower.watch._facts', 'check'),
    'housekeeping': ('_parts.queue', 'recheck'),
    'heartbeats': ('_peers.permits', 'update'),
    'registration': ('_registration', '_newest_era'),
    'quarantine records': ('_quarantine_records', '_write_changes'),
}


@pytest.mark.parametrize('case', TASK_CALLS)
def test_each_task_of_an_entry_goes_on_after_a_failure(
    case: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Call again what has raised in a background task, and count it."""
    path, name = TASK_CALLS[case]

    async def scenario(fleet: Fleet) -> int:
        part = _find_part(fleet, path)
        original = getattr(part, name)
        calls: list[int] = []

        def fail_first(*args: Any, **options: Any) -> Any:
            calls.append(1)
            if len(calls) <= 2:
                raise RecursionError
            return original(*args, **options)

        monkeypatch.setattr(part, name, fail_first)
        fleet.store.forget_history()
        fleet.register(fleet.upstreams['d-1'])
        await wait_until(lambda: len(calls) > 3)
        assert (await fleet.callers[0].call('status')).status == 200
        return len(fleet.logs[0].events('background task failed'))

    assert run_scenario(tmp_path, scenario) >= 2


def test_peer_is_dialled_again_after_a_failure(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Restore a connection to a peer whose messages have raised."""

    async def scenario(fleet: Fleet) -> None:
        failures: list[int] = []

        def fail(*args: Any) -> Any:
            failures.append(1)
            raise RecursionError

        links = _find_part(fleet, '_peers._links')
        monkeypatch.setattr(links._listener, 'make_greeting', fail)
        await fleet.add_entry(seeds='')
        await wait_until(lambda: len(failures) > 1)
        monkeypatch.undo()
        await wait_until(lambda: fleet.entries[0].count_entries() == 2)
        await wait_until(lambda: bool(links._outgoing))

    run_scenario(tmp_path, scenario)


def test_failure_in_a_peers_message_is_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Log what ends a peer's connection here, and let the peer come back."""

    async def scenario(fleet: Fleet) -> list[str]:
        placements = _find_part(fleet, '_peers._placements')
        original = placements.owners.record_contact
        calls: list[int] = []

        def fail_first(*args: Any) -> None:
            calls.append(1)
            if len(calls) == 1:
                raise RecursionError
            original(*args)

        monkeypatch.setattr(placements.owners, 'record_contact', fail_first)
        await fleet.add_entry()
        await wait_until(lambda: len(calls) > 3)
        rows = fleet.logs[0].events('background task failed')
        return [row['task'] for row in rows]

    assert run_scenario(tmp_path, scenario) == ['peer messages']


def test_task_runs_again_though_its_failure_is_not_reported() -> None:
    """Run a task again if the report of its failure raises, too."""

    async def scenario() -> int:
        failing = _Failing(ValueError(), failures=1)

        def report(exc: BaseException) -> None:
            raise OSError

        task = asyncio.ensure_future(
            run_again(failing.run, report, ManualClock())
        )
        await wait_until(lambda: failing.calls > 1)
        task.cancel()
        return failing.calls

    assert asyncio.run(scenario()) == 2


def test_rounds_of_a_thread_go_on_after_a_failure() -> None:
    """Run the next round of a thread after one has raised."""
    stopping = threading.Event()
    failures: list[BaseException] = []
    rounds: list[int] = []

    def run_round() -> float:
        rounds.append(1)
        if len(rounds) == 1:
            raise RecursionError
        stopping.set()
        return 0

    with patch.object(stopping, 'wait'):
        run_rounds(run_round, failures.append, stopping)
    assert len(rounds) == 2
    assert isinstance(failures[0], RecursionError)


def test_request_that_can_not_be_placed_holds_up_no_other() -> None:
    """Place what is behind a request whose placement raises."""

    async def scenario() -> str:
        queue = AdmissionQueue(ManualClock())

        def fail() -> str:
            raise OverflowError

        def wait(name: str, place: Callable[[], str]) -> Awaitable[str]:
            claim = Claim(name, 1, 0, 1, 100, 1)
            return queue.wait(claim, place, lambda _: None)

        bad = asyncio.ensure_future(wait('bad', fail))
        good = asyncio.ensure_future(wait('good', lambda: 'e-1'))
        with pytest.raises(OverflowError):
            await bad
        return await good

    assert asyncio.run(scenario()) == 'e-1'
