"""Serves a CherryPy application without CherryPy's global engine.

Each server has its own cheroot instance, so that a process can run several.
"""

import select
import socket
import threading
import time
from contextlib import suppress
from typing import Any, Final

import cherrypy
import msgspec
from cheroot import wsgi
from cheroot.server import HTTPConnection

from figspread.http.connections import CONNECTION_KEY, ReceivedConnection
from figspread.http.framing import StrictRequest
from figspread.http.receive_options import ReceiveOptions
from figspread.http.receiving import Receiver

# Connections that the kernel queues until they are accepted.
ACCEPT_QUEUE: Final = 128
# Bounds the time in which a server that stops accepts these.
ACCEPT_TIMEOUT_S: Final = 1.0
ACCEPT_CHECK_INTERVAL_S: Final = 0.001
HEADER_LIMIT_BYTES: Final = 65_536
SOCKET_TIMEOUT_S: Final = 10
STOP_TIMEOUT_S: Final = 5
# How long callers may read on after that before the rest is broken off.
BREAK_OFF_DELAY_S: Final = 2
# Keys of the WSGI environment that hold the caller's socket and cheroot's
# request.
SOCKET_KEY: Final = 'figspread.socket'
REQUEST_KEY: Final = 'figspread.request'


class ListenOptions(msgspec.Struct, frozen=True):
    """Address and options of an HTTP server.

    `threads` is the number of worker threads, and `body_limit` the largest
    request body in bytes.
    """

    host: str
    port: int
    threads: int = 16
    body_limit: int = 1_048_576
    socket_timeout_s: int = SOCKET_TIMEOUT_S


class _Request(StrictRequest):
    """Announces that the server closes the connection, if it is leaving."""

    def send_headers(self) -> None:
        """Send the head of the response."""
        if self.server.is_leaving:
            self.close_connection = True
        super().send_headers()


class _Connection(ReceivedConnection):
    RequestHandlerClass = _Request  # noqa: WPS115 - cheroot's name


class _Server(wsgi.Server):
    """Serves what a receiver passes on, and knows whom it is answering."""

    is_leaving = False

    def __init__(
        self, receive: ReceiveOptions, *options: Any, **named_options: Any
    ) -> None:
        super().__init__(*options, **named_options)
        self.busy_conns: set[HTTPConnection] = set()
        self.receiver = Receiver(
            receive, self._make_connection, self.requests.put
        )

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether a connection is kept after its answer."""
        return bool(self.ready) and self.receiver.has_room

    def serve(self) -> None:
        """Receive requests until the receiver is stopped."""
        self.receiver.run(self.socket)

    def put_conn(self, conn: ReceivedConnection) -> None:
        """Wait for the next request of a connection."""
        self.receiver.take_back(conn)

    def break_off_answers(self) -> None:
        """Shut down the connections whose answers aren't complete."""
        for conn in tuple(self.busy_conns):
            with suppress(OSError):
                conn.socket.shutdown(socket.SHUT_RDWR)

    def _make_connection(
        self, sock: socket.socket, address: Any
    ) -> ReceivedConnection:
        conn = _Connection(self, sock, self.receiver.take_back, self.timeout)
        conn.remote_addr = address[0]
        conn.remote_port = address[1]
        conn.ssl_env = {}
        return conn


class _Gateway(wsgi.Gateway_10):
    """Exposes the caller's socket, so that handlers can detect its close."""

    def respond(self) -> None:
        """Answer the request."""
        busy_conns = self.req.server.busy_conns
        busy_conns.add(self.req.conn)
        try:
            super().respond()
        finally:
            busy_conns.discard(self.req.conn)
            self.req.conn.release()

    def get_environ(self) -> Any:  # noqa: WPS615 - cheroot's name
        """Return the WSGI environment with the socket and the request."""
        environ: Any = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        environ[REQUEST_KEY] = self.req
        environ[CONNECTION_KEY] = self.req.conn
        return environ


