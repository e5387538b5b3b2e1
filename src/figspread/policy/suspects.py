"""Requests that were on upstreams when these crashed."""

import threading
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.ids import CrashId, Fingerprint, PoolId
from figspread.inner.messages import SuspectRow

GIVE_UP_CRASHES: Final = 2
MOST_IDS: Final = 8
_MS_PER_S: Final = 1000


class SuspectLimits(msgspec.Struct, frozen=True):
    """How many suspects are kept, and for how long."""

    rows: int = 10_000
    keep_s: float = 600


class _Record(msgspec.Struct, frozen=True):
    """What is known of a fingerprint; records merge as sets do."""

    expires: float
    crash_ids: frozenset[CrashId] = frozenset()
    forgiven: frozenset[CrashId] = frozenset()

    @property
    def crashes(self) -> int:
        return len(self.crash_ids - self.forgiven)


class Suspects:
    """A table of suspects that peers pass on to each other.

    A crash is known by its id, so that it counts once however often it is
    told, and two crashes seen by two entries count as two. After
    `GIVE_UP_CRASHES` the request is given up. A good answer forgives the
    crashes so far: they were another request's. Safe to call from any thread.
    """

    def __init__(
        self,
        clock: Clock,
        limits: SuspectLimits = SuspectLimits(),
    ) -> None:
        """Start with no suspects."""
        self._clock = clock
        self._limits = limits
        self._lock = threading.Lock()
        self._records: dict[Fingerprint, _Record] = {}
        self._isolated: dict[PoolId, Fingerprint] = {}

    def note_crash(
        self,
        fingerprint: Fingerprint,
        crash: CrashId,
    ) -> Sequence[SuspectRow]:
        """Count a crash; return the rows to tell peers."""
        row = SuspectRow(
            fingerprint,
            1,
            int(self._limits.keep_s * _MS_PER_S),
            crash_ids=(crash,),
        )
        return self.merge([row])

    def clear(
        self,
        fingerprint: Fingerprint,
        crashes: Iterable[CrashId] = (),
    ) -> Sequence[SuspectRow]:
        """Forgive the crashes so far; return the rows to tell peers.

        Those of `crashes` are forgiven also if they are not known yet.
        """
        with self._lock:
            record = self._find(fingerprint)
        ids = set(crashes)
        if record is None and not ids:
            return ()
        ids.update(record.crash_ids if record else ())
        own = tuple(sorted(ids))
        keep_ms = int(self._limits.keep_s * _MS_PER_S)
        row = SuspectRow(fingerprint, 0, keep_ms, own, forgiven=own)
        return self.merge([row])

    def merge(self, rows: Iterable[SuspectRow]) -> Sequence[SuspectRow]:
        """Take in what a peer knows; return the rows that changed here."""
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
        """Return all that is known, for a peer that has just connected."""
        with self._lock:
            self._drop_expired()
            now = self._clock.now()
            return tuple(
                _to_row(fingerprint, record, now)
                for fingerprint, record in self._records.items()
            )

    def knows(self, fingerprint: Fingerprint) -> bool:
        """Tell whether there is a record, also if all is forgiven."""
        with self._lock:
            return self._find(fingerprint) is not None

    def crashes(self, fingerprint: Fingerprint) -> int:
        """Return how many crashes the request is suspected of."""
        with self._lock:
            record = self._find(fingerprint)
            return 0 if record is None else record.crashes

    def is_given_up(self, fingerprint: Fingerprint) -> bool:
        """Tell whether the request must not run again for now."""
        return self.crashes(fingerprint) >= GIVE_UP_CRASHES

    def comeback_s(self, fingerprint: Fingerprint) -> float:
        """Return in how many seconds the request is forgotten."""
        with self._lock:
            record = self._find(fingerprint)
            return 0 if record is None else record.expires - self._clock.now()

    def start_isolated(self, fingerprint: Fingerprint, pool: PoolId) -> bool:
        """Tell whether the request may start on `pool` now.

        Only one suspect runs there at a time, so that the next crash has one
        cause, and a suspect runs on one pool only. `end_apart` lets the next
        one in.
        """
        if not self.crashes(fingerprint):
            return True
        if self.is_given_up(fingerprint):
            return False
        with self._lock:
            is_running = fingerprint in self._isolated.values()
            if pool in self._isolated or is_running:
                return False
            self._isolated[pool] = fingerprint
        return True

    def end_isolated(self, fingerprint: Fingerprint, pool: PoolId) -> None:
        """Note that the request no longer runs on `pool`."""
        with self._lock:
            if self._isolated.get(pool) == fingerprint:
                self._isolated.pop(pool)

    def _find(self, fingerprint: Fingerprint) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is not None and record.expires <= self._clock.now():
            self._records.pop(fingerprint)
            return None
        return record

    def _merge_row(self, row: SuspectRow) -> bool:
        known = self._find(row.fingerprint) or _Record(0)
        crash_ids = _bounded(known.crash_ids.union(row.crash_ids))
        forgiven = _bounded(known.forgiven.union(row.forgiven))
        if (crash_ids, forgiven) == (known.crash_ids, known.forgiven):
            return False
        keep_s = min(row.expires_in_ms / _MS_PER_S, self._limits.keep_s)
        expires = max(known.expires, self._clock.now() + keep_s)
        self._make_room(row.fingerprint)
        self._records[row.fingerprint] = _Record(expires, crash_ids, forgiven)
        return True

    def _make_room(self, fingerprint: Fingerprint) -> None:
        if fingerprint in self._records:
            return
        if len(self._records) < self._limits.rows:
            return
        self._drop_expired()
        if len(self._records) >= self._limits.rows:
            oldest = min(
                self._records,
                key=lambda known: self._records[known].expires,
            )
            self._records.pop(oldest)

    def _drop_expired(self) -> None:
        now = self._clock.now()
        self._records = {
            fingerprint: record
            for fingerprint, record in self._records.items()
            if record.expires > now
        }


def _bounded(ids: frozenset[CrashId]) -> frozenset[CrashId]:
    # The least ids of a union don't depend on the order of merging.
    return frozenset(sorted(ids)[:MOST_IDS])


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
