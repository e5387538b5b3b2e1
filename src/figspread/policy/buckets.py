"""Token buckets; the caller passes the current time with each call."""


class TokenBucket:
    """A token bucket that refills at `per_s` units a second up to `burst`.

    An amount above the burst size is allowed and leaves the level negative,
    so that a single large request passes and the rate still holds over time.
    """

    def __init__(self, per_s: float, burst: float, now: float) -> None:
        """Create a bucket that is full at `now`."""
        self._per_s = per_s
        self._burst = burst
        self._level = burst
        self._refilled_at = now

    def update(self, per_s: float, burst: float, now: float) -> None:
        """Change the rate and burst, and cap the current level at `burst`."""
        self._refill(now)
        self._per_s = per_s
        self._burst = burst
        self._level = min(self._level, burst)

    def refill_s(self, amount: float) -> float:
        """Return the time in seconds that the bucket takes to gain `amount`."""
        return amount / self._per_s

    def wait_s(self, amount: float, now: float) -> float:
        """Return the time in seconds until `amount` is available, or 0."""
        self._refill(now)
        missing = min(amount, self._burst) - self._level
        return max(0, missing / self._per_s)

    def consume(self, amount: float, now: float) -> None:
        """Subtract `amount`; call only if `wait_s` returns 0 for it."""
        self._refill(now)
        self._level -= amount

    def _refill(self, now: float) -> None:
        gained = max(0, now - self._refilled_at) * self._per_s
        self._level = min(self._burst, self._level + gained)
        self._refilled_at = max(self._refilled_at, now)
