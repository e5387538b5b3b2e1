"""Asks for each request, just before it is sent, whether it may be sent."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from figspread.direct.components import EntryComponents
from figspread.direct.model import Upstream, UpstreamState
from figspread.direct.peers.permits import Permits
from figspread.direct.state.upstream_notices import identify_run
from figspread.policy.cold_share import ColdShare, plan_share
from figspread.policy.rate_owner import MIN_RATE
from figspread.policy.upstream_terms import (
    MaySend,
    MustNotSend,
    MustWait,
    NeedsPermit,
    Terms,
)

# Time from the question until a permit runs out. A process that was stopped
# meanwhile must not use it, as others have been allowed requests since.
PERMIT_TTL_S: Final = 0.3
# How soon an entry that doesn't know how many others there are looks again.
UNKNOWN_ENTRIES_WAIT_S: Final = 0.5
# While an entry asks for a permit, other requests don't take the upstream.
ASK_TTL_S: Final = 0.25


class SendPermit(msgspec.Struct, frozen=True):
    """Allows one request until the clock time `until_s`.

    It doesn't run out if the upstream has no limit. `is_granted` tells whether
    the request counts towards the upstream's limit.
    """

    until_s: float
    is_granted: bool = False


class SendGate:
    """Decides for each upstream whether this entry may send it a request."""

    def __init__(
        self,
        components: EntryComponents,
        permits: Permits,
        count_entries: Callable[[], int | None],
        count_connected: Callable[[], int],
    ) -> None:
        """Decide by the components' notices and registry, and `permits`.

        `count_entries` returns how many entries may exist, `None` if that is
        unknown. `count_connected` returns how many of them share permits now,
        this one included.
        """
        self._components = components
        self._clock = components.clock
        self._notices = components.notices
        self._permits = permits
        self._cold = components.cold
        self._cold_share = ColdShare(components.clock.now())
        self._count_entries = count_entries
        self._count_connected = count_connected

    def is_open(self, upstream: Upstream) -> bool:
        """Return whether a request may be placed on an upstream."""
        verdict = self._notices.find(upstream).judge(self._clock.now())
        return isinstance(verdict, MaySend | NeedsPermit)

    def is_limited(self, upstream: Upstream) -> bool:
        """Return whether requests to an upstream need a permit of an owner."""
        if self._notices.find_limit(upstream) is not None:
            return True
        is_cold = self._cold.is_limited(upstream)
        return is_cold and not self._plan_share(upstream)

    def is_evacuated(self, upstreams: Iterable[Upstream]) -> bool:
        """Return whether one of them is in an evacuated data centre."""
        is_evacuated = self._components.evacuations.is_evacuated
        return any(is_evacuated(known.data_centre) for known in upstreams)

    def estimate_pause_s(self, upstreams: Iterable[Upstream]) -> float:
        """Return the seconds until the first of them is not paused.

        It is infinite if all of them are leaving.
        """
        now = self._clock.now()
        return min(
            (
                self._notices.find(upstream).pause_s(now)
                for upstream in upstreams
            ),
            default=float('inf'),
        )

    def estimate_rate(self, upstreams: Iterable[Upstream]) -> float:
        """Return the requests a second that this entry may send to them.

        It is infinite if one of them has no limit. Entries are taken to need
        equal parts.
        """
        limits = [self._find_limit(upstream) for upstream in upstreams]
        stated = [limit for limit in limits if limit is not None]
        if len(stated) < len(limits):
            return float('inf')
        total = sum(max(MIN_RATE, limit) for limit in stated)
        return total / self._count_connected()

    def begin_asking(self, upstream: Upstream) -> None:
        """Record that a request is placed and will ask for its permit."""
        if self.is_limited(upstream):
            terms = self._notices.find_for_change(upstream)
            terms.denied_until_s = self._clock.now() + ASK_TTL_S

    async def acquire(self, upstream: Upstream) -> SendPermit | None:
        """Return the permit for one request, or `None` if it must not go."""
        if not self._is_ready(upstream):
            return None
        asked_s = self._clock.now()
        is_cold = self._cold.find_limit(upstream) is not None
        terms = (
            self._notices.find_for_change(upstream)
            if is_cold
            else self._notices.find(upstream)
        )
        terms.denied_until_s = 0
        match terms.judge(asked_s):
            case MaySend() if not is_cold:
                terms.begin_send(asked_s)
                return SendPermit(asked_s + PERMIT_TTL_S)
            case MustWait() | MustNotSend():
                return None
        wait_s = await self._request_permit(upstream, terms)
        terms.denied_until_s = self._clock.now() + wait_s
        if wait_s:
            asyncio.get_running_loop().call_later(
                wait_s, self._components.queue.notify
            )
            return None
        self._components.queue.notify()
        terms.begin_send(asked_s)
        return SendPermit(asked_s + PERMIT_TTL_S, is_granted=True)

    async def _request_permit(self, upstream: Upstream, terms: Terms) -> float:
        """Return 0 if a request may be sent, else the seconds to wait."""
        run = identify_run(upstream)
        if self.is_limited(upstream):
            if self._count_entries() is None and self._cold.is_limited(
                upstream
            ):
                return UNKNOWN_ENTRIES_WAIT_S
            terms.denied_until_s = self._clock.now() + ASK_TTL_S
            return await self._permits.request(run)
        now = self._clock.now()
        self._cold_share.drop_unused(now)
        return self._cold_share.take(
            upstream.upstream, self._plan_share(upstream), now
        )

    def _plan_share(self, upstream: Upstream) -> int:
        """Return how many requests in any second this entry may send it.

        It is 0 if the bound is too low for a part for each entry, so that an
        owner has to permit requests.
        """
        entries = self._count_entries()
        if entries is None:
            return 0
        return plan_share(self._cold.find_bound(upstream), entries)

    def allows_send(self, upstream: Upstream, permit: SendPermit) -> bool:
        """Return whether a permit still holds; call this just before sending."""
        terms = self._notices.find(upstream)
        now = self._clock.now()
        is_due = permit.is_granted and now <= permit.until_s
        # It may have become cold since the permit was asked for.
        if not is_due and self._cold.find_limit(upstream) is not None:
            return False
        return self._is_ready(upstream) and terms.allows_send(
            now, permit.until_s
        )

    def _find_limit(self, upstream: Upstream) -> float | None:
        """Return the requests a second that all entries may send, if limited."""
        stated = self._notices.find_limit(upstream)
        cold = self._cold.find_limit(upstream)
        if cold is None:
            return stated
        return cold.per_s if stated is None else min(stated, cold.per_s)

    def _is_ready(self, upstream: Upstream) -> bool:
        upstreams = self._components.registry.upstreams_by_id
        known = upstreams.get(upstream.upstream)
        return (
            known is not None
            and known.state is UpstreamState.READY
            and known.started_ms == upstream.started_ms
            and not self.is_evacuated((known,))
        )