class HttpServer:
    """Serves `root`, a tree of CherryPy page handlers, until stopped."""

    def __init__(
        self,
        root: object,
        listen: ListenOptions,
        pages: dict[str, dict[str, Any]] | None = None,
        receive: ReceiveOptions | None = None,
    ) -> None:
        """Create the server; it listens once `start` is called.

        `pages` is the CherryPy configuration by path, `receive` the limits of
        what clients send.
        """
        # CherryPy's encoding tool would wrap a streamed answer in a generator
        # of its own, and the handler's iterator would never be closed.
        cherrypy.config.update(
            {'environment': 'embedded', 'tools.encode.on': False},
        )
        app = cherrypy.Application(root, '', config=pages or {})
        app.log.screen = False
        self._server = _Server(
            receive
            or ReceiveOptions(
                head_timeout_s=listen.socket_timeout_s,
                idle_timeout_s=listen.socket_timeout_s,
            ),
            (listen.host, listen.port),
            app,
            numthreads=listen.threads,
            max=listen.threads,
            request_queue_size=ACCEPT_QUEUE,
            timeout=listen.socket_timeout_s,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self._server.gateway = _Gateway
        self._server.max_request_body_size = listen.body_limit
        self._server.max_request_header_size = HEADER_LIMIT_BYTES
        self._stop_lock = threading.Lock()
        self._thread = threading.Thread(
            target=self._server.serve,
            name='http-{0}'.format(listen.port),
            daemon=True,
        )

    @property
    def port(self) -> int:
        """The port that the server listens on; the bound one if 0 was asked."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Listen, and serve in a background thread.

        Raises `OSError` when the address can't be bound.
        """
        self._server.prepare()
        self._thread.start()

    def close_after_answers(self) -> None:
        """Close each connection after its next answer, and announce it there."""
        self._server.is_leaving = True

    def stop(self) -> None:
        """Stop listening and end the server's threads.

        Answers that aren't complete after `STOP_TIMEOUT_S` and
        `BREAK_OFF_DELAY_S` are broken off.
        """
        timer = threading.Timer(
            STOP_TIMEOUT_S + BREAK_OFF_DELAY_S, self._server.break_off_answers
        )
        timer.daemon = True
        timer.start()
        self._stop_listening()
        self._server.stop()
        timer.cancel()
        self._thread.join(STOP_TIMEOUT_S)

    def _stop_listening(self) -> None:
        """Accept the connections that wait, and refuse new ones.

        Closing the socket would reset those that the kernel has accepted. With
        the queue at its shortest, it leaves others unanswered until then.
        """
        sock = getattr(self._server, 'socket', None)
        # Another thread may have stopped the server already.
        is_first = self._stop_lock.acquire(blocking=False)
        if sock is None or not is_first:
            return
        sock.listen(0)
        _wait_until_quiet(sock, ACCEPT_TIMEOUT_S)
        self._server.receiver.stop()
        sock.close()


def _wait_until_quiet(sock: socket.socket, timeout_s: float) -> None:
    """Wait until no connection of the listening `sock` waits for `accept`."""
    end_s = time.monotonic() + timeout_s
    while _is_readable(sock) and time.monotonic() < end_s:
        time.sleep(ACCEPT_CHECK_INTERVAL_S)


def is_caller_disconnected(environ: dict[str, Any]) -> bool:
    """Return whether the caller of the request in `environ` disconnected.

    Never blocks: a socket with a timeout waits that long in `recv` for a quiet
    caller, even with non-blocking flags, so it is read only when a poll says
    that it is readable.
    """
    sock = environ[SOCKET_KEY]
    try:
        return _is_readable(sock) and sock.recv(1, socket.MSG_PEEK) == b''
    except (OSError, ValueError):
        # The socket was closed on this side and has no file descriptor.
        return True


def _is_readable(sock: socket.socket) -> bool:
    # A socket with a timeout would block in `recv`, whatever the flags.
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))
