"""A stand-in for a plain service, which echoes and counts calls."""

import threading
from collections.abc import Iterator, Mapping
from typing import Final

import cherrypy
from result import Err

from figspread.http.server import HttpServer, ListenOptions
from figspread.standins.engine import PAGES
from figspread.standins.faults import FaultSwitches, ServiceFaults
from figspread.standins.http import (
    RequestConnection,
    answer_error,
    answer_json,
    read_body,
    read_headers,
)
from figspread.standins.run_record import RunRecord, digest_body

_MAX_SILENCE_S: Final = 600


class ServicePages:
    """Echoes any call; paths under `/standin` control the stand-in."""

    def __init__(self) -> None:
        """Start with no runs counted and no faults."""
        self.runs = RunRecord()
        self.is_stopped = threading.Event()
        self._lock = threading.Lock()
        self._faults = FaultSwitches(ServiceFaults())

    @cherrypy.expose
    def default(self, /, *parts: str, **query: str) -> bytes | Iterator[bytes]:
        """Dispatch the current request by its method and path."""
        match (cherrypy.request.method, *parts):
            case ('GET', 'standin', 'runs'):
                return answer_json(self.runs.to_document())
            case ('PUT', 'standin', 'faults'):
                return self._put_faults()
        return self._handle_call()

    def _put_faults(self) -> bytes:
        with self._lock:
            result = self._faults.replace_from_json(read_body())
        if isinstance(result, Err):
            return answer_error(400, result.err_value)
        return answer_json(result.ok_value)

    def _handle_call(self) -> bytes | Iterator[bytes]:
        body = read_body()
        with self._lock:
            faults = self._faults.select_for_request()
        if faults.cut_before_run:
            RequestConnection().abort()
            return b''
        if faults.error:
            return answer_error(500, 'an error by a fault switch')
        self.runs.add(read_headers(), digest_body(body))
        self.is_stopped.wait(faults.slow_s)
        if faults.silent:
            self.is_stopped.wait(_MAX_SILENCE_S)
        if faults.cut_in_head:
            RequestConnection().end_within_head()
            return b''
        echo = answer_json(_build_echo(body))
        cherrypy.response.headers['Content-Length'] = str(len(echo))
        if faults.cut_after_run:
            return _send_half(echo, RequestConnection())
        return echo


class ServiceStandIn:
    """Serves a plain service on a listening address."""

    def __init__(self, listen: ListenOptions | None = None) -> None:
        """Prepare the service, on a free loopback port by default."""
        self._listen = listen or ListenOptions('127.0.0.1', 0)
        self._pages = ServicePages()
        self._server = HttpServer(self._pages, self._listen, PAGES)

    @property
    def runs(self) -> RunRecord:
        """The counts of calls that ran."""
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
        """Start the server."""
        self._server.start()

    def stop(self) -> None:
        """End silent calls and stop the server."""
        self._pages.is_stopped.set()
        self._server.stop()


def _send_half(echo: bytes, connection: RequestConnection) -> Iterator[bytes]:
    yield echo[: len(echo) // 2]
    connection.abort()


def _build_echo(body: bytes) -> Mapping[str, object]:
    # The undecoded path; CherryPy decodes the segments that it passes.
    request_target = cherrypy.request.wsgi_environ['REQUEST_URI']
    path, _, query = request_target.partition('?')
    return {
        'method': cherrypy.request.method,
        'path': path,
        'query': query,
        'headers': read_headers(),
        'body': body.decode('utf-8', 'replace'),
    }
