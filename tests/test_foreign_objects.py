"""Tests of objects of the store that other writers have written.

An object with deep nesting or text that isn't Unicode once ended the following
of all objects of its kind, and entries that started later never got ready.
"""

import asyncio
import json
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import pytest
from bench.giftwrap.caller import Answer
from bench.giftwrap.deployment import DESK
from hypothesis import given
from hypothesis import strategies as st

from figspread.direct.adapter import MalformedMessage
from figspread.documents import MalformedDocument, decode_json
from figspread.http1.events import EventSplitter
from figspread.http1.fields import parse_count
from figspread.json_parts import split_array, split_object
from figspread.policy.quarantine import MAX_TRIAL_INTERVAL_S, trial_interval_s
from giftwrap.replies import StoreReply, decode_reply
from giftwrap.wire import GiftWrapWire
from tests.giftwrap_fleet import Fleet, run_scenario, wait_until

NESTED = b'[' * 2000 + b']' * 2000
SURROGATE = chr(0xD800)
FOREIGN_TEXTS = {
    'deep nesting': NESTED,
    'deep nesting in a field': b'{"service":%s,"state":1}' % NESTED,
    'deep nesting in an unknown field': b'{"zone":"a","x":%s}' % NESTED,
    'lone surrogate': json.dumps(SURROGATE).encode(),
    'lone surrogate in a field': json.dumps({'service': SURROGATE}).encode(),
    'lone surrogate in a name': json.dumps({SURROGATE: 1}).encode(),
    'no UTF-8': b'{"service":"\xff\xfe"}',
    'no number': b'{"slots":NaN}',
    'no value': b'{"slots":}',
    'number of 5,000 digits': b'{"slots":%s}' % (b'9' * 5000),
    'large exponent': b'{"slots":1e400}',
}
SOUND = {'service': DESK, 'state': 'ready'}
_json = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(alphabet=st.characters(), max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=10,
)


def _decode(body: bytes) -> StoreReply:
    return asyncio.run(decode_reply(body))


def _make_object(name: str, specification: bytes) -> bytes:
    metadata = json.dumps({'name': name, 'revision': 7, 'created': 1})
    return b'{"metadata":%s,"specification":%s,"status":null}' % (
        metadata.encode(),
        specification,
    )


def _make_reply(foreign: bytes) -> dict[str, bytes]:
    sound = json.dumps(SOUND).encode()
    objects = [
        _make_object('a', sound),
        _make_object('foreign', foreign),
        _make_object('z', sound),
    ]
    events = [b'{"deleted":false,"object":%s}' % text for text in objects]
    return {
        'list': b'{"items":[%s],"more":true,"asOf":9}' % b','.join(objects),
        'watch': b'{"events":[%s],"asOf":9}' % b','.join(events),
    }


@pytest.mark.parametrize('case', FOREIGN_TEXTS)
@pytest.mark.parametrize('call', ['list', 'watch'])
def test_foreign_object_affects_no_other_one(call: str, case: str) -> None:
    """Decode all other objects of a reply, and the foreign one as bytes."""
    foreign = FOREIGN_TEXTS[case]
    reply = _decode(_make_reply(foreign)[call])
    objects = reply.items or [event.object for event in reply.events]
    by_name = {row.metadata.name: row.specification for row in objects}
    assert json.loads(bytes(by_name['a'])) == SOUND
    assert json.loads(bytes(by_name['z'])) == SOUND
    assert bytes(by_name['foreign']) == foreign
    assert (reply.as_of, reply.more) == (9, call == 'list')
    assert not reply.unreadable


def test_object_with_unreadable_metadata_is_left_out() -> None:
    """Leave out an object that has no name, with a reason."""
    body = b'{"items":[{"metadata":5},%s],"asOf":9}' % _make_object('a', b'{}')
    reply = _decode(body)
    assert [row.metadata.name for row in reply.items] == ['a']
    assert len(reply.unreadable) == 1


@pytest.mark.parametrize(
    'body',
    [b'', b'[]', b'{"items":5,"asOf":9}', b'{"items":[', b'{"items":[]}'],
)
def test_reply_without_objects_or_revision_is_malformed(body: bytes) -> None:
    """Reject a reply that isn't one, so that the call counts as failed."""
    if body == b'{"items":[]}':
        assert _decode(body).as_of == 0
        return
    with pytest.raises(MalformedDocument):
        _decode(body)


