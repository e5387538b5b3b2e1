"""Clients of engines and plain services, tested against stand-ins."""

import socket
import threading
import time
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, suppress

import msgspec
import pytest
import urllib3

from figspread.clock import ManualClock
from figspread.http.server import ListenOptions
from figspread.ids import AttemptId, ModelName
from figspread.platform.weights import RateLimit, Weights
from figspread.standins.engine import EngineStandIn
from figspread.standins.engine_orders import OrderExecutor
from figspread.standins.engine_settings import EngineSettings
from figspread.standins.engine_text import expected_answer
from figspread.standins.service import ServiceStandIn
from figspread.standins.weights import WeightStandIn
from figspread.upstream.engine import HttpEngine
from figspread.upstream.service import HttpService
from figspread.upstream.transport import TimeLimits
from figspread.upstream.types import (
    Answer,
    EngineOrder,
    EngineOrderKind,
    UpstreamCall,
    UpstreamFault,
    UpstreamFaultKind,
)

PROMPT = 'Which gulls nest on the ribbon? ' * 40
FAST = EngineSettings(
    time_scale=20,
    keep_alive_s=0.05,
    kv_limit_tokens=1_000,
    load_model_s=0,
)
STREAM_COUNT = 64
SHORT_LIMITS = TimeLimits(connect_s=0.3, head_s=0.3, progress_s=0.3)


@pytest.fixture
def engine() -> Iterator[EngineStandIn]:
    """Run an engine stand-in with fast settings."""
    stand_in = EngineStandIn(settings=FAST)
    stand_in.start()
    yield stand_in
    stand_in.stop()


@pytest.fixture
def service() -> Iterator[ServiceStandIn]:
    """Run a plain service stand-in."""
    stand_in = ServiceStandIn()
    stand_in.start()
    yield stand_in
    stand_in.stop()


def make_call(
    attempt: str,
    *,
    resume_from: int = 0,
    **changes: object,
) -> UpstreamCall:
    """Return a call for a streamed completion of `PROMPT`.

    `changes` are set in the request's body.
    """
    body = {
        'model': 'figspread-small',
        'prompt': PROMPT,
        'max_tokens': 8,
        'stream': True,
        **changes,
    }
    return UpstreamCall(
        AttemptId(attempt),
        '/v1/completions',
        msgspec.json.encode(body),
        resume_from=resume_from,
    )


def read_text(answer: Answer) -> str:
    """Return the text of a streamed completion."""
    texts = []
    for line in b''.join(answer).split(b'\n\n'):
        if line.startswith(b'data: {'):
            event = msgspec.json.decode(line.removeprefix(b'data: '))
            texts += [choice['text'] for choice in event['choices']]
    return ''.join(texts)


def test_stream_is_complete_and_frees_its_memory(engine: EngineStandIn) -> None:
    """The text is the stand-in's answer to the prompt."""
    client = HttpEngine(engine.url)
    answer = client.submit(make_call('att-1')).unwrap()
    assert read_text(answer) == expected_answer(PROMPT, 8)
    assert answer.fault is None
    assert not client.list_holdings().unwrap()


def test_concurrent_streams_are_each_complete() -> None:
    """Each caller gets the answer to its own prompt."""
    settings = msgspec.structs.replace(FAST, kv_limit_tokens=100_000)
    stand_in = EngineStandIn(settings=settings)
    stand_in.start()
    client = HttpEngine(stand_in.url)

    def ask(number: int) -> str:
        call = make_call('att-{0}'.format(number), prompt=str(number))
        return read_text(client.submit(call).unwrap())

    with ThreadPoolExecutor(STREAM_COUNT) as pool:
        texts = list(pool.map(ask, range(STREAM_COUNT)))
    assert texts == [
        expected_answer(str(number), 8) for number in range(STREAM_COUNT)
    ]
    assert not client.list_holdings().unwrap()
    stand_in.stop()


