"""Finds the requests that were interrupted by a crash of their upstream.

Connections fail for many reasons. Requests become suspects only if their
upstream is found dead or restarted shortly after they were interrupted.
"""

from collections import defaultdict
from collections.abc import Callable, Collection
from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.ids import (
    AttemptId,
    CrashId,
    Fingerprint,
    PromptPartId,
    UpstreamId,
)

# Maximum time from an interrupted attempt to the detection of the crash: the
# platform removes the record of a silent upstream after three heartbeats.
CRASH_WINDOW_S: Final = 5.0


class InterruptedAttempt(msgspec.Struct, frozen=True):
    """An attempt whose connection failed at `interrupted_at_s`.

    `crash` identifies the run of the upstream by its start time, so that all
    attempts interrupted by one crash, at any entry, report the same crash.
    `parts` are the parts of its prompt that others may share.
    """

    interrupted_at_s: float
    fingerprint: Fingerprint
    attempt: AttemptId
    crash: CrashId
    parts: frozenset[PromptPartId] = frozenset()


class InterruptedAttempts:
    """Recently interrupted attempts, by upstream."""

    def __init__(self, clock: Clock) -> None:
        """Start with no attempts."""
        self._clock = clock
        self._interrupted: defaultdict[UpstreamId, list[InterruptedAttempt]]
        self._interrupted = defaultdict(list)

    def __len__(self) -> int:
        """Return the number of attempts that are kept."""
        return sum(map(len, self._interrupted.values()))

    def record(
        self,
        upstream: UpstreamId,
        started_ms: int,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        parts: Collection[PromptPartId] = (),
    ) -> None:
        """Record an interrupted attempt.

        `started_ms` is the start time of the upstream.
        """
        self._drop_old()
        crash = CrashId('{0}/{1}'.format(upstream, started_ms))
        self._interrupted[upstream].append(
            InterruptedAttempt(
                self._clock.now(),
                fingerprint,
                attempt,
                crash,
                frozenset(parts),
            ),
        )

    def discard(self, fingerprint: Fingerprint) -> None:
        """Discard a request that has succeeded since it was interrupted."""
        self._keep(lambda attempt: attempt.fingerprint != fingerprint)

    def pop_crashed(self, upstream: UpstreamId) -> list[InterruptedAttempt]:
        """Remove and return the attempts interrupted by a crash there.

        Attempts older than `CRASH_WINDOW_S` are dropped.
        """
        self._drop_old()
        return self._interrupted.pop(upstream, [])

    def _drop_old(self) -> None:
        since = self._clock.now() - CRASH_WINDOW_S
        self._keep(lambda attempt: attempt.interrupted_at_s >= since)

    def _keep(self, is_kept: Callable[[InterruptedAttempt], bool]) -> None:
        for upstream, attempts in list(self._interrupted.items()):
            self._interrupted[upstream] = list(filter(is_kept, attempts))
            if not self._interrupted[upstream]:
                self._interrupted.pop(upstream)
