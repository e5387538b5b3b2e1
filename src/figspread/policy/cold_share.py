"""Shares what a cold upstream tolerates among entries without messages.

It answers a data centre that returns cold as a whole while entries restart or are
cut off: each entry sends at most its own part in any second, so the parts of all
entries add up to the bound whoever reaches whom.
"""

from collections import defaultdict, deque
from typing import Final

from figspread.ids import UpstreamId
from figspread.policy.cold_upstreams import PERMIT_LIFE_S

# Requests are bounded in each second, and may be sent this long after they were
# allowed.
SPAN_S: Final = 1 + PERMIT_LIFE_S
# Shortest wait of a request that is not allowed; rounding may leave none.
MIN_WAIT_S: Final = 0.001


def plan_share(bound_per_s: float, entries: int) -> int:
    """Return how many requests in any second each of `entries` may send.

    One entry more is counted, as one may have started unnoticed.

    >>> plan_share(56, 23)
    2
    """
    return int(bound_per_s / (entries + 1))


class ColdShare:
    """The requests that this entry has sent to cold upstreams lately.

    They are kept over restarts of an upstream, which may follow each other within
    a second.
    """

    def __init__(self, started_s: float) -> None:
        """Allow none in the first span of the process.

        The process before it may have used this entry's share just now.
        """
        self._opens_s = started_s + SPAN_S
        self._sent_s: defaultdict[UpstreamId, deque[float]]
        self._sent_s = defaultdict(deque)

    def take(self, upstream: UpstreamId, share: int, now: float) -> float:
        """Allow one request; return 0, or the seconds until one is allowed."""
        if now < self._opens_s:
            return self._opens_s - now
        sent = self._sent_s[upstream]
        while sent and sent[0] <= now - SPAN_S:
            sent.popleft()
        if len(sent) >= share:
            return max(MIN_WAIT_S, sent[-share] + SPAN_S - now)
        sent.append(now)
        return 0

    def drop_unused(self, now: float) -> None:
        """Forget upstreams that got no request within the last span."""
        for upstream, sent in tuple(self._sent_s.items()):
            if not sent or sent[-1] <= now - SPAN_S:
                self._sent_s.pop(upstream)
