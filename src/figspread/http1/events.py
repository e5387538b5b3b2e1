"""Splits a stream of server-sent events into single events."""

import re
from collections.abc import Iterator
from typing import Final

import msgspec

from figspread.http1.fields import MAX_COUNT_DIGITS

# Largest event that a reader of a stream accepts.
EVENT_LIMIT_BYTES: Final = 1_048_576
# It begins with a literal, for which the search is several times faster.
_EVENT_END: Final = re.compile(rb'\n\r?\n')
_MAX_END_BYTES: Final = 3
_EVENT_ID: Final = re.compile(
    r'^id: ?(\d{{1,{0}}})\r?$'.format(MAX_COUNT_DIGITS).encode(), re.MULTILINE
)


class Event(msgspec.Struct, frozen=True):
    """One complete event as received, with its blank line.

    `id` is -1 when the event has none of up to `MAX_COUNT_DIGITS` digits.
    """

    raw: bytes
    id: int


class EventSplitter:
    """Reassembles events from the parts in which a stream arrives."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()
        self._searched_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Size of what has arrived since the last complete event."""
        return len(self._buffer)

    @property
    def pending_bytes(self) -> int:
        """Size of the buffered, incomplete event, without outer whitespace."""
        return len(self._buffer.strip())

    def feed(self, piece: bytes) -> Iterator[Event]:
        """Add the bytes `piece` and yield the events that they complete."""
        self._buffer += piece
        # The end of an event may have begun in the bytes searched before.
        begin = max(0, self._searched_bytes - _MAX_END_BYTES + 1)
        end_match = _EVENT_END.search(self._buffer, begin)
        while end_match is not None:
            raw = bytes(self._buffer[: end_match.end()])
            del self._buffer[: end_match.end()]
            id_match = _EVENT_ID.search(raw)
            yield Event(raw, -1 if id_match is None else int(id_match[1]))
            end_match = _EVENT_END.search(self._buffer)
        self._searched_bytes = len(self._buffer)
