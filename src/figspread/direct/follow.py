"""Takes the configuration and the upstreams, from the store or from peers."""

from collections.abc import Sequence

from figspread.direct.model import Upstream
from figspread.direct.parts import Parts
from figspread.direct.watch import StoreWatch
from figspread.direct.wire import (
    Listing,
    Malformed,
    StoredDocument,
)
from figspread.ids import UpstreamId
from figspread.inner.entry_messages import StoredRow


class Follower:
    """Keeps the holder and the registry as new as the store lets it."""

    def __init__(self, parts: Parts) -> None:
        """Prepare; the queue is told of everything new."""
        self.watch = StoreWatch(parts)
        self._wire = parts.wire
        self._holder = parts.holder
        self._registry = parts.registry
        self._queue = parts.queue
        self._log = parts.log
        self._unread: dict[str, int] = {}
        self._rows: dict[str, StoredDocument] = {}

    async def follow_configuration(self, kind: str, name: str) -> None:
        """Take each new version of the object `name`, for ever."""

        def take(listing: Listing) -> None:  # noqa: WPS430
            for row in listing.rows:
                if row.name == name and not row.is_deleted:
                    self.take_document(row.document, 'store')

        await self.watch.follow(kind, take)

    async def check(self, kind: str) -> None:
        """Notice for ever whether the store answers."""
        await self.watch.check(kind)

    async def follow_upstreams(self, kind: str) -> None:
        """Take each change of the upstreams, for ever."""
        await self.watch.follow(kind, self._take_upstreams)

    def take_document(self, document: bytes, source: str) -> None:
        """Put a configuration in force if it can be read and is newer."""
        try:
            deployment = self._wire.decode_deployment(document)
        except Malformed as exc:
            self._log.error('configuration invalid', detail=str(exc))
            return
        before = self._holder.version
        if self._holder.take(deployment):
            self._log.info(
                'configuration applied',
                version=deployment.version,
                before=before,
                source=source,
                routes=len(deployment.routes),
                keys=len(deployment.keys),
            )
            self._queue.notify()

    def take_rows(self, rows: Listing, source: str) -> None:
        """Take upstreams from the store or from a peer."""
        self._keep(rows.rows)
        present = [row for row in rows.rows if not row.is_deleted]
        listed = [
            (upstream, row.revision)
            for row in present
            if (upstream := self._decode(row)) is not None
        ]
        if rows.is_whole:
            self._registry.take_listing(listed)
        else:
            self._take_changes(listed, rows, source)
        self._registry.note_revision(rows.revision)
        self._queue.notify()

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
                    'upstream updated',
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

    def _take_upstreams(self, listing: Listing) -> None:
        self.take_rows(listing, 'store')

    def _remove(self, row: StoredDocument, source: str) -> None:
        if self._registry.remove(UpstreamId(row.name), row.revision):
            self._log.info(
                'upstream removed',
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
                    'upstream record invalid',
                    entry=row.name,
                    detail=str(exc),
                )
            return None
