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

# A waiting watch is a call to the store; a longer one is cheaper and shows
# later that the store has fallen silent.
WATCH_S: Final = 3.0
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

    async def _follow(
        self,
        kind: str,
        take: Callable[[Listing, bool], None],
    ) -> None:
        revision: int | None = None
        pause_s: float = 0
        while True:
            try:
                if revision is None:
                    listing = await self._facts.list_kind(kind)
                else:
                    listing = await self._facts.watch_kind(
                        kind,
                        revision,
                        WATCH_S,
                    )
            except HistoryGone:
                self._log.warning('history gone', kind=kind, since=revision)
                revision = None
                continue
            except StoreFault as exc:
                if not pause_s:
                    self._log.warning('store lost', kind=kind, why=str(exc))
                pause_s = min(PAUSE_LONGEST_S, pause_s * 2 or PAUSE_FIRST_S)
                await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1))
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
