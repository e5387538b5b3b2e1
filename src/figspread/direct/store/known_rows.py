"""The records of upstreams as read, for entries that ask for them."""

import msgspec

from figspread.direct.adapter import Listing, StoredDocument
from figspread.inner.entry_messages import StoredRow


class KnownRows:
    """The newest row of each upstream, removed ones included."""

    def __init__(self) -> None:
        """Start without rows."""
        self._rows: dict[str, StoredDocument] = {}

    def put(self, row: StoredDocument, *, is_readable: bool) -> None:
        """Keep a row unless a newer one is known.

        Other entries are told of unreadable rows, but not their bytes, which
        may be many.
        """
        known = self._rows.get(row.name)
        if known is not None and row.revision < known.revision:
            return
        self._rows[row.name] = (
            row if is_readable else msgspec.structs.replace(row, document=b'')
        )

    def remove_unlisted(self, listing: Listing) -> None:
        """Record the removal of all upstreams that a listing lacks."""
        listed = {row.name for row in listing.rows}
        for row in tuple(self._rows.values()):
            if row.name not in listed and not row.is_deleted:
                self._rows[row.name] = StoredDocument(
                    row.name, listing.revision, b'', is_deleted=True
                )

    def list_since(self, revision: int) -> tuple[StoredRow, ...]:
        """Return the rows changed after `revision`."""
        return tuple(
            StoredRow(row.name, row.revision, row.document, row.is_deleted)
            for row in self._rows.values()
            if row.revision > revision
        )
