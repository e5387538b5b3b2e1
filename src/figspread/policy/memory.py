"""Accounting of an engine's KV memory and request slots."""

from collections.abc import Iterator

from figspread.ids import AttemptId
from figspread.policy.types import Job


def count_kv_tokens(job: Job) -> int:
    """Return the KV memory, in tokens, of `job` with its full output."""
    return job.prompt_tokens + job.output_tokens


class KvMemory:
    """Tracks the running jobs of an engine and whether another one fits.

    While memory is held for a job, other jobs may start only if that job
    fits beside all those started during the hold. It therefore fits as soon
    as the jobs that ran before the hold have finished, whatever arrives.
    """

    def __init__(self, *, kv_tokens: int, slots: int) -> None:
        """Start idle, with `kv_tokens` of memory and `slots` for requests."""
        self._kv_tokens = kv_tokens
        self._slots = slots
        self._reserved_tokens = 0
        self._running: dict[AttemptId, Job] = {}
        self._used_tokens = 0
        self._held: Job | None = None
        self._tokens_beside: dict[AttemptId, int] = {}

    def __len__(self) -> int:
        """Return the number of running jobs."""
        return len(self._running)

    def __iter__(self) -> Iterator[Job]:
        """Iterate over the running jobs."""
        return iter(tuple(self._running.values()))

    def __contains__(self, attempt: AttemptId) -> bool:
        """Return whether the attempt is running."""
        return attempt in self._running

    @property
    def free_tokens(self) -> int:
        """KV memory used by neither running jobs nor reservations."""
        return max(0, self._capacity() - self._used_tokens)

    @property
    def held(self) -> Job | None:
        """The job that memory is held for, if any."""
        return self._held

    def can_ever_fit(self, job: Job) -> bool:
        """Return whether `job` fits when nothing else runs."""
        return count_kv_tokens(job) <= self._kv_tokens

    def limit_slots(self, slots: int) -> None:
        """Set how many jobs may run at once; running jobs continue."""
        self._slots = slots

    def update_reservation(self, tokens: int) -> None:
        """Set how many KV tokens jobs can't use because spans need them.

        A span is a prompt split over several engines. The number covers the
        reservations of spans, with the KV handles (exported KV cache) of their
        attempts, and what is held back for a span that waits. It replaces the
        earlier number. A hold ends if its job no longer fits beside it.
        """
        self._reserved_tokens = tokens
        if self._held is not None and not self._fits_capacity(self._held):
            self.release_hold(self._held.attempt)

    def hold(self, job: Job) -> None:
        """Hold memory for `job` unless it is held for another job.

        No memory is held while reservations leave too little for `job`:
        other jobs would be blocked for as long as the reservations last.
        """
        if self._held is None and self._fits_capacity(job):
            self._held = job

    def release_hold(self, attempt: AttemptId) -> None:
        """End the hold if it is for `attempt`."""
        if self._held is not None and self._held.attempt == attempt:
            self._held = None
            self._tokens_beside.clear()

    def can_start(self, job: Job) -> bool:
        """Return whether `job` may start now."""
        if len(self._running) >= self._slots:
            return False
        if count_kv_tokens(job) > self.free_tokens:
            return False
        if self._held is None or self._held.attempt == job.attempt:
            return True
        if len(self._tokens_beside) + 1 >= self._slots:
            return False
        tokens_beside = sum(self._tokens_beside.values()) + count_kv_tokens(job)
        return tokens_beside + count_kv_tokens(self._held) <= self._capacity()

    def start(self, job: Job) -> None:
        """Record that `job` runs, and end its hold."""
        self.release_hold(job.attempt)
        self._running[job.attempt] = job
        self._used_tokens += count_kv_tokens(job)
        if self._held is not None:
            self._tokens_beside[job.attempt] = count_kv_tokens(job)

    def finish(self, attempt: AttemptId) -> Job | None:
        """Release the attempt's memory and slot; return its job if it ran."""
        self._tokens_beside.pop(attempt, None)
        job = self._running.pop(attempt, None)
        if job is not None:
            self._used_tokens -= count_kv_tokens(job)
        return job

    def _fits_capacity(self, job: Job) -> bool:
        return count_kv_tokens(job) <= self._capacity()

    def _capacity(self) -> int:
        return self._kv_tokens - self._reserved_tokens
