"""A CherryPy application on its own HTTP server, without a global engine."""

import select
import socket
import threading
from typing import Any, Final

import cherrypy
import msgspec
from cheroot import wsgi

from figspread.http.framing import StrictConnection

ACCEPT_QUEUE: Final = 128
HEADER_LIMIT_BYTES: Final = 65_536
SOCKET_TIMEOUT_S: Final = 10
STOP_TIMEOUT_S: Final = 5
SOCKET_KEY: Final = 'figspread.socket'
REQUEST_KEY: Final = 'figspread.request'


class Listen(msgspec.Struct, frozen=True):
    """Where and how an HTTP server listens; bodies are bounded in bytes."""

    host: str
    port: int
    threads: int = 16
    body_limit: int = 1_048_576
    socket_timeout_s: int = SOCKET_TIMEOUT_S


class _Gateway(wsgi.Gateway_10):
    """Gives the page handlers the caller's connection, to see it close."""

    def get_environ(self) -> Any:  # noqa: WPS615 - the server's own name
        """Return the WSGI environment with the socket in it."""
        environ: Any = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        environ[REQUEST_KEY] = self.req
        return environ


class HttpServer:
    """Serves `root`, a CherryPy page handler tree, until stopped."""

    def __init__(
        self,
        root: object,
        listen: Listen,
        pages: dict[str, dict[str, Any]] | None = None,
    ) -> None:
        """Prepare the server; nothing listens before `start`."""
        # The encoder would wrap streamed texts in a generator of its own, so
        # that nobody closes the page's iterator.
        cherrypy.config.update(
            {'environment': 'embedded', 'tools.encode.on': False},
        )
        app = cherrypy.Application(root, '', config=pages or {})
        app.log.screen = False
        self._server = wsgi.Server(
            (listen.host, listen.port),
            app,
            numthreads=listen.threads,
            max=listen.threads,
            request_queue_size=ACCEPT_QUEUE,
            timeout=listen.socket_timeout_s,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self._server.gateway = _Gateway
        self._server.ConnectionClass = StrictConnection
        self._server.max_request_body_size = listen.body_limit
        self._server.max_request_header_size = HEADER_LIMIT_BYTES
        self._thread = threading.Thread(
            target=self._server.serve,
            name='http-{0}'.format(listen.port),
            daemon=True,
        )

    @property
    def port(self) -> int:
        """The port that the server listens on, also when it was 0."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Listen and serve in a thread; raises `OSError` on a bad address."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and end the threads."""
        self._server.stop()
        self._thread.join(STOP_TIMEOUT_S)


def is_caller_gone(environ: dict[str, Any]) -> bool:
    """Tell whether the caller of the request in `environ` has closed.

    It returns at once: a socket with a time limit would wait that long for a
    quiet caller, whatever the flags say, so it is asked only when it has
    something to tell.
    """
    sock = environ[SOCKET_KEY]
    try:
        return _is_readable(sock) and sock.recv(1, socket.MSG_PEEK) == b''
    except (OSError, ValueError):
        # A socket that was closed here has no number to ask by.
        return True


def _is_readable(sock: socket.socket) -> bool:
    # A socket with a time limit waits for it in `recv`, whatever the flags.
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
