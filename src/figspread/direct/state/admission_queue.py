"""Queues requests until an upstream is free, in order of rank."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeVar, cast

import msgspec

from figspread.clock import Clock


class Claim(msgspec.Struct, frozen=True):
    """What the queue needs to know of a waiting request.

    Priority 0 goes first. `arrived_s`, `target_start_s` and `start_deadline_s` are
    clock times: the request must start by `target_start_s` to meet its latency
    target, and is not worth starting after `start_deadline_s`. `work_s` is how
    many seconds of one upstream's time it needs.
    """

    request: str
    priority: int
    arrived_s: float
    target_start_s: float
    start_deadline_s: float
    work_s: float


class AdmissionRefused(Exception):
    """No upstream will be free for a request before its deadline.

    `retry_after_s` is when the caller should retry, in seconds.
    """

    def __init__(self, detail: str, retry_after_s: float) -> None:
        """Refuse because of `detail`, with a Retry-After in seconds."""
        super().__init__(detail)
        self.retry_after_s = retry_after_s


# Requests that can no longer meet their latency target are deferred behind the
# others until they are this late, so that they don't starve.
DEFERRAL_LIMIT_S: Final = 3.0


# Requests that may fail to be placed in one scan of the queue; one more ends
# it. The scan goes past the first because a shorter request may fit where a
# long one does not.
MISS_LIMIT: Final = 4
_Place = TypeVar('_Place')


def _allow() -> None:
    """Allow a request to wait on."""


class _Waiter(msgspec.Struct, frozen=True, eq=False):
    claim: Claim
    try_place: Callable[[], object]
    check: Callable[[], None]
    fut: asyncio.Future[object]


class AdmissionQueue:
    """Orders waiting requests by priority, then by how urgent they are.

    Requests that can still meet their latency target go first, the earliest
    `target_start_s` first. Those that can't follow in order of arrival; once
    they are `DEFERRAL_LIMIT_S` late they rank among the first again, so that
    none starves.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with an empty queue."""
        self._clock = clock
        self._waiters: list[_Waiter] = []
        self._is_scan_scheduled = False

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiters)

    def estimate_backlog_s(self, claim: Claim) -> float:
        """Return the work of other requests ranked before `claim`, in seconds."""
        now = self._clock.now()
        rank = rank_claim(claim, now)
        return sum(
            waiter.claim.work_s
            for waiter in self._waiters
            if waiter.claim.request != claim.request
            and rank_claim(waiter.claim, now) <= rank
        )

    def count_before(self, claim: Claim) -> int:
        """Return how many other waiting requests are ranked before `claim`."""
        now = self._clock.now()
        rank = rank_claim(claim, now)
        return sum(
            waiter.claim.request != claim.request
            and rank_claim(waiter.claim, now) <= rank
            for waiter in self._waiters
        )

    async def wait(
        self,
        claim: Claim,
        try_place: Callable[[], _Place | None],
        release: Callable[[_Place], None],
        check: Callable[[], None] = _allow,
    ) -> _Place:
        """Wait until `try_place` returns a result, and return that.

        `try_place` is called at each scan of the queue that reaches the claim,
        and returns `None` if no upstream is free. `check` is called at each
        `recheck`, and may raise `AdmissionRefused`. Raises `TimeoutError` at the
        claim's `start_deadline_s`. If the wait is cancelled or times out after a result
        was assigned, that result is passed to `release`.
        """
        fut: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(claim, try_place, check, fut)
        self._waiters.append(waiter)
        self.notify()
        try:
            async with asyncio.timeout(
                claim.start_deadline_s - self._clock.now()
            ):
                await asyncio.wait((fut,))
        except BaseException:
            if fut.done() and fut.exception() is None:
                release(cast(_Place, fut.result()))
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return cast(_Place, fut.result())

    def recheck(self) -> None:
        """End the wait of requests that are not allowed any more."""
        for waiter in tuple(self._waiters):
            try:
                waiter.check()
            except Exception as exc:
                self._fail(waiter, exc)

    def notify(self) -> None:
        """Schedule a scan of the queue, after capacity may have become free."""
        if not self._is_scan_scheduled and self._waiters:
            self._is_scan_scheduled = True
            asyncio.get_running_loop().call_soon(self._place_waiters)

    def _place_waiters(self) -> None:
        self._is_scan_scheduled = False
        now = self._clock.now()
        ranked = sorted(
            self._waiters,
            key=lambda waiter: rank_claim(waiter.claim, now),
        )
        misses = 0
        for waiter in ranked:
            try:
                assigned = waiter.try_place()
            except Exception as exc:
                # The others behind it are not affected.
                self._fail(waiter, exc)
                continue
            if assigned is None:
                misses += 1
                if misses > MISS_LIMIT:
                    return
                continue
            self._waiters.remove(waiter)
            waiter.fut.set_result(assigned)

    def _fail(self, waiter: _Waiter, exc: Exception) -> None:
        self._waiters.remove(waiter)
        waiter.fut.set_exception(exc)


def rank_claim(claim: Claim, now: float) -> tuple[int, bool, float]:
    """Return the sort key of a claim at clock time `now`, lowest first."""
    late_s = now - claim.target_start_s
    is_late = 0 < late_s < DEFERRAL_LIMIT_S
    sort_time_s = claim.arrived_s if is_late else claim.target_start_s
    return (claim.priority, is_late, sort_time_s)
