"""HTTP transport to an upstream.

Its faults always tell whether any byte of the request was sent, since only
a request that was not sent is certain not to have run.
"""

import re
import socket
import threading
from collections.abc import Iterator, Mapping
from contextlib import suppress
from http.client import HTTPException
from typing import Final

import msgspec
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, ReadTimeoutError
from urllib3.response import BaseHTTPResponse
from urllib3.util import parse_url

from figspread.http.client import (
    ClientConnection,
    SecureClientConnection,
)
from figspread.upstream.types import UpstreamFault, UpstreamFaultKind

# Largest read from the socket.
READ_BYTES: Final = 65_536
# Last bytes of an answer that are searched for the end mark.
TAIL_BYTES: Final = 64
# Errors by which the HTTP libraries report a lost connection or an invalid
# answer.
_READ_ERRORS: Final = (HTTPError, HTTPException, OSError, ValueError)
_CONNECTION_TYPES: Final[Mapping[str, type[HTTPConnection]]] = {
    'http': ClientConnection,
    'https': SecureClientConnection,
}


class TimeLimits(msgspec.Struct, frozen=True):
    """Timeouts of a client, in seconds.

    `connect_s` bounds opening a connection, `head_s` the wait for an answer's
    header and `progress_s` the wait for more of its bytes. `control_s`
    replaces the last two in short calls such as a cancel.
    """

    connect_s: float = 1
    head_s: float = 30
    progress_s: float = 10
    control_s: float = 3


class OutgoingRequest(msgspec.Struct, frozen=True):
    """A request in the form in which it is sent."""

    method: str
    path: str
    body: bytes = b''
    headers: Mapping[str, str] = {}


class HttpAnswer:
    """An answer that is being read from its connection.

    It is complete at the end that its header announced or, after
    `require_end`, once its end mark was read. A body that ends when the
    connection closes is never known to be complete.
    """

    def __init__(
        self,
        sock: socket.socket,
        response: BaseHTTPResponse,
    ) -> None:
        """Wrap `response`, whose body is received on `sock`."""
        self.status: int = response.status
        self.headers: Mapping[str, str] = response.headers
        self.fault: UpstreamFault | None = None
        self._sock = sock
        self._response = response
        self._announced_length = response.length_remaining
        self._end_mark: re.Pattern[bytes] | None = None
        self._tail = b'\n'
        self._is_closed = threading.Event()

    def require_end(self, mark: re.Pattern[bytes]) -> None:
        """Treat the answer as complete only if `mark` matches near its end.

        The last `TAIL_BYTES` are searched.
        """
        self._end_mark = mark

    def __iter__(self) -> Iterator[bytes]:
        """Yield the bytes as they arrive; `fault` is final after the last."""
        try:
            yield from self._read_all()
        except _READ_ERRORS as exc:
            self.fault = _build_fault(_classify_error(exc), exc)
        finally:
            self._response.close()
            self._sock.close()
        if self._is_closed.is_set() and not self._has_end_mark():
            self.fault = UpstreamFault(
                UpstreamFaultKind.BROKEN,
                'the reader closed the answer',
            )

    def close(self) -> None:
        """Stop reading; unblocks a reader in another thread."""
        self._is_closed.set()
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def _read_all(self) -> Iterator[bytes]:
        while chunk := self._response.read1(READ_BYTES):
            self._update_tail(chunk)
            yield chunk
            if self._has_end_mark():
                return
        if self._end_mark or not self._has_announced_end():
            self.fault = UpstreamFault(
                UpstreamFaultKind.BROKEN,
                'the answer stopped before its end',
            )

    def _has_announced_end(self) -> bool:
        return self._announced_length is not None or self._response.chunked

    def _update_tail(self, chunk: bytes) -> None:
        self._tail = (self._tail + chunk)[-TAIL_BYTES:]

    def _has_end_mark(self) -> bool:
        return bool(self._end_mark and self._end_mark.search(self._tail))


