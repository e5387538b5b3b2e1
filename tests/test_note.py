"""Tests of release notes: the fleets they produce and the faults reported."""

import msgspec
import pytest
import tomlkit
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result
from syrupy.assertion import SnapshotAssertion

from figspread.config.document import dump_fleet, load_fleet
from figspread.config.faults import Fault
from figspread.config.fleet import EMPTY_FLEET, Fleet
from figspread.config.note import parse_note
from figspread.config.revision import apply_note

KEY_HASH = 'a' * 64
BASE_NOTE = """\
[note]
id = "first"
against = 0

[[added.data_centres]]
id = "mu-north-a"
region = "mu-north"

[[added.pools]]
id = "captions"
models = ["pattern-8b"]

[[added.engines]]
id = "engine-1"
pool = "captions"
data_centre = "mu-north-a"
agent = "10.0.1.1:7100"
url = "http://10.0.1.1:8000"
kv_tokens = 400_000
prefill_tokens_per_s = 20_000

[[added.services]]
id = "order-desk"

[[added.services.routes]]
method = "GET"
path = "/jobs/*"
is_repeatable = true

[[added.service_upstreams]]
id = "desk-1"
service = "order-desk"
data_centre = "mu-north-a"
agent = "10.0.2.1:7100"
url = "http://10.0.2.1:8000"

[[added.workspaces]]
id = "studio"
key_hashes = ["KEY_HASH"]
weight = 2
"""
BASE_NOTE = BASE_NOTE.replace('KEY_HASH', KEY_HASH)


def apply_note_text(
    fleet: Fleet, text: str | bytes
) -> Result[Fleet, list[Fault]]:
    """Return the fleet after the note in `text`, or the faults."""
    raw = text if isinstance(text, bytes) else text.encode()
    return parse_note(raw, file='note.toml').and_then(
        lambda note: apply_note(fleet, note),
    )


def list_faults(fleet: Fleet, text: str) -> str:
    """Return the faults of the note in `text`, one per line."""
    return '\n'.join(map(str, apply_note_text(fleet, text).unwrap_err()))


@pytest.fixture
def fleet() -> Fleet:
    """Return a fleet with one record in each section."""
    return apply_note_text(EMPTY_FLEET, BASE_NOTE).unwrap()


def test_note_produces_next_fleet(fleet: Fleet) -> None:
    """The fleet has the next number and all that the note adds."""
    assert (fleet.number, fleet.note) == (1, 'first')
    assert [engine.upstream for engine in fleet.engines.values()] == [
        'engine-1',
    ]
    assert fleet.models() == {'pattern-8b'}
    assert load_fleet(dump_fleet(fleet)) == Ok(fleet)


def test_change_keeps_fields_it_does_not_give(fleet: Fleet) -> None:
    """A change replaces only the fields that the note gives."""
    text = (
        '[note]\nid = "second"\nagainst = 1\n'
        '[[changed.engines]]\nid = "engine-1"\nchecks_fencing = true\n'
    )
    after = apply_note_text(fleet, text).unwrap()
    before = next(iter(fleet.engines.values()))
    assert list(after.engines.values()) == [
        msgspec.structs.replace(before, checks_fencing=True),
    ]


@pytest.mark.parametrize(
    ('section', 'name', 'field', 'value'),
    [
        ('data_centres', 'mu-north-a', 'region', 'mu-south'),
        ('pools', 'captions', 'role', 'long_prompts'),
        ('engines', 'engine-1', 'kv_tokens', 1),
        ('services', 'order-desk', 'routes', []),
        ('service_upstreams', 'desk-1', 'concurrency', 2),
        ('workspaces', 'studio', 'tokens_per_s', 5),
    ],
)
def test_rows_of_each_section_can_be_changed(
    fleet: Fleet,
    section: str,
    name: str,
    field: str,
    value: object,
) -> None:
    """A change sets one field; the reverse change restores the fleet."""
    rows = {section: [{'id': name, field: value}]}
    after = apply_note_text(fleet, write_note(1, changed=rows)).unwrap()
    before = msgspec.to_builtins(getattr(fleet, section)[name])
    changed = msgspec.to_builtins(getattr(after, section)[name])
    assert changed == {**before, field: changed[field]}
    assert changed[field] != before[field]
    back = {section: [{'id': name, field: before[field]}]}
    again = apply_note_text(after, write_note(2, changed=back)).unwrap()
    assert msgspec.structs.replace(again, number=1, note=fleet.note) == fleet


