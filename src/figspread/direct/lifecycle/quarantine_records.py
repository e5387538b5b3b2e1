"""Keeps quarantined parts in the store, for when all entries restart."""

import asyncio
from typing import Annotated, Final

import msgspec
import xxhash

from figspread.direct.adapter import Listing, StoreError
from figspread.direct.components import EntryComponents
from figspread.direct.peers.fleet_view import FleetView
from figspread.direct.store.store_watch import StoreWatch, WatchRelieved
from figspread.documents import MalformedDocument, decode_json
from figspread.ids import PromptPartId, UpstreamId
from figspread.policy.quarantine import MAX_TRIALS, Quarantine
from figspread.policy.rate_owner import choose_owner
from figspread.policy.store_version import find_era

# Interval of looking for changes to write. Records are few, and written once.
CHECK_INTERVAL_S: Final = 0.5
# Interval of reading the records while the entry is cut off from others.
READ_INTERVAL_S: Final = 1.0
# A quarantine is written from this age on; some are lifted before, when more is
# known.
WRITE_AFTER_S: Final = 2.0


class _Record(msgspec.Struct, frozen=True):
    """The object of one part; `trials` counts those that have failed."""

    part: PromptPartId = PromptPartId('')
    trials: Annotated[int, msgspec.Meta(ge=0, le=MAX_TRIALS)] = 0


class QuarantineRecords:
    """Reads the records at the start, then writes what changes.

    An entry that other entries can't tell reads them again and again. One
    entry, by rendezvous hash, writes the record of a part, and writes it
    again after the store has come back from a copy.
    """

    def __init__(
        self,
        components: EntryComponents,
        kind: str,
        watch: StoreWatch,
        view: FleetView,
    ) -> None:
        """Prepare; records are objects of the kind `kind`."""
        self._facts = components.facts
        self._quarantine = components.quarantine
        self._registry = components.registry
        self._startup = components.startup
        self._clock = components.clock
        self._log = components.log
        self._kind = kind
        self._watch = watch
        self._view = view
        # By part: the era of the store and the record written there.
        self._written: dict[PromptPartId, tuple[int, _Record]] = {}

    async def run(self) -> None:
        """Read the records, then write changes, forever."""
        while not await self._read_records():
            await asyncio.sleep(CHECK_INTERVAL_S)
        read_s = self._clock.now()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                await self._write_changes()
            except StoreError as exc:
                self._log.warning('quarantine not recorded', why=str(exc))
            is_due = self._clock.now() >= read_s + READ_INTERVAL_S
            if is_due and self._view.is_cut_off():
                await self._read_records()
                read_s = self._clock.now()

    async def _read_records(self) -> bool:
        """Restore what is recorded; return whether nothing is left to read."""
        try:
            listing: Listing = await self._watch.call_when_available(
                lambda: self._facts.list_kind(self._kind)
            )
        except WatchRelieved:
            # Other entries have told what they know.
            return True
        except StoreError as exc:
            self._log.warning('quarantines not read', why=str(exc))
            return False
        finally:
            self._startup.record_quarantines()
        for row in listing.rows:
            record = _decode_record(row.document)
            if record.part:
                self._written[record.part] = (self._newest_era(), record)
                self._quarantine.restore(record.part, record.trials)
        return True

    async def _write_changes(self) -> None:
        era = self._newest_era()
        records = {
            record.part: record
            for quarantine in self._quarantine.list_all()
            if (record := self._make_record(quarantine)) is not None
        }
        for due, record in records.items():
            written = (era, record)
            if self._written.get(due) != written and self._is_owner(due):
                document = msgspec.json.encode(record)
                await self._facts.publish(self._kind, _make_name(due), document)
                self._written[due] = written
        listed = {
            part
            for quarantine in self._quarantine.list_all()
            for part in quarantine.group
        }
        for ended in set(self._written) - listed:
            await self._facts.remove(self._kind, _make_name(ended))
            self._written.pop(ended)

    def _make_record(self, quarantine: Quarantine) -> _Record | None:
        """Return the record of a quarantine that is old enough to be kept."""
        age_s = self._clock.now() - quarantine.since_s
        if len(quarantine.group) != 1 or age_s < WRITE_AFTER_S:
            return None
        return _Record(next(iter(quarantine.group)), quarantine.trials)

    def _newest_era(self) -> int:
        # An entry that doesn't watch the store hears of its era from peers.
        return max(self._facts.era, find_era(self._registry.revision))

    def _is_owner(self, part: PromptPartId) -> bool:
        owners = self._view.list_owners()
        return choose_owner(owners, UpstreamId(part)) == self._view.entry


def _make_name(part: PromptPartId) -> str:
    return xxhash.xxh3_64_hexdigest(part.encode())


def _decode_record(document: bytes) -> _Record:
    try:
        return decode_json(document, _Record)
    except MalformedDocument:
        return _Record()