@pytest.mark.parametrize('streams', [True, False])
def test_chat_answer_is_the_same_streamed_or_not(
    engine: EngineStandIn,
    *,
    streams: bool,
) -> None:
    """The content follows from the messages, and usage is counted."""
    body = {
        'model': 'figspread-small',
        'messages': [{'role': 'user', 'content': 'Check it.'}],
        'max_tokens': 3,
        'stream': streams,
    }
    path = '/v1/chat/completions'
    call = UpstreamCall(AttemptId('att-1'), path, msgspec.json.encode(body))
    answer = HttpEngine(engine.url).submit(call).unwrap()
    raw = b''.join(answer)
    assert answer.fault is None
    content = ''
    for line in raw.replace(b'data: ', b'').splitlines():
        if not line.startswith(b'{'):
            continue
        event = msgspec.json.decode(line)
        choice = event['choices'][0]
        message = choice.get('delta') or choice.get('message') or {}
        content += message.get('content', '')
    assert content == expected_answer('user: Check it.', 3)
    assert choice['finish_reason'] == 'length'
    assert event['usage']['total_tokens'] == 7


@pytest.mark.parametrize(
    ('method', 'target'),
    [
        ('PATCH', '/jobs/1?x=2'),
        ('DELETE', '/a%2Fb/%20?self=1&parts=2'),
        ('OPTIONS', '/'),
        ('PUT', '/%C3%A9?q=%ff'),
    ],
)
def test_service_receives_the_call_unchanged(
    service: ServiceStandIn,
    method: str,
    target: str,
) -> None:
    """Only hop-by-hop headers are removed."""
    headers = {'Connection': 'X-Hop', 'X-Hop': '1', 'Idempotency-Key': 'k'}
    call = UpstreamCall(AttemptId('a'), target, b'ink', method, headers)
    answer = HttpService(service.url).call(call).unwrap()
    echo = msgspec.json.decode(b''.join(answer))
    path, _, query = target.partition('?')
    assert (echo['method'], echo['path']) == (method, path)
    assert (echo['query'], echo['body']) == (query, 'ink')
    assert 'X-Hop' not in echo['headers']
    assert 'Connection' not in answer.headers
    assert answer.fault is None
    assert service.runs.to_document()['by_key'] == {'k': 1}


def test_answer_to_head_is_complete_without_a_body(
    service: ServiceStandIn,
) -> None:
    """The client doesn't wait for the announced length."""
    call = UpstreamCall(AttemptId('a'), '/', b'', 'HEAD')
    answer = HttpService(service.url).call(call).unwrap()
    assert int(answer.headers['Content-Length']) > 0
    assert not list(answer)
    assert answer.fault is None


def test_abandoned_request_runs_to_its_end() -> None:
    """An engine frees the memory of a closed stream when it has finished."""
    clock = ManualClock()
    stand_in = EngineStandIn(settings=FAST, clock=clock)
    stand_in.start()
    client = HttpEngine(stand_in.url)
    client.submit(make_call('att-1')).unwrap().close()
    assert len(client.list_holdings().unwrap()) == 1
    clock.advance(60)
    assert not client.list_holdings().unwrap()
    assert client.report().unwrap().kv_used_tokens == 0
    stand_in.stop()


def put_faults(url: str, **faults: object) -> urllib3.BaseHTTPResponse:
    """Set the faults that a stand-in simulates."""
    return urllib3.request('PUT', '{0}/standin/faults'.format(url), json=faults)


def read_fault_kind(answer: Answer) -> UpstreamFaultKind | None:
    """Read an answer to its end and return the kind of its fault."""
    list(answer)
    return answer.fault.kind if answer.fault else None


