"""Permits for requests to upstreams that limit the requests of all entries."""

import asyncio
import itertools
import math
import random
from collections.abc import Collection, Mapping
from typing import Final, Protocol

import msgspec

from figspread.clock import Clock
from figspread.direct.state.upstream_notices import UpstreamNotices
from figspread.ids import PeerId, UpstreamId
from figspread.inner.codec import encode
from figspread.inner.entry_messages import PermitReply, PermitRequest
from figspread.policy.cold_upstreams import ColdLimit
from figspread.policy.notices import Incarnation
from figspread.policy.owner_stability import OwnerStability
from figspread.policy.rate_owner import (
    RateAllowance,
    choose_owner,
    make_cold_terms,
)

# Longest wait for the owner's reply, so that a request goes elsewhere soon when
# the owner has stopped. Owners reply in some milliseconds.
REPLY_TIMEOUT_S: Final = 0.15
# Pause after an owner that did not reply, or does not know that it is one.
# Entries agree again when they notice the lost connection.
UNANSWERED_WAIT_S: Final = 0.5
# Longest and shortest wait before an entry asks again. The shortest bounds the
# messages, the longest how late a raised limit is used.
MAX_WAIT_S: Final = 1.0
MIN_WAIT_S: Final = 0.01
_MS_PER_S: Final = 1000


class FrameSender(Protocol):
    """A connection to another entry."""

    def post(self, frame: bytes) -> None:
        """Send an encoded message."""


class EntryView(Protocol):
    """What an entry sees of the other entries."""

    entry: PeerId

    def list_owners(
        self, *, is_cold: bool = False
    ) -> Mapping[PeerId, FrameSender | None]:
        """Return the entries that may own upstreams; this one has no sender.

        Those that may own the limits of cold upstreams if `is_cold`.
        """

    def share(self, *, is_cold: bool = False) -> float:
        """Return the connected share of all known entries.

        If `is_cold`, entries that were lost count for longer.
        """


class ColdLimits(Protocol):
    """What an entry knows of the limits of cold upstreams."""

    def find_run_limit(self, run: Incarnation) -> ColdLimit | None:
        """Return the limit of an incarnation that may be cold."""

    def plan_hint(self, per_s: float) -> ColdLimit:
        """Return the limit of an upstream that a peer knows to be cold."""

    def list_limited(self) -> Collection[Incarnation]:
        """Return the incarnations that may be cold."""


class Permits:
    """Asks owners for permits, and grants those of the upstreams it owns."""

    def __init__(
        self,
        view: EntryView,
        notices: UpstreamNotices,
        clock: Clock,
        rng: random.Random,
        cold: ColdLimits,
    ) -> None:
        """Share limits with the entries in `view`."""
        self._rng = rng
        self._view = view
        self._notices = notices
        self._clock = clock
        self._cold = cold
        self._allowances: dict[Incarnation, RateAllowance] = {}
        self._stability = OwnerStability(clock.now())
        self._numbers = itertools.count()
        self._replies: dict[int, asyncio.Future[float]] = {}

    async def request(self, run: Incarnation) -> float:
        """Ask for one request; return 0, or how many seconds to wait."""
        cold = self._cold.find_run_limit(run)
        owners = self._view.list_owners(is_cold=cold is not None)
        sender = owners[choose_owner(owners, run.upstream)]
        if sender is None:
            return self._take(run, cold, self._view.entry)
        number = next(self._numbers)
        reply: asyncio.Future[float]
        reply = asyncio.get_running_loop().create_future()
        self._replies[number] = reply
        row = self._notices.make_row(run)
        if cold is not None:
            row = msgspec.structs.replace(row, cold_per_s=cold.per_s)
        sender.post(encode(PermitRequest(number, row)))
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                return await reply
        except TimeoutError:
            return UNANSWERED_WAIT_S
        finally:
            self._replies.pop(number)

    def answer(self, peer: PeerId, question: PermitRequest) -> PermitReply:
        """Return the reply to another entry's request."""
        row = question.notice
        self._notices.merge(row, peer)
        run = Incarnation(row.upstream, row.started_ms)
        cold = self._cold.find_run_limit(run)
        if cold is None and row.cold_per_s:
            cold = self._cold.plan_hint(row.cold_per_s)
        wait_s = UNANSWERED_WAIT_S
        if self._is_owner(row.upstream, is_cold=bool(row.cold_per_s)):
            wait_s = self._take(run, cold, peer)
        return PermitReply(question.number, math.ceil(wait_s * _MS_PER_S))

    def handle_reply(self, reply: PermitReply) -> None:
        """Pass a reply to whoever waits for it."""
        waiting = self._replies.get(reply.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply.wait_ms / _MS_PER_S)

    def update(self) -> None:
        """Begin and end to own upstreams; call this at short intervals."""
        self._update_members()
        now = self._clock.now()
        cold = set(self._cold.list_limited())
        limited = cold.union(self._notices.list_limited())
        for run, allowance in tuple(self._allowances.items()):
            is_used = run in limited or allowance.is_asked_for(now)
            if not is_used or not self._is_owner(
                run.upstream, is_cold=run in cold
            ):
                self._allowances.pop(run)
        for run in limited:
            if self._is_owner(run.upstream, is_cold=run in cold):
                self._find_allowance(run)

    def _update_members(self) -> None:
        was_stopped = self._stability.update(
            self._clock.now(),
            self._view.list_owners(),
            self._view.share(is_cold=True),
        )
        if was_stopped:
            # Another entry may have become the owner meanwhile.
            self._allowances.clear()

    def _is_owner(self, upstream: UpstreamId, *, is_cold: bool) -> bool:
        owners = self._view.list_owners(is_cold=is_cold)
        return choose_owner(owners, upstream) == self._view.entry

    def _take(
        self, run: Incarnation, cold: ColdLimit | None, asker: PeerId
    ) -> float:
        self._update_members()
        now = self._clock.now()
        stated = self._notices.find_run(run).rate_limit
        allowance = self._find_allowance(run)
        allowance.record_asker(now, asker)
        if cold is None:
            if stated is None:
                return 0
            wait_s = allowance.take(now, stated, self._view.share())
        else:
            wait_s = allowance.take(
                now,
                cold.per_s if stated is None else min(stated, cold.per_s),
                self._cold_share(allowance),
                make_cold_terms(cold.burst),
            )
        return min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s)) if wait_s else 0

    def _cold_share(self, allowance: RateAllowance) -> float:
        share = self._stability.share
        if share < 1:
            members = len(self._view.list_owners())
            share *= allowance.share_of_askers(self._clock.now(), members)
        return share

    def _find_allowance(self, run: Incarnation) -> RateAllowance:
        allowance = self._allowances.get(run)
        if allowance is None:
            now = self._clock.now()
            is_whole = self._stability.share >= 1
            is_settled = self._stability.is_stable(now) and is_whole
            allowance = RateAllowance(
                self._stability.since_s,
                1 if is_settled else self._rng.random(),
                now,
            )
            self._allowances[run] = allowance
        return allowance
