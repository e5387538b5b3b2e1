"""Requests that wait for a place, in the order in which they get one."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeVar, cast

import msgspec

from figspread.clock import Clock


class Claim(msgspec.Struct, frozen=True):
    """A request's claim to a place.

    `latest_s` is the clock time at which it must start to meet its aim,
    `ends_s` the one after which no place is of use; `work_s` is what it
    occupies one upstream for.
    """

    request: str
    priority: int
    arrived_s: float
    latest_s: float
    ends_s: float
    work_s: float


class Refused(Exception):
    """No place can be had in time; `after_s` says when to come back."""

    def __init__(self, detail: str, after_s: float) -> None:
        """Refuse because of `detail`."""
        super().__init__(detail)
        self.after_s = after_s


# Waiting ones that have come too late for their aim go behind the others, but
# not for longer than this.
LATE_LIMIT_S: Final = 3.0


# So many in a row that find no place end the search: shorter ones may fit
# where a long one does not.
MISSES: Final = 4
_Place = TypeVar('_Place')


class _Waiter(msgspec.Struct, frozen=True, eq=False):
    claim: Claim
    take: Callable[[], object]
    fut: asyncio.Future[object]


class AdmissionQueue:
    """Gives places by priority, then to those that can still be on time.

    Those that can't go last, by arrival; with `LATE_LIMIT_S` of lateness they
    count as on time again, so that none waits for ever.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with nobody waiting."""
        self._clock = clock
        self._waiters: list[_Waiter] = []
        self._is_due = False

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiters)

    def work_ahead_s(self, claim: Claim) -> float:
        """Return the work of those that go before `claim`."""
        now = self._clock.now()
        rank = rank_claim(claim, now)
        return sum(
            waiter.claim.work_s
            for waiter in self._waiters
            if rank_claim(waiter.claim, now) <= rank
        )

    async def wait(
        self,
        claim: Claim,
        take: Callable[[], _Place | None],
        give_back: Callable[[_Place], None],
    ) -> _Place:
        """Return what `take` gives once it is the claim's turn.

        Raises `TimeoutError` when the claim's time is over. A place that was
        taken for a waiter that has been cancelled is given back.
        """
        fut: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(claim, take, fut)
        self._waiters.append(waiter)
        self.notify()
        try:
            async with asyncio.timeout(claim.ends_s - self._clock.now()):
                await asyncio.wait((fut,))
        except BaseException:
            if fut.done():
                give_back(cast(_Place, fut.result()))
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return cast(_Place, fut.result())

    def notify(self) -> None:
        """Look for places soon: something has ended or changed."""
        if not self._is_due and self._waiters:
            self._is_due = True
            asyncio.get_running_loop().call_soon(self._give_places)

    def _give_places(self) -> None:
        self._is_due = False
        now = self._clock.now()
        order = sorted(
            self._waiters,
            key=lambda waiter: rank_claim(waiter.claim, now),
        )
        misses = 0
        for waiter in order:
            place = waiter.take()
            if place is None:
                misses += 1
                if misses > MISSES:
                    return
                continue
            self._waiters.remove(waiter)
            waiter.fut.set_result(place)


def rank_claim(claim: Claim, now: float) -> tuple[int, bool, float]:
    """Return the place of a claim among those that wait, least first."""
    lateness = now - claim.latest_s
    is_late = 0 < lateness < LATE_LIMIT_S
    order = claim.arrived_s if is_late else claim.latest_s
    return (claim.priority, is_late, order)
