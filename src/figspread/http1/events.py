"""Server-sent events, cut into whole events with their ids."""

import re
from collections.abc import Iterator
from typing import Final

import msgspec

EVENT_LIMIT_BYTES: Final = 1_048_576
_END: Final = re.compile(rb'\r?\n\r?\n')
_ID: Final = re.compile(rb'^id: ?(\d+)\r?$', re.MULTILINE)


class Event(msgspec.Struct, frozen=True):
    """One whole event as it came, its end included; `id` is -1 without one."""

    raw: bytes
    id: int


class EventSplitter:
    """Takes the bytes of a stream and gives its whole events."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._buffer = b''

    @property
    def pending_bytes(self) -> int:
        """The size of the part of an event that is left over."""
        return len(self._buffer.strip())

    def feed(self, piece: bytes) -> Iterator[Event]:
        """Give the events that `piece` completes."""
        self._buffer += piece
        end = _END.search(self._buffer)
        while end is not None:
            raw = self._buffer[: end.end()]
            self._buffer = self._buffer[end.end() :]
            number = _ID.search(raw)
            yield Event(raw, -1 if number is None else int(number[1]))
            end = _END.search(self._buffer)
