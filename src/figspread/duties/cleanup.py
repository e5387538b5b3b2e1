"""Deletion of expired claims and old configurations, under a lease."""

from collections.abc import Sequence
from typing import Final, Protocol

from result import Err, Ok

from figspread.duties.head import (
    DOCUMENT_KIND,
    AppliedNote,
    document_number,
    list_history,
)
from figspread.duties.records import (
    CLAIM_KIND_PREFIX,
    CLAIM_SHARDS,
    decode_claim,
)
from figspread.platform.types import ObjectStore, StoredObject, Written

CLEANUP_LEASE: Final = 'cleanup-claims'
# Maximum number of claims deleted in one round, to limit its calls to the
# store. Deleted documents don't count.
DELETIONS_PER_ROUND: Final = 200
# Allowed difference between the wall clocks of claimant and cleaner.
CLOCK_MARGIN_S: Final = 300.0
DOCUMENTS_KEPT: Final = 10


class LeaseStatus(Protocol):
    """Tells the clean-up whether it still holds its lease."""

    def is_held(self) -> bool:
        """Return whether this process holds the lease now."""


class ClaimCleanUp:
    """Deletes expired claims, one shard per round.

    Run by the entry that holds the clean-up lease. Claims that can't be decoded
    are never deleted.
    """

    def __init__(
        self,
        store: ObjectStore,
        lease: LeaseStatus,
        *,
        limit: int = DELETIONS_PER_ROUND,
    ) -> None:
        """Set up the clean-up; each round deletes at most `limit` claims."""
        self._store = store
        self._lease = lease
        self._limit = limit
        self._shard = 0

    def run_round(self, *, now: float) -> int:
        """Delete expired claims of one shard and return how many.

        `now` is in seconds of wall clock. The next round moves on to the next
        shard only if every expired claim of this one was deleted. The round
        ends as soon as the lease is lost or a call to the store fails.
        """
        if not self._lease.is_held():
            return 0
        kind = '{0}{1:02x}'.format(CLAIM_KIND_PREFIX, self._shard)
        listed = self._store.list_all(kind)
        if isinstance(listed, Err):
            return 0
        expired = [
            stored for stored in listed.ok_value if _has_expired(stored, now)
        ]
        deleted = self._delete_claims(expired[: self._limit])
        if deleted == len(expired):
            self._shard = (self._shard + 1) % CLAIM_SHARDS
        return deleted

    def _delete_claims(self, expired: list[StoredObject]) -> int:
        for count, stored in enumerate(expired):
            if not self._lease.is_held():
                return count
            outcome = self._store.delete(
                stored.kind,
                stored.name,
                version=stored.version,
            )
            if not isinstance(outcome, Written):
                return count
        return len(expired)


def _has_expired(stored: StoredObject, now: float) -> bool:
    record = decode_claim(stored.body)
    return record is not None and record.keep_until + CLOCK_MARGIN_S < now


class DocumentCleanUp:
    """Deletes all but the newest `DOCUMENTS_KEPT` configuration documents.

    Documents are found through the head's history. They are listed only if
    some may have dropped out of it since the last round.
    """

    def __init__(self, store: ObjectStore, lease: LeaseStatus) -> None:
        """Set up the clean-up; nothing is deleted before `run_round`."""
        self._store = store
        self._lease = lease
        self._deleted_up_to = 0

    def run_round(self) -> int:
        """Delete old documents and return how many.

        The round ends as soon as the lease is lost or a call to the store
        fails; the next round resumes there.
        """
        if not self._lease.is_held():
            return 0
        history = list_history(self._store)
        if isinstance(history, Err):
            return 0
        old = self._list_dropped(history.ok_value)
        old += [
            (mark.number, mark.document)
            for mark in history.ok_value[:-DOCUMENTS_KEPT]
        ]
        deleted = 0
        for number, name in old:
            if number <= self._deleted_up_to:
                continue
            if not self._lease.is_held() or not self._delete_document(name):
                break
            self._deleted_up_to = number
            deleted += 1
        return deleted

    def _list_dropped(
        self, history: Sequence[AppliedNote]
    ) -> list[tuple[int, str]]:
        """Return number and name of documents older than the history."""
        oldest = history[0].number if history else 0
        if self._deleted_up_to + 1 >= oldest:
            return []
        listed = self._store.list_all(DOCUMENT_KIND)
        if isinstance(listed, Err):
            return []
        return sorted(
            (number, stored.name)
            for stored in listed.ok_value
            if 0 < (number := document_number(stored.name)) < oldest
        )

    def _delete_document(self, name: str) -> bool:
        match self._store.get(DOCUMENT_KIND, name):
            case Ok(None):
                return True
            case Ok(StoredObject(version=version)):
                outcome = self._store.delete(
                    DOCUMENT_KIND,
                    name,
                    version=version,
                )
                return isinstance(outcome, Written)
        return False
