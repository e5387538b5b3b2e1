"""Tracks which requests are suspected of crashing upstreams."""

from figspread.clock import Clock
from figspread.ids import AttemptId, Fingerprint, UpstreamId
from figspread.policy.crashes import InterruptedAttempts
from figspread.policy.suspects import SuspectRegistry
from figspread.telemetry.logs import Log
from figspread.telemetry.metrics import Metrics


class CrashTracker:
    """Records requests as suspects if their connection broke in a crash.

    A broken connection alone makes no suspect; the upstream must be found dead
    or restarted shortly after. A request that succeeds is cleared, whether the
    crash is known by then or not.
    """

    def __init__(
        self,
        clock: Clock,
        suspects: SuspectRegistry,
        log: Log,
        metrics: Metrics,
    ) -> None:
        """Report crashes to `suspects`, log and count them."""
        self._clock = clock
        self._interrupted_attempts = InterruptedAttempts(clock)
        self._suspects = suspects
        self._log = log
        self._metrics = metrics

    def record_broken_attempt(
        self,
        upstream: UpstreamId,
        started_ms: int,
        fingerprint: Fingerprint,
        attempt: AttemptId,
    ) -> None:
        """Record an attempt whose connection broke.

        `started_ms` is the upstream's start time, which tells its crashes
        apart.
        """
        self._interrupted_attempts.record(
            upstream, started_ms, fingerprint, attempt
        )

    def record_crash(self, upstream: UpstreamId) -> None:
        """Record that an upstream is dead or has restarted."""
        interrupted_attempts = self._interrupted_attempts.pop_crashed(upstream)
        if interrupted_attempts:
            self._metrics.record_upstream_crash()
        for interrupted in interrupted_attempts:
            self._suspects.record_crash(
                interrupted.fingerprint, interrupted.crash
            )
            self._log.warning(
                'request suspected of crash',
                request=interrupted.attempt,
                upstream=upstream,
                crash=interrupted.crash,
                after_s=round(
                    self._clock.now() - interrupted.interrupted_at_s, 3
                ),
                crashes=self._suspects.crashes(interrupted.fingerprint),
            )

    def record_success(
        self,
        fingerprint: Fingerprint,
        request: str,
        upstream: UpstreamId,
    ) -> None:
        """Record that a request succeeded, so it is no longer a suspect."""
        self._interrupted_attempts.discard(fingerprint)
        if self._suspects.crashes(fingerprint):
            self._suspects.forgive(fingerprint)
            self._log.info(
                'request cleared of crash',
                request=request,
                upstream=upstream,
            )
