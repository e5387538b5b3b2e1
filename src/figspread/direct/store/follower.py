"""Applies configurations and upstreams from the store and from peers."""

from typing import Protocol

from figspread.direct.adapter import (
    Listing,
    MalformedMessage,
    StoredDocument,
)
from figspread.direct.components import EntryComponents
from figspread.direct.model import Upstream
from figspread.direct.store.known_rows import KnownRows
from figspread.direct.store.record_faults import RecordFaults
from figspread.direct.store.store_watch import StoreWatch
from figspread.ids import UpstreamId
from figspread.inner.entry_messages import StoredRow


class StoreListener(Protocol):
    """Is told what this entry reads from the store itself."""

    def handle_configuration(self) -> None:
        """Handle a new configuration, which is in force now."""

    def handle_upstreams(self, since: int) -> None:
        """Handle changes of the upstreams after the revision `since`."""


class StoreFollower:
    """Updates the configuration in force and the registry of upstreams."""

    def __init__(self, components: EntryComponents) -> None:
        """Prepare; the admission queue is notified of each applied change."""
        self._faults = RecordFaults(components.log, components.metrics)
        self.watch = StoreWatch(components, self._faults)
        self._codec = components.codec
        self._holder = components.holder
        self._registry = components.registry
        self._queue = components.queue
        self._startup = components.startup
        self._evacuations = components.evacuations
        self._log = components.log
        self._rows = KnownRows()
        self._listeners: list[StoreListener] = []

    def subscribe(self, listener: StoreListener) -> None:
        """Tell `listener` of all that is read from the store from now on."""
        self._listeners.append(listener)

    async def follow_configuration(self, kind: str, name: str) -> None:
        """Apply each new version of the object `name`, forever."""

        def apply_listing(listing: Listing) -> None:  # noqa: WPS430
            before = self._holder.version
            for row in listing.rows:
                if row.name == name and not row.is_deleted:
                    self.apply_configuration(row.document, 'store')
            if self._holder.version > before:
                for listener in self._listeners:
                    listener.handle_configuration()

        await self.watch.follow_kind(kind, apply_listing, lambda: None)

    async def follow_evacuations(self, kind: str) -> None:
        """Apply each change of the evacuations, forever."""

        def apply_listing(listing: Listing) -> None:  # noqa: WPS430
            self._evacuations.apply_listing(listing)
            self._startup.record_evacuations()

        await self.watch.follow_kind(kind, apply_listing, lambda: None)

    async def check_store(self, kind: str) -> None:
        """Check forever whether the store answers."""
        await self.watch.check(kind)

    async def follow_upstreams(self, kind: str) -> None:
        """Apply each change of the upstreams, forever."""
        await self.watch.follow_kind(
            kind,
            self._apply_store_listing,
            lambda: self._registry.revision or None,
        )

    def apply_configuration(self, document: bytes, source: str) -> None:
        """Put a configuration in force if it is valid and newer.

        An invalid one is logged and ignored. `source` is a peer's id or
        `store`, for the log.
        """
        try:
            deployment = self._codec.decode_deployment(document)
        except MalformedMessage as exc:
            self._log.error('configuration invalid', detail=str(exc))
            return
        before = self._holder.version
        if self._holder.apply(deployment):
            self._log.info(
                'configuration applied',
                version=deployment.version,
                before=before,
                source=source,
                routes=len(deployment.routes),
                keys=len(deployment.keys),
            )
            self._handle_change()

    def apply_upstreams(self, rows: Listing, source: str) -> None:
        """Apply a listing or changes of upstreams, from the store or a peer."""
        listed = []
        for row in rows.rows:
            upstream = None if row.is_deleted else self._decode_upstream(row)
            if upstream is not None:
                listed.append((upstream, row.revision))
            self._rows.put(row, is_readable=upstream is not None)
        if rows.is_whole:
            self._rows.remove_unlisted(rows)
        if rows.is_whole:
            self._apply_listing(listed, rows)
        else:
            self._apply_changes(listed, rows, source)
        self._registry.record_revision(rows.revision)
        self._handle_change()

    def _handle_change(self) -> None:
        if self._holder.version and self._registry.is_listed:
            self._startup.record_state(self._holder.version)
        self._queue.notify()

    def _apply_listing(
        self, listed: list[tuple[Upstream, int]], rows: Listing
    ) -> None:
        dropped = self._registry.apply_listing(listed, rows.revision)
        self._log.info(
            'upstreams listed',
            count=len(listed),
            dropped=dropped,
            revision=rows.revision,
        )
        for name in dropped:
            self._log.info('upstream removed', upstream=name, source='listing')

    def _apply_changes(
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
                self._remove_upstream(row, source)

    def list_changes_since(self, revision: int) -> tuple[StoredRow, ...]:
        """Return the upstream rows changed after `revision`, for a peer."""
        return self._rows.list_since(revision)

    def _apply_store_listing(self, listing: Listing) -> None:
        since = self._registry.revision
        self.apply_upstreams(listing, 'store')
        if self._registry.changed_revision > since:
            for listener in self._listeners:
                listener.handle_upstreams(since)

    def _remove_upstream(self, row: StoredDocument, source: str) -> None:
        if self._registry.remove(UpstreamId(row.name), row.revision):
            self._log.info(
                'upstream removed',
                upstream=row.name,
                revision=row.revision,
                source=source,
            )

    def _decode_upstream(self, row: StoredDocument) -> Upstream | None:
        try:
            return self._codec.decode_upstream(row.name, row.document)
        except MalformedMessage as exc:
            self._faults.report_upstream(row.name, row.revision, str(exc))
            return None