@pytest.mark.parametrize(
    ('faults', 'kind', 'is_head_given'),
    [
        ({'silent': True}, UpstreamFaultKind.TIMED_OUT, False),
        ({'silent_after_tokens': 0}, UpstreamFaultKind.TIMED_OUT, True),
        ({'silent_after_tokens': 3}, UpstreamFaultKind.TIMED_OUT, True),
        ({'cut_after_tokens': 0}, UpstreamFaultKind.BROKEN, True),
        ({'cut_after_tokens': 3}, UpstreamFaultKind.BROKEN, True),
        ({'refuse': True}, UpstreamFaultKind.REFUSED, False),
        ({'die_on_marker': 'gulls'}, UpstreamFaultKind.BROKEN, False),
        ({'slow_factor': 2}, None, True),
    ],
)
def test_engine_fault_gives_its_fault_kind(
    engine: EngineStandIn,
    faults: Mapping[str, object],
    kind: UpstreamFaultKind | None,
    *,
    is_head_given: bool,
) -> None:
    """A faulty answer never passes for a complete one."""
    assert put_faults(engine.url, **faults).status == 200
    submitted = HttpEngine(engine.url, SHORT_LIMITS).submit(make_call('att-1'))
    assert submitted.is_ok() is is_head_given
    if is_head_given:
        assert read_fault_kind(submitted.unwrap()) is kind
    else:
        assert submitted.unwrap_err().kind is kind


@pytest.mark.parametrize(
    'faults', [{'silent': True}, {'silent_after_tokens': 2}]
)
def test_silent_request_holds_memory_until_cancelled(
    engine: EngineStandIn,
    faults: Mapping[str, object],
) -> None:
    """Repeated cancels free it when the engine ignores the first ones."""
    client = HttpEngine(engine.url, SHORT_LIMITS)
    put_faults(engine.url, **faults, ignore_cancels=2)
    client.submit(make_call('att-1')).map(list)
    held = []
    for _ in range(3):
        held.append(len(client.list_holdings().unwrap()))
        assert client.cancel(AttemptId('att-1')).is_ok()
    assert held == [1, 1, 1]
    assert not client.list_holdings().unwrap()
    assert client.cancel(AttemptId('att-1')).is_ok()


@pytest.mark.parametrize(
    ('call', 'status'),
    [
        (make_call('a', prompt='x' * 4_001), 413),
        (make_call('a', prompt=''), 400),
        (make_call('a', max_tokens=-1), 400),
        (make_call('a', model='none'), 404),
        (make_call('a', resume_from=9), 400),
        (
            make_call(
                'a',
                kv_context=[{'handle': 'no', 'source': 'http://127.0.0.1:1'}],
            ),
            409,
        ),
        (UpstreamCall(AttemptId('a'), '/v1/completions', b'\xff{'), 400),
        (UpstreamCall(AttemptId('a'), '/nowhere', b''), 404),
    ],
)
def test_invalid_request_is_refused_and_not_run(
    engine: EngineStandIn,
    call: UpstreamCall,
    status: int,
) -> None:
    """The fault has the status; nothing runs and no memory is held."""
    client = HttpEngine(engine.url)
    fault = client.submit(call).unwrap_err()
    assert (fault.kind, fault.status) == (UpstreamFaultKind.REFUSED, status)
    assert not engine.runs.to_document()['by_request']
    assert not client.list_holdings().unwrap()


def test_full_engine_refuses_with_retry_after(engine: EngineStandIn) -> None:
    """A request that doesn't fit in the free memory gets status 503."""
    put_faults(engine.url, silent_after_tokens=0, times=1)
    client = HttpEngine(engine.url, SHORT_LIMITS)
    client.submit(make_call('att-1', max_tokens=500)).map(list)
    fault = client.submit(make_call('att-2', max_tokens=500)).unwrap_err()
    assert fault.status == 503
    assert fault.retry_after_s > 0


@pytest.mark.parametrize('resume_from', [0, 1, 5, 8])
def test_resumed_answer_continues_the_same_text(
    engine: EngineStandIn,
    resume_from: int,
) -> None:
    """Its tokens are those of the complete answer from `resume_from` on."""
    call = make_call('att-2', resume_from=resume_from)
    answer = HttpEngine(engine.url).submit(call).unwrap()
    whole = expected_answer(PROMPT, 8)
    assert (
        read_text(answer) == whole[len(expected_answer(PROMPT, resume_from)) :]
    )
    assert answer.fault is None


