"""A lease with at most one holder at a time, kept in the Object API."""

import uuid
from typing import Final, TypeAlias

import msgspec
from result import Err, Ok, Result

from figspread.clock import Clock
from figspread.documents import MalformedDocument, decode_json
from figspread.ids import PeerId
from figspread.platform.types import (
    Conflict,
    ObjectStore,
    StoredObject,
    Unavailable,
    Unclear,
    WriteOutcome,
    Written,
)

LEASE_KIND: Final = 'leases'
TERM_S: Final = 10.0
# Subtracted from the holder's term, for clocks that run at other rates.
CLOCK_DRIFT_MARGIN_S: Final = 2.0
# Own renewals that are recognised when they are read back.
TRACKED_RENEWALS_LIMIT: Final = 8
_NO_HOLDER: Final = PeerId('')


class LeaseRecord(msgspec.Struct, frozen=True):
    """The stored lease.

    `renewal` is a unique id of the write. An empty `holder` means that the
    lease was released.
    """

    holder: PeerId
    renewal: str
    term_s: float


class Held(msgspec.Struct, frozen=True):
    """This process holds the lease.

    `fencing` is the fencing number to send with each order.
    """

    fencing: int


class HeldByOther(msgspec.Struct, frozen=True):
    """Another process holds the lease, or held it less than a term ago."""

    holder: PeerId


class LeaseUnavailable(msgspec.Struct, frozen=True):
    """The state of the lease could not be read or written.

    A lease that this process holds stays valid until its term ends.
    """

    detail: str


LeaseOutcome: TypeAlias = Held | HeldByOther | LeaseUnavailable


class _ObservedVersion(msgspec.Struct, frozen=True):
    """A version of the lease and the local time when it was first read."""

    version: int
    at: float


class Lease:
    """One process's view of the lease `name`.

    The holder counts its term from before it sent the renewal, less a margin
    for clock drift. Other processes count the whole term from after they
    first read the renewal. So clocks of different machines are never
    compared, and the holder stops before another can take over.

    Example:
        if isinstance(lease.renew(), Held):
            ...
        if lease.is_held():
            send_order(fencing=lease.fencing)
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        *,
        holder: PeerId,
        clock: Clock,
        term_s: float = TERM_S,
        margin_s: float = CLOCK_DRIFT_MARGIN_S,
    ) -> None:
        """Set up the lease `name`; nothing is read or written yet."""
        self._store = store
        self._name = name
        self._holder = holder
        self._clock = clock
        self._term_s = term_s
        self._margin_s = margin_s
        self._renewal_sent_at: dict[str, float] = {}
        self._observed = _ObservedVersion(0, 0)
        self._valid_until = clock.now()
        self._fencing = 0

    @property
    def fencing(self) -> int:
        """The fencing number of the last term held, or 0 if there was none."""
        return self._fencing

    def is_held(self) -> bool:
        """Return whether the lease is held now; check before each order."""
        return self._clock.now() < self._valid_until

    def renew(self) -> LeaseOutcome:
        """Acquire or renew the lease, unless another holder's term still runs.

        Called periodically by the process that wants the lease.
        """
        match self._store.get(LEASE_KIND, self._name):
            case Err(Unavailable(detail)):
                return LeaseUnavailable(detail)
            case Ok(None):
                return self._write_renewal(0)
            case Ok(StoredObject() as stored):
                return self._renew_existing(stored)
        return LeaseUnavailable('the lease record cannot be read')

    def release(self) -> None:
        """Release the lease, so that others need not wait for its term."""
        fencing = self._fencing
        is_held = self.is_held()
        self._valid_until = self._clock.now()
        if is_held:
            body = msgspec.json.encode(
                LeaseRecord(_NO_HOLDER, uuid.uuid4().hex, 0)
            )
            self._store.replace(
                LEASE_KIND,
                self._name,
                body,
                version=fencing,
            )

    def _renew_existing(self, stored: StoredObject) -> LeaseOutcome:
        record = _decode_lease(stored)
        if record.renewal in self._renewal_sent_at or self._has_expired(
            stored, record
        ):
            return self._write_renewal(stored.version)
        return self._mark_held_by_other(record)

    def _has_expired(self, stored: StoredObject, record: LeaseRecord) -> bool:
        """Return whether a term has passed since this version was first read.

        Stores the local time when `stored` has a version new to this process.
        """
        now = self._clock.now()
        if stored.version != self._observed.version:
            self._observed = _ObservedVersion(stored.version, now)
        return now - self._observed.at >= record.term_s

    def _write_renewal(self, version: int) -> LeaseOutcome:
        renewal = uuid.uuid4().hex
        self._record_send_time(renewal)
        body = msgspec.json.encode(
            LeaseRecord(self._holder, renewal, self._term_s)
        )
        match self._put_record(version, body):
            case Written(fencing):
                return self._mark_held(renewal, fencing)
            case Unavailable(detail):
                return LeaseUnavailable(detail)
            case Conflict() | Unclear():
                return self._confirm_renewal(renewal)

    def _put_record(self, version: int, body: bytes) -> WriteOutcome:
        if version:
            return self._store.replace(
                LEASE_KIND,
                self._name,
                body,
                version=version,
            )
        return self._store.create(LEASE_KIND, self._name, body)

    def _confirm_renewal(self, renewal: str) -> LeaseOutcome:
        match self._store.get(LEASE_KIND, self._name):
            case Ok(StoredObject() as stored):
                record = _decode_lease(stored)
            case _:
                return LeaseUnavailable('the store did not confirm the renewal')
        if record.renewal == renewal:
            return self._mark_held(renewal, stored.version)
        if record.renewal in self._renewal_sent_at:
            return LeaseUnavailable('the store did not confirm the renewal')
        return self._mark_held_by_other(record)

    def _mark_held_by_other(self, record: LeaseRecord) -> HeldByOther:
        self._valid_until = self._clock.now()
        return HeldByOther(record.holder)

    def _mark_held(self, renewal: str, fencing: int) -> Held:
        self._valid_until = (
            self._renewal_sent_at[renewal] + self._term_s - self._margin_s
        )
        self._fencing = fencing
        return Held(fencing)

    def _record_send_time(self, renewal: str) -> None:
        self._renewal_sent_at[renewal] = self._clock.now()
        while len(self._renewal_sent_at) > TRACKED_RENEWALS_LIMIT:
            self._renewal_sent_at.pop(next(iter(self._renewal_sent_at)))


def read_fencing_number(
    store: ObjectStore,
    name: str,
) -> Result[int, Unavailable]:
    """Return the lease's fencing number, or 0 if it was never held.

    Orders with a lower number were sent by a former holder or before the last
    renewal. Only tests call this; agents check no orders against it.
    """
    return store.get(LEASE_KIND, name).map(
        lambda stored: stored.version if stored else 0,
    )


def _decode_lease(stored: StoredObject) -> LeaseRecord:
    try:
        return decode_json(stored.body, LeaseRecord)
    except MalformedDocument:
        return LeaseRecord(_NO_HOLDER, '', TERM_S)
