"""Keeps which upstreams are cold, from their records and other facts."""

from collections.abc import Callable
from typing import Final

from figspread.clock import Clock
from figspread.direct.model import ColdStart, Upstream
from figspread.direct.state.holder import DeploymentHolder
from figspread.direct.state.registry import Reading, UpstreamRegistry
from figspread.direct.state.upstream_notices import (
    UpstreamNotices,
    identify_run,
)
from figspread.ids import DataCentreId, UpstreamId
from figspread.policy.cold_upstreams import (
    ColdBound,
    ColdFacts,
    ColdLimit,
    ColdSource,
    ColdVerdict,
    Temperature,
    classify,
    plan_limit,
)
from figspread.policy.notices import Incarnation
from figspread.telemetry.logs import Log
from figspread.telemetry.metrics import Metrics

# The entry looks at its contact ten times a second. After a longer pause the
# process was stopped, and what it has not read by this time after it is unknown.
STOPPED_S: Final = 1.0
_WARM: Final = ColdVerdict(Temperature.WARM, ColdSource.RECORD)


class ColdUpstreams:
    """Judges upstreams of services that state a cold start; others are warm.

    `ended_s` returns the clock time at which the last evacuation of a data
    centre ended, if it has.
    """

    def __init__(
        self,
        clock: Clock,
        holder: DeploymentHolder,
        registry: UpstreamRegistry,
        notices: UpstreamNotices,
        bound: ColdBound,
        ended_s: Callable[[DataCentreId], float | None],
    ) -> None:
        """Judge the upstreams of `registry` and keep `bound`."""
        self._clock = clock
        self._holder = holder
        self._registry = registry
        self._notices = notices
        self._bound = bound
        self._limited: set[UpstreamId] = set()
        self._ended_s = ended_s
        self._can_know = True
        self._had_contact = False
        self._updated_s = clock.now()
        self._informed_from_s = self._updated_s

    def is_limited(self, upstream: Upstream) -> bool:
        """Return whether the cold limit applies to an upstream.

        Asked for each upstream at each choice, so that warm ones take little time.
        """
        if self._find_cold_start(upstream) is None:
            return False
        has_sign = (
            self._notices.find(upstream).restart_seen_s is not None
            or self._ended_s(upstream.data_centre) is not None
        )
        may_be_cold = (
            upstream.cold_s
            or has_sign
            or not self._can_know_now()
            or self._find_reading(upstream).is_copied
        )
        return bool(may_be_cold) and self.judge(upstream).is_limited

    def judge(self, upstream: Upstream) -> ColdVerdict:
        """Return the class of an upstream, with the fact behind it."""
        cold_start = self._find_cold_start(upstream)
        if cold_start is None:
            return _WARM
        now = self._clock.now()
        reading = self._find_reading(upstream)
        restart_s = self._notices.find(upstream).restart_seen_s
        ended_s = self._ended_s(upstream.data_centre)
        facts = ColdFacts(
            upstream.cold_s,
            now - reading.read_s,
            reading.is_copied,
            None if restart_s is None else now - restart_s,
            None if ended_s is None else now - ended_s,
            self._can_know_now(),
        )
        return classify(facts, cold_start.duration_s)

    def find_limit(self, upstream: Upstream) -> ColdLimit | None:
        """Return the limit of an upstream that may be cold, else `None`."""
        cold_start = self._find_cold_start(upstream)
        if cold_start is None or not self.is_limited(upstream):
            return None
        return plan_limit(cold_start.requests_per_s, self._bound)

    def find_run_limit(self, run: Incarnation) -> ColdLimit | None:
        """Return the limit of an incarnation, `None` if it isn't known."""
        known = self._registry.upstreams_by_id.get(run.upstream)
        if known is None or known.started_ms != run.started_ms:
            return None
        return self.find_limit(known)

    def find_bound(self, upstream: Upstream) -> float:
        """Return how many requests in any second all entries may send it."""
        cold_start = self._find_cold_start(upstream)
        if cold_start is None:
            return float('inf')
        bound = self._bound
        return cold_start.requests_per_s * bound.factor + bound.slack

    def plan_hint(self, per_s: float) -> ColdLimit:
        """Return the limit of an upstream that a peer knows to be cold."""
        return plan_limit(per_s, self._bound)

    def list_limited(self) -> list[Incarnation]:
        """Return the incarnations that may be cold."""
        if not self._has_cold_starts():
            return []
        return [
            identify_run(upstream)
            for upstream in self._registry.upstreams_by_id.values()
            if self.is_limited(upstream)
        ]

    def record_restart(self, name: UpstreamId) -> None:
        """Record that a connection to an upstream broke or was refused."""
        known = self._registry.upstreams_by_id.get(name)
        if known is not None and self._find_cold_start(known) is not None:
            self._notices.record_restart(known)

    def update(self, log: Log, metrics: Metrics, *, can_know: bool) -> None:
        """Log the upstreams that became cold or warm; call this often.

        `can_know` tells whether the entry reaches the store or a peer.
        """
        now = self._clock.now()
        if now > self._updated_s + STOPPED_S:
            self._informed_from_s = now + STOPPED_S
        self._updated_s = now
        # What a starting entry knows was read since its start.
        self._had_contact = self._had_contact or can_know
        self._can_know = can_know or not self._had_contact
        if not self._limited and not self._has_cold_starts():
            return
        limited: set[UpstreamId] = set()
        for name, upstream in self._registry.upstreams_by_id.items():
            is_limited = self.is_limited(upstream)
            if is_limited:
                limited.add(name)
            if is_limited != (name in self._limited):
                verdict = self.judge(upstream)
                log.info(
                    'upstream cold' if is_limited else 'upstream warm',
                    upstream=name,
                    temperature=verdict.temperature.value,
                    source=verdict.source.value,
                    age_s=round(verdict.age_s, 3),
                )
        self._limited = limited
        metrics.gauges.update('cold', len(limited))

    def _can_know_now(self) -> bool:
        now = self._clock.now()
        was_stopped = now > self._updated_s + STOPPED_S
        is_informed = now >= self._informed_from_s and not was_stopped
        return is_informed and self._can_know

    def _find_reading(self, upstream: Upstream) -> Reading:
        known = self._registry.readings.get(upstream.upstream)
        return known or Reading(self._clock.now(), is_copied=False)

    def _has_cold_starts(self) -> bool:
        deployment = self._holder.current
        return deployment is not None and any(
            service.cold_start is not None
            for service in deployment.services.values()
        )

    def _find_cold_start(self, upstream: Upstream) -> ColdStart | None:
        deployment = self._holder.current
        if deployment is None:
            return None
        service = deployment.services.get(upstream.service)
        return service.cold_start if service else None
