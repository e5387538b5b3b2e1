"""Retry delays that are sent with refusals."""

from typing import Final

from figspread.clock import Clock

MIN_RETRY_AFTER_S: Final = 0.1
MAX_RETRY_AFTER_S: Final = 60.0


class RetrySchedule:
    """Assigns each refused request its own retry time.

    If all refused requests were given the same time, they would return
    together and most would be refused again. Each retry time is therefore
    later than the previous one by at least the service time of the request,
    up to `MAX_RETRY_AFTER_S` from now; refusals beyond that share one delay.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with no retries expected."""
        self._clock = clock
        self._scheduled_until = clock.now()

    def next_retry_after_s(self, *, excess_s: float, service_s: float) -> float:
        """Return the retry delay in seconds.

        `excess_s` is by how much the current wait is too long; `service_s`
        is the service time of the request itself.
        """
        now = self._clock.now()
        start = max(self._scheduled_until, now + excess_s)
        latest = now + MAX_RETRY_AFTER_S
        self._scheduled_until = min(start + service_s, latest)
        return max(MIN_RETRY_AFTER_S, self._scheduled_until - now)
