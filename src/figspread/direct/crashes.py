"""Which requests an entry suspects of bringing upstreams down."""

from figspread.clock import Clock
from figspread.ids import AttemptId, Fingerprint, UpstreamId
from figspread.policy.crashes import BrokenAttempts
from figspread.policy.suspects import Suspects
from figspread.telemetry.logs import Log


class CrashTracker:
    """Turns attempts that broke off into suspects once the upstream is dead.

    Good answers clear what they show to be innocent, before and after that.
    """

    def __init__(self, clock: Clock, suspects: Suspects, log: Log) -> None:
        """Tell `suspects` and log what is found."""
        self._broken = BrokenAttempts(clock)
        self._suspects = suspects
        self._log = log

    def note_broken_off(
        self,
        upstream: UpstreamId,
        started_ms: int,
        fingerprint: Fingerprint,
        attempt: AttemptId,
    ) -> None:
        """Note that an attempt broke off; `started_ms` is the upstream's."""
        self._broken.note(upstream, started_ms, fingerprint, attempt)

    def note_crash(self, upstream: UpstreamId) -> None:
        """Note that an upstream is dead or has started anew."""
        for one in self._broken.take_crashed(upstream):
            self._suspects.note_crash(one.fingerprint, one.crash)
            self._log.warning(
                'request suspected of crash',
                request=one.attempt,
                upstream=upstream,
                crash=one.crash,
                crashes=self._suspects.crashes(one.fingerprint),
            )

    def note_success(
        self,
        fingerprint: Fingerprint,
        request: str,
        upstream: UpstreamId,
    ) -> None:
        """Note that a request has run well, so it crashes no upstream."""
        self._broken.forget(fingerprint)
        if self._suspects.crashes(fingerprint):
            self._suspects.clear(fingerprint)
            self._log.info(
                'request cleared of crash',
                request=request,
                upstream=upstream,
            )
