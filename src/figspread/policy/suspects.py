"""Requests suspected of crashing upstreams."""

import threading
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.ids import CrashId, Fingerprint, PoolId
from figspread.inner.messages import SuspectRow

CRASH_LIMIT: Final = 2
_MS_PER_S: Final = 1000


class SuspectLimits(msgspec.Struct, frozen=True):
    """How many suspects are kept, and for how many seconds.

    `crash_ids` crashes are kept for each, forgiven ones included. Once there
    are as many, a new crash may not count.
    """

    rows: int = 10_000
    keep_s: float = 600
    crash_ids: int = 64


class _Record(msgspec.Struct, frozen=True):
    """Crashes attributed to a fingerprint; merging is a union of sets."""

    expires: float
    crash_ids: frozenset[CrashId] = frozenset()
    forgiven: frozenset[CrashId] = frozenset()

    @property
    def crashes(self) -> int:
        return len(self.crash_ids - self.forgiven)


class SuspectRegistry:
    """Table of suspected requests, replicated between peers.

    Crashes are identified by id: a crash that is reported repeatedly counts
    once, and crashes seen by different entries add up. After
    `CRASH_LIMIT` crashes the request is no longer run. A successful
    answer forgives its earlier crashes, since another request must have
    caused them. Thread-safe.
    """

    def __init__(
        self,
        clock: Clock,
        limits: SuspectLimits = SuspectLimits(),
    ) -> None:
        """Create an empty table."""
        self._clock = clock
        self._limits = limits
        self._lock = threading.Lock()
        self._records: dict[Fingerprint, _Record] = {}
        self._isolated_by_pool: dict[PoolId, Fingerprint] = {}

    def record_crash(
        self,
        fingerprint: Fingerprint,
        crash: CrashId,
    ) -> Sequence[SuspectRow]:
        """Record a crash; return the changed rows to send to peers."""
        row = SuspectRow(
            fingerprint,
            1,
            int(self._limits.keep_s * _MS_PER_S),
            crash_ids=(crash,),
        )
        return self.merge([row])

    def forgive(
        self,
        fingerprint: Fingerprint,
        crashes: Iterable[CrashId] = (),
    ) -> Sequence[SuspectRow]:
        """Forgive all known crashes; return the changed rows for peers.

        Those in `crashes` are forgiven even if they are not known yet.
        """
        with self._lock:
            record = self._find_record(fingerprint)
        known_ids = set(crashes)
        if record is None and not known_ids:
            return ()
        known_ids.update(record.crash_ids if record else ())
        forgiven_ids = tuple(sorted(known_ids))
        keep_ms = int(self._limits.keep_s * _MS_PER_S)
        row = SuspectRow(
            fingerprint, 0, keep_ms, forgiven_ids, forgiven=forgiven_ids
        )
        return self.merge([row])

    def merge(self, rows: Iterable[SuspectRow]) -> Sequence[SuspectRow]:
        """Merge rows from a peer; return the rows that changed here."""
        with self._lock:
            changed = [row for row in rows if self._merge_row(row)]
            now = self._clock.now()
            fingerprints = dict.fromkeys(row.fingerprint for row in changed)
            return tuple(
                _to_row(fingerprint, self._records[fingerprint], now)
                for fingerprint in fingerprints
                if fingerprint in self._records
            )

    def rows(self) -> Sequence[SuspectRow]:
        """Return all unexpired rows, for a peer that has just connected."""
        with self._lock:
            self._remove_expired()
            now = self._clock.now()
            return tuple(
                _to_row(fingerprint, record, now)
                for fingerprint, record in self._records.items()
            )

    def has_record(self, fingerprint: Fingerprint) -> bool:
        """Return whether there is a record, even with all crashes forgiven."""
        with self._lock:
            return self._find_record(fingerprint) is not None

    def crashes(self, fingerprint: Fingerprint) -> int:
        """Return the number of unforgiven crashes of the request."""
        with self._lock:
            record = self._find_record(fingerprint)
            return 0 if record is None else record.crashes

    def is_blocked(self, fingerprint: Fingerprint) -> bool:
        """Return whether the request must not run until its record expires."""
        return self.crashes(fingerprint) >= CRASH_LIMIT

    def expires_in_s(self, fingerprint: Fingerprint) -> float:
        """Return the time in seconds until the record expires, or 0."""
        with self._lock:
            record = self._find_record(fingerprint)
            return 0 if record is None else record.expires - self._clock.now()

    def try_start_isolated(
        self, fingerprint: Fingerprint, pool: PoolId
    ) -> bool:
        """Return whether the request may start on `pool` now.

        A pool runs one suspect at a time, so that the next crash has a single
        possible cause, and a suspect runs on one pool at a time. A suspect
        occupies the pool until `end_isolated`.
        """
        if not self.crashes(fingerprint):
            return True
        if self.is_blocked(fingerprint):
            return False
        with self._lock:
            is_running = fingerprint in self._isolated_by_pool.values()
            if pool in self._isolated_by_pool or is_running:
                return False
            self._isolated_by_pool[pool] = fingerprint
        return True

    def end_isolated(self, fingerprint: Fingerprint, pool: PoolId) -> None:
        """Free `pool` for the next suspect if the request occupied it."""
        with self._lock:
            if self._isolated_by_pool.get(pool) == fingerprint:
                self._isolated_by_pool.pop(pool)

    def _find_record(self, fingerprint: Fingerprint) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is not None and record.expires <= self._clock.now():
            self._records.pop(fingerprint)
            return None
        return record

    def _merge_row(self, row: SuspectRow) -> bool:
        known = self._find_record(row.fingerprint) or _Record(0)
        crash_ids = self._truncate_ids(known.crash_ids.union(row.crash_ids))
        forgiven = self._truncate_ids(known.forgiven.union(row.forgiven))
        if (crash_ids, forgiven) == (known.crash_ids, known.forgiven):
            return False
        keep_s = min(row.expires_in_ms / _MS_PER_S, self._limits.keep_s)
        expires = max(known.expires, self._clock.now() + keep_s)
        self._evict_for(row.fingerprint)
        self._records[row.fingerprint] = _Record(expires, crash_ids, forgiven)
        return True

    def _truncate_ids(
        self, crash_ids: frozenset[CrashId]
    ) -> frozenset[CrashId]:
        # Keeping the smallest ids makes the result independent of merge order.
        return frozenset(sorted(crash_ids)[: self._limits.crash_ids])

    def _evict_for(self, fingerprint: Fingerprint) -> None:
        if fingerprint in self._records:
            return
        if len(self._records) < self._limits.rows:
            return
        self._remove_expired()
        if len(self._records) >= self._limits.rows:
            oldest = min(
                self._records,
                key=lambda known: self._records[known].expires,
            )
            self._records.pop(oldest)

    def _remove_expired(self) -> None:
        now = self._clock.now()
        self._records = {
            fingerprint: record
            for fingerprint, record in self._records.items()
            if record.expires > now
        }


def _to_row(
    fingerprint: Fingerprint,
    record: _Record,
    now: float,
) -> SuspectRow:
    return SuspectRow(
        fingerprint,
        record.crashes,
        max(0, int((record.expires - now) * _MS_PER_S)),
        crash_ids=tuple(sorted(record.crash_ids)),
        forgiven=tuple(sorted(record.forgiven)),
    )
