"""Remembers what has ended lately at each upstream."""

from collections import defaultdict, deque
from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.ids import UpstreamId

# How long ended work is remembered; longer times are not measured.
HISTORY_S: Final = 10.0


class EndedWork(msgspec.Struct, frozen=True):
    """Work that has ended: prefill time, requests and their KV tokens."""

    prefill_s: float = 0
    requests: int = 0
    kv_tokens: int = 0


class WorkHistory:
    """The work that ended at each upstream in the last `HISTORY_S`."""

    def __init__(self, clock: Clock) -> None:
        """Start without any work."""
        self._clock = clock
        self._ended: defaultdict[UpstreamId, deque[tuple[float, EndedWork]]]
        self._ended = defaultdict(deque)

    def record(self, upstream: UpstreamId, work: EndedWork) -> None:
        """Record work that ends now."""
        self._ended[upstream].append((self._clock.now(), work))

    def sum_since(self, upstream: UpstreamId, since_s: float) -> EndedWork:
        """Return the total of the work that has ended after `since_s`."""
        ended = [
            work
            for ended_s, work in self._ended.get(upstream, ())
            if ended_s > since_s
        ]
        return EndedWork(
            sum(work.prefill_s for work in ended),
            sum(work.requests for work in ended),
            sum(work.kv_tokens for work in ended),
        )

    def drop_old(self) -> None:
        """Forget what ended more than `HISTORY_S` ago."""
        cutoff_s = self._clock.now() - HISTORY_S
        for upstream, ended in tuple(self._ended.items()):
            while ended and ended[0][0] < cutoff_s:
                ended.popleft()
            if not ended:
                self._ended.pop(upstream)
