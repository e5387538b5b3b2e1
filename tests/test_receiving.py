"""Callers that hold requests back take no thread that a whole request needs.

Slow uploads took every thread of an entry, and those that stopped short got 500.
"""

import socket
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager, suppress
from typing import Any, Final
from unittest.mock import Mock

import cherrypy
import pytest

from figspread.entry.receiving import build_refusal
from figspread.http.connections import CONNECTION_KEY
from figspread.http.receive_options import ReceiveFault, ReceiveOptions
from figspread.http.server import HttpServer, ListenOptions

THREADS: Final = 2
BODY_LIMIT: Final = 100_000
TIMEOUT_S: Final = 10
# More than the threads.
SLOW_CALLERS: Final = 12
_NO_BODY_READING: Final = {'/': {'request.process_request_body': False}}


class _Held:
    """Counts how often it was given back."""

    def __init__(self) -> None:
        self.releases = 0

    def release(self) -> None:
        self.releases += 1


class _Echo:
    """Answers with the body of the request."""

    def default(self, /, *_segments: str, **_query: str) -> Any:
        """Answer any request."""
        length = int(cherrypy.request.headers.get('Content-Length', 0))
        return b'[' + cherrypy.request.rfile.read(length) + b']'

    default.exposed = True  # type: ignore[attr-defined]


class _Fixture:
    """A server with two threads, and the reasons that it reported."""

    def __init__(self, **options: Any) -> None:
        self.reports: list[str] = []
        self.held = _Held()
        receive = ReceiveOptions(
            **{
                'body_bytes': BODY_LIMIT,
                'hold': lambda size: self.held,
                'build_refusal': build_refusal,
                'report': self.reports.append,
                **options,
            }
        )
        self.server = HttpServer(
            _Echo(),
            ListenOptions('127.0.0.1', 0, threads=THREADS),
            _NO_BODY_READING,
            receive,
        )

    def connect(self) -> socket.socket:
        """Return a connected socket."""
        return socket.create_connection(
            ('127.0.0.1', self.server.port), TIMEOUT_S
        )

    def call(self) -> bytes:
        """Send an ordinary request and return its answer."""
        with self.connect() as sock:
            sock.sendall(_make_request(b'hello', b'Connection: close\r\n'))
            return _read_to_end(sock)


@contextmanager
def _serve(**options: Any) -> Iterator[_Fixture]:
    fixture = _Fixture(**options)
    fixture.server.start()
    try:
        yield fixture
    finally:
        fixture.server.stop()


def _make_request(body: bytes, fields: bytes = b'', size: int = 0) -> bytes:
    return b'POST /x HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s' % (
        fields,
        size or len(body),
        body,
    )


def _read_to_end(sock: socket.socket) -> bytes:
    received = bytearray()
    while octets := sock.recv(65_536):
        received += octets
    return bytes(received)


def test_slow_uploads_take_no_thread() -> None:
    """An ordinary request is answered while they wait."""
    with _serve() as fixture, ExitStack() as stack:
        for _ in range(SLOW_CALLERS):
            sock = stack.enter_context(fixture.connect())
            sock.sendall(_make_request(b'x' * 99, size=100))
        assert fixture.call().endswith(b'[hello]')


def test_slow_heads_take_no_thread() -> None:
    """Nor do callers that don't end their heads."""
    with _serve() as fixture, ExitStack() as stack:
        for _ in range(SLOW_CALLERS):
            sock = stack.enter_context(fixture.connect())
            sock.sendall(b'POST /x HTTP/1.1\r\nHost:')
        assert fixture.call().endswith(b'[hello]')


def test_refused_callers_that_send_on_take_no_thread() -> None:
    """What they send is discarded, and each gets its answer."""
    with _serve() as fixture, ExitStack() as stack:
        socks = [
            stack.enter_context(fixture.connect()) for _ in range(SLOW_CALLERS)
        ]
        for sock in socks:
            sock.sendall(_make_request(b'x' * 1000, size=BODY_LIMIT + 1))
        assert fixture.call().endswith(b'[hello]')
        for sock in socks:
            sock.sendall(b'x' * 1000)
            assert _read_to_end(sock).startswith(b'HTTP/1.1 413 ')
    assert len(fixture.reports) == SLOW_CALLERS
    assert set(fixture.reports) == {ReceiveFault.TOO_LARGE.value}


@pytest.mark.parametrize(
    ('octets', 'is_ended', 'options', 'status'),
    [
        # An upload that stops short got 500.
        (_make_request(b'x' * 99, size=100), True, {}, b'400'),
        (
            _make_request(b'x' * 99, size=100),
            False,
            {'body_timeout_s': 0.1},
            b'408',
        ),
        (b'POST /x HTTP/1.1\r\nHost', False, {'head_timeout_s': 0.1}, b'408'),
        (
            b'POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n',
            False,
            {},
            b'400',
        ),
        (_make_request(b'hello'), False, {'hold': lambda size: None}, b'503'),
        (
            _make_request(b'', size=5),
            False,
            {'find_fault': lambda: ReceiveFault.FULL},
            b'503',
        ),
        (
            _make_request(b'x' * 90_000, size=100_000),
            False,
            {'receiving_bytes': 50_000},
            b'503',
        ),
    ],
)
def test_requests_that_cannot_be_received_are_refused(
    octets: bytes, is_ended: bool, options: dict[str, Any], status: bytes
) -> None:
    """No thread runs them, so that the refusal's promise is true."""
    with _serve(**options) as fixture, fixture.connect() as sock:
        sock.sendall(octets)
        if is_ended:
            sock.shutdown(socket.SHUT_WR)
        answer = _read_to_end(sock)
    assert answer.startswith(b'HTTP/1.1 ' + status)
    assert len(fixture.reports) == 1


