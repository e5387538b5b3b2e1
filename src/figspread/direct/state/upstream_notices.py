"""Keeps what upstreams state of themselves, own answers' and peers' news."""

from collections.abc import Collection, Iterable
from typing import Final, Protocol

from figspread.clock import Clock
from figspread.direct.model import Upstream
from figspread.inner.entry_messages import NoticeRow
from figspread.policy.notices import Incarnation, UpstreamNotice
from figspread.policy.upstream_terms import StatedLimit, Terms, TermsTable
from figspread.telemetry.logs import Log

# Source of what this entry's own answers say, for the log.
OWN_ANSWER: Final = 'answer'
# What an upstream has stated is kept for this time after it was listed last, no
# shorter than any pause: its record may come back, or a late one arrive.
LEFT_TTL_S: Final = 300.0
# Further signs of a restart within this time are not told to other entries: a
# crash breaks all connections to the upstream at once.
REPEAT_S: Final = 0.5
_MS_PER_S: Final = 1000


class NoticeListener(Protocol):
    """Is told of each change, to pass it on to other entries."""

    def announce_notice(self, row: NoticeRow) -> None:
        """Send what an upstream has stated to the other entries."""


class UpstreamNotices:
    """The terms that upstreams have stated, by incarnation."""

    def __init__(self, clock: Clock, log: Log) -> None:
        """Start without any notice."""
        self._clock = clock
        self._log = log
        self._table = TermsTable()
        self._listeners: list[NoticeListener] = []

    def subscribe(self, listener: NoticeListener) -> None:
        """Tell `listener` of changes that own answers have brought."""
        self._listeners.append(listener)

    def record(
        self, upstream: Upstream, notice: UpstreamNotice, *, has_run: bool
    ) -> None:
        """Record what an answer of `upstream` says.

        `has_run` tells whether the upstream has run the request. Rejections
        need not repeat a limit, so they don't end one.
        """
        now = self._clock.now()
        run = identify_run(upstream)
        if notice == UpstreamNotice() and not self._table.has(run):
            return
        terms = self._table.get_or_add(run, now)
        if notice.pause_s and terms.record_pause(now + notice.pause_s):
            self._write('upstream paused', run, pause_s=notice.pause_s)
        has_changed = notice.is_leaving and self._record_leaving(run, now)
        if has_run:
            terms.record_run(now)
        if has_run or notice.rate_limit is not None:
            stated = StatedLimit(notice.rate_limit, now)
            has_changed |= self._record_limit(run, stated)
        if has_changed:
            for listener in self._listeners:
                listener.announce_notice(
                    _make_row(run, terms, self._clock.now())
                )

    def record_restart(self, upstream: Upstream) -> None:
        """Record that a connection to an upstream broke or was refused."""
        run = identify_run(upstream)
        now = self._clock.now()
        terms = self._table.get_or_add(run, now)
        seen_s = terms.restart_seen_s
        is_repeated = seen_s is not None and now < seen_s + REPEAT_S
        if terms.record_restart(now) and not is_repeated:
            for listener in self._listeners:
                listener.announce_notice(
                    _make_row(run, terms, self._clock.now())
                )

    def merge(self, row: NoticeRow, source: str) -> None:
        """Record what a peer has heard from an upstream."""
        run = Incarnation(row.upstream, row.started_ms)
        told_s = self._clock.now() - row.age_ms / _MS_PER_S
        if row.is_leaving:
            self._record_leaving(run, told_s, source)
        if row.states_limit:
            self._record_limit(run, StatedLimit(row.rate_limit, told_s), source)
        if row.restart_age_ms >= 0:
            seen_s = self._clock.now() - row.restart_age_ms / _MS_PER_S
            self._table.get_or_add(run, seen_s).record_restart(seen_s)

    def find(self, upstream: Upstream) -> Terms:
        """Return what an upstream has stated."""
        return self._table.find(identify_run(upstream))

    def find_for_change(self, upstream: Upstream) -> Terms:
        """Return the terms of an upstream, to be changed."""
        now = self._clock.now()
        return self._table.get_or_add(identify_run(upstream), now)

    def find_limit(self, upstream: Upstream) -> float | None:
        """Return the requests a second that an upstream accepts, if limited."""
        return self.find(upstream).rate_limit

    def list_limited(self) -> list[Incarnation]:
        """Return the incarnations that have a limit."""
        return [
            run
            for run, terms in self._table.list_stated()
            if terms.rate_limit is not None
        ]

    def find_run(self, run: Incarnation) -> Terms:
        """Return what an incarnation has stated."""
        return self._table.find(run)

    def make_row(self, run: Incarnation) -> NoticeRow:
        """Return what is known of an incarnation, for a peer."""
        return _make_row(run, self._table.find(run), self._clock.now())

    def list_rows(self) -> Iterable[NoticeRow]:
        """Yield all that is known, for a peer that has just connected."""
        for run, terms in self._table.list_stated():
            row = _make_row(run, terms, self._clock.now())
            is_sign = row.restart_age_ms >= 0
            if row.is_leaving or row.states_limit or is_sign:
                yield row

    def keep_only(self, upstreams: Collection[Upstream]) -> None:
        """Forget incarnations that have a successor or are long unlisted."""
        started_ms = {
            upstream.upstream: upstream.started_ms for upstream in upstreams
        }
        now = self._clock.now()
        for run, terms in self._table.list_stated():
            listed_ms = started_ms.get(run.upstream, run.started_ms - 1)
            if listed_ms == run.started_ms:
                terms.known_s = now
            elif listed_ms > run.started_ms or terms.known_s < now - LEFT_TTL_S:
                self._table.drop(run)
                self._write('upstream notices forgotten', run)

    def _record_limit(
        self, run: Incarnation, stated: StatedLimit, source: str = OWN_ANSWER
    ) -> bool:
        terms = self._table.get_or_add(run, stated.told_s)
        if not terms.record_limit(stated):
            return False
        has_ended = stated.rate_limit is None
        self._write(
            'upstream limit ended' if has_ended else 'upstream limit stated',
            run,
            rate_limit=stated.rate_limit,
            source=source,
            age_s=round(self._clock.now() - stated.told_s, 3),
        )
        return True

    def _record_leaving(
        self, run: Incarnation, since_s: float, source: str = OWN_ANSWER
    ) -> bool:
        terms = self._table.get_or_add(run, since_s)
        if not terms.record_leaving(since_s):
            return False
        self._write(
            'upstream announced leaving',
            run,
            source=source,
            age_s=round(self._clock.now() - since_s, 3),
        )
        return True

    def _write(self, event: str, run: Incarnation, **fields: object) -> None:
        self._log.info(
            event, upstream=run.upstream, started_ms=run.started_ms, **fields
        )


def _make_row(run: Incarnation, terms: Terms, now: float) -> NoticeRow:
    limit = terms.limit
    told_s = limit.told_s if limit else terms.leaving_since_s or now
    seen_s = terms.restart_seen_s
    return NoticeRow(
        run.upstream,
        run.started_ms,
        terms.rate_limit,
        states_limit=limit is not None,
        is_leaving=terms.leaving_since_s is not None,
        age_ms=max(0, round((now - told_s) * _MS_PER_S)),
        restart_age_ms=-1
        if seen_s is None
        else max(0, round((now - seen_s) * _MS_PER_S)),
    )


def identify_run(upstream: Upstream) -> Incarnation:
    """Return the incarnation that an upstream's record describes."""
    return Incarnation(upstream.upstream, upstream.started_ms)