def test_span_answers_like_one_large_engine() -> None:
    """Three engines share a prompt that is too large for any of them."""
    with ExitStack() as stack:
        engines = [EngineStandIn(settings=FAST) for _ in range(3)]
        for member in engines:
            member.start()
            stack.callback(member.stop)
        chain: list[Mapping[str, str]] = []
        for number, member in enumerate(engines):
            client = HttpEngine(member.url)
            call = make_call(
                'seg-{0}'.format(number),
                prompt=str(number) * 3_600,
                kv_context=chain,
                prefill_only=number < 2,
            )
            text = read_text(client.submit(call).unwrap())
            held = [holding.name for holding in client.list_holdings().unwrap()]
            chain += [{'handle': name, 'source': member.url} for name in held]
        prompt = ''.join(digit * 3_600 for digit in '012')
        assert text == expected_answer(prompt, 8)
        last = HttpEngine(engines[2].url)
        broken = make_call('seg-9', prompt='x', kv_context=chain[1:])
        assert last.submit(broken).unwrap_err().status == 409


def test_exported_and_imported_kv_holds_memory_until_freed(
    engine: EngineStandIn,
) -> None:
    """Importing a handle or freeing it is idempotent."""
    other = EngineStandIn(settings=FAST)
    other.start()
    source, target = HttpEngine(engine.url), HttpEngine(other.url)
    list(source.submit(make_call('att-1', prefill_only=True)).unwrap())
    handle = source.export_kv(AttemptId('att-1')).unwrap()
    assert target.import_kv(handle, engine.url).is_ok()
    assert target.import_kv(handle, engine.url).is_ok()
    assert target.list_holdings() == source.list_holdings()
    assert source.export_kv(AttemptId('none')).unwrap_err().status == 404
    for client in (source, target, target):
        assert client.free_kv(handle).is_ok()
        assert not client.list_holdings().unwrap()
    assert target.import_kv(handle, engine.url).unwrap_err().status == 404
    other.stop()


@pytest.mark.parametrize('checks_fencing', [True, False])
def test_old_order_is_refused_if_fencing_is_checked(
    *,
    checks_fencing: bool,
) -> None:
    """An engine that ignores fencing numbers executes the old order too."""
    settings = msgspec.structs.replace(FAST, checks_fencing=checks_fencing)
    stand_in = EngineStandIn(settings=settings)
    stand_in.start()
    client = HttpEngine(stand_in.url)
    for fencing, is_executed in ((5, True), (5, True), (4, not checks_fencing)):
        order = EngineOrder(EngineOrderKind.CHANGE_ROLE, 'decode', '1', fencing)
        assert client.send_order(order).is_ok() is is_executed
    assert len(stand_in.orders.to_document()['obeyed']) == 3 - checks_fencing
    stand_in.stop()


@pytest.mark.parametrize(
    ('has_weights', 'models'),
    [(True, ('figspread-small', 'new')), (False, ('figspread-small',))],
)
def test_model_is_loaded_if_the_store_has_its_weights(
    *,
    has_weights: bool,
    models: tuple[str, ...],
) -> None:
    """The order is answered at once; the load runs in the background."""
    store = WeightStandIn(ListenOptions('127.0.0.1', 0), limit=RateLimit(1))
    store.start()
    if has_weights:
        found = Weights(ModelName('new'), '2', 'http://127.0.0.1/', 1)
        url = '{0}/weights/new/2'.format(store.url)
        urllib3.request('PUT', url, body=msgspec.json.encode(found))
    desk = OrderExecutor(
        msgspec.structs.replace(FAST, weight_store=store.url, load_model_s=0),
    )
    assert desk.apply_order(
        EngineOrder(EngineOrderKind.LOAD_MODEL, 'new', '2', 1)
    ).is_ok()
    desk.wait_for_loads()
    assert desk.list_models() == models
    store.stop()


