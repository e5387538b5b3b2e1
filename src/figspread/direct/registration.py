"""Registers an entry in the store, and finds the other entries there."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from figspread.direct.adapter import Listing, StoreError
from figspread.direct.components import EntryComponents
from figspread.direct.store_watch import StoreWatch

# Pause before a failed registration is retried.
REGISTRATION_RETRY_S: Final = 0.2


class EntryRecord(msgspec.Struct, frozen=True):
    """What an entry writes: `address` under the name `vm`, of the kind `kind`.

    `address` is the `ip:port` where it listens for other entries.
    """

    kind: str
    vm: str
    address: str


class EntryRegistration:
    """Writes the entry's record once and connects to the entries listed.

    `is_done` tells whether it has succeeded.
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
        self._log = components.log
        self._record = record
        self._watch = watch
        self._connect_to = connect_to
        self.is_done = False

    async def run(self) -> None:
        """Register, and retry until that succeeds."""
        while not self.is_done:
            try:
                listing = await self._watch.call_when_available(self._publish)
            except StoreError as exc:
                self._log.warning('entry registration failed', why=str(exc))
                await asyncio.sleep(REGISTRATION_RETRY_S)
                continue
            self._connect_to(
                address
                for stored in listing.rows
                if (address := _decode_address(stored.document))
            )
            self.is_done = True

    async def _publish(self) -> Listing:
        record = self._record
        row = msgspec.json.encode({'address': record.address})
        # Each entry writes before it lists, so of two entries that start at
        # the same time the later writer sees both.
        await self._facts.publish(record.kind, record.vm, row)
        return await self._facts.list_kind(record.kind)


def _decode_address(document: bytes) -> str:
    try:
        return msgspec.json.decode(document, type=_EntryRow).address
    except msgspec.DecodeError:
        return ''


class _EntryRow(msgspec.Struct):
    address: str = ''
