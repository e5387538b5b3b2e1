"""Counts of what a stand-in ran, to check at-most-once execution."""

import hashlib
import threading
from collections import Counter
from collections.abc import Mapping
from typing import Final

_MAX_ENTRIES: Final = 100_000


class RunRecord:
    """Counts runs by request id, idempotency key and body digest.

    New keys are ignored once a table is full.
    """

    def __init__(self) -> None:
        """Start with no runs."""
        self._lock = threading.Lock()
        self._counts: dict[str, Counter[str]] = {
            'by_request': Counter(),
            'by_key': Counter(),
            'by_body': Counter(),
        }

    def add(self, headers: Mapping[str, str], body_digest: str) -> None:
        """Count a run of the request with `headers` and `body_digest`."""
        keys = {
            'by_request': headers.get('X-Request-Id', ''),
            'by_key': headers.get('Idempotency-Key', ''),
            'by_body': body_digest,
        }
        with self._lock:
            for table, key in keys.items():
                if key and len(self._counts[table]) < _MAX_ENTRIES:
                    self._counts[table][key] += 1

    def to_document(self) -> Mapping[str, Mapping[str, int]]:
        """Return the counts by table and key."""
        with self._lock:
            return {
                table: dict(counter) for table, counter in self._counts.items()
            }


def digest_body(body: bytes) -> str:
    """Return the key of `body` in the table `by_body`."""
    return hashlib.sha256(body).hexdigest()[:16]
