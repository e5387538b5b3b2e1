"""Tests of the operator's command line against stand-ins."""

import json
import re
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner, Result
from syrupy.assertion import SnapshotAssertion

from figspread.agent.status import AgentStatus
from figspread.cli.operator import main
from figspread.cli.output import ExitCode
from figspread.duties.head import NOTE_KIND, NoteText
from figspread.entry.status import EntryStatus, UpstreamStatus
from figspread.http.client import ClientPool
from figspread.http.operator import OperatorCallbacks, make_operator_server
from figspread.http.server import HttpServer, ListenOptions
from figspread.ids import NoteId, UpstreamId
from figspread.inner.messages import Load
from figspread.platform.objects import HttpObjectStore
from figspread.standins.faults import ObjectFaults
from figspread.standins.objects import ObjectStandIn
from figspread.telemetry.trail import Hop

NOTE = """\
[note]
id = "{id}"
against = {against}

[[added.data_centres]]
id = "{centre}"
region = "mu-north"

[[added.workspaces]]
id = "{workspace}"
key_hashes = ["{hash}"]
"""
STATUS = EntryStatus(
    process='entry-1',
    data_centre='mu-north-a',
    state='ready',
    config_number=7,
    is_watcher=True,
    callers=3,
    upstreams=[
        UpstreamStatus(
            UpstreamId('engine-1'),
            'open',
            7,
            Load(queued=2, running=5, prefill_tokens=9000),
        ),
        UpstreamStatus(UpstreamId('desk-1'), 'closed', 6, Load()),
    ],
)
AGENT_STATUS = AgentStatus(
    process='vm-engine-1',
    upstream='engine-1',
    data_centre='mu-north-a',
    state='ready',
    is_down=False,
    config_number=7,
    connections=2,
    attempts=4,
    load=Load(queued=1, running=3),
)
AGENT_HOPS = (Hop(1500, 'vm-engine-1', 'sent to upstream'),)
HOPS = (
    Hop(2000, 'entry-1', 'answered'),
    Hop(1000, 'entry-1', 'admitted', 'esc \x1b[2J'),
)


def run(*args: str) -> Result:
    """Run the command `figspread` with `args`."""
    return CliRunner().invoke(main, args, env={'USER': 'awa'})


def write_note(path: Path, **fields: object) -> str:
    """Write a small release note with `fields` and return its path."""
    values: dict[str, object] = {
        'id': 'first',
        'against': 0,
        'centre': 'mu-north-a',
        'workspace': 'studio',
        'hash': 'a' * 64,
    }
    path.write_text(NOTE.format_map(values | fields))
    return str(path)


def normalize(text: str, *parts: str) -> str:
    """Return `text` with `parts`, long rules and wide gaps normalized.

    These differ between runs, for example by the length of a port.
    """
    for part in parts:
        text = text.replace(part, 'X')
    return re.sub('-{3,}', '---', re.sub(' {3,}', '   ', text))


@pytest.fixture
def object_api() -> Iterator[ObjectStandIn]:
    """Yield a running Object API stand-in that is empty."""
    started = ObjectStandIn(ListenOptions('127.0.0.1', 0, threads=4))
    started.start()
    yield started
    started.stop()


@pytest.fixture
def note(tmp_path: Path) -> str:
    """Return the path of a note that can be applied to an empty store."""
    return write_note(tmp_path / 'note.toml')


def serve(status: object, hops: Sequence[Hop]) -> HttpServer:
    """Start a server with the operator pages of a process."""
    callbacks = OperatorCallbacks(
        get_status=lambda: status,
        list_hops=lambda name: hops if name == 'req-1' else (),
        render_metrics=bytes,
        drain=lambda: None,
    )
    server = make_operator_server(callbacks, 0)
    server.start()
    return server


@pytest.fixture
def entry() -> Iterator[str]:
    """Yield the URL of an entry's operator pages."""
    server = serve(STATUS, HOPS)
    yield 'http://127.0.0.1:{0}'.format(server.port)
    server.stop()


@pytest.fixture
def agent() -> Iterator[str]:
    """Yield the URL of an agent's operator pages."""
    server = serve(AGENT_STATUS, AGENT_HOPS)
    yield 'http://127.0.0.1:{0}'.format(server.port)
    server.stop()


