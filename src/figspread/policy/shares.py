"""One entry's share of a workspace's limits."""

from typing import Final

from figspread.clock import Clock
from figspread.config.fleet import NO_LIMIT, Workspace
from figspread.policy.buckets import TokenBucket
from figspread.policy.retry_schedule import RetrySchedule
from figspread.policy.types import RequestProfile

BURST_S: Final = 1.0
# Weight of the newest sample in the moving average of hold times.
_SMOOTHING_FACTOR: Final = 0.1


class MeanHoldTime:
    """Moving average of how long admitted requests hold their share."""

    def __init__(self) -> None:
        """Start with an assumed mean of one second."""
        self.mean_s: float = 1

    def add_sample(self, seconds: float) -> None:
        """Add a hold time in seconds to the average."""
        self.mean_s += (seconds - self.mean_s) * _SMOOTHING_FACTOR


class WorkspaceShare:
    """A workspace's limits divided by the number of live entries.

    The limit on concurrent requests is at least one per entry, so that a
    workspace whose limit is below the number of entries can still use each
    of them. The caller synchronizes access.
    """

    def __init__(self, record: Workspace, entries: int, clock: Clock) -> None:
        """Create an unused share of the limits in `record`."""
        self._clock = clock
        self._in_flight = 0
        self._hold_time = MeanHoldTime()
        self._retry_after = RetrySchedule(clock)
        self._requests: TokenBucket | None = None
        self._tokens: TokenBucket | None = None
        self.update(record, entries)

    @property
    def is_idle(self) -> bool:
        """Return whether no admitted request holds the share."""
        return not self._in_flight

    def update(self, record: Workspace, entries: int) -> None:
        """Apply the limits of `record`, divided among `entries` entries."""
        now = self._clock.now()
        self._requests = _update_bucket(
            self._requests,
            record.requests_per_s / entries,
            now,
        )
        self._tokens = _update_bucket(
            self._tokens,
            record.tokens_per_s / entries,
            now,
        )
        limit = record.concurrent_requests
        entry_limit = max(1, limit // entries)
        self._max_concurrent = None if limit == NO_LIMIT else entry_limit

    def acquire(self, work: RequestProfile) -> float:
        """Acquire capacity and return 0, or return a retry delay in seconds."""
        now = self._clock.now()
        if (
            self._max_concurrent is not None
            and self._in_flight >= self._max_concurrent
        ):
            release_interval_s = self._hold_time.mean_s / self._max_concurrent
            return self._retry_after.next_retry_after_s(
                excess_s=release_interval_s,
                service_s=release_interval_s,
            )
        limits = self._find_limits(work)
        wait_s = max(
            (bucket.wait_s(amount, now) for bucket, amount in limits),
            default=0,
        )
        if wait_s > 0:
            longest_refill_s = max(
                bucket.refill_s(amount) for bucket, amount in limits
            )
            return self._retry_after.next_retry_after_s(
                excess_s=wait_s,
                service_s=longest_refill_s,
            )
        for bucket, amount in limits:
            bucket.consume(amount, now)
        self._in_flight += 1
        return 0

    def release(self, held_s: float) -> None:
        """Release the capacity of a request that held it for `held_s`."""
        self._in_flight -= 1
        self._hold_time.add_sample(held_s)

    def _find_limits(
        self, work: RequestProfile
    ) -> list[tuple[TokenBucket, float]]:
        tokens = work.prompt_tokens + work.output_tokens
        amounts = ((self._requests, 1), (self._tokens, tokens))
        return [
            (bucket, amount) for bucket, amount in amounts if bucket is not None
        ]


def _update_bucket(
    bucket: TokenBucket | None,
    per_s: float,
    now: float,
) -> TokenBucket | None:
    if per_s == NO_LIMIT:
        return None
    burst = max(1, per_s * BURST_S)
    if bucket is None:
        return TokenBucket(per_s, burst, now)
    bucket.update(per_s, burst, now)
    return bucket
