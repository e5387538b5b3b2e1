"""The request queue of one engine, with limits counted in tokens."""

import itertools
from collections.abc import Sequence
from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.ids import AttemptId
from figspread.inner.messages import Load
from figspread.outcome import NotRun, NotRunReason
from figspread.policy.lanes import DEFAULT_LANES, LaneLimits, Lanes
from figspread.policy.memory import KvMemory
from figspread.policy.prompts import lane_index
from figspread.policy.rate import PrefillRate
from figspread.policy.retry_schedule import RetrySchedule
from figspread.policy.throughput import DecodeEstimator, LaneRates
from figspread.policy.types import Job

# Each priority level orders a job as if it had to start this much earlier.
PRIORITY_STEP_S: Final = 5.0
# Memory is held for a job after at most this share of the time between its
# arrival and its latest start.
HOLD_SLACK_SHARE: Final = 0.5


class QueueLimits(msgspec.Struct, frozen=True):
    """Limits of the queue of one engine.

    `kv_tokens` is the capacity of the engine's KV cache.
    `prefill_tokens_per_s` is used until the engine reports its rate. If the
    job at the head of a lane still lacks KV memory `hold_after_s` seconds
    after its arrival, memory is held for it.
    """

    kv_tokens: int
    prefill_tokens_per_s: float = 10_000
    running_requests: int = 256
    queued_requests: int = 4096
    hold_after_s: float = 5
    lanes: tuple[LaneLimits, ...] = DEFAULT_LANES


