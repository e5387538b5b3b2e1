"""Health of upstreams as one entry observes it: failures and their share."""

from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.ids import UpstreamId

# Time that a failed upstream is left out, doubling with each failure in a row
# from the first value up to the largest.
RETRY_DELAY_FIRST_S: Final = 0.25
RETRY_DELAY_MAX_S: Final = 2.0


# Weight of the newest answer in the moving average of failures.
FAILURE_SHARE_WEIGHT: Final = 0.3
# Half-life of that average. It decays with time, since an upstream that is
# left out gives no new answers.
FAILURE_RATE_HALF_LIFE_S: Final = 4.0


class Health(msgspec.Struct):
    """One upstream's health, as this entry has observed it.

    `consecutive_failures` counts failures in a row. The upstream is left out
    until `retry_at` on the clock. `share` is a moving average, from 0 to 1, of
    the share of its recent answers that were failures, as of `noted_s`.
    """

    failures: int = 0
    retry_at: float = 0
    share: float = 0
    noted_s: float = 0


class HealthRegistry:
    """Health of upstreams by id; healthy ones have no record."""

    def __init__(self, clock: Clock) -> None:
        """Start with all upstreams healthy."""
        self._clock = clock
        self._health: dict[UpstreamId, Health] = {}

    def reset(self, name: UpstreamId) -> None:
        """Remove an upstream's record, after it has restarted."""
        self._health.pop(name, None)

    def is_usable(self, name: UpstreamId) -> bool:
        """Return whether the upstream isn't left out at present."""
        health = self._health.get(name)
        return health is None or health.retry_at <= self._clock.now()

    def record_failure(self, name: UpstreamId) -> bool:
        """Leave out an upstream for a while; return whether it was in use."""
        health = self._health.setdefault(name, Health())
        self._update_share(health, 1)
        was_usable = health.retry_at <= self._clock.now()
        pause_s = min(
            RETRY_DELAY_MAX_S, RETRY_DELAY_FIRST_S * 2**health.failures
        )
        health.failures = min(health.failures + 1, 8)
        health.retry_at = self._clock.now() + pause_s
        return was_usable

    def record_success(self, name: UpstreamId) -> bool:
        """Use an upstream again; return whether it had been left out."""
        health = self._health.get(name)
        if health is None:
            return False
        self._update_share(health, 0)
        was_left_out = bool(health.failures)
        health.failures = 0
        health.retry_at = 0
        if health.share < FAILURE_SHARE_WEIGHT / 10:
            self._health.pop(name)
        return was_left_out

    def record_error(self, name: UpstreamId) -> None:
        """Record a failure answer of an upstream that stays in use."""
        self._update_share(self._health.setdefault(name, Health()), 1)

    def failure_rate(self, name: UpstreamId) -> float:
        """Return the estimated share of failures in an upstream's answers."""
        health = self._health.get(name)
        return 0 if health is None else self._decayed_share(health)

    def consecutive_failures(self, name: UpstreamId) -> int:
        """Return the number of failures in a row of an upstream."""
        health = self._health.get(name)
        return 0 if health is None else health.failures

    def _update_share(self, health: Health, failure: int) -> None:
        decayed = self._decayed_share(health)
        health.share = decayed + FAILURE_SHARE_WEIGHT * (failure - decayed)
        health.noted_s = self._clock.now()

    def _decayed_share(self, health: Health) -> float:
        elapsed_s = self._clock.now() - health.noted_s
        return float(
            health.share * 0.5 ** (elapsed_s / FAILURE_RATE_HALF_LIFE_S)
        )
