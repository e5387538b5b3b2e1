"""The operator's command line, against stand-ins."""

import json
import re
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner, Result
from syrupy.assertion import SnapshotAssertion
from urllib3 import PoolManager

from figspread.agent.status import AgentStatus
from figspread.cli.operator import main
from figspread.cli.screen import ExitCode
from figspread.duties.head import NOTE_KIND, NoteText
from figspread.entry.status import EntryStatus, UpstreamStatus
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
    """Run `figspread` with `args`."""
    return CliRunner().invoke(main, args, env={'USER': 'awa'})


def write_note(path: Path, **fields: object) -> str:
    """Write a small note and return its path."""
    values: dict[str, object] = {
        'id': 'first',
        'against': 0,
        'centre': 'mu-north-a',
        'workspace': 'studio',
        'hash': 'a' * 64,
    }
    path.write_text(NOTE.format_map(values | fields))
    return str(path)


def without(text: str, *parts: str) -> str:
    """Return `text` with what differs between runs left out."""
    for part in parts:
        text = text.replace(part, 'X')
    return re.sub('-{3,}', '---', re.sub(' {3,}', '   ', text))


@pytest.fixture
def standin() -> Iterator[ObjectStandIn]:
    """Give an empty store."""
    started = ObjectStandIn(ListenOptions('127.0.0.1', 0, threads=4))
    started.start()
    yield started
    started.stop()


@pytest.fixture
def note(tmp_path: Path) -> str:
    """Give the file of a note that can be applied to an empty store."""
    return write_note(tmp_path / 'note.toml')


def serve(status: object, hops: Sequence[Hop]) -> HttpServer:
    """Start the operator pages of a process."""
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
    """Give the URL of an entry's operator pages."""
    server = serve(STATUS, HOPS)
    yield 'http://127.0.0.1:{0}'.format(server.port)
    server.stop()


@pytest.fixture
def agent() -> Iterator[str]:
    """Give the URL of an agent's operator pages."""
    server = serve(AGENT_STATUS, AGENT_HOPS)
    yield 'http://127.0.0.1:{0}'.format(server.port)
    server.stop()


def test_a_release_is_checked_applied_and_shown(
    standin: ObjectStandIn,
    note: str,
    snapshot: SnapshotAssertion,
) -> None:
    """The usual way of a note, as text and as JSON."""
    store = ('--object-api', standin.url)
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


def test_a_wrong_note_changes_nothing(
    standin: ObjectStandIn,
    tmp_path: Path,
    snapshot: SnapshotAssertion,
) -> None:
    """All faults are listed, and the command ends with 2."""
    store = ('--object-api', standin.url)
    wrong = write_note(tmp_path / 'note.toml', hash='XYZ', centre='a b')
    for command in ('check', 'apply'):
        for style in ((), ('--json',)):
            answer = run('release', command, wrong, *store, *style)
            assert answer.exit_code == ExitCode.WRONG_INPUT
            assert without(answer.output, str(tmp_path)) == snapshot
    shown = run('release', 'history', *store, '--json')
    assert json.loads(shown.output) == {'history': []}


def test_a_racing_note_gets_what_clashes(
    standin: ObjectStandIn,
    note: str,
    tmp_path: Path,
    snapshot: SnapshotAssertion,
) -> None:
    """The second of two notes against one number is not applied."""
    store = ('--object-api', standin.url)
    assert run('release', 'apply', note, *store).exit_code == ExitCode.DONE
    other = write_note(tmp_path / 'other.toml', id='second', hash='b' * 64)
    for style in ((), ('--json',)):
        answer = run('release', 'apply', other, *store, *style)
        assert answer.exit_code == ExitCode.CLASH
        assert answer.output == snapshot


@pytest.mark.parametrize('against', [0, 1])
def test_an_id_that_was_used_is_refused(
    standin: ObjectStandIn,
    note: str,
    tmp_path: Path,
    against: int,
) -> None:
    """Another text under a known id is not taken for the known note."""
    store = ('--object-api', standin.url)
    assert run('release', 'apply', note, *store).exit_code == ExitCode.DONE
    other = write_note(
        tmp_path / 'other.toml',
        against=against,
        centre='mu-north-b',
        workspace='desk',
        hash='b' * 64,
    )
    answer = run('release', 'apply', other, *store)
    assert answer.exit_code == ExitCode.WRONG_INPUT
    assert 'note.id: is that of another note' in answer.output