class TokenQueue:
    """Shares an engine among workspaces and favours short prompts.

    Each class of prompt length has its own lane with a limit on the tokens
    in prefill. Lanes with shorter prompts are served first, and a longer
    prompt starts only if no shorter one waits for memory, unless memory is
    held for it. Within a lane the workspaces share by weight.

    A job becomes due for a memory hold `hold_after_s` after its arrival, or
    sooner if its deadline is near. Once it is at the head of its lane, the
    lane has budget for it and all jobs that became due earlier have started,
    it starts as soon as the jobs that are running at that moment finish.
    """

    def __init__(self, limits: QueueLimits, clock: Clock) -> None:
        """Create an empty queue; job deadlines are times on `clock`."""
        self._limits = limits
        self._clock = clock
        self._prefill = PrefillRate(limits.prefill_tokens_per_s)
        self._lanes = Lanes(limits.lanes)
        self._lane_rates = LaneRates(clock, len(limits.lanes))
        self._decode_estimator = DecodeEstimator(clock)
        self._memory = KvMemory(
            kv_tokens=limits.kv_tokens,
            slots=limits.running_requests,
        )
        self._hold_due_at: dict[AttemptId, float] = {}
        self._retry_after = RetrySchedule(clock)

    def set_prefill_rate(self, prefill_tokens_per_s: float) -> None:
        """Set the prefill rate reported by the engine; ignore a rate of 0."""
        if prefill_tokens_per_s > 0:
            self._prefill = PrefillRate(prefill_tokens_per_s)

    def set_running_limit(self, requests: int) -> None:
        """Set how many jobs may run at once; running jobs continue."""
        self._memory.limit_slots(requests)

    def set_reserved_kv_tokens(self, kv_tokens: int) -> None:
        """Set how many KV tokens jobs can't use because spans need them.

        See `KvMemory.update_reservation`; the number replaces the earlier one.
        """
        self._memory.update_reservation(kv_tokens)

    def offer(self, job: Job) -> NotRun | None:
        """Queue `job`, or refuse it with a retry delay.

        A job that is already queued or running is not queued again.
        """
        if job.attempt in self._hold_due_at or job.attempt in self._memory:
            return None
        if not self._memory.can_ever_fit(job):
            return NotRun(NotRunReason.TOO_LARGE, detail='engine memory')
        now = self._clock.now()
        rate = self._lane_rate_for(job)
        wait_s = rate.prefill_s(self._lanes.tokens_ahead_of(job))
        excess_s = now + wait_s - self._latest_start(job)
        is_full = len(self._hold_due_at) >= self._limits.queued_requests
        if excess_s > 0 or is_full:
            retry_after_s = self._retry_after.next_retry_after_s(
                excess_s=max(0, excess_s),
                service_s=rate.prefill_s(job.prompt_tokens),
            )
            return NotRun(NotRunReason.OVERLOAD, retry_after_s)
        self._enqueue(job, now)
        return None

    def take(self) -> Job | None:
        """Start and return the next job that fits now, or return `None`."""
        self._hold_memory_if_due()
        for lane, job in self._lanes.heads(self._memory.held):
            if self._memory.can_start(job):
                self._hold_due_at.pop(job.attempt)
                lane.start_prefill(job)
                self._lane_rates.record_start(
                    lane_index(job.prompt_tokens), job.prompt_tokens
                )
                self._memory.start(job)
                return job
            if job is not self._memory.held:
                # A longer job must not use the memory or slot that this one
                # is waiting for.
                return None
        return None

    def withdraw(self, attempt: AttemptId) -> bool:
        """Remove a waiting job; return whether it was in the queue."""
        if self._hold_due_at.pop(attempt, None) is None:
            return False
        self._memory.release_hold(attempt)
        for lane in self._lanes:
            lane.waiting.remove(attempt)
        return True

    def mark_prefilled(self, attempt: AttemptId) -> None:
        """Record that a running job has produced its first token."""
        self._end_prefill(attempt)
        if attempt in self._memory:
            self._decode_estimator.record_first_token(attempt)

    def finish(self, attempt: AttemptId) -> None:
        """Release the resources of a running job; idempotent."""
        self._end_prefill(attempt)
        job = self._memory.finish(attempt)
        if job is not None:
            self._decode_estimator.record_finish(job)

    def expire(self) -> Sequence[Job]:
        """Remove and return waiting jobs that would miss their deadline."""
        now = self._clock.now()
        overdue = [
            job
            for job in self._lanes.waiting_jobs()
            if now > self._latest_start(job)
        ]
        for job in overdue:
            self.withdraw(job.attempt)
        return overdue

    def load(self) -> Load:
        """Return the waiting and running work in requests and tokens."""
        lane_tokens = self._lanes.tokens_per_lane()
        return Load(
            queued=len(self._hold_due_at),
            running=len(self._memory),
            prefill_tokens=sum(lane_tokens),
            decode_tokens=sum(
                job.output_tokens
                for job in itertools.chain(
                    self._lanes.waiting_jobs(), self._memory
                )
            ),
            free_kv_tokens=self._memory.free_tokens,
            prefill_tokens_per_s=self._prefill.tokens_per_s,
            lane_tokens=lane_tokens,
        )

    def _enqueue(self, job: Job, now: float) -> None:
        latest_start = self._latest_start(job)
        hold_after_s = min(
            self._limits.hold_after_s,
            (latest_start - now) * HOLD_SLACK_SHARE,
        )
        self._hold_due_at[job.attempt] = now + hold_after_s
        priority_bonus_s = job.priority * PRIORITY_STEP_S
        self._lanes.lane_for(job).waiting.push(
            job, latest_start - priority_bonus_s
        )

    def _end_prefill(self, attempt: AttemptId) -> None:
        for lane in self._lanes:
            lane.end_prefill(attempt)

    def _latest_start(self, job: Job) -> float:
        start = self._lane_rate_for(job).latest_start(job)
        return start - self._decode_estimator.estimate_s(job)

    def _lane_rate_for(self, job: Job) -> PrefillRate:
        lane = lane_index(job.prompt_tokens)
        return self._lane_rates.remaining_rate(lane, self._prefill)

    def _hold_memory_if_due(self) -> None:
        # No job overtakes the first head, so only the longer ones need a hold.
        longer = [job for _, job in self._lanes.heads(self._memory.held)][1:]
        due = [
            job
            for job in longer
            if self._hold_due_at[job.attempt] <= self._clock.now()
        ]
        if due and self._memory.held is None:
            first_due = min(due, key=lambda job: self._hold_due_at[job.attempt])
            if not self._memory.can_start(first_due):
                self._memory.hold(first_due)
