"""Requests of callers, their limits, and the checks of their headers."""

from typing import Final

import h11
import msgspec

from figspread.http1.fields import Fields, find_field

_BAD_REQUEST: Final = 400
_HEAD_TOO_LARGE: Final = 431
# Colon, space and line ending (CRLF) of a header field.
_FIELD_OVERHEAD_BYTES: Final = 4

# Stands for the parser of a connection that reads no more requests, so that what its
# own one keeps is freed.
SPENT_PARSER: Final = h11.Connection(h11.SERVER)


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on what a caller sends.

    `head_bytes` bounds request target and header fields. `idle_timeout_s`
    bounds the wait for the next request, and the time that a body takes;
    `head_timeout_s` the time that a header takes.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 3
    idle_timeout_s: float = 15


class Request(msgspec.Struct, frozen=True):
    """A complete request; field names are in lower case."""

    method: bytes
    target: bytes
    fields: Fields
    body: bytes


class RequestRejected(Exception):
    """The request is malformed, too large or too slow.

    The caller gets an error response and the connection is closed.
    """

    def __init__(
        self, status: int, detail: str, retry_after_s: float | None = None
    ) -> None:
        """Respond with `status` and `detail` as the body.

        `retry_after_s` says when the caller may try again.
        """
        super().__init__(detail)
        self.status = status
        self.fields: Fields = ()
        if retry_after_s is not None:
            delay = '{0:.2f}'.format(retry_after_s)
            self.fields = ((b'retry-after', delay.encode()),)


def check_head(head: h11.Request, limit_bytes: int) -> None:
    """Raise `RequestRejected` for a header that is too large or ambiguous."""
    size = len(head.target) + sum(
        len(name) + len(field) + _FIELD_OVERHEAD_BYTES
        for name, field in head.headers
    )
    if size > limit_bytes:
        raise RequestRejected(_HEAD_TOO_LARGE, 'the head is too large')
    # A request with both a length and a transfer coding can smuggle another
    # request past a proxy that reads the framing differently.
    has_length = find_field(head.headers, b'content-length') is not None
    has_coding = find_field(head.headers, b'transfer-encoding') is not None
    if has_length and has_coding:
        raise RequestRejected(_BAD_REQUEST, 'two framings of one body')
    hosts = [name for name, _ in head.headers if name == b'host']
    # Both a missing and a repeated `Host` header are rejected.
    if len(hosts) != 1:
        raise RequestRejected(_BAD_REQUEST, 'one host field is due')
