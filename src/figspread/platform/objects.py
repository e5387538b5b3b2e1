"""An HTTP client of the Object API."""

from collections.abc import Sequence
from typing import Final, TypeVar
from urllib.parse import quote

from result import Err, Ok, Result

from figspread.documents import MalformedDocument, decode_json
from figspread.http.client import ClientPool
from figspread.platform.calls import (
    CallError,
    HttpCaller,
    NotApplied,
    Reply,
    convert_failure,
)
from figspread.platform.types import (
    Changes,
    Conflict,
    StoredObject,
    Unavailable,
    Unclear,
    WriteOutcome,
    Written,
)

# Largest object that the platform accepts.
VALUE_LIMIT_BYTES: Final = 1_048_576
_NO_VERSION: Final = 0
_OK: Final = 200
_CLIENT_ERRORS: Final = range(400, 500)
_Shape = TypeVar('_Shape')


class HttpObjectStore:
    """The Object API over HTTP.

    A write whose reply was lost is `Unclear`; one that had no effect is
    `Unavailable`. Calls are not retried here, because only the caller knows
    whether a retry is safe.
    """

    def __init__(
        self,
        base_url: str,
        *,
        timeout_s: float,
        pool: ClientPool,
    ) -> None:
        """Set up a client of the store at `base_url`."""
        self._caller = HttpCaller(base_url, timeout_s=timeout_s, pool=pool)

    def get(
        self, kind: str, name: str
    ) -> Result[StoredObject | None, Unavailable]:
        """Return the object, or `None` if it does not exist."""
        reply = self._caller.call('GET', _build_path(kind, name))
        match reply:
            case Ok(Reply(status=200, headers=headers, body=body)):
                version = parse_version(headers.get('ETag'))
                return Ok(StoredObject(kind, name, version, body))
            case Ok(Reply(status=404)):
                return Ok(None)
        return Err(convert_failure(reply))

    def list_all(
        self,
        kind: str,
    ) -> Result[Sequence[StoredObject], Unavailable]:
        """Return all objects of `kind`, sorted by name."""
        reply = self._caller.call('GET', _build_path(kind))
        return _decode_changes(reply).map(
            lambda changes: tuple(changes.objects),
        )

    def create(self, kind: str, name: str, body: bytes) -> WriteOutcome:
        """Create the object, or return `Conflict` if it exists."""
        return self._write(
            'PUT', _build_path(kind, name), {'If-None-Match': '*'}, body
        )

    def replace(
        self,
        kind: str,
        name: str,
        body: bytes,
        *,
        version: int,
    ) -> WriteOutcome:
        """Replace the object if it is at `version`, else return `Conflict`."""
        headers = {'If-Match': format_version(version)}
        return self._write('PUT', _build_path(kind, name), headers, body)

    def delete(self, kind: str, name: str, *, version: int) -> WriteOutcome:
        """Delete the object if it is at `version`, else return `Conflict`."""
        headers = {'If-Match': format_version(version)}
        return self._write('DELETE', _build_path(kind, name), headers, None)

    def watch(
        self,
        kind: str,
        *,
        cursor: int,
        wait_s: float,
    ) -> Result[Changes, Unavailable]:
        """Wait up to `wait_s` seconds for changes of `kind` after `cursor`."""
        path = '{0}?watch={1}&wait_s={2}'.format(
            _build_path(kind), cursor, wait_s
        )
        return _decode_changes(
            self._caller.call('GET', path, wait_s=wait_s),
        )

    def _write(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
    ) -> WriteOutcome:
        if body is not None and len(body) > VALUE_LIMIT_BYTES:
            return Unavailable('the value is over a megabyte')
        reply = self._caller.call(
            method,
            path,
            body=body,
            headers={**headers, 'Content-Type': 'application/octet-stream'},
        )
        if isinstance(reply, Ok):
            return _classify_reply(reply.ok_value)
        fault = reply.err_value
        if isinstance(fault, NotApplied):
            return Unavailable(fault.detail, fault.retry_after_s)
        return Unclear(fault.detail)


def format_version(version: int) -> str:
    """Return `version` as a quoted entity tag."""
    return '"{0}"'.format(version)


def parse_version(tag: str | None) -> int:
    """Return the version in an entity tag, or 0 if there is none."""
    digits = (tag or '').strip('"')
    return int(digits) if digits.isdecimal() else _NO_VERSION


def _build_path(*parts: str) -> str:
    quoted = (quote(part, safe='') for part in parts)
    return '/objects/{0}'.format('/'.join(quoted))


def _classify_reply(reply: Reply) -> WriteOutcome:
    version = parse_version(reply.headers.get('ETag'))
    detail = 'status {0}'.format(reply.status)
    match reply.status:
        case 200:
            return Written(version)
        case 412:
            return Conflict(version)
        case status if status in _CLIENT_ERRORS:
            return Unavailable(detail)
    return Unclear(detail)


def _decode_changes(
    reply: Result[Reply, CallError],
) -> Result[Changes, Unavailable]:
    if isinstance(reply, Ok) and reply.ok_value.status == _OK:
        return decode_body(reply.ok_value.body, Changes)
    return Err(convert_failure(reply))


def decode_body(
    body: bytes, shape: type[_Shape]
) -> Result[_Shape, Unavailable]:
    """Decode the JSON in `body` as `shape`."""
    try:
        return Ok(decode_json(body, shape))
    except MalformedDocument as exc:
        return Err(
            Unavailable('the answer is not as expected: {0}'.format(exc))
        )
