"""Tells which broken-off requests were on an upstream that crashed.

A connection breaks off for many reasons. Only when the upstream is then found
dead, or started anew, do the requests that broke off there shortly before
become suspects.
"""

from collections import defaultdict
from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.ids import AttemptId, CrashId, Fingerprint, UpstreamId

# A crash shows within this time after connections have broken off: the
# platform drops the entry of a silent upstream after three heartbeats.
CRASH_WINDOW_S: Final = 5.0


class BrokenAttempt(msgspec.Struct, frozen=True):
    """An attempt that broke off at `when_s` on the clock.

    `crash` names the start of the upstream that would have ended: however
    many attempts broke off with it, and at however many entries, it is one.
    """

    when_s: float
    fingerprint: Fingerprint
    attempt: AttemptId
    crash: CrashId


class BrokenAttempts:
    """Attempts that broke off lately, by upstream."""

    def __init__(self, clock: Clock) -> None:
        """Start with none."""
        self._clock = clock
        self._broken: defaultdict[UpstreamId, list[BrokenAttempt]]
        self._broken = defaultdict(list)

    def note(
        self,
        upstream: UpstreamId,
        started_ms: int,
        fingerprint: Fingerprint,
        attempt: AttemptId,
    ) -> None:
        """Note that an attempt broke off; `started_ms` is the upstream's."""
        crash = CrashId('{0}/{1}'.format(upstream, started_ms))
        self._broken[upstream].append(
            BrokenAttempt(self._clock.now(), fingerprint, attempt, crash),
        )

    def forget(self, fingerprint: Fingerprint) -> None:
        """Forget a request that has run well since it broke off."""
        for upstream, attempts in list(self._broken.items()):
            self._broken[upstream] = [
                one for one in attempts if one.fingerprint != fingerprint
            ]
            if not self._broken[upstream]:
                self._broken.pop(upstream)

    def take_crashed(self, upstream: UpstreamId) -> list[BrokenAttempt]:
        """Return and forget the attempts that a crash there broke off."""
        since = self._clock.now() - CRASH_WINDOW_S
        return [
            one for one in self._broken.pop(upstream, ()) if one.when_s >= since
        ]