def test_a_text_that_was_kept_but_not_applied_is_never_shown(
    standin: ObjectStandIn,
    note: str,
    tmp_path: Path,
) -> None:
    """The history has the text of the note that was applied, to the byte."""
    store = ('--object-api', standin.url)
    client = HttpObjectStore(standin.url, timeout_s=2, pool=PoolManager())
    kept = NoteText(NoteId('first'), Path(note).read_text())
    client.create(NOTE_KIND, 'first', msgspec.json.encode(kept))
    other = write_note(tmp_path / 'other.toml', hash='b' * 64)
    assert run('release', 'apply', other, *store).exit_code == ExitCode.DONE
    shown = run('release', 'show', '--number', '1', *store)
    assert shown.output.strip() == Path(other).read_text().strip()
    refused = run('release', 'apply', note, *store)
    assert refused.exit_code == ExitCode.WRONG_INPUT
    assert 'note.id: is that of another note' in refused.output


@pytest.mark.parametrize(
    ('faults', 'code'),
    [
        (ObjectFaults(down=True), ExitCode.FAILED),
        (ObjectFaults(refuse_rate=1), ExitCode.FAILED),
        (ObjectFaults(lose_write_answers=True), ExitCode.DONE),
    ],
)
def test_faults_of_the_store(
    standin: ObjectStandIn,
    note: str,
    faults: ObjectFaults,
    code: ExitCode,
) -> None:
    """The command says how it stands, and can be given again."""
    store = ('--object-api', standin.url)
    standin.faults.faults = faults
    answer = run('release', 'apply', note, *store)
    assert answer.exit_code == code
    assert 'Traceback' not in answer.output
    standin.faults.faults = ObjectFaults()
    again = run('release', 'apply', note, *store, '--json')
    assert json.loads(again.output) == {'note': 'first', 'number': 1}


@pytest.mark.parametrize('style', [(), ('--json',)])
def test_what_entries_and_agents_say(
    entry: str,
    agent: str,
    style: tuple[str, ...],
    snapshot: SnapshotAssertion,
) -> None:
    """Status and trail of both, and drain of an entry."""
    for command in (
        ('status', '--entry', entry, '--agent', agent),
        ('explain', 'req-1', '--entry', entry, '--agent', agent),
        ('drain', entry),
    ):
        answer = run(*command, *style)
        assert answer.exit_code == ExitCode.DONE, answer.output
        assert '\x1b' not in answer.output
        assert without(answer.output, entry, agent) == snapshot


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
def test_silence_is_a_failure(command: tuple[str, ...]) -> None:
    """What does not answer is named, and the command ends with 1."""
    answer = run(*command)
    assert answer.exit_code == ExitCode.FAILED
    assert answer.output
    assert 'Traceback' not in answer.output


def test_an_unknown_request_is_a_failure(entry: str) -> None:
    """No entry knows it."""
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
def test_wrong_arguments_end_with_two(command: tuple[str, ...]) -> None:
    """What was wrong is said, and nothing is done."""
    answer = run(*command)
    assert answer.exit_code == ExitCode.WRONG_INPUT
    assert 'Traceback' not in answer.output


@pytest.mark.parametrize('kind', ['entry', 'agent'])
def test_settings_are_checked(tmp_path: Path, kind: str) -> None:
    """The printed example passes, and a changed one is told what is wrong."""
    path = tmp_path / 'settings.toml'
    example = run('settings', 'example', '--kind', kind).output
    path.write_text(example)
    check = ('settings', 'check', str(path), '--kind', kind)
    assert run(*check).exit_code == ExitCode.DONE
    path.write_text(example.replace('join_ms = 5', 'join_ms = 50'))
    answer = run(*check, '--json')
    assert answer.exit_code == ExitCode.WRONG_INPUT
    faults = json.loads(answer.output)['faults']
    assert [(fault['key'], fault['allowed']) for fault in faults] == [
        ('join_ms', 'less than 30'),
    ]


def test_workspace_keys_are_new_each_time() -> None:
    """A key's hash can stand in a note."""
    keys = [json.loads(run('workspace-key', '--json').output) for _ in '12']
    assert keys[0]['key'] != keys[1]['key']
    assert len(keys[0]['key_hash']) == 64
