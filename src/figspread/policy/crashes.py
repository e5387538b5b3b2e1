"""Tells which broken-off requests were on an upstream that crashed.

A connection breaks off for many reasons. Only when the upstream is then found
dead, or started anew, do the requests that broke off there shortly before
become suspects.
"""

from collections import defaultdict
from typing import Final

from figspread.clock import Clock
from figspread.ids import AttemptId, Fingerprint, UpstreamId

# A crash shows within this time after connections have broken off: the
# platform drops the entry of a silent upstream after three heartbeats.
CRASH_WINDOW_S: Final = 5.0


class BrokenAttempts:
    """Attempts that broke off lately, by upstream."""

    def __init__(self, clock: Clock) -> None:
        """Start with none."""
        self._clock = clock
        self._broken: defaultdict[
            UpstreamId, list[tuple[float, Fingerprint, AttemptId]]
        ]
        self._broken = defaultdict(list)

    def note(
        self,
        upstream: UpstreamId,
        fingerprint: Fingerprint,
        attempt: AttemptId,
    ) -> None:
        """Note that an attempt broke off."""
        self._broken[upstream].append(
            (self._clock.now(), fingerprint, attempt),
        )

    def take_crashed(
        self,
        upstream: UpstreamId,
    ) -> list[tuple[Fingerprint, AttemptId]]:
        """Return and forget the attempts that a crash there broke off."""
        since = self._clock.now() - CRASH_WINDOW_S
        return [
            (fingerprint, attempt)
            for when, fingerprint, attempt in self._broken.pop(upstream, ())
            if when >= since
        ]
