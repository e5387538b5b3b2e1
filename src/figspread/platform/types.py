"""The platform's services and data, as the rest of figspread uses them."""

from collections.abc import Sequence
from enum import Enum
from typing import Protocol, TypeAlias

import msgspec
from result import Result

from figspread.ids import DataCentreId, VmId


class StoredObject(msgspec.Struct, frozen=True):
    """An object of the Object API; each write increases `version`."""

    kind: str
    name: str
    version: int
    body: bytes


class Written(msgspec.Struct, frozen=True):
    """The write took effect; `version` is the object's new version."""

    version: int


class Conflict(msgspec.Struct, frozen=True):
    """The write had no effect, as the object was not at the given version.

    `version` is the one that the platform reports, or 0 if it gives none.
    """

    version: int


class Unclear(msgspec.Struct, frozen=True):
    """The write was sent but its reply was lost; it may have taken effect."""

    detail: str


class Unavailable(msgspec.Struct, frozen=True):
    """The call had no effect: the service is down, slow or refused it.

    `retry_after_s` is the number of seconds to wait before a retry.
    """

    detail: str
    retry_after_s: float = 1.0


WriteOutcome: TypeAlias = Written | Conflict | Unclear | Unavailable


class Changes(msgspec.Struct, frozen=True):
    """Objects changed since a watch's cursor, and the next watch's `cursor`."""

    objects: Sequence[StoredObject]
    cursor: int


class ObjectStore(Protocol):
    """The Object API: versions, conditional writes and watches.

    Versions are positive integers that increase across all objects of the
    store. Every call ends within the client's time limit.
    """

    def get(
        self, kind: str, name: str
    ) -> Result[StoredObject | None, Unavailable]:
        """Return the object, or `None` if it does not exist."""

    def list_all(
        self,
        kind: str,
    ) -> Result[Sequence[StoredObject], Unavailable]:
        """Return all objects of `kind`, sorted by name."""

    def create(self, kind: str, name: str, body: bytes) -> WriteOutcome:
        """Create the object, or return `Conflict` if it exists."""

    def replace(
        self,
        kind: str,
        name: str,
        body: bytes,
        *,
        version: int,
    ) -> WriteOutcome:
        """Replace the object if it is at `version`, else return `Conflict`."""

    def delete(self, kind: str, name: str, *, version: int) -> WriteOutcome:
        """Delete the object if it is at `version`, else return `Conflict`."""

    def watch(
        self,
        kind: str,
        *,
        cursor: int,
        wait_s: float,
    ) -> Result[Changes, Unavailable]:
        """Wait up to `wait_s` seconds for changes of `kind` after `cursor`."""


class VmState(Enum):
    """The state of a VM in the platform's VM list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Vm(msgspec.Struct, frozen=True):
    """A VM of the platform's VM list; `address` is its process's `ip:port`."""

    vm: VmId
    state: VmState
    data_centre: DataCentreId
    address: str
    role: str = ''


class VmList(Protocol):
    """The platform's VM list, which may be out of date."""

    def read(self) -> Result[Sequence[Vm], Unavailable]:
        """Return the VMs that the platform currently reports."""