class HttpUpstream:
    """Sends requests to one upstream, each over a new connection.

    Connections are not reused: the upstream may have closed an idle one, and
    then it is unknown whether the request sent over it ran.
    """

    def __init__(self, base_url: str, limits: TimeLimits) -> None:
        """Create a sender for `base_url`, such as `http://127.0.0.1:80`."""
        url = parse_url(base_url)
        self._connection_type = _CONNECTION_TYPES[url.scheme or 'http']
        self._host = url.host or ''
        self._port = url.port
        self._path_prefix = (url.path or '').rstrip('/')
        self._limits = limits

    def send(
        self,
        outgoing: OutgoingRequest,
        *,
        head_s: float,
        progress_s: float,
    ) -> Result[HttpAnswer, UpstreamFault]:
        """Send a request and wait up to `head_s` for the answer's header.

        `progress_s` bounds each write, and each read of the body.
        """
        conn = self._connection_type(
            self._host,
            self._port,
            timeout=self._limits.connect_s,
        )
        try:
            conn.connect()
        except (HTTPError, OSError) as exc:
            return Err(_build_fault(UpstreamFaultKind.NOT_SENT, exc))
        sock = conn.sock
        sock.settimeout(progress_s)
        fault = self._write_request(conn, outgoing)
        if fault:
            conn.close()
            return Err(fault)
        response = _read_head(conn, head_s)
        if isinstance(response, Err):
            conn.close()
            return response
        with suppress(OSError):
            sock.settimeout(progress_s)
        return Ok(HttpAnswer(sock, response.ok_value))

    def _write_request(
        self,
        conn: HTTPConnection,
        outgoing: OutgoingRequest,
    ) -> UpstreamFault | None:
        headers = {'Connection': 'close', **outgoing.headers}
        try:
            conn.request(
                outgoing.method,
                self._path_prefix + outgoing.path,
                outgoing.body or None,
                headers,
                preload_content=False,
                decode_content=False,
            )
        except (BrokenPipeError, ConnectionResetError):
            # The upstream may have answered, and closed its end, before it
            # read the whole body; the answer can still be read.
            return None
        except (ValueError, HTTPException) as exc:
            # Invalid methods, paths and headers are rejected before anything is
            # sent.
            return _build_fault(UpstreamFaultKind.NOT_SENT, exc)
        except (HTTPError, OSError) as exc:
            return _build_fault(_classify_error(exc), exc)
        return None


def _read_head(
    conn: HTTPConnection, head_s: float
) -> Result[BaseHTTPResponse, UpstreamFault]:
    conn.timeout = head_s
    deadline = _HeadDeadline(conn.sock, head_s)
    try:
        response = conn.getresponse()
    except _READ_ERRORS as exc:
        if not deadline.has_expired:
            return Err(_build_fault(_classify_error(exc), exc))
    finally:
        deadline.cancel()
    if deadline.has_expired:
        return Err(
            UpstreamFault(UpstreamFaultKind.TIMED_OUT, 'a head without an end')
        )
    return Ok(response)


class _HeadDeadline:
    """Ends the wait for a head that arrives without an end.

    The socket's own timeout begins again with each byte.
    """

    def __init__(self, sock: socket.socket, seconds: float) -> None:
        self.has_expired = False
        self._sock = sock
        self._timer = threading.Timer(seconds, self._expire)
        self._timer.daemon = True
        self._timer.start()

    def cancel(self) -> None:
        """Stop, as the head has arrived or the connection is closed."""
        self._timer.cancel()

    def _expire(self) -> None:
        self.has_expired = True
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)


def _build_fault(kind: UpstreamFaultKind, exc: Exception) -> UpstreamFault:
    return UpstreamFault(kind, '{0}: {1}'.format(type(exc).__name__, exc))


def _classify_error(exc: Exception) -> UpstreamFaultKind:
    if isinstance(exc, TimeoutError | ReadTimeoutError):
        return UpstreamFaultKind.TIMED_OUT
    return UpstreamFaultKind.BROKEN
