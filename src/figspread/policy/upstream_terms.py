"""Decides whether this entry may send an upstream a request now.

It answers upstreams in need: what they state in their answers decides, for
first attempts, retries, resumed streams, helpers and queued requests alike.
"""

from typing import Final, TypeAlias

import msgspec

from figspread.policy.notices import Incarnation

# After a pause one request at a time goes to the upstream, until it has run
# one. The next one follows after this time if there is no answer.
TRIAL_S: Final = 1.0


class MaySend(msgspec.Struct, frozen=True):
    """Nothing speaks against a request."""


class NeedsPermit(msgspec.Struct, frozen=True):
    """All entries together may send `rate_limit` requests a second."""

    rate_limit: float


class MustWait(msgspec.Struct, frozen=True):
    """No request before the clock time `until_s`."""

    until_s: float


class MustNotSend(msgspec.Struct, frozen=True):
    """The upstream is leaving."""


SendVerdict: TypeAlias = MaySend | NeedsPermit | MustWait | MustNotSend


class StatedLimit(msgspec.Struct, frozen=True):
    """The requests a second that an upstream accepts, as of `told_s`.

    `rate_limit` is `None` if it has stated that there is no limit any more.
    """

    rate_limit: float | None
    told_s: float


class Terms:
    """What one incarnation of an upstream has stated; times are clock times.

    `leaving_since_s` is `None` unless it is leaving. It is paused until
    `paused_until_s` and then on trial, with a request that has until
    `trial_until_s` for its answer. Until `denied_until_s` the owner of its
    limit allows no request of this entry. A connection to it broke or was refused
    last at `restart_seen_s`, `None` if none was. It was listed, or known to have
    stated something, last at `known_s`.
    """

    def __init__(self) -> None:
        """Start with nothing stated."""
        self.limit: StatedLimit | None = None
        self.leaving_since_s: float | None = None
        self.paused_until_s: float = 0
        self.is_on_trial = False
        self.trial_until_s: float = 0
        self.denied_until_s: float = 0
        self.restart_seen_s: float | None = None
        self.known_s: float = 0

    @property
    def rate_limit(self) -> float | None:
        """The limit in force, if any."""
        return self.limit.rate_limit if self.limit else None

    def judge(self, now: float) -> SendVerdict:
        """Return whether a request may be sent at clock time `now`."""
        if self.leaving_since_s is not None:
            return MustNotSend()
        wait_until_s = max(
            self.paused_until_s, self.trial_until_s, self.denied_until_s
        )
        if wait_until_s > now:
            return MustWait(wait_until_s)
        if self.rate_limit is not None:
            return NeedsPermit(self.rate_limit)
        return MaySend()

    def pause_s(self, now: float) -> float:
        """Return the seconds for which it wants no request at all.

        Without the waits between the requests that a limit allows; infinite if
        it is leaving.
        """
        if self.leaving_since_s is not None:
            return float('inf')
        return max(0, self.paused_until_s - now)

    def allows_send(self, now: float, permit_until_s: float) -> bool:
        """Return whether a request for which this was asked may still go.

        `permit_until_s` is the clock time at which its permit runs out.
        """
        if self.leaving_since_s is not None or self.paused_until_s > now:
            return False
        return self.rate_limit is None or now <= permit_until_s

    def record_limit(self, stated: StatedLimit) -> bool:
        """Record a limit unless a newer one is known; return if it changed."""
        if self.limit is not None and stated.told_s < self.limit.told_s:
            return False
        before = self.rate_limit
        self.limit = stated
        return before != stated.rate_limit

    def record_leaving(self, since_s: float) -> bool:
        """Record that it is leaving; return whether that is new."""
        if self.leaving_since_s is not None:
            return False
        self.leaving_since_s = since_s
        return True

    def record_restart(self, seen_s: float) -> bool:
        """Record a sign of a restart; return whether it is the newest."""
        if self.restart_seen_s is not None and seen_s <= self.restart_seen_s:
            return False
        self.restart_seen_s = seen_s
        return True

    def record_pause(self, until_s: float) -> bool:
        """Record that it wants nothing until `until_s`; return if it is new."""
        is_new = until_s > self.paused_until_s
        self.paused_until_s = max(self.paused_until_s, until_s)
        self.is_on_trial = True
        return is_new

    def begin_send(self, now: float) -> None:
        """Record a request that is about to be sent."""
        if self.is_on_trial:
            self.trial_until_s = now + TRIAL_S

    def record_run(self, now: float) -> None:
        """Record an answer to a request that it has run."""
        if now >= self.paused_until_s:
            self.is_on_trial = False
            self.trial_until_s = 0


class TermsTable:
    """The terms of all upstreams, by incarnation."""

    def __init__(self) -> None:
        """Start without any."""
        self._terms: dict[Incarnation, Terms] = {}

    def find(self, run: Incarnation) -> Terms:
        """Return the terms of an incarnation; it may have stated none."""
        return self._terms.get(run) or Terms()

    def has(self, run: Incarnation) -> bool:
        """Return whether an incarnation has stated something."""
        return run in self._terms

    def get_or_add(self, run: Incarnation, known_s: float) -> Terms:
        """Return the terms of an incarnation that is known at `known_s`."""
        terms = self._terms.setdefault(run, Terms())
        terms.known_s = max(terms.known_s, known_s)
        return terms

    def list_stated(self) -> list[tuple[Incarnation, Terms]]:
        """Return all incarnations that have stated something."""
        return list(self._terms.items())

    def drop(self, run: Incarnation) -> None:
        """Forget an incarnation."""
        self._terms.pop(run, None)
