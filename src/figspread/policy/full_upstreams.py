"""Remembers which upstreams turned requests away because they were full.

It answers bursts: several requests of a queue are sent to the last upstream
with free slots at the same moment, and those that it turns away would be sent
there again at once, until they have been turned away too often.
"""

from collections.abc import Callable
from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.ids import UpstreamId

# How long an upstream counts as full while none of its requests ends.
FULL_TTL_S: Final = 1.0


class _Rejection(msgspec.Struct, frozen=True):
    requests: int
    until_s: float


class FullUpstreams:
    """How many requests upstreams had when they turned one away."""

    def __init__(
        self, clock: Clock, count_requests: Callable[[UpstreamId], int]
    ) -> None:
        """Start with no rejections.

        `count_requests` returns how many requests are at an upstream now.
        """
        self._clock = clock
        self._count_requests = count_requests
        self._rejections: dict[UpstreamId, _Rejection] = {}

    def record_rejection(self, upstream: UpstreamId) -> bool:
        """Record that an upstream turned away one request besides the others.

        Return whether there are any others; if not, it has another reason.
        """
        requests = self._count_requests(upstream)
        if requests:
            until_s = self._clock.now() + FULL_TTL_S
            self._rejections[upstream] = _Rejection(requests, until_s)
        return bool(requests)

    def is_full(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream has as many requests as it took before."""
        rejection = self._rejections.get(upstream)
        if rejection is None:
            return False
        if rejection.until_s <= self._clock.now():
            self._rejections.pop(upstream)
            return False
        return self._count_requests(upstream) >= rejection.requests