def test_release_note_is_checked_applied_and_shown(
    object_api: ObjectStandIn,
    note: str,
    snapshot: SnapshotAssertion,
) -> None:
    """Runs the release commands in their usual order, as text and as JSON."""
    store = ('--object-api', object_api.url)
    commands: Sequence[tuple[str, ...]] = (
        ('check', note),
        ('apply', note),
        ('apply', note),
        ('show',),
        ('show', '--number', '1'),
        ('history',),
    )
    outputs = []
    for command in commands:
        for style in ((), ('--json',)):
            answer = run('release', *command, *store, *style)
            assert answer.exit_code == ExitCode.DONE, answer.output
            outputs.append(answer.output)
    assert '\n'.join(outputs) == snapshot


def test_invalid_note_is_not_applied(
    object_api: ObjectStandIn,
    tmp_path: Path,
    snapshot: SnapshotAssertion,
) -> None:
    """All faults are listed, and the exit code is 2."""
    store = ('--object-api', object_api.url)
    wrong = write_note(tmp_path / 'note.toml', hash='XYZ', centre='a b')
    for command in ('check', 'apply'):
        for style in ((), ('--json',)):
            answer = run('release', command, wrong, *store, *style)
            assert answer.exit_code == ExitCode.INVALID_INPUT
            assert normalize(answer.output, str(tmp_path)) == snapshot
    shown = run('release', 'history', *store, '--json')
    assert json.loads(shown.output) == {'history': []}


def test_conflicting_note_lists_the_notes_applied_since(
    object_api: ObjectStandIn,
    note: str,
    tmp_path: Path,
    snapshot: SnapshotAssertion,
) -> None:
    """The second of two notes against the same number is not applied."""
    store = ('--object-api', object_api.url)
    assert run('release', 'apply', note, *store).exit_code == ExitCode.DONE
    other = write_note(tmp_path / 'other.toml', id='second', hash='b' * 64)
    for style in ((), ('--json',)):
        answer = run('release', 'apply', other, *store, *style)
        assert answer.exit_code == ExitCode.CONFLICT
        assert answer.output == snapshot


@pytest.mark.parametrize('against', [0, 1])
def test_note_with_used_id_is_refused(
    object_api: ObjectStandIn,
    note: str,
    tmp_path: Path,
    against: int,
) -> None:
    """A different text under a used id must not pass for the applied note."""
    store = ('--object-api', object_api.url)
    assert run('release', 'apply', note, *store).exit_code == ExitCode.DONE
    other = write_note(
        tmp_path / 'other.toml',
        against=against,
        centre='mu-north-b',
        workspace='desk',
        hash='b' * 64,
    )
    answer = run('release', 'apply', other, *store)
    assert answer.exit_code == ExitCode.INVALID_INPUT
    assert 'note.id: is that of another note' in answer.output


def test_stored_text_that_was_not_applied_is_never_shown(
    object_api: ObjectStandIn,
    note: str,
    tmp_path: Path,
) -> None:
    """The history shows the applied text, byte for byte.

    A command that stores its text but then fails to update the head leaves a
    text under the note's id. Another text under that id can then be applied.
    """
    store = ('--object-api', object_api.url)
    client = HttpObjectStore(object_api.url, timeout_s=2, pool=ClientPool())
    kept = NoteText(NoteId('first'), Path(note).read_text())
    client.create(NOTE_KIND, 'first', msgspec.json.encode(kept))
    other = write_note(tmp_path / 'other.toml', hash='b' * 64)
    assert run('release', 'apply', other, *store).exit_code == ExitCode.DONE
    shown = run('release', 'show', '--number', '1', *store)
    assert shown.output.strip() == Path(other).read_text().strip()
    refused = run('release', 'apply', note, *store)
    assert refused.exit_code == ExitCode.INVALID_INPUT
    assert 'note.id: is that of another note' in refused.output


