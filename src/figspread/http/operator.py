"""Operator pages, which each process serves on the loopback interface."""

from collections.abc import Callable, Sequence
from typing import Any, Final

import cherrypy
import msgspec

from figspread.http.server import HttpServer, ListenOptions
from figspread.ids import RequestId
from figspread.telemetry.trail import Hop

OPERATOR_HOST: Final = '127.0.0.1'
OPERATOR_THREADS: Final = 4
# Largest request body.
BODY_LIMIT_BYTES: Final = 65_536


class OperatorCallbacks(msgspec.Struct, frozen=True):
    """Callbacks through which the pages read and control the process."""

    get_status: Callable[[], object]
    list_hops: Callable[[RequestId], Sequence[Hop]]
    render_metrics: Callable[[], bytes]
    drain: Callable[[], None]


class OperatorPages:
    """CherryPy handlers: health, metrics, status, request trails and drain."""

    def __init__(self, callbacks: OperatorCallbacks) -> None:
        """Serve the pages through the callbacks `callbacks`."""
        self._callbacks = callbacks

    @cherrypy.expose
    def healthz(self) -> bytes:
        """Return that the process is up."""
        return _render_json({'status': 'up'})

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        cherrypy.response.headers['Content-Type'] = 'text/plain; version=0.0.4'
        return self._callbacks.render_metrics()

    @cherrypy.expose
    def operator(self, page: str, *names: str, **_query: str) -> Any:
        """Serve GET `status` and `requests/ID`, and POST `drain`."""
        match (cherrypy.request.method, page, names):
            case ('GET', 'status', ()):
                return _render_json(self._callbacks.get_status())
            case ('GET', 'requests', (name,)):
                return self._render_hops(RequestId(name))
            case ('POST', 'drain', ()):
                self._callbacks.drain()
                cherrypy.response.status = 202
                return _render_json({'draining': True})
            case _:
                return _render_not_found('there is no such page')

    def _render_hops(self, request: RequestId) -> bytes:
        hops = self._callbacks.list_hops(request)
        if not hops:
            return _render_not_found('nothing is known of this request here')
        return _render_json({'request_id': request, 'hops': hops})


def make_operator_server(callbacks: OperatorCallbacks, port: int) -> HttpServer:
    """Return a server for the operator pages on `port`; not started yet."""
    listen = ListenOptions(
        OPERATOR_HOST,
        port,
        threads=OPERATOR_THREADS,
        body_limit=BODY_LIMIT_BYTES,
    )
    return HttpServer(
        OperatorPages(callbacks),
        listen,
        {'/': {'request.show_tracebacks': False}},
    )


def _render_json(document: object) -> bytes:
    cherrypy.response.headers['Content-Type'] = 'application/json'
    return msgspec.json.encode(document)


def _render_not_found(detail: str) -> bytes:
    cherrypy.response.status = 404
    return _render_json({'title': 'Not Found', 'status': 404, 'detail': detail})
