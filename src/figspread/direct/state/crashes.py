"""Tracks which requests are suspected of crashing upstreams."""

from collections import OrderedDict, defaultdict
from collections.abc import Collection
from typing import Final

from figspread.clock import Clock
from figspread.direct.state.part_quarantine import PartQuarantine
from figspread.ids import (
    AttemptId,
    CrashId,
    Fingerprint,
    PromptPartId,
    UpstreamId,
)
from figspread.policy.crashes import InterruptedAttempt, InterruptedAttempts
from figspread.policy.part_evidence import (
    InterruptedRequest,
    PartGroup,
    RequestTag,
)
from figspread.policy.suspects import SuspectRegistry
from figspread.telemetry.logs import Log
from figspread.telemetry.metrics import Metrics

# Crashes whose own requests are remembered, to clear those that are not to
# blame.
MAX_RECENT_CRASHES: Final = 256


class CrashTracker:
    """Records requests as suspects if their connection broke in a crash.

    A broken connection alone makes no suspect; the upstream must be found dead
    or restarted shortly after. A request that succeeds is cleared, whether the
    crash is known by then or not. So is one that was interrupted by a crash
    under a quarantined part of another prompt.
    """

    def __init__(
        self,
        clock: Clock,
        suspects: SuspectRegistry,
        quarantine: PartQuarantine,
        log: Log,
        metrics: Metrics,
    ) -> None:
        """Report crashes to `suspects` and `quarantine`, log and count them."""
        self._clock = clock
        self._interrupted_attempts = InterruptedAttempts(clock)
        self._recent: OrderedDict[CrashId, list[InterruptedAttempt]]
        self._recent = OrderedDict()
        self.suspects = suspects
        self.quarantine = quarantine
        self._log = log
        self._metrics = metrics
        quarantine.observers.append(self)

    def record_broken_attempt(
        self,
        upstream: UpstreamId,
        started_ms: int,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        parts: Collection[PromptPartId] = (),
    ) -> None:
        """Record an attempt whose connection broke.

        `started_ms` is the upstream's start time, which tells its crashes
        apart. `parts` are the parts of its prompt that others may share.
        """
        self._interrupted_attempts.record(
            upstream, started_ms, fingerprint, attempt, parts
        )

    def record_crash(self, upstream: UpstreamId) -> None:
        """Record that an upstream is dead or has restarted."""
        interrupted_attempts = self._interrupted_attempts.pop_crashed(upstream)
        if not interrupted_attempts:
            return
        self._metrics.record_upstream_crash()
        attempts_by_crash: defaultdict[CrashId, list[InterruptedAttempt]]
        attempts_by_crash = defaultdict(list)
        for interrupted in interrupted_attempts:
            attempts_by_crash[interrupted.crash].append(interrupted)
            self._record_suspect(upstream, interrupted)
        for crash, attempts in attempts_by_crash.items():
            self._recent.setdefault(crash, []).extend(attempts)
            self.quarantine.record_interrupted(
                crash,
                [
                    (attempt.interrupted_at_s, _to_request(attempt))
                    for attempt in attempts
                ],
            )
        while len(self._recent) > MAX_RECENT_CRASHES:
            self._recent.popitem(last=False)

    def record_success(
        self,
        fingerprint: Fingerprint,
        request: str,
        upstream: UpstreamId,
    ) -> None:
        """Record that a request succeeded, so it is no longer a suspect."""
        self._interrupted_attempts.discard(fingerprint)
        if self.suspects.crashes(fingerprint):
            self.suspects.forgive(fingerprint)
            self._log.info(
                'request cleared of crash',
                request=request,
                upstream=upstream,
            )

    def handle_quarantine(self, group: PartGroup) -> None:
        """Clear the requests that were interrupted beside a deadly one."""
        for crash, attempts in self._recent.items():
            if not self.quarantine.evidence.is_explained(crash, group):
                continue
            for attempt in attempts:
                if not group <= attempt.parts:
                    self.suspects.forgive(attempt.fingerprint, [crash])

    def _record_suspect(
        self, upstream: UpstreamId, interrupted: InterruptedAttempt
    ) -> None:
        self.suspects.record_crash(interrupted.fingerprint, interrupted.crash)
        self._log.warning(
            'request suspected of crash',
            request=interrupted.attempt,
            upstream=upstream,
            crash=interrupted.crash,
            after_s=round(self._clock.now() - interrupted.interrupted_at_s, 3),
            crashes=self.suspects.crashes(interrupted.fingerprint),
        )


def _to_request(attempt: InterruptedAttempt) -> InterruptedRequest:
    return InterruptedRequest(RequestTag(attempt.fingerprint), attempt.parts)
