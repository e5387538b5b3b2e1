"""Registers an entry in the store, and finds the other entries there."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from figspread.addresses import check_address
from figspread.direct.adapter import Listing, StoreError
from figspread.direct.components import EntryComponents
from figspread.direct.store.store_watch import StoreWatch
from figspread.documents import MalformedDocument, decode_json
from figspread.policy.store_version import find_era

# Pause before a failed registration is retried.
REGISTRATION_RETRY_S: Final = 0.2
# Together these bound how late the record is written again: the platform takes
# what is still missing 2 s after the store is back as gone.
ERA_CHECK_INTERVAL_S: Final = 0.3
REWRITE_SPREAD_S: Final = 0.7


class EntryRecord(msgspec.Struct, frozen=True):
    """What an entry writes: `address` under the name `vm`, of the kind `kind`.

    `address` is the `ip:port` where it listens for other entries.
    """

    kind: str
    vm: str
    address: str


class EntryRegistration:
    """Writes the entry's record and connects to the entries listed.

    The record is written again when the store has gone back to a copy. `is_done`
    tells whether it has been written once.
    """

    def __init__(
        self,
        components: EntryComponents,
        record: EntryRecord,
        watch: StoreWatch,
        connect_to: Callable[[Iterable[str]], None],
    ) -> None:
        """Prepare; `connect_to` is called with the addresses of all entries."""
        self._facts = components.facts
        self._registry = components.registry
        self._rng = components.rng
        self._startup = components.startup
        self._retry_budget = components.retry_budget
        self._log = components.log
        self._record = record
        self._watch = watch
        self._connect_to = connect_to
        self.is_done = False

    async def run(self) -> None:
        """Register, and again each time the store goes back, forever."""
        await self._register()
        era = self._newest_era()
        while True:
            await asyncio.sleep(ERA_CHECK_INTERVAL_S)
            if self._newest_era() > era:
                # Entries that don't all write at the same moment.
                await asyncio.sleep(self._rng.uniform(0, REWRITE_SPREAD_S))
                era = self._newest_era()
                await self._rewrite_record()

    async def _register(self) -> None:
        while not self.is_done:
            try:
                listing = await self._watch.call_when_available(self._publish)
            except StoreError as exc:
                self._log.warning('entry registration failed', why=str(exc))
                await asyncio.sleep(REGISTRATION_RETRY_S)
                continue
            addresses = [
                address
                for stored in listing.rows
                if (address := _decode_address(stored.document))
            ]
            self._connect_to(addresses)
            if set(addresses) <= {self._record.address}:
                self._startup.expect_no_peers()
            self.is_done = True

    async def _rewrite_record(self) -> None:
        while True:
            try:
                await self._write_record()
            except StoreError as exc:
                self._log.warning('entry registration failed', why=str(exc))
                await asyncio.sleep(REGISTRATION_RETRY_S)
                continue
            self._log.info('entry registered again', era=self._newest_era())
            return

    def _newest_era(self) -> int:
        # An entry that doesn't watch the store hears of its era from peers.
        return max(self._facts.era, find_era(self._registry.revision))

    async def _publish(self) -> Listing:
        if await self._write_record():
            self._retry_budget.record_first_process()
        return await self._facts.list_kind(self._record.kind)

    async def _write_record(self) -> bool:
        """Write the record; return whether this VM had none before."""
        record = self._record
        row = msgspec.json.encode({'address': record.address})
        # Each entry writes before it lists, so of two entries that start at
        # the same time the later writer sees both.
        return await self._facts.publish(record.kind, record.vm, row)


def _decode_address(document: bytes) -> str:
    try:
        return check_address(decode_json(document, _EntryRow).address)
    except (MalformedDocument, ValueError):
        return ''


class _EntryRow(msgspec.Struct):
    address: str = ''
