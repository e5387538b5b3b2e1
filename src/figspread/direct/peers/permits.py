"""Permits for requests to upstreams that limit the requests of all entries."""

import asyncio
import itertools
import math
import random
from collections.abc import Mapping
from typing import Final, Protocol

from figspread.clock import Clock
from figspread.direct.state.upstream_notices import UpstreamNotices
from figspread.ids import PeerId, UpstreamId
from figspread.inner.codec import encode
from figspread.inner.entry_messages import PermitReply, PermitRequest
from figspread.policy.notices import Incarnation
from figspread.policy.rate_owner import RateAllowance, choose_owner

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

    def list_owners(self) -> Mapping[PeerId, FrameSender | None]:
        """Return the entries that may own upstreams; this one has no sender."""

    def share(self) -> float:
        """Return the connected share of all known entries."""


class Permits:
    """Asks owners for permits, and grants those of the upstreams it owns."""

    def __init__(
        self,
        view: EntryView,
        notices: UpstreamNotices,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Share limits with the entries in `view`."""
        self._rng = rng
        self._view = view
        self._notices = notices
        self._clock = clock
        self._allowances: dict[Incarnation, RateAllowance] = {}
        self._numbers = itertools.count()
        self._replies: dict[int, asyncio.Future[float]] = {}

    async def request(self, run: Incarnation) -> float:
        """Ask for one request; return 0, or how many seconds to wait."""
        owners = self._view.list_owners()
        sender = owners[choose_owner(owners, run.upstream)]
        if sender is None:
            return self._take(run)
        number = next(self._numbers)
        reply: asyncio.Future[float]
        reply = asyncio.get_running_loop().create_future()
        self._replies[number] = reply
        row = self._notices.make_row(run)
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
        wait_s = UNANSWERED_WAIT_S
        if self._is_owner(row.upstream):
            wait_s = self._take(Incarnation(row.upstream, row.started_ms))
        return PermitReply(question.number, math.ceil(wait_s * _MS_PER_S))

    def handle_reply(self, reply: PermitReply) -> None:
        """Pass a reply to whoever waits for it."""
        waiting = self._replies.get(reply.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply.wait_ms / _MS_PER_S)

    def update(self) -> None:
        """Begin and end to own upstreams; call this at short intervals."""
        limited = set(self._notices.list_limited())
        for run in tuple(self._allowances):
            if run not in limited or not self._is_owner(run.upstream):
                self._allowances.pop(run)
        for run in limited:
            if self._is_owner(run.upstream):
                self._find_allowance(run)

    def _is_owner(self, upstream: UpstreamId) -> bool:
        owners = self._view.list_owners()
        return choose_owner(owners, upstream) == self._view.entry

    def _take(self, run: Incarnation) -> float:
        rate_limit = self._notices.find_run(run).rate_limit
        if rate_limit is None:
            return 0
        wait_s = self._find_allowance(run).take(
            self._clock.now(), rate_limit, self._view.share()
        )
        return min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s)) if wait_s else 0

    def _find_allowance(self, run: Incarnation) -> RateAllowance:
        allowance = self._allowances.get(run)
        if allowance is None:
            allowance = RateAllowance(self._clock.now(), self._rng.random())
            self._allowances[run] = allowance
        return allowance
