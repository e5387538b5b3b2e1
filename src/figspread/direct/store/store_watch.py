"""Watches the store and recovers from outages and expired history."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, TypeVar

from figspread.direct.adapter import (
    HistoryExpired,
    Listing,
    NoAnswer,
    StoreError,
    StoreWentBack,
)
from figspread.direct.components import EntryComponents
from figspread.direct.store.record_faults import RecordFaults

# The duration of each watch is drawn between this share of the longest one and
# all of it, so the watches of entries end at different times, and an entry that
# sees a change passes it on to its peers.
LEAST_WATCH_SHARE: Final = 0.75
# Longest duration of a watch soon after a store failure, as failures come in
# series.
SHORT_WATCH_DURATION_S: Final = 1.5
# Period after a store failure in which watches are that short.
SHORT_WATCH_PERIOD_S: Final = 10.0
# Longest interval between availability checks. Together with the timeout of
# one check it bounds how late a silent store is detected.
CHECK_INTERVAL_S: Final = 2.0
# Longest interval between checks during an outage.
OUTAGE_CHECK_INTERVAL_S: Final = 0.5
# Delay before the next watch call. Changes come in bursts, and the delay lets
# one call return several of them.
CHANGE_BATCH_DELAY_S: Final = 0.1
# Backoff after failed calls: doubles from the first value up to the largest.
# Each pause is drawn between half of the backoff and all of it.
BACKOFF_FIRST_S: Final = 0.1
BACKOFF_MAX_S: Final = 0.8
_Result = TypeVar('_Result')


class WatchRelieved(Exception):
    """Other entries watch the store, so a call was cancelled."""


class StoreWatch:
    """Lists and watches kinds of objects, and retries through store outages.

    It does so while the entry's `WatchDuty` needs it.
    """

    def __init__(
        self, components: EntryComponents, faults: RecordFaults
    ) -> None:
        """Use the store client, registry and log among the components.

        Objects that can't be read are reported to `faults`.
        """
        self._faults = faults
        self._facts = components.facts
        self._registry = components.registry
        self._log = components.log
        self._rng = components.rng
        self._duty = components.watch_duty
        self._limits = components.store_limits
        self._current_kinds: dict[str, bool] = {}
        # The store counts as unavailable until the first check succeeds.
        self._available = asyncio.Event()
        self._unavailable = asyncio.Event()
        self._unavailable.set()
        self._is_outage_logged = False
        self._era: int | None = None
        self._short_watches_until: float = 0
        # Set when a call wasn't answered, until the next check.
        self._doubted = asyncio.Event()
        self._clock = components.clock

    @property
    def is_current(self) -> bool:
        """Whether all followed kinds are watched and the store answers."""
        is_listed = bool(self._current_kinds) and all(
            self._current_kinds.values()
        )
        return is_listed and self._available.is_set()

    async def check(self, kind: str) -> None:
        """Check forever whether the store answers.

        A waiting watch can't tell a silent store from one without changes.
        A check costs a tenth of a normal call.
        """
        while True:
            await self._duty.needed.wait()
            await self._probe_until_available(kind)
            await _wait_for_any(
                (self._unavailable, self._duty.relieved, self._doubted),
                self._jittered(CHECK_INTERVAL_S),
            )
            self._doubted.clear()
            if self._duty.relieved.is_set():
                # What the store does meanwhile isn't known, so the next watch
                # begins with a check.
                self._set_unavailable()
            elif not self._unavailable.is_set():
                await self._probe(kind)

    async def _probe_until_available(self, kind: str) -> None:
        # A call made while the store is silent is never answered, so the next
        # check doesn't wait for the previous one to end.
        probes: list[asyncio.Task[None]] = []
        try:
            while self._unavailable.is_set() and self._duty.needed.is_set():
                probes.append(asyncio.create_task(self._probe(kind)))
                interval_s = OUTAGE_CHECK_INTERVAL_S * self._duty.check_share
                await _wait_for_any(
                    (self._available, self._duty.relieved),
                    self._jittered(interval_s),
                )
        finally:
            for probe in probes:
                probe.cancel()

    async def _probe(self, kind: str) -> None:
        try:
            await self._facts.check(kind)
        except StoreError as exc:
            self._record_outage(str(exc))
            return
        if self._era is not None and self._facts.era > self._era:
            self._era = self._facts.era
            self._record_outage('the store has come back from a copy')
            return
        self._era = self._facts.era
        if self._unavailable.is_set():
            if self._is_outage_logged:
                self._log.info('store connection restored')
                self._registry.record_outage_end()
            else:
                self._log.info('store connected')
            self._is_outage_logged = False
            self._unavailable.clear()
            self._available.set()

    def _record_outage(self, why: str) -> None:
        if not self._is_outage_logged:
            self._log.warning('store connection lost', why=why)
            self._is_outage_logged = True
        self._set_unavailable()
        self._short_watches_until = self._clock.now() + SHORT_WATCH_PERIOD_S

    def _set_unavailable(self) -> None:
        self._available.clear()
        self._unavailable.set()

    async def follow_kind(
        self,
        kind: str,
        apply_listing: Callable[[Listing], None],
        resume_revision: Callable[[], int | None],
    ) -> None:
        """Follow a kind of objects forever, while this entry has to.

        `apply_listing` gets the full listing, then each batch of changes, and
        the full listing again after the store's history has expired.
        `resume_revision` returns the revision from which to go on after other
        entries have watched, or `None` to list the kind again.
        """
        revision: int | None = None
        pause_s: float = 0
        while True:
            self._current_kinds[kind] = revision is not None
            try:
                listing = await self._list_or_watch(kind, revision)
            except WatchRelieved:
                self._current_kinds[kind] = False
                await self._duty.needed.wait()
                revision = resume_revision()
                continue
            except HistoryExpired as exc:
                self._log.warning(
                    'watch history expired', kind=kind, since=revision
                )
                if isinstance(exc, StoreWentBack):
                    self._registry.record_outage_end()
                revision = None
                self._short_watches_until = (
                    self._clock.now() + SHORT_WATCH_PERIOD_S
                )
                continue
            except StoreError as exc:
                pause_s = await self._handle_failure(kind, exc, pause_s)
                continue
            self._faults.report_unnamed(kind, listing.unreadable)
            apply_listing(listing)
            revision = listing.revision
            pause_s = 0
            await asyncio.sleep(CHANGE_BATCH_DELAY_S)

    async def call_when_available(
        self, request: Callable[[], Awaitable[_Result]]
    ) -> _Result:
        """Wait for the store and return the result of `request`.

        Raises `StoreError` if the call fails, or if the store becomes
        unavailable during the call, since a call made before a silence is
        never answered. Raises `WatchRelieved` if the entry no longer has to
        watch the store, before the call or during it.
        """
        await _wait_for_any((self._available, self._duty.relieved), None)
        if self._duty.relieved.is_set():
            raise WatchRelieved
        response = asyncio.ensure_future(request())
        interruption = asyncio.ensure_future(
            _wait_for_any((self._unavailable, self._duty.relieved), None)
        )
        try:
            await asyncio.wait(
                (response, interruption),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if response.done():
                return response.result()
            if self._duty.relieved.is_set():
                raise WatchRelieved
            raise StoreError('store became unavailable during the call')
        finally:
            response.cancel()
            interruption.cancel()

    async def _list_or_watch(self, kind: str, revision: int | None) -> Listing:
        if revision is None:
            return await self.call_when_available(
                lambda: self._facts.list_kind(kind)
            )
        return await self.call_when_available(
            lambda: self._facts.watch_kind(
                kind, revision, self._watch_duration_s()
            ),
        )

    async def _handle_failure(
        self, kind: str, exc: StoreError, pause_s: float
    ) -> float:
        """Wait before the next call; return the new backoff.

        One lost answer is no outage, in which upstreams couldn't renew their
        records, so removals of these take effect at once. The store may have
        gone silent, though, so it is checked.
        """
        if isinstance(exc, NoAnswer):
            self._log.warning('store answer lost', kind=kind, why=str(exc))
            self._short_watches_until = self._clock.now() + SHORT_WATCH_PERIOD_S
            self._doubted.set()
            return 0
        self._record_outage('{0}: {1}'.format(kind, exc))
        pause_s = min(BACKOFF_MAX_S, pause_s * 2 or BACKOFF_FIRST_S)
        await asyncio.sleep(self._jittered(pause_s))
        return pause_s

    def _watch_duration_s(self) -> float:
        longest_s = self._limits.watch_s
        if self._clock.now() < self._short_watches_until:
            return min(longest_s, SHORT_WATCH_DURATION_S)
        return longest_s * self._rng.uniform(LEAST_WATCH_SHARE, 1)

    def _jittered(self, pause_s: float) -> float:
        return pause_s * self._rng.uniform(0.5, 1)


async def _wait_for_any(
    events: Iterable[asyncio.Event], timeout_s: float | None
) -> None:
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait(
            waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        for wait in waits:
            wait.cancel()
