"""Attempts waiting for their turn on the upstream."""

import asyncio
from typing import Final, TypeAlias

from figspread.ids import AttemptId
from figspread.inner.messages import Load
from figspread.outcome import NotRun, NotRunReason
from figspread.policy.types import Job, JobQueue

_LATE: Final = NotRun(
    NotRunReason.DEADLINE,
    detail='it could not end in time',
)

_Decision: TypeAlias = asyncio.Future[NotRun | None]


class AttemptScheduler:
    """Lets tasks wait for what the queue decides."""

    def __init__(self, queue: JobQueue) -> None:
        """Take over `queue`, which nobody else may use."""
        self._queue = queue
        self._waiting: dict[AttemptId, _Decision] = {}
        self._taken: set[AttemptId] = set()

    def enter(self, job: Job) -> NotRun | None:
        """Queue `job`, or refuse it; `leave` must follow if it is queued."""
        refusal = self._queue.offer(job)
        if refusal is None:
            turn = asyncio.get_running_loop().create_future()
            self._waiting[job.attempt] = turn
            self.pump()
        return refusal

    async def wait(self, attempt: AttemptId) -> NotRun | None:
        """Return when it is the turn of `attempt`, or when it is refused."""
        turn = self._waiting.get(attempt)
        return None if turn is None else await turn

    def leave(self, attempt: AttemptId) -> None:
        """Free what `attempt` has in the queue, wherever it is."""
        self._waiting.pop(attempt, None)
        if attempt in self._taken:
            self._taken.discard(attempt)
            self._queue.finish(attempt)
        else:
            self._queue.withdraw(attempt)
        self.pump()

    def mark_prefilled(self, attempt: AttemptId) -> None:
        """Note the first token of a running attempt."""
        self._queue.mark_prefilled(attempt)
        self.pump()

    def pump(self) -> None:
        """Start what may start and refuse what can't end in time."""
        for late in self._queue.expire():
            self._resolve(late.attempt, _LATE)
        for job in iter(self._queue.take, None):
            self._taken.add(job.attempt)
            self._resolve(job.attempt, None)

    def hand_back(self, refusal: NotRun) -> None:
        """Refuse all that waits."""
        for attempt in tuple(self._waiting):
            if self._queue.withdraw(attempt):
                self._resolve(attempt, refusal)

    def load(self) -> Load:
        """Return what waits and runs."""
        return self._queue.load()

    def _resolve(self, attempt: AttemptId, refusal: NotRun | None) -> None:
        turn = self._waiting.get(attempt)
        if turn is not None and not turn.done():
            turn.set_result(refusal)
