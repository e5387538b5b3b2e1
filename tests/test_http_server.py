"""Detection of disconnected callers, and closing of streamed answers."""

import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import cherrypy
import pytest
import urllib3

from figspread.http.server import (
    BREAK_OFF_DELAY_S,
    SOCKET_KEY,
    SOCKET_TIMEOUT_S,
    STOP_TIMEOUT_S,
    HttpServer,
    ListenOptions,
    is_caller_disconnected,
)

CALLER_COUNT = 60


def test_check_of_a_quiet_caller_does_not_block() -> None:
    """A blocked check would keep its thread from checking the deadline."""
    server_end, caller_end = socket.socketpair()
    with server_end, caller_end:
        server_end.settimeout(SOCKET_TIMEOUT_S)
        started = time.monotonic()
        assert not is_caller_disconnected({SOCKET_KEY: server_end})
        assert time.monotonic() - started < SOCKET_TIMEOUT_S / 2


def test_caller_that_sent_more_is_connected() -> None:
    """The check leaves the sent bytes to be read."""
    server_end, caller_end = socket.socketpair()
    with server_end, caller_end:
        server_end.settimeout(SOCKET_TIMEOUT_S)
        caller_end.send(b'GET')
        assert not is_caller_disconnected({SOCKET_KEY: server_end})
        assert server_end.recv(3) == b'GET'


def test_caller_that_closed_is_disconnected() -> None:
    """The check tells its thread to abandon the request."""
    server_end, caller_end = socket.socketpair()
    with server_end:
        server_end.settimeout(SOCKET_TIMEOUT_S)
        caller_end.close()
        assert is_caller_disconnected({SOCKET_KEY: server_end})


def test_connection_closed_by_the_server_is_disconnected() -> None:
    """The server may close it while its thread handles the request."""
    server_end, caller_end = socket.socketpair()
    with caller_end:
        server_end.settimeout(SOCKET_TIMEOUT_S)
        server_end.close()
        assert is_caller_disconnected({SOCKET_KEY: server_end})


class _Stream:
    """A streamed answer that records whether it was closed."""

    def __init__(self) -> None:
        self.is_closed = threading.Event()
        self._pieces = iter((b'data: 1', b'data: 2'))

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return next(self._pieces)

    def close(self) -> None:
        self.is_closed.set()


class _Root:
    def __init__(self, kind: str) -> None:
        self.stream = _Stream()
        self._kind = kind

    def index(self) -> _Stream:
        cherrypy.response.stream = True
        cherrypy.response.headers['Content-Type'] = self._kind
        return self.stream

    index.exposed = True  # type: ignore[attr-defined]


@pytest.mark.parametrize('kind', ['text/event-stream', 'application/json'])
def test_streamed_answer_is_closed(kind: str) -> None:
    """Closing it releases its request's slot, whatever the content type."""
    root = _Root(kind)
    server = HttpServer(root, ListenOptions('127.0.0.1', 0))
    server.start()
    try:
        url = 'http://127.0.0.1:{0}/'.format(server.port)
        answer = urllib3.request('GET', url, retries=False)
        assert answer.data == b'data: 1data: 2'
        assert answer.headers['Content-Type'] == kind
        assert root.stream.is_closed.wait(5)
    finally:
        server.stop()


class _EndlessStream:
    """A streamed answer whose caller has to read fast to see its end."""

    def __init__(self) -> None:
        self.is_closed = threading.Event()

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return bytes(65_536)

    def close(self) -> None:
        self.is_closed.set()


class _EndlessRoot:
    def __init__(self) -> None:
        self.stream = _EndlessStream()

    def index(self) -> _EndlessStream:
        cherrypy.response.stream = True
        return self.stream

    index.exposed = True  # type: ignore[attr-defined]


def test_stop_breaks_off_answers_of_callers_that_keep_reading() -> None:
    """Guard against a server that stops only when its last caller has read."""
    root = _EndlessRoot()
    server = HttpServer(root, ListenOptions('127.0.0.1', 0))
    server.start()
    url = 'http://127.0.0.1:{0}/'.format(server.port)
    answer = urllib3.request('GET', url, retries=False, preload_content=False)
    reader = threading.Thread(target=_read_to_its_end, args=(answer,))
    reader.start()
    stopper = threading.Thread(target=server.stop, daemon=True)
    stopper.start()
    stopper.join(STOP_TIMEOUT_S + BREAK_OFF_DELAY_S + 3)
    assert not stopper.is_alive()
    assert root.stream.is_closed.wait(1)
    reader.join()


def _read_to_its_end(answer: urllib3.BaseHTTPResponse) -> None:
    with pytest.raises(urllib3.exceptions.ProtocolError):
        while answer.read(65_536):
            """Take what has arrived."""


def test_leaving_server_closes_kept_connections_after_an_answer() -> None:
    """Guard against requests on connections that are about to be closed."""
    server = HttpServer(_Root('text/plain'), ListenOptions('127.0.0.1', 0))
    server.start()
    server.close_after_answers()
    try:
        url = 'http://127.0.0.1:{0}/'.format(server.port)
        answer = urllib3.request('GET', url, retries=False)
    finally:
        server.stop()
    assert answer.headers['Connection'] == 'close'


def test_connections_that_wait_to_be_accepted_are_answered() -> None:
    """Guard against a stop that resets the callers that have just connected."""
    server = HttpServer(_Root('text/plain'), ListenOptions('127.0.0.1', 0))
    server.start()
    conns = [
        socket.create_connection(('127.0.0.1', server.port), 5)
        for _ in range(CALLER_COUNT)
    ]
    for conn in conns:
        conn.sendall(b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n')
    server.stop()
    heads = [_read_head(conn) for conn in conns]
    assert set(heads) == {b'HTTP/1.1 200'}


def _read_head(conn: socket.socket) -> bytes:
    with conn:
        try:
            return conn.recv(12)
        except OSError as exc:
            return str(exc).encode()


def test_server_can_be_stopped_by_several_threads() -> None:
    """Guard against a stop that fails on what another one has closed."""
    server = HttpServer(_Root('text/plain'), ListenOptions('127.0.0.1', 0))
    server.start()
    with ThreadPoolExecutor() as pool:
        stops = [pool.submit(server.stop) for _ in range(4)]
    assert {stop.exception() for stop in stops} == {None}