@pytest.mark.parametrize(
    ('faults', 'kind', 'runs'),
    [
        ({'silent': True}, UpstreamFaultKind.TIMED_OUT, 1),
        ({'cut_before_run': True}, UpstreamFaultKind.BROKEN, 0),
        ({'cut_after_run': True}, UpstreamFaultKind.BROKEN, 1),
        ({'cut_in_head': True}, UpstreamFaultKind.BROKEN, 1),
        ({'slow_s': 0.01}, None, 1),
        ({'error': True}, None, 0),
    ],
)
def test_service_fault_gives_its_fault_kind(
    service: ServiceStandIn,
    faults: Mapping[str, object],
    kind: UpstreamFaultKind | None,
    runs: int,
) -> None:
    """The fault doesn't tell whether the call ran; the run record does."""
    put_faults(service.url, **faults)
    call = UpstreamCall(AttemptId('att-1'), '/jobs', b'{}')
    called = HttpService(service.url, SHORT_LIMITS).call(call)
    seen_kind = called.map(read_fault_kind).unwrap_or_else(_get_kind)
    assert seen_kind is kind
    assert service.runs.to_document()['by_request'].get('att-1', 0) == runs


def _get_kind(fault: UpstreamFault) -> UpstreamFaultKind:
    return fault.kind


def test_unknown_fault_is_refused_with_the_known_ones(
    engine: EngineStandIn,
    service: ServiceStandIn,
) -> None:
    """A misspelt fault name must not be ignored silently."""
    for url, known in ((engine.url, 'die_on_marker'), (service.url, 'slow_s')):
        answer = put_faults(url, nonsense=1)
        assert answer.status == 400
        assert known.encode() in answer.data


def test_close_from_another_thread_ends_the_reader(
    engine: EngineStandIn,
) -> None:
    """The reader of a silent stream returns at once, with a fault."""
    put_faults(engine.url, silent_after_tokens=1)
    answer = HttpEngine(engine.url).submit(make_call('att-1')).unwrap()
    has_token = threading.Event()

    def read() -> None:
        for part in answer:
            if b'data' in part:
                has_token.set()

    reader = threading.Thread(target=read)
    reader.start()
    assert has_token.wait(5)
    answer.close()
    reader.join(5)
    assert not reader.is_alive()
    assert answer.fault
    assert answer.fault.kind is UpstreamFaultKind.BROKEN


def serve_once(raw: bytes) -> tuple[str, threading.Thread]:
    """Serve one connection in a thread: read a request, send `raw`, close."""
    listener = socket.create_server(('127.0.0.1', 0))

    def serve() -> None:
        with listener:
            conn, _ = listener.accept()
        with conn:
            conn.recv(65_536)
            conn.sendall(raw)

    thread = threading.Thread(target=serve)
    thread.start()
    port = listener.getsockname()[1]
    return 'http://127.0.0.1:{0}'.format(port), thread


@pytest.mark.parametrize(
    ('raw', 'kind'),
    [
        (b'', UpstreamFaultKind.BROKEN),
        (b'HTTP/1.1 200 O', UpstreamFaultKind.BROKEN),
        (b'nonsense\r\n\r\n', UpstreamFaultKind.BROKEN),
        (b'HTTP/1.1 200 OK\r\n\r\nab', UpstreamFaultKind.BROKEN),
        (b'HTTP/1.1 200 OK\r\nContent-Le', UpstreamFaultKind.BROKEN),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab',
            UpstreamFaultKind.BROKEN,
        ),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab', None),
        (b'HTTP/1.1 204 No\r\n\r\n', None),
        (b'HTTP/1.1 103 Early Hints\r\n\r\n', UpstreamFaultKind.BROKEN),
        (
            b'HTTP/1.1 103 Early Hints\r\n\r\n' * 20
            + b'HTTP/1.1 204 No\r\n\r\n',
            UpstreamFaultKind.BROKEN,
        ),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n',
            UpstreamFaultKind.BROKEN,
        ),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na',
            UpstreamFaultKind.BROKEN,
        ),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
            UpstreamFaultKind.BROKEN,
        ),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            None,
        ),
    ],
)
def test_truncated_answer_has_a_fault(
    raw: bytes,
    kind: UpstreamFaultKind | None,
) -> None:
    """Only an answer with its announced end is complete."""
    url, thread = serve_once(raw)
    called = HttpService(url, SHORT_LIMITS).call(
        UpstreamCall(AttemptId('a'), '/', b'')
    )
    assert called.map(read_fault_kind).unwrap_or_else(_get_kind) is kind
    thread.join()


