"""An engine's prefill rate and the times that follow from it."""

import msgspec

from figspread.policy.types import Job


class PrefillRate(msgspec.Struct, frozen=True):
    """A prefill rate, in prompt tokens per second."""

    tokens_per_s: float

    def prefill_s(self, tokens: float) -> float:
        """Return the prefill time of `tokens` prompt tokens."""
        return tokens / self.tokens_per_s

    def latest_start(self, job: Job) -> float:
        """Return when `job` must start to finish prefill by its deadline."""
        return job.expires - self.prefill_s(job.prompt_tokens)
