"""An in-memory stand-in for the Object API, with fault switches."""

import re
from typing import Any, Final

import cherrypy
import msgspec

from figspread.http.server import HttpServer, ListenOptions
from figspread.platform.types import Conflict, Written
from figspread.standins.fault_injection import (
    PAGES,
    FaultInjector,
    FaultPages,
    drop_connection,
)
from figspread.standins.faults import ObjectFaults
from figspread.standins.object_table import ObjectTable

MAX_VALUE_BYTES: Final = 1_048_576
MAX_WATCH_S: Final = 60.0
_NAME_PATTERN: Final = re.compile(r'[A-Za-z0-9._-]{1,250}')
_ETAG: Final = re.compile(r'"(\d{1,18})"')


class ObjectStandIn:
    """Serves the Object API on a listening address."""

    def __init__(self, listen: ListenOptions, *, seed: int = 0) -> None:
        """Prepare an empty store; `seed` determines which calls are refused."""
        self.table = ObjectTable()
        self.faults = FaultInjector(ObjectFaults(), seed=seed)
        self._server = HttpServer(
            _Root(self.table, self.faults),
            msgspec.structs.replace(listen, body_limit=2 * MAX_VALUE_BYTES),
            PAGES,
        )

    @property
    def url(self) -> str:
        """The base URL of the stand-in."""
        return 'http://127.0.0.1:{0}'.format(self._server.port)

    def start(self) -> None:
        """Start the server."""
        self._server.start()

    def stop(self) -> None:
        """End all watches and stop the server."""
        self.table.close()
        self._server.stop()


class _Root:
    def __init__(
        self,
        table: ObjectTable,
        faults: FaultInjector[ObjectFaults],
    ) -> None:
        self.objects = _ObjectPages(table, faults)
        self.standin = FaultPages(faults)


class _ObjectPages:
    def __init__(
        self,
        table: ObjectTable,
        faults: FaultInjector[ObjectFaults],
    ) -> None:
        self._table = table
        self._faults = faults

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> Any:
        """Dispatch by method and number of path segments."""
        if not all(_NAME_PATTERN.fullmatch(part) for part in path):
            raise cherrypy.HTTPError(400, 'a kind or name is not allowed')
        method = cherrypy.request.method
        match (method, path):
            case ('GET', (kind,)) if 'watch' in query:
                return self._watch(kind, query)
            case ('GET', (kind,)):
                return self._list(kind)
            case ('GET', (kind, name)):
                return self._get(kind, name)
            case ('PUT' | 'DELETE', (kind, name)):
                return self._write(method, kind, name)
        raise cherrypy.HTTPError(405, 'no such call')

    def _get(self, kind: str, name: str) -> bytes:
        self._faults.apply_faults('get')
        stored = self._table.get(kind, name)
        if stored is None:
            raise cherrypy.HTTPError(404, 'no such object')
        cherrypy.response.headers['ETag'] = '"{0}"'.format(stored.version)
        cherrypy.response.headers['Content-Type'] = 'application/octet-stream'
        return stored.body

    def _list(self, kind: str) -> bytes:
        self._faults.apply_faults('list')
        return msgspec.json.encode(self._table.list_all(kind))

    def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        self._faults.apply_faults('watch')
        cursor = _parse_number(query['watch'])
        wait_s = min(_parse_number(query.get('wait_s', '0')), MAX_WATCH_S)
        changes = self._table.watch(kind, int(cursor), wait_s)
        faults = self._faults.faults
        if faults.down:
            drop_connection()
        if faults.lose_watch_events:
            changes = msgspec.structs.replace(changes, objects=())
        return msgspec.json.encode(changes)

    def _write(self, method: str, kind: str, name: str) -> bytes:
        body = cherrypy.request.body.read() if method == 'PUT' else b''
        expected = _parse_expected_version()
        faults = self._faults.apply_faults(method.lower())
        if len(body) > MAX_VALUE_BYTES:
            raise cherrypy.HTTPError(413, 'the value is over a megabyte')
        if method == 'PUT':
            outcome = self._table.put(kind, name, body, expected)
        else:
            outcome = self._table.delete(kind, name, expected)
        if faults.lose_write_answers:
            drop_connection()
        match outcome:
            case Written(version):
                cherrypy.response.headers['ETag'] = '"{0}"'.format(version)
            case Conflict(version):
                cherrypy.response.headers['ETag'] = '"{0}"'.format(version)
                cherrypy.response.status = 412
        return b''


def _parse_expected_version() -> int | None:
    """Return the version that the headers require.

    0 requires that the object doesn't exist, `None` is no condition.
    """
    headers = cherrypy.request.headers
    if headers.get('If-None-Match') == '*':
        return 0
    if_match = headers.get('If-Match')
    if if_match is None:
        return None
    match_result = _ETAG.fullmatch(if_match)
    if match_result is None:
        raise cherrypy.HTTPError(400, 'If-Match holds no version')
    return int(match_result.group(1))


def _parse_number(text: str) -> float:
    try:
        number = float(text)
    except ValueError as exc:
        raise cherrypy.HTTPError(400, 'not a number') from exc
    if not 0 <= number < 2**53:
        raise cherrypy.HTTPError(400, 'the number is out of bounds')
    return number
