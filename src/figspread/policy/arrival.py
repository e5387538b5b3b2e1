"""A first-come, first-served queue, used as a baseline in benchmarks."""

from collections.abc import Sequence
from enum import Enum
from typing import assert_never

from figspread.clock import Clock
from figspread.ids import AttemptId
from figspread.inner.messages import Load
from figspread.outcome import NotRun, NotRunReason
from figspread.policy.memory import KvMemory
from figspread.policy.queue import QueueLimits, TokenQueue
from figspread.policy.types import Job


class QueueName(Enum):
    """The queue implementations that can be selected."""

    TOKENS = 'tokens'
    ARRIVAL = 'arrival'


class ArrivalQueue:
    """Starts jobs in order of arrival as soon as KV memory allows.

    Ignores workspaces, length classes and token budgets. Refuses only jobs
    that can never fit and jobs that arrive while the queue is full. A job
    that can't finish in time is removed only after its deadline.
    """

    def __init__(self, limits: QueueLimits, clock: Clock) -> None:
        """Create an empty queue; job deadlines are times on `clock`."""
        self._limits = limits
        self._clock = clock
        self._prefill_tokens_per_s = limits.prefill_tokens_per_s
        self._waiting: dict[AttemptId, Job] = {}
        self._prefilling: dict[AttemptId, int] = {}
        self._memory = KvMemory(
            kv_tokens=limits.kv_tokens,
            slots=limits.running_requests,
        )

    def set_prefill_rate(self, prefill_tokens_per_s: float) -> None:
        """Set the prefill rate to report; ignore a rate of 0."""
        if prefill_tokens_per_s > 0:
            self._prefill_tokens_per_s = prefill_tokens_per_s

    def set_running_limit(self, requests: int) -> None:
        """Set how many jobs may run at once; running jobs continue."""
        self._memory.limit_slots(requests)

    def set_reserved_kv_tokens(self, kv_tokens: int) -> None:
        """Set the total KV memory reserved for other uses than jobs."""
        self._memory.update_reservation(kv_tokens)

    def offer(self, job: Job) -> NotRun | None:
        """Append `job`, or refuse it; a job already known keeps its place."""
        if job.attempt in self._waiting or job.attempt in self._memory:
            return None
        if not self._memory.can_ever_fit(job):
            return NotRun(NotRunReason.TOO_LARGE, detail='engine memory')
        if len(self._waiting) >= self._limits.queued_requests:
            return NotRun(NotRunReason.OVERLOAD, 1)
        self._waiting[job.attempt] = job
        return None

    def take(self) -> Job | None:
        """Start and return the oldest job if it fits now."""
        job = next(iter(self._waiting.values()), None)
        if job is None or not self._memory.can_start(job):
            return None
        self._waiting.pop(job.attempt)
        self._memory.start(job)
        self._prefilling[job.attempt] = job.prompt_tokens
        return job

    def withdraw(self, attempt: AttemptId) -> bool:
        """Remove a waiting job; return whether it was in the queue."""
        return self._waiting.pop(attempt, None) is not None

    def mark_prefilled(self, attempt: AttemptId) -> None:
        """Record that a running job has produced its first token."""
        self._prefilling.pop(attempt, None)

    def finish(self, attempt: AttemptId) -> None:
        """Release the resources of a running job; idempotent."""
        self.mark_prefilled(attempt)
        self._memory.finish(attempt)

    def expire(self) -> Sequence[Job]:
        """Remove and return the waiting jobs past their deadline."""
        now = self._clock.now()
        overdue = [job for job in self._waiting.values() if now > job.expires]
        for job in overdue:
            self.withdraw(job.attempt)
        return overdue

    def load(self) -> Load:
        """Return the waiting and running work.

        No tokens by lane are reported: a new job waits for all of it.
        """
        jobs = (*self._waiting.values(), *self._memory)
        waiting_tokens = sum(
            job.prompt_tokens for job in self._waiting.values()
        )
        return Load(
            queued=len(self._waiting),
            running=len(self._memory),
            prefill_tokens=waiting_tokens + sum(self._prefilling.values()),
            decode_tokens=sum(job.output_tokens for job in jobs),
            free_kv_tokens=self._memory.free_tokens,
            prefill_tokens_per_s=self._prefill_tokens_per_s,
        )


def make_queue(
    name: QueueName,
    limits: QueueLimits,
    clock: Clock,
) -> TokenQueue | ArrivalQueue:
    """Return the queue called `name`."""
    match name:
        case QueueName.TOKENS:
            return TokenQueue(limits, clock)
        case QueueName.ARRIVAL:
            return ArrivalQueue(limits, clock)
        case _:
            assert_never(name)
