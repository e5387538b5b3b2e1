"""Requests at upstreams that a release note withdraws or moves."""

import hashlib
from collections.abc import Iterator, Mapping
from pathlib import Path

import pytest
from bench.processes import KEY, Process, System

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

NOTE = """
[note]
id = "second"
against = 1
"""
WITHDRAWAL = """
[withdrawn]
engines = ["engine-a"]
service_upstreams = ["desk-a"]
"""
# Nobody listens at the new addresses.
MOVE = """
[[changed.engines]]
id = "engine-a"
agent = "127.0.0.1:1"
[[changed.service_upstreams]]
id = "desk-a"
agent = "127.0.0.1:2"
"""


def change_upstreams(system: System, folder: Path, change: str) -> None:
    """Apply a release note with `change`."""
    path = folder / 'second.toml'
    path.write_text(NOTE + change)
    system.run_operator('release', 'apply', str(path))


def has_open_links(system: System, entry: Process) -> bool:
    """Tell whether the entry would send requests to an agent."""
    return any(
        row['state'] == 'open' for row in system.read_status(entry)['upstreams']
    )


@pytest.fixture(
    scope='module', params=[WITHDRAWAL, MOVE], ids=['withdrawn', 'moved']
)
def answers(
    request: pytest.FixtureRequest,
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Mapping[str, Answer]]:
    """Change upstreams while requests run and wait there."""
    folder = tmp_path_factory.mktemp('withdrawn')
    with System(folder) as system:
        system.add_engine('engine-a', kv_tokens=1000)
        desk = system.add_service('desk-a', progress_timeout_s=2 * TIME_LIMIT_S)
        system.add_to_release_note('concurrency = 1\n')
        system.apply_release_note(hashlib.sha256(KEY.encode()).hexdigest())
        entry = system.start_entry('entry-a')
        system.wait_ready(entry, upstreams=2)
        set_fault(system, desk.upstream, slow_s=1.5)
        callers = {
            'running once': Caller(entry, 'POST', JOBS, 'a'),
            'waiting once': Caller(entry, 'POST', JOBS, 'b'),
            'waiting repeatable': Caller(entry, 'GET', STATUS),
            'streaming': Caller(
                entry, 'POST', COMPLETIONS, make_completion(is_streamed=True)
            ),
        }
        for count, caller in enumerate(callers.values(), start=1):
            caller.start()
            wait_for_callers(system, entry, count)
        change_upstreams(system, folder, request.param)
        system.wait_until(lambda: not has_open_links(system, entry))
        assert callers['streaming'].is_alive()
        late = Caller(entry, 'POST', JOBS, 'c')
        late.start()
        yield {
            'late': late.wait(),
            **{name: caller.wait() for name, caller in callers.items()},
        }


@pytest.mark.parametrize(
    'name', ['running once', 'waiting once', 'waiting repeatable', 'streaming']
)
def test_requests_at_a_withdrawn_upstream_are_answered(
    answers: Mapping[str, Answer], name: str
) -> None:
    """Guard against configurations that cut what runs or waits."""
    assert answers[name].status == 200
    assert b'"error"' not in answers[name].body


def test_withdrawn_upstream_gets_no_new_requests(
    answers: Mapping[str, Answer],
) -> None:
    """Guard against upstreams that stay in use after their withdrawal."""
    assert answers['late'].outcome == (503, 'not_run', 'no_upstream')