@pytest.mark.parametrize(
    ('faults', 'code'),
    [
        (ObjectFaults(down=True), ExitCode.FAILED),
        (ObjectFaults(refuse_rate=1), ExitCode.FAILED),
        (ObjectFaults(lose_write_answers=True), ExitCode.DONE),
    ],
)
def test_apply_can_be_repeated_after_store_faults(
    object_api: ObjectStandIn,
    note: str,
    faults: ObjectFaults,
    code: ExitCode,
) -> None:
    """The exit code reports the result, and repeating the command is safe."""
    store = ('--object-api', object_api.url)
    object_api.faults.faults = faults
    answer = run('release', 'apply', note, *store)
    assert answer.exit_code == code
    assert 'Traceback' not in answer.output
    object_api.faults.faults = ObjectFaults()
    again = run('release', 'apply', note, *store, '--json')
    assert json.loads(again.output) == {'note': 'first', 'number': 1}


@pytest.mark.parametrize('style', [(), ('--json',)])
def test_status_explain_and_drain_output(
    entry: str,
    agent: str,
    style: tuple[str, ...],
    snapshot: SnapshotAssertion,
) -> None:
    """Status and hops of an entry and an agent, and drain of the entry."""
    for command in (
        ('status', '--entry', entry, '--agent', agent),
        ('explain', 'req-1', '--entry', entry, '--agent', agent),
        ('drain', entry),
    ):
        answer = run(*command, *style)
        assert answer.exit_code == ExitCode.DONE, answer.output
        assert '\x1b' not in answer.output
        assert normalize(answer.output, entry, agent) == snapshot


@pytest.mark.parametrize(
    'command',
    [
        ('status', '--entry', 'http://127.0.0.1:9'),
        ('explain', 'req-1', '--entry', 'http://127.0.0.1:9'),
        ('drain', 'http://127.0.0.1:9'),
        ('release', 'show', '--object-api', 'http://127.0.0.1:9'),
        ('release', 'history', '--object-api', 'http://127.0.0.1:9', '--json'),
    ],
)
def test_unreachable_process_or_store_fails_with_exit_code_1(
    command: tuple[str, ...],
) -> None:
    """The command prints an error without a traceback and exits with 1."""
    answer = run(*command)
    assert answer.exit_code == ExitCode.FAILED
    assert answer.output
    assert 'Traceback' not in answer.output


def test_explain_of_unknown_request_fails_with_exit_code_1(entry: str) -> None:
    """No entry has events of the request; the message names its id."""
    answer = run('explain', 'req-2', '--entry', entry)
    assert answer.exit_code == ExitCode.FAILED
    assert 'req-2' in answer.output


@pytest.mark.parametrize(
    'command',
    [
        ('status',),
        ('status', '--entry', 'ftp://x'),
        ('drain', '10.0.0.1:80'),
        ('release', 'check', 'nowhere.toml', '--object-api', 'http://x'),
        ('release', 'show', '--number', '0', '--object-api', 'http://x'),
        ('settings', 'check', 'nowhere.toml', '--kind', 'entry'),
        ('settings', 'example', '--kind', 'engine'),
    ],
)
def test_invalid_arguments_fail_with_exit_code_2(
    command: tuple[str, ...],
) -> None:
    """The command reports the error without a traceback and does nothing."""
    answer = run(*command)
    assert answer.exit_code == ExitCode.INVALID_INPUT
    assert 'Traceback' not in answer.output


@pytest.mark.parametrize('kind', ['entry', 'agent'])
def test_settings_check_accepts_example_and_reports_faults(
    tmp_path: Path, kind: str
) -> None:
    """The printed example passes; a changed one is reported with its faults."""
    path = tmp_path / 'settings.toml'
    example = run('settings', 'example', '--kind', kind).output
    path.write_text(example)
    check = ('settings', 'check', str(path), '--kind', kind)
    assert run(*check).exit_code == ExitCode.DONE
    path.write_text(example.replace('join_ms = 5', 'join_ms = 50'))
    answer = run(*check, '--json')
    assert answer.exit_code == ExitCode.INVALID_INPUT
    faults = json.loads(answer.output)['faults']
    assert [(fault['key'], fault['allowed']) for fault in faults] == [
        ('join_ms', 'less than 30'),
    ]


def test_workspace_keys_are_random() -> None:
    """Two keys differ, and the hash has the 64 digits that notes require."""
    keys = [json.loads(run('workspace-key', '--json').output) for _ in '12']
    assert keys[0]['key'] != keys[1]['key']
    assert len(keys[0]['key_hash']) == 64
