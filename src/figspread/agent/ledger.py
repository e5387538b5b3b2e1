"""Keeps the outcome of each attempt for as long as an entry may ask."""

from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.ids import AttemptId
from figspread.outcome import (
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)

RECORD_TTL_S: Final = 600.0
MAX_RECORDS: Final = 200_000


class Record(msgspec.Struct, frozen=True):
    """The state of an attempt; `outcome` is `None` while it is open."""

    outcome: Outcome | None
    chunks: int = 0
    tokens: int = 0


_OPEN_RECORD: Final = Record(None)
_LEDGER_FULL: Final = Record(
    Unknown(UnknownReason.CONNECTION_LOST, 'the agent keeps too many records'),
)


class Ledger:
    """Records each attempt that ran, was refused or must not run.

    A reported `NotRun` is final: the attempt has a record from then on, and
    an attempt with a record is never opened. A record expires `ttl_s` seconds
    after it was closed, which is longer than any message can be in transit.
    At the limit of records the answer is `Unknown`, which promises nothing.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        ttl_s: float = RECORD_TTL_S,
        max_records: int = MAX_RECORDS,
    ) -> None:
        """Start without records."""
        self._clock = clock
        self._ttl_s = ttl_s
        self._max_records = max_records
        self._open: set[AttemptId] = set()
        self._closed: dict[AttemptId, tuple[float, Record]] = {}

    def __len__(self) -> int:
        """Return the number of records, open and closed."""
        return len(self._open) + len(self._closed)

    def find(self, attempt: AttemptId) -> Record | None:
        """Return the record of `attempt`, or `None` if it has none."""
        self._drop_expired()
        if attempt in self._open:
            return _OPEN_RECORD
        _, record = self._closed.get(attempt, (0, None))
        return record

    def open(self, attempt: AttemptId) -> Record | None:
        """Open `attempt` and return `None`, or return the record that forbids it.

        After `None` the attempt may run, and `close` must follow.
        """
        record = self.find(attempt) or self._find_capacity_record()
        if record is None:
            self._open.add(attempt)
        return record

    def refuse(self, attempt: AttemptId, refusal: NotRun) -> Record:
        """Record `refusal` unless `attempt` already has a record.

        Returns the record in force: the refusal or the earlier one.
        """
        record = self.find(attempt) or self._find_capacity_record()
        if record is None:
            record = Record(refusal)
            self._store(attempt, record)
        return record

    def close(self, attempt: AttemptId, record: Record) -> None:
        """Replace the open record of `attempt` by its final `record`."""
        self._open.remove(attempt)
        self._store(attempt, record)

    def settle(self, attempt: AttemptId) -> Outcome | None:
        """Return the outcome of `attempt`, or `None` while it is open.

        An attempt without a record is refused here, so that the returned
        `NotRun` also holds for a submission that arrives later.
        """
        refusal = NotRun(NotRunReason.CANCELLED, detail='it never arrived')
        return self.refuse(attempt, refusal).outcome

    def _store(self, attempt: AttemptId, record: Record) -> None:
        self._closed[attempt] = (self._clock.now() + self._ttl_s, record)

    def _find_capacity_record(self) -> Record | None:
        return _LEDGER_FULL if len(self) >= self._max_records else None

    def _drop_expired(self) -> None:
        now = self._clock.now()
        while self._closed:
            attempt = next(iter(self._closed))
            expires_at, _ = self._closed[attempt]
            if expires_at > now:
                return
            self._closed.pop(attempt)
