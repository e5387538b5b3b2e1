"""Connects the tasks of attempts to the queue before the upstream."""

import asyncio
from collections.abc import Iterable
from typing import Final, TypeAlias

from figspread.ids import AttemptId
from figspread.inner.messages import Load
from figspread.outcome import NotRun, NotRunReason
from figspread.policy.types import Job, JobQueue

# Refuses a queued job that would miss its deadline; `it` is the request.
_DEADLINE_UNREACHABLE: Final = NotRun(
    NotRunReason.DEADLINE,
    detail='it could not end in time',
)

_Decision: TypeAlias = asyncio.Future[NotRun | None]


class AttemptScheduler:
    """Lets each attempt's task wait until the queue starts or refuses it.

    Not thread-safe: all methods run on the agent's event loop.
    """

    def __init__(self, queue: JobQueue) -> None:
        """Take ownership of `queue`; nothing else may start its jobs."""
        self._queue = queue
        self._waiting: dict[AttemptId, _Decision] = {}
        self._running: set[AttemptId] = set()

    def enqueue(self, job: Job) -> NotRun | None:
        """Queue `job` and return `None`, or return the queue's refusal.

        `release` must follow once for each job that was queued.
        """
        refusal = self._queue.offer(job)
        if refusal is None:
            decision = asyncio.get_running_loop().create_future()
            self._waiting[job.attempt] = decision
            self.dispatch()
        return refusal

    async def wait_for_start(self, attempt: AttemptId) -> NotRun | None:
        """Wait until `attempt` may start; return the refusal if it may not.

        Returns `None` at once for an attempt that isn't in the queue.
        """
        decision = self._waiting.get(attempt)
        return None if decision is None else await decision

    def release(self, attempt: AttemptId) -> None:
        """Release the queue slot of `attempt`, whether it waits or runs."""
        self._waiting.pop(attempt, None)
        if attempt in self._running:
            self._running.discard(attempt)
            self._queue.finish(attempt)
        else:
            self._queue.withdraw(attempt)
        self.dispatch()

    def mark_prefilled(self, attempt: AttemptId) -> None:
        """Record that a running attempt has finished its prefill."""
        self._queue.mark_prefilled(attempt)
        self.dispatch()

    def dispatch(self) -> None:
        """Start the jobs that fit; refuse those that would miss a deadline."""
        for expired_job in self._queue.expire():
            self._resolve_decision(expired_job.attempt, _DEADLINE_UNREACHABLE)
        for job in iter(self._queue.take, None):
            self._running.add(job.attempt)
            self._resolve_decision(job.attempt, None)

    def refuse_waiting(self, refusal: NotRun) -> None:
        """Withdraw all waiting attempts from the queue with `refusal`."""
        self.refuse_attempts(tuple(self._waiting), refusal)

    def refuse_attempts(
        self, attempts: Iterable[AttemptId], refusal: NotRun
    ) -> None:
        """Withdraw those of `attempts` that wait from the queue."""
        for attempt in attempts:
            if self._queue.withdraw(attempt):
                self._resolve_decision(attempt, refusal)

    def load(self) -> Load:
        """Return the queued and running work, in requests and tokens."""
        return self._queue.load()

    def _resolve_decision(
        self, attempt: AttemptId, refusal: NotRun | None
    ) -> None:
        decision = self._waiting.get(attempt)
        if decision is not None and not decision.done():
            decision.set_result(refusal)
