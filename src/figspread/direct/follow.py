"""Follows the store: the configuration and the upstreams, through outages."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

from figspread.direct.model import Upstream
from figspread.direct.parts import Parts
from figspread.direct.wire import (
    HistoryGone,
    Listing,
    Malformed,
    StoredDocument,
    StoreFault,
)
from figspread.ids import UpstreamId
from figspread.inner.messages import StoredRow

# A watch is a call to the store, however long it waits: half of the longest
# wait that the platform allows.
WATCH_S: Final = 15.0
# With what a check may take this bounds how late a silent store is noticed.
CHECK_S: Final = 2.0
RECHECK_S: Final = 0.5
# Changes come in bursts; so long later ones are waited for, to take them with
# one call.
GATHER_S: Final = 0.1
# Pauses after a failed call, doubling, each drawn between half and whole.
PAUSE_FIRST_S: Final = 0.1
PAUSE_LONGEST_S: Final = 0.8


class Follower:
    """Keeps the holder and the registry as new as the store lets it."""

    def __init__(self, parts: Parts) -> None:
        """Prepare; the waiting room is told of everything new."""
        self._facts = parts.facts
        self._wire = parts.wire
        self._holder = parts.holder
        self._registry = parts.registry
        self._room = parts.room
        self._log = parts.log
        self._rng = parts.rng
        self._unread: dict[str, int] = {}
        self._rows: dict[str, StoredDocument] = {}
        self._answers = asyncio.Event()
        self._answers.set()
        self._silent = asyncio.Event()

    async def follow_configuration(self, kind: str, name: str) -> None:
        """Take each new version of the object `name`, for ever."""

        def take(listing: Listing, _outage: bool) -> None:  # noqa: WPS430
            for row in listing.rows:
                if row.name == name and not row.is_deleted:
                    self.take_document(row.document, 'store')

        await self._follow(kind, take)

    async def follow_upstreams(self, kind: str) -> None:
        """Take each change of the upstreams, for ever."""
        await self._follow(kind, self._take_upstreams)

    def take_document(self, document: bytes, source: str) -> None:
        """Put a configuration in force if it can be read and is newer."""
        try:
            deployment = self._wire.decode_deployment(document)
        except Malformed as exc:
            self._log.error('configuration unreadable', detail=str(exc))
            return
        before = self._holder.version
        if self._holder.take(deployment):
            self._log.info(
                'configuration taken',
                version=deployment.version,
                before=before,
                source=source,
                routes=len(deployment.routes),
                keys=len(deployment.keys),
            )
            self._room.notify()

    def take_rows(
        self,
        rows: Listing,
        source: str,
        *,
        after_outage: bool = False,
    ) -> None:
        """Take upstreams from the store or from a peer."""
        self._keep(rows.rows)
        present = [row for row in rows.rows if not row.is_deleted]
        listed = [
            (upstream, row.revision)
            for row in present
            if (upstream := self._decode(row)) is not None
        ]
        if rows.is_whole:
            self._registry.take_listing(listed, after_outage=after_outage)
        else:
            self._take_changes(listed, rows, source)
        self._registry.note_revision(rows.revision)
        self._room.notify()

    def _keep(self, rows: Sequence[StoredDocument]) -> None:
        for row in rows:
            known = self._rows.get(row.name)
            if known is None or row.revision >= known.revision:
                self._rows[row.name] = row

    def _take_changes(
        self,
        listed: list[tuple[Upstream, int]],
        rows: Listing,
        source: str,
    ) -> None:
        for upstream, revision in listed:
            if self._registry.put(upstream, revision):
                self._log.info(
                    'upstream changed',
                    upstream=upstream.upstream,
                    state=upstream.state.value,
                    revision=revision,
                    source=source,
                )
        for row in rows.rows:
            if row.is_deleted:
                self._remove(row, source)

    def rows_since(self, revision: int) -> tuple[StoredRow, ...]:
        """Return what has changed after `revision`, for a peer."""
        return tuple(
            StoredRow(row.name, row.revision, row.document, row.is_deleted)
            for row in self._rows.values()
            if row.revision > revision
        )

    def _take_upstreams(self, listing: Listing, after_outage: bool) -> None:
        self.take_rows(listing, 'store', after_outage=after_outage)

    def _remove(self, row: StoredDocument, source: str) -> None:
        if self._registry.remove(UpstreamId(row.name), row.revision):
            self._log.info(
                'upstream gone',
                upstream=row.name,
                revision=row.revision,
                source=source,
            )

    def _decode(self, row: StoredDocument) -> Upstream | None:
        try:
            return self._wire.decode_upstream(row.name, row.document)
        except Malformed as exc:
            if self._unread.get(row.name) != row.revision:
                self._unread[row.name] = row.revision
                self._log.warning(
                    'upstream entry unreadable',
                    entry=row.name,
                    detail=str(exc),
                )
            return None

    async def check(self, kind: str) -> None:
        """Ask the store for little, for ever, to notice when it is silent.

        A watch that waits can't tell; a check costs a tenth of a call.
        """
        while True:
            try:
                await self._facts.check(kind)
            except StoreFault as exc:
                self._note_silence(str(exc))
                await asyncio.sleep(self._jittered(RECHECK_S))
            else:
                if not self._answers.is_set():
                    self._log.info('store answers', kind=kind)
                self._silent.clear()
                self._answers.set()
                await asyncio.sleep(self._jittered(CHECK_S))

    def _note_silence(self, why: str) -> None:
        if self._answers.is_set():
            self._log.warning('store silent', why=why)
        self._answers.clear()
        self._silent.set()

    async def _follow(
        self,
        kind: str,
        take: Callable[[Listing, bool], None],
    ) -> None:
        revision: int | None = None
        pause_s: float = 0
        while True:
            try:
                listing = await self._ask(kind, revision)
            except HistoryGone:
                self._log.warning('history gone', kind=kind, since=revision)
                revision = None
                continue
            except StoreFault as exc:
                if not pause_s:
                    self._log.warning('store lost', kind=kind, why=str(exc))
                pause_s = min(PAUSE_LONGEST_S, pause_s * 2 or PAUSE_FIRST_S)
                await asyncio.sleep(self._jittered(pause_s))
                continue
            if pause_s:
                self._log.info(
                    'store regained',
                    kind=kind,
                    revision=listing.revision,
                )
                self._registry.note_outage_end()
            take(listing, bool(pause_s))
            revision = listing.revision
            pause_s = 0
            await asyncio.sleep(GATHER_S)

    async def _ask(self, kind: str, revision: int | None) -> Listing:
        """List, or watch until the store falls silent."""
        await self._answers.wait()
        if revision is None:
            return await self._facts.list_kind(kind)
        watch = asyncio.ensure_future(
            self._facts.watch_kind(kind, revision, WATCH_S),
        )
        silence = asyncio.ensure_future(self._silent.wait())
        try:
            await asyncio.wait(
                (watch, silence),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not watch.done():
                raise StoreFault('silent')
            return watch.result()
        finally:
            watch.cancel()
            silence.cancel()

    def _jittered(self, pause_s: float) -> float:
        return pause_s * self._rng.uniform(0.5, 1)
