"""In-memory fakes of platform interfaces, shared by several tests."""

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
from figspread.standins.object_table import ObjectTable


class CallFault(Enum):
    """A fault that `FakeStore` injects into one call.

    `DOWN` refuses the call. `REQUEST_LOST` and `ANSWER_LOST` leave the result
    of a write unclear, without and with the write being applied. `LATE` also
    leaves it unclear and applies the write at `apply_delayed_writes`.
    """

    DOWN = 'down'
    REQUEST_LOST = 'request lost'
    ANSWER_LOST = 'answer lost'
    LATE = 'late'


Step: TypeAlias = CallFault | Callable[[], None] | None
_Write: TypeAlias = Callable[[], WriteOutcome]


class FakeStore:
    """An Object API in memory.

    Each call consumes one step of `plan`: a fault, a callback that runs just
    before the call, or `None`. With an empty plan all calls succeed.
    """

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.table = ObjectTable()
        self.plan: list[Step] = []
        self.calls = 0
        self._delayed_writes: list[_Write] = []

    def apply_delayed_writes(self) -> None:
        """Apply the writes that a `LATE` fault has held back."""
        delayed_writes = self._delayed_writes
        self._delayed_writes = []
        for write in delayed_writes:
            write()

    def get(
        self, kind: str, name: str
    ) -> Result[StoredObject | None, Unavailable]:
        """Return the object, or `None` if there is none."""
        if self._consume_step():
            return Err(Unavailable('fault'))
        return Ok(self.table.get(kind, name))

    def list_all(
        self,
        kind: str,
    ) -> Result[Sequence[StoredObject], Unavailable]:
        """Return all objects of `kind`, by name."""
        if self._consume_step():
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
        """Return the changes after `cursor`, without waiting."""
        if self._consume_step():
            return Err(Unavailable('fault'))
        return Ok(self.table.watch(kind, cursor, 0))

    def _consume_step(self) -> CallFault | None:
        self.calls += 1
        step = self.plan.pop(0) if self.plan else None
        if isinstance(step, CallFault) or step is None:
            return step
        remaining = self.plan
        self.plan = []
        step()
        self.plan = remaining
        return None

    def _write(self, write: _Write) -> WriteOutcome:
        match self._consume_step():
            case CallFault.DOWN:
                return Unavailable('fault')
            case CallFault.REQUEST_LOST:
                return Unclear('fault')
            case CallFault.ANSWER_LOST:
                write()
                return Unclear('fault')
            case CallFault.LATE:
                self._delayed_writes.append(write)
                return Unclear('fault')
            case None:
                return write()
