"""Requests that are under way when an entry's drain must end."""

import hashlib
import signal
import time
from collections.abc import Iterator, Mapping
from typing import NamedTuple

import pytest
from bench.processes import KEY, SETTINGS, Process, System

from tests.entry_callers import (
    COMPLETIONS,
    JOBS,
    STATUS,
    TIME_LIMIT_S,
    Answer,
    Caller,
    make_completion,
    set_fault,
    wait_for_callers,
)

DRAIN_LIMIT_S = 0.5
ANSWER_LIMIT_S = 3
SHORT_DRAIN = SETTINGS.replace(
    'drain_limit_s = 30', 'drain_limit_s = {0}'.format(DRAIN_LIMIT_S)
)


class StoppedEntry(NamedTuple):
    """The answers of an entry that was stopped with requests under way."""

    answers: Mapping[str, Answer]
    drain_end_s: float
    exit_code: int
    exit_s: float


def start_callers(system: System, entry: Process) -> dict[str, Caller]:
    """Start requests one by one; the first of each upstream runs."""
    callers = {
        'running once': Caller(entry, 'POST', JOBS, 'a'),
        'waiting once': Caller(entry, 'POST', JOBS, 'b'),
        'waiting repeatable': Caller(entry, 'GET', STATUS),
        'waiting with a key': Caller(
            entry, 'POST', JOBS, 'c', Idempotency_Key='key-1'
        ),
        'streaming': Caller(
            entry, 'POST', COMPLETIONS, make_completion(is_streamed=True)
        ),
        'waiting completion': Caller(
            entry, 'POST', COMPLETIONS, make_completion(is_streamed=False)
        ),
    }
    for count, caller in enumerate(callers.values(), start=1):
        caller.start()
        wait_for_callers(system, entry, count)
    return callers


@pytest.fixture(scope='module')
def stopped(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[StoppedEntry]:
    """Stop an entry with requests that run or wait beyond its drain."""
    with System(tmp_path_factory.mktemp('stop'), SHORT_DRAIN) as system:
        engine = system.add_engine('engine-a', kv_tokens=1000)
        desk = system.add_service('desk-a', progress_timeout_s=2 * TIME_LIMIT_S)
        system.add_to_release_note('concurrency = 1\n')
        system.apply_release_note(hashlib.sha256(KEY.encode()).hexdigest())
        entry = system.start_entry('entry-a')
        system.wait_ready(entry, upstreams=2)
        set_fault(system, desk.upstream, slow_s=2 * TIME_LIMIT_S)
        set_fault(system, engine.upstream, slow_factor=20)
        callers = start_callers(system, entry)
        entry.send(signal.SIGTERM)
        system.wait_until(
            lambda: system.read_status(entry)['state'] == 'draining'
        )
        drain_end_s = time.monotonic() + DRAIN_LIMIT_S
        callers['late once'] = Caller(entry, 'POST', JOBS, 'd')
        callers['late once'].start()
        exit_code = entry.wait()
        exit_s = time.monotonic()
        yield StoppedEntry(
            {name: caller.wait() for name, caller in callers.items()},
            drain_end_s,
            exit_code,
            exit_s,
        )


@pytest.mark.parametrize(
    ('name', 'expected'),
    [
        ('running once', (504, 'unknown', 'deadline')),
        ('waiting once', (503, 'not_run', 'leaving')),
        ('waiting repeatable', (503, 'not_run', 'leaving')),
        ('waiting with a key', (503, 'not_run', 'leaving')),
        ('waiting completion', (503, 'not_run', 'leaving')),
        ('late once', (503, 'not_run', 'leaving')),
    ],
)
def test_requests_get_true_answers_when_the_drain_ends(
    stopped: StoppedEntry,
    name: str,
    expected: tuple[int, str, str],
) -> None:
    """Guard against stops that keep or cut callers, or call them gone."""
    answer = stopped.answers[name]
    assert answer.outcome == expected
    assert answer.ended_s < stopped.drain_end_s + ANSWER_LIMIT_S
    assert answer.headers['Connection'] == 'close'
    assert ('Retry-After' in answer.headers) == (answer.status == 503)


def test_late_request_that_cannot_end_is_refused_at_once(
    stopped: StoppedEntry,
) -> None:
    """Guard against requests taken while leaving that the end would cut."""
    assert stopped.answers['late once'].ended_s < stopped.drain_end_s


def test_stream_is_broken_off_by_an_error_event_when_the_drain_ends(
    stopped: StoppedEntry,
) -> None:
    """Guard against streams that keep an entry from ending."""
    answer = stopped.answers['streaming']
    events = answer.body.strip().split(b'\n\n')
    assert answer.status == 200
    assert b'"error"' in events[-1]
    assert answer.ended_s < stopped.drain_end_s + ANSWER_LIMIT_S


def test_entry_exits_soon_after_its_drain_must_end(
    stopped: StoppedEntry,
) -> None:
    """Guard against a stop that lasts as long as its longest request."""
    assert stopped.exit_code == 0
    assert stopped.exit_s < stopped.drain_end_s + ANSWER_LIMIT_S
