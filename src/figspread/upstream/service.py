"""HTTP client for a plain service."""

from collections.abc import Mapping
from typing import Final

from result import Result

from figspread.upstream.transport import (
    HttpAnswer,
    HttpUpstream,
    OutgoingRequest,
    TimeLimits,
)
from figspread.upstream.types import Answer, UpstreamCall, UpstreamFault

# Headers that apply to one connection and are never forwarded (RFC 9110,
# section 7.6.1).
HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
# Headers that the client sets itself, in place of the caller's.
_CLIENT_HEADERS: Final = frozenset(('content-length', 'host', 'x-request-id'))


class HttpService:
    """A plain service at a base URL; its answers are forwarded unchanged.

    An answer of any status is a success. One that is truncated before its
    announced end has its `fault` set.
    """

    def __init__(self, base_url: str, limits: TimeLimits | None = None) -> None:
        """Create a client for the service at `base_url`."""
        self._limits = limits or TimeLimits()
        self._upstream = HttpUpstream(base_url, self._limits)

    def call(self, call: UpstreamCall) -> Result[Answer, UpstreamFault]:
        """Send a request and return its answer once the header is read."""
        headers = {
            name: content
            for name, content in drop_hop_by_hop(call.headers).items()
            if name.lower() not in _CLIENT_HEADERS
        }
        return self._upstream.send(
            OutgoingRequest(
                call.method,
                call.path,
                call.body,
                {**headers, 'X-Request-Id': call.attempt},
            ),
            head_s=self._limits.head_s,
            progress_s=self._limits.progress_s,
        ).map(_remove_hop_by_hop)


def drop_hop_by_hop(headers: Mapping[str, str]) -> dict[str, str]:
    """Return `headers` without hop-by-hop headers.

    These include the ones that the `Connection` header names.
    """
    dropped = HOP_BY_HOP | _list_connection_options(headers)
    return {
        name: content
        for name, content in headers.items()
        if name.lower() not in dropped
    }


def _list_connection_options(headers: Mapping[str, str]) -> frozenset[str]:
    listed = ','.join(
        content
        for name, content in headers.items()
        if name.lower() == 'connection'
    )
    return frozenset(name.strip().lower() for name in listed.split(','))


def _remove_hop_by_hop(answer: HttpAnswer) -> Answer:
    answer.headers = drop_hop_by_hop(answer.headers)
    return answer
