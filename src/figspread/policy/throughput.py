"""Estimates of an engine's prefill rate by lane and of its decode time."""

import math
from typing import Final

from figspread.clock import Clock
from figspread.ids import AttemptId
from figspread.policy.rate import PrefillRate
from figspread.policy.types import Job

DECAY_TIME_S: Final = 2.0
# Each lane is assumed to get at least this share of the engine's rate, however
# many shorter prompts arrive.
MIN_RATE_SHARE: Final = 0.1
# Weight of the newest sample in the moving average of decode time.
SMOOTHING_FACTOR: Final = 0.05


class LaneRates:
    """Estimates the prefill rate that shorter lanes leave to each lane.

    Tracks the tokens per second started from each lane as an average that
    decays exponentially with the time constant `DECAY_TIME_S`.
    """

    def __init__(self, clock: Clock, lanes: int) -> None:
        """Start with no load on any of the `lanes`."""
        self._clock = clock
        self._tokens_per_s = [float(0) for _ in range(lanes)]
        self._decayed_at = clock.now()

    def record_start(self, lane: int, tokens: int) -> None:
        """Record the start of a prompt of `tokens` from lane `lane`."""
        self._decay()
        self._tokens_per_s[lane] += tokens / DECAY_TIME_S

    def remaining_rate(self, lane: int, rate: PrefillRate) -> PrefillRate:
        """Return the part of `rate` that shorter lanes leave to `lane`."""
        self._decay()
        remaining = rate.tokens_per_s - sum(self._tokens_per_s[:lane])
        return PrefillRate(max(remaining, rate.tokens_per_s * MIN_RATE_SHARE))

    def _decay(self) -> None:
        now = self._clock.now()
        decay = math.exp((self._decayed_at - now) / DECAY_TIME_S)
        self._tokens_per_s = [
            lane_rate * decay for lane_rate in self._tokens_per_s
        ]
        self._decayed_at = now


class DecodeEstimator:
    """Estimates decode time from the jobs that have finished.

    Keeps a moving average of seconds per requested output token. Answers
    that end before their token limit lower it.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with an estimate of 0 seconds per token."""
        self._clock = clock
        self._first_token_at: dict[AttemptId, float] = {}
        self._mean_token_s: float = 0

    def record_first_token(self, attempt: AttemptId) -> None:
        """Record the time of an attempt's first token."""
        self._first_token_at.setdefault(attempt, self._clock.now())

    def record_finish(self, job: Job) -> None:
        """Update the average with a job that ends now.

        A job without a first token is ignored.
        """
        first_at = self._first_token_at.pop(job.attempt, None)
        if first_at is None:
            return
        token_s = (self._clock.now() - first_at) / max(1, job.output_tokens)
        self._mean_token_s += (token_s - self._mean_token_s) * SMOOTHING_FACTOR

    def estimate_s(self, job: Job) -> float:
        """Return the estimated time from first to last token of `job`."""
        return job.output_tokens * self._mean_token_s