def test_all_faults_are_reported_together(
    fleet: Fleet,
    snapshot: SnapshotAssertion,
) -> None:
    """A note with many errors gets all faults in one run, with key and line."""
    text = """\
[note]
id = "bad id"
against = 7
extra = 1

[[added.engines]]
id = "engine-1"

[[added.engines]]
id = "engine-2"
pool = "nowhere"
data_centre = "mu-north-a"
agent = "10.0.1.1:7100"
url = "ftp://10.0.1.2"
kv_tokens = -5
prefill_tokens_per_s = nan

[[added.engines]]
id = "desk-1"
pool = "nowhere"
data_centre = "elsewhere"
agent = "10.0.1.1:7100"
url = "http://10.0.1.2:8000"
kv_tokens = 5
prefill_tokens_per_s = 10

[[added.engines]]
pool = "captions"

[[added.workspaces]]
id = "desk"
key_hashes = ["XYZ"]
requests_per_s = -1
colour = "red"

[[changed.workspaces]]
id = "studio"
weight = 0

[[changed.pools]]
id = "reviews"

[[changed.services]]
id = "order-desk"
[[changed.services.routes]]
method = "FETCH"
path = "jobs"
is_repeatable = "no"

[withdrawn]
data_centres = ["mu-north-a"]
workspaces = ["studio", "nobody", 3]
engine = []

[removed]
"""
    assert list_faults(fleet, text) == snapshot


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('', 'note.id: is missing'),
        ('note = 3', 'note: is 3'),
        ('added = 3', 'added: is not a table'),
        ('[added]\nengines = 3', 'added.engines: is not an array'),
        ('added.engines = [1]', 'added.engines[0]: is not a table'),
        ('[note]\nid = 4', 'note.toml:2: note.id: is 4'),
        ('\n\nx = ', 'note.toml:3: not TOML'),
        ('a = {0}1{1}'.format('[' * 9000, ']' * 9000), 'nested too deeply'),
        ('a = {0}'.format('9' * 9000), 'note.toml: not TOML'),
    ],
)
def test_wrong_structure_is_reported(text: str, expected: str) -> None:
    """Values of the wrong type and invalid TOML give a fault, no exception."""
    assert expected in list_faults(EMPTY_FLEET, text)


NAMES = st.text('abcdefgh', min_size=1, max_size=3)
DETERMINISTIC = settings(derandomize=True, deadline=None)


@st.composite
def sections(draw: st.DrawFn) -> dict[str, list[dict[str, object]]]:
    """Generate sections of a valid note whose ids `BASE_NOTE` lacks."""
    ids = draw(st.lists(NAMES, min_size=1, max_size=6, unique=True))
    centre = draw(st.sampled_from(ids))
    pool = draw(st.sampled_from(ids))
    return {
        'data_centres': [{'id': name, 'region': 'r'} for name in ids],
        'pools': [{'id': name, 'models': ['m']} for name in ids],
        'engines': [
            {
                'id': name,
                'pool': pool,
                'data_centre': centre,
                'agent': '10.1.0.{0}:80'.format(number),
                'url': 'http://10.1.0.1',
                'kv_tokens': draw(st.integers(1, 10**9)),
                'prefill_tokens_per_s': draw(st.integers(1, 10**9)),
            }
            for number, name in enumerate(ids)
        ],
        'workspaces': [
            {'id': name, 'key_hashes': ['{0:064x}'.format(number)]}
            for number, name in enumerate(ids)
        ],
    }


def write_note(against: int, **parts: object) -> str:
    """Return the TOML of a note with the given parts."""
    header = {'id': 'note-{0}'.format(against), 'against': against}
    return tomlkit.dumps({'note': header, **parts})


@DETERMINISTIC
@given(sections())
def test_withdrawing_added_rows_restores_fleet(
    added: dict[str, list[dict[str, object]]],
) -> None:
    """A fleet is unchanged after rows are added and then withdrawn."""
    fleet = apply_note_text(EMPTY_FLEET, BASE_NOTE).unwrap()
    extended = apply_note_text(fleet, write_note(1, added=added)).unwrap()
    names = {part: [row['id'] for row in rows] for part, rows in added.items()}
    after = apply_note_text(extended, write_note(2, withdrawn=names)).unwrap()
    assert msgspec.structs.replace(after, number=1, note=fleet.note) == fleet


@DETERMINISTIC
@given(
    sections(),
    st.sampled_from(['pools', 'engines', 'workspaces']),
    st.sampled_from(['id', 'models', 'agent', 'key_hashes', 'colour']),
    st.sampled_from([-1, '', {}, 'x y']),
)
def test_note_with_fault_is_not_applied(
    added: dict[str, list[dict[str, object]]],
    part: str,
    key: str,
    wrong: object,
) -> None:
    """A single invalid value rejects the whole note, never only its row."""
    fleet = apply_note_text(EMPTY_FLEET, BASE_NOTE).unwrap()
    before = dump_fleet(fleet)
    added[part][-1][key] = wrong
    assert apply_note_text(fleet, write_note(1, added=added)).is_err()
    assert dump_fleet(fleet) == before


@DETERMINISTIC
@given(
    st.one_of(
        st.binary(),
        st.text().map(str.encode),
        st.lists(
            st.sampled_from(
                ['[', ']', '[[', ']]', '"', "'", '"""', '=', '\n', '.', '#']
                + ['added', 'note', 'engines', 'id', '1', '{', '}', ' ', ','],
            ),
            max_size=40,
        ).map(lambda parts: ''.join(parts).encode()),
    ),
)
def test_arbitrary_bytes_never_raise(raw: bytes) -> None:
    """Bytes that are not a note give faults and no exception."""
    match apply_note_text(EMPTY_FLEET, raw):
        case Err(faults):
            assert faults
        case Ok(fleet):
            pytest.fail(str(fleet))
