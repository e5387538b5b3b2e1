"""HTTP calls to the platform, with failures returned as values."""

import time
from collections.abc import Mapping
from typing import Final, TypeAlias

import msgspec
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import (
    EmptyPoolError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)
from urllib3.exceptions import (
    TimeoutError as HttpTimeoutError,
)

from figspread.http.client import ClientPool
from figspread.platform.types import Unavailable

# Used when a refusal's `Retry-After` header is missing or not a number, and
# when a call could not be sent.
DEFAULT_RETRY_AFTER_S: Final = 1.0
RETRY_AFTER_LIMIT_S: Final = 60.0
# Longest time that an answer may take beyond the requested wait.
MAX_ANSWER_S: Final = 1.0
READ_CHUNK_BYTES: Final = 65_536
REPLY_LIMIT_BYTES: Final = 67_108_864
# Statuses with which the platform rejects a call before it has any effect.
_REFUSED_STATUSES: Final = frozenset((429, 503))


class Reply(msgspec.Struct, frozen=True):
    """A complete HTTP reply of the platform."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class NotApplied(msgspec.Struct, frozen=True):
    """The call had no effect: it was not sent, or it was refused."""

    detail: str
    retry_after_s: float = DEFAULT_RETRY_AFTER_S


class ReplyLost(msgspec.Struct, frozen=True):
    """The call was sent without a complete reply; it may have had effect."""

    detail: str


CallError: TypeAlias = NotApplied | ReplyLost


class HttpCaller:
    """Makes HTTP calls below `base_url`, without retries.

    A call fails if the platform sends nothing for `timeout_s` seconds, or if
    the reply is not complete after twice that time.
    """

    def __init__(
        self,
        base_url: str,
        *,
        timeout_s: float,
        pool: ClientPool,
    ) -> None:
        """Set up the client; nothing is sent before `call`."""
        self._base_url = base_url.rstrip('/')
        self._timeout_s = timeout_s
        self._pool = pool

    def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        wait_s: float = 0,
    ) -> Result[Reply, CallError]:
        """Send the request and return the complete reply.

        The server may wait for `wait_s` before it answers, as in a watch. The
        answer has to follow soon, as a lost one looks like a longer wait.
        """
        timeout_s = self._timeout_s
        if wait_s:
            timeout_s = wait_s + min(timeout_s, MAX_ANSWER_S)
        deadline = time.monotonic() + 2 * timeout_s
        try:
            response = self._pool.request(
                method,
                '{0}{1}'.format(self._base_url, path),
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=self._timeout_s,
                    read=timeout_s,
                ),
                retries=False,
                redirect=False,
                preload_content=False,
            )
        except (NewConnectionError, EmptyPoolError) as exc:
            return Err(NotApplied(str(exc)))
        except HTTPError as exc:
            if isinstance(exc, ReadTimeoutError):
                # Idle connections may have gone silent as well.
                self._pool.clear()
            return Err(_classify_error(exc))
        return _read_reply(response, deadline)


def convert_failure(reply: Result[Reply, CallError]) -> Unavailable:
    """Convert the failed reply of a read into an `Unavailable`."""
    if isinstance(reply, Ok):
        return Unavailable('status {0}'.format(reply.ok_value.status))
    fault = reply.err_value
    if isinstance(fault, NotApplied):
        return Unavailable(fault.detail, fault.retry_after_s)
    return Unavailable(fault.detail)


def _classify_error(exc: HTTPError) -> CallError:
    if isinstance(exc, urllib3.exceptions.ConnectTimeoutError):
        return NotApplied(str(exc))
    return ReplyLost(str(exc))


def _read_reply(
    response: urllib3.BaseHTTPResponse,
    deadline: float,
) -> Result[Reply, CallError]:
    try:
        body = _read_body(response, deadline)
    except HTTPError as exc:
        response.close()
        return Err(ReplyLost(str(exc)))
    response.release_conn()
    if response.status in _REFUSED_STATUSES:
        return Err(
            NotApplied(
                'refused with status {0}'.format(response.status),
                parse_retry_after(response.headers.get('Retry-After')),
            ),
        )
    return Ok(Reply(response.status, response.headers, body))


def _read_body(response: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    received = bytearray()
    while part := response.read1(READ_CHUNK_BYTES):
        received += part
        if len(received) > REPLY_LIMIT_BYTES:
            raise HTTPError('the answer is too large')
        if time.monotonic() > deadline:
            raise HttpTimeoutError('the answer takes too long')
    return bytes(received)


def parse_retry_after(text: str | None) -> float:
    """Return the seconds in a `Retry-After` header.

    A missing or malformed header gives `DEFAULT_RETRY_AFTER_S`, and a number
    out of range gives `RETRY_AFTER_LIMIT_S`.
    """
    try:
        seconds = float(text or DEFAULT_RETRY_AFTER_S)
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
    if not 0 <= seconds <= RETRY_AFTER_LIMIT_S:
        return RETRY_AFTER_LIMIT_S
    return seconds