def test_connection_that_holds_back_gives_way() -> None:
    """A new caller gets in among more than the limit."""
    with _serve(connections=4) as fixture, ExitStack() as stack:
        socks = [
            stack.enter_context(fixture.connect()) for _ in range(SLOW_CALLERS)
        ]
        for sock in socks:
            # It may have given way already.
            with suppress(OSError):
                sock.sendall(_make_request(b'x' * 99, size=100))
        assert fixture.call().endswith(b'[hello]')
    assert any(why.startswith('connection limit') for why in fixture.reports)


def test_requests_in_one_write_are_answered_in_order() -> None:
    """What follows a request belongs to the next one."""
    with _serve() as fixture, fixture.connect() as sock:
        sock.sendall(
            _make_request(b'first')
            + _make_request(b'second')
            + _make_request(b'third', b'Connection: close\r\n')
        )
        received = _read_to_end(sock)
    bodies = [
        received.index(body) for body in (b'[first]', b'[second]', b'[third]')
    ]
    assert bodies == sorted(bodies)
    assert fixture.held.releases == 3


def test_body_is_asked_for_once() -> None:
    """A caller that waits for status 100 gets it before its body is due."""
    fields = b'Expect: 100-continue\r\nConnection: close\r\n'
    with _serve() as fixture, fixture.connect() as sock:
        sock.sendall(_make_request(b'', fields, size=5))
        assert sock.recv(100) == b'HTTP/1.1 100 Continue\r\n\r\n'
        sock.sendall(b'hello')
        answer = _read_to_end(sock)
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert answer.endswith(b'[hello]')


def test_large_body_in_small_pieces_is_whole() -> None:
    """The end of the head and of the body may be anywhere in a read."""
    body = bytes(range(256)) * 300
    octets = _make_request(body, b'Connection: close\r\n')
    with _serve() as fixture, fixture.connect() as sock:
        for start in range(0, len(octets), 997):
            sock.sendall(octets[start : start + 997])
        assert _read_to_end(sock).endswith(b'[' + body + b']')


def test_request_that_has_begun_is_refused_at_the_stop() -> None:
    """Its caller learns that it has not run."""
    with _serve() as fixture, fixture.connect() as sock:
        sock.sendall(_make_request(b'x' * 99, size=100))
        assert fixture.call()
        fixture.server.stop()
        assert _read_to_end(sock).startswith(b'HTTP/1.1 503 ')
    assert fixture.reports == [ReceiveFault.LEAVING.value]


def test_thread_outlasts_a_connection_that_its_caller_reset() -> None:
    """An exception while a connection was closed ended its thread."""
    with _serve() as fixture:
        for _ in range(THREADS * 2):
            with fixture.connect() as sock:
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    (1).to_bytes(4, 'little') + bytes(4),
                )
                sock.sendall(_make_request(b'x', b'Connection: close\r\n'))
        with ThreadPoolExecutor() as pool:
            calls = [pool.submit(fixture.call) for _ in range(4)]
        assert all(call.result().endswith(b'[hello]') for call in calls)


class _SlowAnswer:
    """Answers in two parts, the second once `may_end` is set.

    `released` is set once the place of the request is free.
    """

    def __init__(self) -> None:
        self.started = threading.Event()
        self.may_end = threading.Event()
        self.released = threading.Event()

    def default(self, /, *_segments: str) -> Any:
        """Answer any request."""
        conn = cherrypy.request.wsgi_environ[CONNECTION_KEY]
        conn.after_answer.append(self.released.set)
        cherrypy.response.stream = True
        return self._answer()

    default.exposed = True  # type: ignore[attr-defined]

    def _answer(self) -> Iterator[bytes]:
        yield b'a'
        self.started.set()
        self.may_end.wait(TIMEOUT_S)
        yield b'b'


def test_slow_reader_keeps_its_place() -> None:
    """Its thread is not free, so that another request would find none."""
    root = _SlowAnswer()
    server = HttpServer(root, ListenOptions('127.0.0.1', 0))
    server.start()
    try:
        with socket.create_connection(('127.0.0.1', server.port)) as sock:
            sock.sendall(
                b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
            )
            assert root.started.wait(TIMEOUT_S)
            assert not root.released.is_set()
            root.may_end.set()
            _read_to_end(sock)
        assert root.released.wait(TIMEOUT_S)
    finally:
        server.stop()


def test_descriptors_that_run_out_do_not_end_the_server() -> None:
    """It reports that, and accepts again later."""
    with _serve() as fixture:
        assert fixture.call()
        receiver = fixture.server._server.receiver
        listener = Mock()
        listener.accept.side_effect = OSError(24, 'Too many open files')
        receiver._accept(listener)
        assert fixture.reports == ['accept failed: Too many open files']
        assert fixture.call()
