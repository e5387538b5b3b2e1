"""Small fakes of outer interfaces that several tests share."""

from collections.abc import Callable, Sequence
from enum import Enum
from typing import TypeAlias

from result import Err, Ok, Result

from figspread.platform.types import (
    Changes,
    StoredObject,
    Unavailable,
    Unclear,
    WriteOutcome,
)
from figspread.standins.table import ObjectTable


class CallFault(Enum):
    """What befalls one call to a store."""

    DOWN = 'down'
    REQUEST_LOST = 'request lost'
    ANSWER_LOST = 'answer lost'
    LATE = 'late'


Step: TypeAlias = CallFault | Callable[[], None] | None
_Write: TypeAlias = Callable[[], WriteOutcome]


class FakeStore:
    """An Object API in memory.

    Each call takes a step of `plan`: a fault, or something that happens just
    before the call. `LATE` writes take effect at `deliver_late`.
    """

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.table = ObjectTable()
        self.plan: list[Step] = []
        self.calls = 0
        self._late: list[_Write] = []

    def deliver_late(self) -> None:
        """Let writes that were under way arrive."""
        late = self._late
        self._late = []
        for write in late:
            write()

    def get(
        self, kind: str, name: str
    ) -> Result[StoredObject | None, Unavailable]:
        """Return the object, or `None` if there is none."""
        if self._meet():
            return Err(Unavailable('fault'))
        return Ok(self.table.get(kind, name))

    def list_all(
        self,
        kind: str,
    ) -> Result[Sequence[StoredObject], Unavailable]:
        """Return all objects of `kind`, by name."""
        if self._meet():
            return Err(Unavailable('fault'))
        return Ok(self.table.list_all(kind).objects)

    def create(self, kind: str, name: str, body: bytes) -> WriteOutcome:
        """Create the object if it is absent, else `Conflict`."""
        return self._write(lambda: self.table.put(kind, name, body, 0))

    def replace(
        self,
        kind: str,
        name: str,
        body: bytes,
        *,
        version: int,
    ) -> WriteOutcome:
        """Write the object if it is at `version`, else `Conflict`."""
        return self._write(lambda: self.table.put(kind, name, body, version))

    def delete(self, kind: str, name: str, *, version: int) -> WriteOutcome:
        """Remove the object if it is at `version`, else `Conflict`."""
        return self._write(lambda: self.table.delete(kind, name, version))

    def watch(
        self,
        kind: str,
        *,
        cursor: int,
        wait_s: float,
    ) -> Result[Changes, Unavailable]:
        """Return at once what is newer than `cursor`."""
        if self._meet():
            return Err(Unavailable('fault'))
        return Ok(self.table.watch(kind, cursor, 0))

    def _meet(self) -> CallFault | None:
        self.calls += 1
        step = self.plan.pop(0) if self.plan else None
        if isinstance(step, CallFault) or step is None:
            return step
        rest = self.plan
        self.plan = []
        step()
        self.plan = rest
        return None

    def _write(self, write: _Write) -> WriteOutcome:
        match self._meet():
            case CallFault.DOWN:
                return Unavailable('fault')
            case CallFault.REQUEST_LOST:
                return Unclear('fault')
            case CallFault.ANSWER_LOST:
                write()
                return Unclear('fault')
            case CallFault.LATE:
                self._late.append(write)
                return Unclear('fault')
            case None:
                return write()
