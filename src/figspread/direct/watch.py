"""Watches the store through outages: silence, lost history, refusals."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final, TypeVar

from figspread.direct.parts import Parts
from figspread.direct.wire import HistoryGone, Listing, StoreFault

# A watch is a call to the store, however long it waits. One that the store
# has forgotten hears nothing, so it must end before long; each entry's ends at
# another time, and who hears of something tells the others.
WATCH_S: Final = 6.0
# For some time after trouble with the store watches are short: what they miss
# has to be known 3 s after the trouble, by the platform's bound.
WARY_WATCH_S: Final = 1.5
WARY_S: Final = 10.0
# With what a check may take this bounds how late a silent store is noticed.
CHECK_S: Final = 2.0
RECHECK_S: Final = 0.5
# Changes come in bursts; so long later ones are waited for, to take them with
# one call.
GATHER_S: Final = 0.1
# Pauses after a failed call, doubling, each drawn between half and whole.
PAUSE_FIRST_S: Final = 0.1
PAUSE_LONGEST_S: Final = 0.8
_Result = TypeVar('_Result')


class StoreWatch:
    """Lists kinds of objects and watches them, whatever the store does."""

    def __init__(self, parts: Parts) -> None:
        """Call the store through the entry's client."""
        self._facts = parts.facts
        self._registry = parts.registry
        self._log = parts.log
        self._rng = parts.rng
        # It begins like an outage: the first check tells that the store answers.
        self._answers = asyncio.Event()
        self._lost = asyncio.Event()
        self._lost.set()
        self._is_loss_told = False
        self._wary_until: float = 0
        self._clock = parts.clock

    async def check(self, kind: str) -> None:
        """Ask the store for little, for ever, to notice when it is silent.

        A watch that waits can't tell; a check costs a tenth of a call.
        """
        while True:
            await self._probe_until_answered(kind)
            await _wait_at_most(self._lost, self._jittered(CHECK_S))
            if not self._lost.is_set():
                await self._probe(kind)

    async def _probe_until_answered(self, kind: str) -> None:
        # What a silent store was asked is never answered, so the next check
        # doesn't wait for the end of the one before.
        probes: list[asyncio.Task[None]] = []
        while self._lost.is_set():
            probes.append(asyncio.create_task(self._probe(kind)))
            await _wait_at_most(self._answers, self._jittered(RECHECK_S))
        for probe in probes:
            probe.cancel()

    async def _probe(self, kind: str) -> None:
        try:
            await self._facts.check(kind)
        except StoreFault as exc:
            self._note_loss(str(exc))
            return
        if self._lost.is_set():
            if self._is_loss_told:
                self._log.info('store connection restored')
                self._registry.note_outage_end()
            else:
                self._log.info('store connected')
            self._is_loss_told = False
            self._lost.clear()
            self._answers.set()

    def _note_loss(self, why: str) -> None:
        if not self._is_loss_told:
            self._log.warning('store connection lost', why=why)
            self._is_loss_told = True
        self._answers.clear()
        self._lost.set()
        self._wary_until = self._clock.now() + WARY_S

    async def follow(
        self,
        kind: str,
        take: Callable[[Listing], None],
    ) -> None:
        """Give `take` the listing of a kind, then its changes, for ever."""
        revision: int | None = None
        pause_s: float = 0
        while True:
            try:
                listing = await self._ask(kind, revision)
            except HistoryGone:
                self._log.warning(
                    'watch history expired', kind=kind, since=revision
                )
                revision = None
                self._wary_until = self._clock.now() + WARY_S
                continue
            except StoreFault as exc:
                self._note_loss('{0}: {1}'.format(kind, exc))
                pause_s = min(PAUSE_LONGEST_S, pause_s * 2 or PAUSE_FIRST_S)
                await asyncio.sleep(self._jittered(pause_s))
                continue
            take(listing)
            revision = listing.revision
            pause_s = 0
            await asyncio.sleep(GATHER_S)

    async def call(self, work: Callable[[], Awaitable[_Result]]) -> _Result:
        """Return what `work` gets of the store, once that answers.

        Raises `StoreFault`, also when the store falls silent meanwhile: what
        it was asked before is then never answered.
        """
        await self._answers.wait()
        call = asyncio.ensure_future(work())
        silence = asyncio.ensure_future(self._lost.wait())
        try:
            await asyncio.wait(
                (call, silence),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not call.done():
                raise StoreFault('silent')
            return call.result()
        finally:
            call.cancel()
            silence.cancel()

    async def _ask(self, kind: str, revision: int | None) -> Listing:
        if revision is None:
            return await self.call(lambda: self._facts.list_kind(kind))
        return await self.call(
            lambda: self._facts.watch_kind(kind, revision, self._watch_s()),
        )

    def _watch_s(self) -> float:
        if self._clock.now() < self._wary_until:
            return WARY_WATCH_S
        return self._jittered(WATCH_S)

    def _jittered(self, pause_s: float) -> float:
        return pause_s * self._rng.uniform(0.5, 1)


async def _wait_at_most(event: asyncio.Event, limit_s: float) -> None:
    with suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            await event.wait()
