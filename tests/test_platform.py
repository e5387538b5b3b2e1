"""Clients of the platform's services, and malformed or failed replies."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
import urllib3
from result import Err, Ok

from figspread.clock import ManualClock
from figspread.http.client import ClientPool
from figspread.http.server import ListenOptions
from figspread.ids import DataCentreId, ModelName, VmId
from figspread.platform.objects import HttpObjectStore
from figspread.platform.types import (
    Conflict,
    Unavailable,
    Unclear,
    Vm,
    VmState,
    Written,
)
from figspread.platform.vms import HttpVmList
from figspread.platform.weights import (
    HttpWeightStore,
    RateLimit,
    TokenBucket,
    Weights,
)
from figspread.standins.faults import ListFaults
from figspread.standins.vms import VmStandIn
from figspread.standins.weights import WeightStandIn

_LISTEN = ListenOptions('127.0.0.1', 0, threads=3)
_WEIGHTS = Weights(ModelName('org/model'), 'v1', 'http://w/1', 10)
_RECEIVE_BYTES = 65_536


@contextmanager
def _serve_reply(answer: bytes, *, closes: bool) -> Iterator[HttpObjectStore]:
    """Yield a client of a server that sends `answer` to its first call.

    The server then closes the connection, or keeps it open and silent.
    """
    listener = socket.create_server(('127.0.0.1', 0))
    ended = threading.Event()

    def serve() -> None:
        conn, _ = listener.accept()
        with conn:
            conn.recv(_RECEIVE_BYTES)
            conn.sendall(answer)
            if not closes:
                ended.wait(10)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    url = 'http://127.0.0.1:{0}'.format(listener.getsockname()[1])
    yield HttpObjectStore(url, timeout_s=0.3, pool=ClientPool())
    ended.set()
    thread.join(10)
    listener.close()


def _build_reply(status: str, headers: str = '', body: bytes = b'') -> bytes:
    head = 'HTTP/1.1 {0}\r\nContent-Length: {1}\r\n{2}\r\n'.format(
        status,
        len(body),
        headers,
    )
    return head.encode() + body


_TRUNCATED_REPLY = _build_reply('200 OK', 'ETag: "4"\r\n', b'12345678')[:-3]


@pytest.mark.parametrize(
    ('answer', 'closes', 'expected'),
    [
        (_build_reply('200 OK', 'ETag: "4"\r\n'), True, Written(4)),
        (_build_reply('412 No', 'ETag: "4"\r\n'), True, Conflict(4)),
        (
            _build_reply('503 Down', 'Retry-After: 7\r\n'),
            True,
            Unavailable('refused with status 503', 7),
        ),
        (
            _build_reply('429 Slow', 'Retry-After: -1\r\n'),
            True,
            Unavailable('refused with status 429', 60),
        ),
        (
            _build_reply('429 Slow', 'Retry-After: soon\r\n'),
            True,
            Unavailable('refused with status 429', 1),
        ),
        (_build_reply('400 Bad'), True, Unavailable('status 400')),
        (_build_reply('500 Broken'), True, Unclear('status 500')),
        (_build_reply('504 Late'), True, Unclear('status 504')),
        (b'', True, Unclear),
        (b'garbage\r\n\r\n', True, Unclear),
        (_TRUNCATED_REPLY, True, Unclear),
        (_TRUNCATED_REPLY, False, Unclear),
        (b'', False, Unclear),
    ],
)
def test_write_reply_gives_outcome(
    answer: bytes,
    closes: bool,
    expected: object,
) -> None:
    """A write counts as without effect only if the reply says so."""
    with _serve_reply(answer, closes=closes) as store:
        outcome = store.create('k', 'a', b'x')
    assert expected in {outcome, type(outcome)}


@pytest.mark.parametrize(
    ('answer', 'closes'),
    [
        (_build_reply('503 Down'), True),
        (_build_reply('500 Broken'), True),
        (_build_reply('200 OK', '', b'not json'), True),
        (_build_reply('200 OK', '', b'{"objects": 3, "cursor": 1}'), True),
        (_TRUNCATED_REPLY, True),
        (_TRUNCATED_REPLY, False),
        (b'', False),
    ],
)
def test_failed_read_is_an_error(answer: bytes, closes: bool) -> None:
    """A read without a complete, valid reply is `Unavailable`."""
    with _serve_reply(answer, closes=closes) as store:
        assert isinstance(store.list_all('k'), Err)


@pytest.fixture
def vms() -> Iterator[VmStandIn]:
    """A running stand-in of the VM list without VMs."""
    started = VmStandIn(_LISTEN)
    started.start()
    yield started
    started.stop()


def test_vm_list_is_read(vms: VmStandIn) -> None:
    """The client returns the listed VMs, and an error on each fault."""
    client = HttpVmList(vms.url, timeout_s=2, pool=ClientPool())
    assert client.read() == Ok(())
    listed = Vm(
        VmId('vm-1'),
        VmState.LEAVING,
        DataCentreId('dc-1'),
        '127.0.0.1:1',
        'entry',
    )
    vms.replace([listed])
    assert client.read() == Ok((listed,))
    vms.faults.faults = ListFaults(refuse_rate=1)
    assert isinstance(client.read(), Err)
    vms.faults.faults = ListFaults(down=True)
    assert isinstance(client.read(), Err)
    assert vms.faults.counts() == {'list': 4}


@pytest.mark.parametrize(
    ('body', 'status', 'shown'),
    [
        (b'{"down": true}', 200, '"down":true'),
        (
            b'{"dwon": true}',
            400,
            'known faults: times, down, slow_s, refuse_rate',
        ),
        (b'{"refuse_rate": 2}', 400, 'refuse_rate'),
        (b'{"slow_s": -1}', 400, 'slow_s'),
        (b'{"slow_s": "long"}', 400, 'slow_s'),
        (b'[', 400, 'known faults'),
        (b'', 400, 'known faults'),
    ],
)
def test_faults_are_set_over_http(
    vms: VmStandIn,
    body: bytes,
    status: int,
    shown: str,
) -> None:
    """An unknown or invalid fault is rejected; known faults are listed."""
    before = vms.faults.faults
    reply = urllib3.request(
        'PUT',
        '{0}/standin/faults'.format(vms.url),
        body=body,
        retries=False,
    )
    assert reply.status == status
    assert shown in reply.data.decode()
    assert 'Traceback' not in reply.data.decode()
    assert (vms.faults.faults == before) == (status == 400)


@pytest.fixture
def clock() -> ManualClock:
    """The clock shared by the weight store and its client."""
    return ManualClock()


@pytest.fixture
def standin(clock: ManualClock) -> Iterator[WeightStandIn]:
    """A running stand-in of the weight store that allows one call a second.

    Its burst is two calls.
    """
    started = WeightStandIn(_LISTEN, limit=RateLimit(1, 2), clock=clock)
    started.start()
    yield started
    started.stop()


def test_weight_lookups_keep_to_rate_limit(
    standin: WeightStandIn,
    clock: ManualClock,
) -> None:
    """Calls over the limit are not sent; `Retry-After` is respected."""
    store = HttpWeightStore(
        standin.url,
        timeout_s=2,
        pool=ClientPool(),
        bucket=TokenBucket(RateLimit(2, 3), clock),
    )
    added = urllib3.request(
        'PUT',
        '{0}/weights/org%2Fmodel/v1'.format(standin.url),
        json={
            'model': 'org/model',
            'version': 'v1',
            'url': 'http://w/1',
            'size_bytes': 10,
        },
    )
    assert added.status == 200
    assert store.find(ModelName('org/model'), 'v1') == Ok(_WEIGHTS)
    assert store.find(ModelName('none'), 'v1') == Ok(None)
    assert store.find(ModelName('none'), 'v1') == Err(
        Unavailable('refused with status 429', 1),
    )
    assert store.find(ModelName('none'), 'v1') == Err(
        Unavailable('the rate limit of the weight store is reached', 1),
    )
    clock.advance(1)
    assert standin.faults.counts() == {'find': 3}
    assert isinstance(store.find(ModelName('none'), 'v1'), Err)
    clock.advance(1)
    assert store.find(ModelName('none'), 'v1') == Ok(None)
