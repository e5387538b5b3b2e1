"""A stand-in plain service, which echoes calls and records its runs."""

import threading
from collections.abc import Iterator, Mapping
from typing import Final

import cherrypy
from result import Err

from figspread.http.server import HttpServer, ListenOptions
from figspread.standins.engine import PAGES
from figspread.standins.faults import FaultSwitches, ServiceFaults
from figspread.standins.http import (
    Connection,
    answer_error,
    answer_json,
    read_body,
    read_headers,
)
from figspread.standins.runs import RunRecord, digest_body

_SILENCE_LIMIT_S: Final = 600


class ServicePages:
    """Echoes any call; pages under `/standin` are about the stand-in."""

    def __init__(self) -> None:
        """Start with an empty record and no faults."""
        self.runs = RunRecord()
        self.is_stopped = threading.Event()
        self._lock = threading.Lock()
        self._faults = FaultSwitches(ServiceFaults())

    @cherrypy.expose
    def default(self, /, *parts: str, **query: str) -> bytes | Iterator[bytes]:
        """Answer any request."""
        match (cherrypy.request.method, *parts):
            case ('GET', 'standin', 'runs'):
                return answer_json(self.runs.to_document())
            case ('PUT', 'standin', 'faults'):
                return self._put_faults()
        return self._call()

    def _put_faults(self) -> bytes:
        with self._lock:
            done = self._faults.put(read_body())
        if isinstance(done, Err):
            return answer_error(400, done.err_value)
        return answer_json(done.ok_value)

    def _call(self) -> bytes | Iterator[bytes]:
        body = read_body()
        with self._lock:
            faults = self._faults.hit()
        if faults.cut_before_run:
            Connection().cut()
            return b''
        if faults.error:
            return answer_error(500, 'an error by a fault switch')
        self.runs.add(read_headers(), digest_body(body))
        self.is_stopped.wait(faults.slow_s)
        if faults.silent:
            self.is_stopped.wait(_SILENCE_LIMIT_S)
        echo = answer_json(_echo(body))
        cherrypy.response.headers['Content-Length'] = str(len(echo))
        if faults.cut_after_run:
            return _cut_in_half(echo, Connection())
        return echo


class ServiceStandIn:
    """A plain service from start to stop."""

    def __init__(self, listen: ListenOptions | None = None) -> None:
        """Prepare the service."""
        self._listen = listen or ListenOptions('127.0.0.1', 0)
        self._pages = ServicePages()
        self._server = HttpServer(self._pages, self._listen, PAGES)

    @property
    def runs(self) -> RunRecord:
        """The record of what ran."""
        return self._pages.runs

    @property
    def url(self) -> str:
        """The service's base URL."""
        return 'http://{0}:{1}'.format(self._listen.host, self._server.port)

    @property
    def port(self) -> int:
        """The port that the service listens on."""
        return self._server.port

    def start(self) -> None:
        """Listen and serve."""
        self._server.start()

    def stop(self) -> None:
        """End silent calls and stop listening."""
        self._pages.is_stopped.set()
        self._server.stop()


def _cut_in_half(echo: bytes, connection: Connection) -> Iterator[bytes]:
    yield echo[: len(echo) // 2]
    connection.cut()


def _echo(body: bytes) -> Mapping[str, object]:
    # The path as it was sent; CherryPy decodes its parts.
    target = cherrypy.request.wsgi_environ['REQUEST_URI']
    path, _, query = target.partition('?')
    return {
        'method': cherrypy.request.method,
        'path': path,
        'query': query,
        'headers': read_headers(),
        'body': body.decode('utf-8', 'replace'),
    }
