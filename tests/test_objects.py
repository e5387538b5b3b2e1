"""The client of the Object API against the stand-in, with faults."""

import threading
from collections.abc import Callable, Iterator

import pytest
import urllib3
from result import Err, Ok

from figspread.http.client import ClientPool
from figspread.http.server import ListenOptions
from figspread.platform.objects import VALUE_LIMIT_BYTES, HttpObjectStore
from figspread.platform.types import (
    Conflict,
    StoredObject,
    Unavailable,
    Unclear,
    WriteOutcome,
    Written,
)
from figspread.standins.faults import ObjectFaults
from figspread.standins.objects import ObjectStandIn


@pytest.fixture
def standin() -> Iterator[ObjectStandIn]:
    """A running stand-in of the Object API without objects."""
    started = ObjectStandIn(ListenOptions('127.0.0.1', 0, threads=4))
    started.start()
    yield started
    started.stop()


@pytest.fixture
def store(standin: ObjectStandIn) -> HttpObjectStore:
    """A client of the stand-in."""
    return HttpObjectStore(
        standin.url,
        timeout_s=2,
        pool=ClientPool(),
    )


def test_writes_require_expected_version(store: HttpObjectStore) -> None:
    """A write at another version than the current one is a `Conflict`."""
    assert store.get('k', 'a') == Ok(None)
    assert store.create('k', 'a', b'\x00one') == Written(1)
    assert store.create('k', 'a', b'two') == Conflict(1)
    assert store.replace('k', 'a', b'two', version=1) == Written(2)
    assert store.replace('k', 'a', b'three', version=1) == Conflict(2)
    assert store.get('k', 'a') == Ok(StoredObject('k', 'a', 2, b'two'))
    assert store.list_all('k') == Ok((StoredObject('k', 'a', 2, b'two'),))
    assert store.delete('k', 'a', version=1) == Conflict(2)
    assert store.delete('k', 'a', version=2) == Written(3)
    assert store.get('k', 'a') == Ok(None)


_Write = Callable[[HttpObjectStore], WriteOutcome]
_WRITES: tuple[_Write, ...] = (
    lambda store: store.create('k', 'new', b'x'),
    lambda store: store.replace('k', 'old', b'x', version=1),
    lambda store: store.delete('k', 'old', version=1),
)


@pytest.mark.parametrize('write', _WRITES)
@pytest.mark.parametrize(
    ('faults', 'expected', 'is_applied'),
    [
        (ObjectFaults(refuse_rate=1), Unavailable, False),
        (ObjectFaults(down=True), Unclear, False),
        (ObjectFaults(lose_write_answers=True), Unclear, True),
    ],
)
def test_faulty_write_outcome_is_exact(
    standin: ObjectStandIn,
    store: HttpObjectStore,
    write: _Write,
    faults: ObjectFaults,
    expected: type[object],
    is_applied: bool,
) -> None:
    """A write is `Unavailable` only if it certainly had no effect.

    Otherwise a caller would repeat a write that had already been applied.
    """
    assert store.create('k', 'old', b'x') == Written(1)
    standin.faults.faults = faults
    assert isinstance(write(store), expected)
    assert (standin.table.list_all('k').cursor > 1) == is_applied


def test_watch_returns_on_change(
    standin: ObjectStandIn,
    store: HttpObjectStore,
) -> None:
    """The next watch resumes at the cursor, so no change is missed."""
    assert store.create('k', 'a', b'x') == Written(1)
    assert store.create('other', 'a', b'x') == Written(2)
    found = store.watch('k', cursor=0, wait_s=30).unwrap()
    assert [stored.version for stored in found.objects] == [1]
    assert found.cursor == 2
    later = threading.Timer(0.1, store.create, ('k', 'b', b'y'))
    later.start()
    found = store.watch('k', cursor=found.cursor, wait_s=30).unwrap()
    assert list(found.objects) == [StoredObject('k', 'b', 3, b'y')]
    later.join()
    assert not store.watch('k', cursor=3, wait_s=0.1).unwrap().objects
    standin.faults.faults = ObjectFaults(lose_watch_events=True)
    found = store.watch('k', cursor=0, wait_s=30).unwrap()
    assert (list(found.objects), found.cursor) == ([], 3)
    assert standin.faults.counts() == {'put': 3, 'watch': 4}


@pytest.mark.parametrize(
    ('method', 'path', 'headers', 'size', 'status'),
    [
        ('PUT', 'k/a', {'If-Match': '"x"'}, 1, 400),
        ('PUT', 'k/a', {'If-Match': '"1"'}, 1, 412),
        ('PUT', 'k/a', {}, 1, 200),
        ('PUT', 'k/a', {}, VALUE_LIMIT_BYTES, 200),
        ('PUT', 'k/a', {}, VALUE_LIMIT_BYTES + 1, 413),
        ('PUT', 'k/a', {}, 3 * VALUE_LIMIT_BYTES, 413),
        ('PUT', 'k', {}, 1, 405),
        ('POST', 'k/a', {}, 1, 405),
        ('GET', 'k/a%00', {}, 0, 400),
        ('GET', 'k/..%2F..%2Fa', {}, 0, 400),
        ('GET', 'k/a/b', {}, 0, 405),
        ('GET', 'k?watch=x', {}, 0, 400),
        ('GET', 'k?watch=-1', {}, 0, 400),
        ('GET', 'k?watch=nan', {}, 0, 400),
        ('GET', 'k?watch=1&wait_s=x', {}, 0, 400),
        ('DELETE', 'k/a', {}, 0, 412),
    ],
)
def test_invalid_call_gets_error_status(
    standin: ObjectStandIn,
    method: str,
    path: str,
    headers: dict[str, str],
    size: int,
    status: int,
) -> None:
    """The stand-in replies with an error status and no traceback."""
    reply = urllib3.request(
        method,
        '{0}/objects/{1}'.format(standin.url, path),
        body=bytes(size),
        headers=headers,
        retries=False,
    )
    assert reply.status == status
    assert 'Traceback' not in reply.data.decode()


def test_too_large_value_is_not_sent(
    standin: ObjectStandIn,
    store: HttpObjectStore,
) -> None:
    """The client rejects a value over the platform's size limit."""
    outcome = store.create('k', 'a', bytes(VALUE_LIMIT_BYTES + 1))
    assert isinstance(outcome, Unavailable)
    assert not standin.faults.counts()


def test_refused_connection_is_unavailable(store: HttpObjectStore) -> None:
    """Neither a read nor a write has an effect without a listener."""
    unreachable = HttpObjectStore(
        'http://127.0.0.1:1',
        timeout_s=1,
        pool=ClientPool(),
    )
    assert isinstance(unreachable.create('k', 'a', b''), Unavailable)
    assert isinstance(unreachable.get('k', 'a'), Err)