@given(values=st.lists(_json, max_size=4))
def test_parts_of_json_are_its_values(values: list[Any]) -> None:
    """Split an array and an object into texts that decode to their values."""
    parts = split_array(json.dumps(values, indent=1).encode())
    assert [json.loads(part) for part in parts] == values
    named = {'n{0}'.format(index): each for index, each in enumerate(values)}
    members = split_object(json.dumps(named).encode())
    assert {name: json.loads(text) for name, text in members.items()} == named


@given(text=st.binary(max_size=40) | st.text(r'[]{}",:\ a', max_size=20))
def test_any_bytes_are_split_or_malformed(text: bytes | str) -> None:
    """Raise `MalformedDocument` for bytes that can't be split, nothing else."""
    encoded = text.encode() if isinstance(text, str) else text
    for split in (split_array, split_object, _decode):
        with suppress(MalformedDocument):
            split(encoded)


@given(document=st.binary(max_size=40) | _json.map(json.dumps))
def test_any_document_is_decoded_or_malformed(document: bytes | str) -> None:
    """Raise `MalformedDocument` for any input, nothing else."""
    encoded = document.encode() if isinstance(document, str) else document
    with suppress(MalformedDocument):
        decode_json(encoded, dict[str, int])


async def _replace_desks(fleet: Fleet) -> None:
    """Replace the plain upstreams; wait until the first entry has followed."""
    for name in ('d-3', 'd-4'):
        await fleet.add_upstream(name, DESK)
    for name in ('d-1', 'd-2'):
        fleet.store.delete('servers', name)
        await fleet.upstreams[name].stop()
    await wait_until(
        lambda: {'d-1', 'd-2'}.issubset(
            row['upstream'] for row in fleet.logs[0].events('upstream removed')
        )
    )


@pytest.mark.parametrize(
    'kind', ['servers', 'config', 'entries', 'quarantines']
)
@pytest.mark.parametrize('case', FOREIGN_TEXTS)
def test_entries_follow_the_store_beside_a_foreign_object(
    case: str, kind: str, tmp_path: Path
) -> None:
    """Follow changes while a foreign object is there, and start beside it."""

    async def scenario(fleet: Fleet) -> list[Answer]:
        foreign = msgspec.Raw(FOREIGN_TEXTS[case])
        fleet.store.put(kind, 'a-foreign', foreign)
        await _replace_desks(fleet)
        answers = [await fleet.callers[0].call('status', limit_ms=3000)]
        late = await fleet.add_entry()
        await wait_until(lambda: fleet.entries[-1].is_ready)
        answers.append(await late.call('status', limit_ms=3000))
        return answers

    answers = run_scenario(tmp_path, scenario)
    assert [answer.status for answer in answers] == [200, 200]


def test_unreadable_record_is_logged_once(tmp_path: Path) -> None:
    """Log an unreadable record once, with its revision and a reason."""

    async def scenario(fleet: Fleet) -> list[dict[str, Any]]:
        foreign = msgspec.Raw(FOREIGN_TEXTS['deep nesting'])
        fleet.store.put('servers', 'foreign', foreign)
        for _ in range(3):
            fleet.store.forget_history()
            await fleet.add_upstream('d-{0}'.format(len(fleet.upstreams)), DESK)
            await asyncio.sleep(0)
        await wait_until(
            lambda: len(fleet.logs[0].events('watch history expired')) > 1
        )
        await fleet.callers[0].call('status')
        return fleet.logs[0].events('upstream record invalid')

    rows = run_scenario(tmp_path, scenario)
    assert len(rows) == 1
    assert rows[0]['entry'] == 'foreign'
    assert rows[0]['revision'] > 0
    assert rows[0]['detail']


ODD_RECORDS: dict[str, dict[str, Any]] = {
    'port out of range': {'address': '127.0.0.1:99999'},
    'port of 400 digits': {'address': '127.0.0.1:{0}'.format('9' * 400)},
    'port 0': {'address': '127.0.0.1:0'},
    'negative port': {'address': '127.0.0.1:-1'},
    'no IP address': {'address': 'engine:80'},
    'no host': {'address': ':80'},
    'a number of slots that no float holds': {'slots': 10**400},
    'a start of 400 digits': {'born': 10**400},
    'a start before 1970': {'born': -1},
    'cold for ever': {'coldRemainingMs': 1e300},
    'more bytes than a record has': {'note': 'x' * 100_000},
}
ODD_NAMES = ['', 'a b', 'line\nbreak', 'x' * 300, chr(233)]


