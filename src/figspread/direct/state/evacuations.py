"""The data centres to which no requests may be sent at the moment."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final, Protocol

import msgspec

from figspread.clock import Clock
from figspread.direct.adapter import Listing
from figspread.direct.state.registry import RELIST_GRACE_S
from figspread.ids import DataCentreId
from figspread.inner.entry_messages import EvacuationRow
from figspread.policy.evacuations import EvacuationFact, EvacuationTable
from figspread.telemetry.evacuation_metrics import EvacuationMetrics
from figspread.telemetry.logs import Log

# The source of what this entry has read or concluded itself, for the log.
STORE_SOURCE: Final = 'store'
# Interval of looking for evacuations whose grace period is over.
CHECK_INTERVAL_S: Final = 0.1


class EvacuationAnnouncer(Protocol):
    """Tells other entries."""

    def announce_evacuations(self) -> None:
        """Send all that is known to the other entries."""


class _Change(msgspec.Struct, frozen=True):
    is_evacuated: bool
    changed_s: float


class Evacuations:
    """The evacuations that the operator has written to the store.

    `announcers` are called when this entry has learned of a change from the
    store, `listeners` after each start or end. `changes` counts these.
    """

    def __init__(
        self, clock: Clock, log: Log, metrics: EvacuationMetrics
    ) -> None:
        """Start without evacuations."""
        self._clock = clock
        self._log = log
        self.metrics = metrics
        self._table = EvacuationTable(RELIST_GRACE_S)
        self._last_changes: dict[DataCentreId, _Change] = {}
        self.announcers: list[EvacuationAnnouncer] = []
        self.listeners: list[Callable[[], None]] = []
        self.changes = 0
        metrics.record_count(0)

    def is_evacuated(self, data_centre: DataCentreId) -> bool:
        """Return whether no requests may be sent to a data centre."""
        return self._table.is_evacuated(data_centre)

    def ended_s(self, data_centre: DataCentreId) -> float | None:
        """Return the clock time at which the last evacuation ended.

        It is the time at which this entry has heard of the end, and `None` if
        the data centre is evacuated or no evacuation is known.
        """
        change = self._last_changes.get(data_centre)
        if change is None or change.is_evacuated:
            return None
        return change.changed_s

    def lasted_s(self, data_centre: DataCentreId) -> float:
        """Return for how long a data centre has been evacuated, in seconds."""
        change = self._last_changes.get(data_centre)
        if change is None or not change.is_evacuated:
            return 0
        return self._clock.now() - change.changed_s

    def list_rows(self) -> tuple[EvacuationRow, ...]:
        """Return all that is known, for other entries."""
        return tuple(
            EvacuationRow(data_centre, fact.version, not fact.has_ended)
            for data_centre, fact in self._table.list_facts()
        )

    def apply_listing(self, listing: Listing) -> None:
        """Apply what the store says: all records, or the newest changes."""
        now = self._clock.now()
        before = self.list_rows()
        if listing.is_whole:
            listed = {
                DataCentreId(row.name): row.revision
                for row in listing.rows
                if not row.is_deleted
            }
            self._table.merge_listing(listed, listing.revision, now)
        else:
            for row in listing.rows:
                self._table.merge(
                    DataCentreId(row.name),
                    EvacuationFact(row.revision, row.is_deleted),
                    now,
                )
        self._handle_news(before, STORE_SOURCE)

    def merge(self, rows: Iterable[EvacuationRow], source: str) -> None:
        """Apply what another entry has told."""
        now = self._clock.now()
        for row in rows:
            self._table.merge(
                row.data_centre,
                EvacuationFact(row.version, not row.is_evacuated),
                now,
            )
        self._record_changes(source)

    async def run(self) -> None:
        """End what the store has lost when it is time, forever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.update()

    def update(self) -> None:
        """End what the store has lost if the grace period is over."""
        before = self.list_rows()
        self._table.end_missing(self._clock.now())
        self._handle_news(before, 'lapse')

    def _handle_news(
        self, before: tuple[EvacuationRow, ...], source: str
    ) -> None:
        self._record_changes(source)
        if self.list_rows() != before:
            for announcer in self.announcers:
                announcer.announce_evacuations()

    def _record_changes(self, source: str) -> None:
        has_changed = False
        for data_centre, fact in self._table.list_facts():
            known = self._last_changes.get(data_centre)
            if known is None or known.is_evacuated == fact.has_ended:
                self._record_change(data_centre, fact, source)
                has_changed = True
        if not has_changed:
            return
        self.changes += 1
        self.metrics.record_count(
            sum(change.is_evacuated for change in self._last_changes.values())
        )
        for handle_change in self.listeners:
            handle_change()

    def _record_change(
        self, data_centre: DataCentreId, fact: EvacuationFact, source: str
    ) -> None:
        now = self._clock.now()
        known = self._last_changes.get(data_centre)
        self._last_changes[data_centre] = _Change(not fact.has_ended, now)
        # The age is how long the previous state has held, as known here.
        self._log.warning(
            'evacuation ended' if fact.has_ended else 'evacuation started',
            data_centre=data_centre,
            version=fact.version,
            source=source,
            age_s=None if known is None else round(now - known.changed_s, 3),
        )
