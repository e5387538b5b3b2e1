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

from figspread.documents import MalformedDocument, decode_json
from figspread.json_parts import split_array, split_object
from giftwrap.replies import decode_reply
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
    reply = decode_reply(_make_reply(foreign)[call])
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
    reply = decode_reply(body)
    assert [row.metadata.name for row in reply.items] == ['a']
    assert len(reply.unreadable) == 1


@pytest.mark.parametrize(
    'body',
    [b'', b'[]', b'{"items":5,"asOf":9}', b'{"items":[', b'{"items":[]}'],
)
def test_reply_without_objects_or_revision_is_malformed(body: bytes) -> None:
    """Reject a reply that isn't one, so that the call counts as failed."""
    if body == b'{"items":[]}':
        assert decode_reply(body).as_of == 0
        return
    with pytest.raises(MalformedDocument):
        decode_reply(body)


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
    for split in (split_array, split_object, decode_reply):
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