@pytest.mark.parametrize('case', ODD_RECORDS)
def test_record_out_of_range_is_malformed(case: str) -> None:
    """Reject values that can't be connected to or calculated with."""
    record = {'address': '127.0.0.1:80', 'zone': 'a', **SOUND}
    GiftWrapWire().decode_upstream('e', json.dumps(record).encode())
    odd = json.dumps({**record, **ODD_RECORDS[case]}).encode()
    with pytest.raises(MalformedMessage):
        GiftWrapWire().decode_upstream('e', odd)


@pytest.mark.parametrize('name', ODD_NAMES)
def test_record_under_a_name_that_no_header_holds_is_malformed(
    name: str,
) -> None:
    """Reject names that can't be sent to the upstream that they name."""
    record = {'address': '127.0.0.1:80', 'zone': 'a', **SOUND}
    with pytest.raises(MalformedMessage):
        GiftWrapWire().decode_upstream(name, json.dumps(record).encode())


@pytest.mark.parametrize('case', ODD_RECORDS)
def test_requests_are_served_beside_a_record_out_of_range(
    case: str, tmp_path: Path
) -> None:
    """Serve all calls, though an odd record looks like a free upstream.

    An address that can't be connected to once closed the connections of a third
    of all callers (LOST).
    """

    async def scenario(fleet: Fleet) -> set[int]:
        record = {**fleet.upstreams['d-1'].record, **ODD_RECORDS[case]}
        fleet.store.put('servers', 'foreign', record)
        await wait_until(
            lambda: fleet.logs[0].events('upstream record invalid')
        )
        answers = [await fleet.callers[0].call('status') for _ in range(20)]
        return {answer.status for answer in answers}

    assert run_scenario(tmp_path, scenario) == {200}


def test_entry_that_can_not_be_connected_to_is_left_out(tmp_path: Path) -> None:
    """Connect to the other entries beside a record with an odd address."""

    async def scenario(fleet: Fleet) -> int:
        for number, address in enumerate(('1.2.3.4:99999', 'x', '', 5)):
            name = 'foreign-{0}'.format(number)
            fleet.store.put('entries', name, {'address': address})
        await fleet.add_entry()
        await wait_until(lambda: fleet.entries[-1].count_entries() == 2)
        return len(fleet.entries[-1]._peers._links.list_dialled())  # noqa: SLF001

    assert run_scenario(tmp_path, scenario) == 1


@pytest.mark.parametrize('trials', [0, 5, 10**6])
def test_any_number_of_failed_trials_has_an_interval(trials: int) -> None:
    """Return an interval for numbers whose power is no float."""
    assert 0 < trial_interval_s(trials) <= MAX_TRIAL_INTERVAL_S


COUNTS = {
    '5': 5,
    ' 17 ': 17,
    '9' * 15: 10**15 - 1,
    '9' * 16: None,
    '9' * 5000: None,
    '-1': None,
    '1e3': None,
    '1_0': None,
    '': None,
    chr(0x661): None,
}


@pytest.mark.parametrize('text', COUNTS)
def test_count_in_a_field_is_parsed_in_range(text: str) -> None:
    """Return whole numbers of up to 15 digits, nothing else."""
    assert parse_count(text) == COUNTS[text]


LARGE_FIELDS: dict[str, Any] = {
    'tokens': {'usage': '{0},460'.format('9' * 400)},
    'output tokens': {'usage': '5000,{0}'.format('9' * 5000)},
}


@pytest.mark.parametrize('case', LARGE_FIELDS)
def test_caller_with_a_number_out_of_range_gets_an_answer(
    case: str, tmp_path: Path
) -> None:
    """Answer 400 in place of a closed connection."""

    async def scenario(fleet: Fleet) -> Answer:
        return await fleet.callers[0].call('caption', **LARGE_FIELDS[case])

    assert run_scenario(tmp_path, scenario).status == 400


def test_event_id_out_of_range_counts_as_none() -> None:
    """Return no id for one of 5,000 digits, so that the stream is retried."""
    event = 'id: {0}\ndata: x\n\n'.format('9' * 5000).encode()
    assert [row.id for row in EventSplitter().feed(event)] == [-1]


@given(foreign=_json.map(json.dumps), call=st.sampled_from(['list', 'watch']))
def test_any_json_of_another_writer_affects_no_other_object(
    foreign: str, call: str
) -> None:
    """Decode the objects beside any other one, lone surrogates included."""
    reply = _decode(_make_reply(foreign.encode())[call])
    objects = reply.items or [event.object for event in reply.events]
    names = {row.metadata.name: row.specification for row in objects}
    assert json.loads(bytes(names['a'])) == SOUND
    assert json.loads(bytes(names['z'])) == SOUND
    assert json.loads(bytes(names['foreign'])) == json.loads(foreign)
