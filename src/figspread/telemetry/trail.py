"""Bounded in-memory history of the events of recent requests."""

import threading
import time
from collections.abc import Callable
from typing import Final

import msgspec

from figspread.ids import RequestId

HOPS_LIMIT: Final = 20_000
HOPS_PER_REQUEST_LIMIT: Final = 64
TEXT_LIMIT_CHARS: Final = 200
_MS_IN_S: Final = 1000


class Hop(msgspec.Struct, frozen=True):
    """Event of a request; `at_ms` is wall-clock time in ms since 1970."""

    at_ms: int
    process: str
    event: str
    detail: str = ''


def read_wall_clock_ms() -> int:
    """Return the wall-clock time in ms since 1970."""
    return int(time.time() * _MS_IN_S)


class Trail:
    """Events (hops) of recent requests; all methods are thread-safe.

    At most `limit` hops are kept. Beyond that, all hops of the request that
    was added first are evicted. A request with `HOPS_PER_REQUEST_LIMIT` hops
    keeps its first ones, and each new hop replaces its last.

    ```
    >>> trail = Trail('entry-1', now_ms=lambda: 5)
    >>> trail.add_hop(RequestId('req-1'), 'admitted', 'workspace studio')
    >>> trail.list_hops(RequestId('req-1'))[0].event
    'admitted'
    ```
    """

    def __init__(
        self,
        process: str = '',
        *,
        now_ms: Callable[[], int] = read_wall_clock_ms,
        limit: int = HOPS_LIMIT,
    ) -> None:
        """Start empty; each hop gets the name `process`."""
        self._process = process
        self._now_ms = now_ms
        self._limit = limit
        self._lock = threading.Lock()
        self._hops: dict[RequestId, list[Hop]] = {}
        self._count = 0

    def add_hop(self, request: RequestId, event: str, detail: str = '') -> None:
        """Add an event of `request`, cut to `TEXT_LIMIT_CHARS` per text."""
        hop = Hop(
            self._now_ms(),
            self._process,
            event[:TEXT_LIMIT_CHARS],
            detail[:TEXT_LIMIT_CHARS],
        )
        with self._lock:
            self._add(request, hop)
            while self._count > self._limit:
                self._evict_oldest_request()

    def list_hops(self, request: RequestId) -> tuple[Hop, ...]:
        """Return the kept hops of `request`, oldest first."""
        with self._lock:
            return tuple(self._hops.get(request, ()))

    def count_hops(self) -> int:
        """Return how many hops are kept."""
        return self._count

    def _add(self, request: RequestId, hop: Hop) -> None:
        hops = self._hops.setdefault(request, [])
        if len(hops) == HOPS_PER_REQUEST_LIMIT:
            hops[-1] = hop
            return
        hops.append(hop)
        self._count += 1

    def _evict_oldest_request(self) -> None:
        oldest = next(iter(self._hops))
        self._count -= len(self._hops.pop(oldest))