@pytest.mark.parametrize(
    ('end', 'kind'),
    [
        (b'data: [DONE]\n\n', None),
        (b'data: [DONE]\r\n\r\n', None),
        (b'data: {"text":"data: [DONE]"}\n\n', UpstreamFaultKind.BROKEN),
        (b'data: [DONE', UpstreamFaultKind.BROKEN),
        (b'', UpstreamFaultKind.BROKEN),
    ],
)
def test_event_stream_without_done_event_has_a_fault(
    end: bytes,
    kind: UpstreamFaultKind | None,
) -> None:
    """An orderly close of the connection doesn't complete the stream."""
    head = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
    url, thread = serve_once(b'%sdata: {}\n\n%s' % (head, end))
    answer = HttpEngine(url, SHORT_LIMITS).submit(make_call('a')).unwrap()
    assert read_fault_kind(answer) is kind
    thread.join()


def test_informational_answer_is_not_taken_for_the_final_one() -> None:
    """Callers got the informational one, with an empty body (MIXED)."""
    hints = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
    url, thread = serve_once(
        hints + hints + b'HTTP/1.1 201 Made\r\nContent-Length: 2\r\n\r\nab'
    )
    call = UpstreamCall(AttemptId('a'), '/', b'')
    answer = HttpService(url, SHORT_LIMITS).call(call).unwrap()
    assert (answer.status, b''.join(answer), answer.fault) == (201, b'ab', None)
    assert 'Link' not in answer.headers
    thread.join()


ENDLESS_HEADS = {
    'one line': (b'HTTP/1.1 200 OK\r\nA: ', b'x'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'bytes that are no answer': (b'', b'x'),
}
# Some times the limit of a whole head.
HEAD_TOOK_S = 2


@pytest.mark.parametrize('case', ENDLESS_HEADS)
def test_head_without_end_is_given_up_in_time(case: str) -> None:
    """Bound the wait for a whole head, not that for its next bytes."""
    begin, rest = ENDLESS_HEADS[case]
    listener = socket.create_server(('127.0.0.1', 0))

    def serve() -> None:
        with listener:
            conn, _ = listener.accept()
        with conn, suppress(OSError):
            conn.recv(65_536)
            conn.sendall(begin)
            for _ in range(100):
                conn.sendall(rest)
                time.sleep(0.05)

    thread = threading.Thread(target=serve)
    thread.start()
    url = 'http://127.0.0.1:{0}'.format(listener.getsockname()[1])
    started_s = time.monotonic()
    kind = _call_and_get_fault_kind(url, {})
    assert time.monotonic() - started_s < HEAD_TOOK_S
    assert kind is UpstreamFaultKind.TIMED_OUT
    thread.join()


def test_call_is_not_sent_if_no_byte_was_sent() -> None:
    """Covers a refused connection, a full backlog and an invalid header."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port = listener.getsockname()[1]
    url = 'http://127.0.0.1:{0}'.format(port)
    assert _call_and_get_fault_kind(url, {}) is UpstreamFaultKind.NOT_SENT
    with socket.create_server(('127.0.0.1', 0)) as idle:
        bad = {'X-Bad': 'a\r\nX-More: b'}
        url = 'http://127.0.0.1:{0}'.format(idle.getsockname()[1])
        assert _call_and_get_fault_kind(url, bad) is UpstreamFaultKind.NOT_SENT
    with socket.create_server(('127.0.0.1', 0), backlog=0) as full:
        address = full.getsockname()
        url = 'http://127.0.0.1:{0}'.format(address[1])
        with socket.create_connection(address):
            assert (
                _call_and_get_fault_kind(url, {}) is UpstreamFaultKind.NOT_SENT
            )


def _call_and_get_fault_kind(
    url: str, headers: Mapping[str, str]
) -> UpstreamFaultKind:
    call = UpstreamCall(AttemptId('a'), '/', b'', headers=headers)
    return HttpService(url, SHORT_LIMITS).call(call).unwrap_err().kind
