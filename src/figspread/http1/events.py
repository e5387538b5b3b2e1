"""Splits a stream of server-sent events into single events."""

import re
from collections.abc import Iterator
from typing import Final

import msgspec

# Largest incomplete event that a reader of a stream accepts.
EVENT_LIMIT_BYTES: Final = 1_048_576
_EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
_EVENT_ID: Final = re.compile(rb'^id: ?(\d+)\r?$', re.MULTILINE)


class Event(msgspec.Struct, frozen=True):
    """One complete event as received, with its blank line.

    `id` is -1 when the event has none.
    """

    raw: bytes
    id: int


class EventSplitter:
    """Reassembles events from the parts in which a stream arrives."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = b''

    @property
    def pending_bytes(self) -> int:
        """Size of the buffered, incomplete event, without outer whitespace."""
        return len(self._buffer.strip())

    def feed(self, piece: bytes) -> Iterator[Event]:
        """Add the bytes `piece` and yield the events that they complete."""
        self._buffer += piece
        end_match = _EVENT_END.search(self._buffer)
        while end_match is not None:
            raw = self._buffer[: end_match.end()]
            self._buffer = self._buffer[end_match.end() :]
            id_match = _EVENT_ID.search(raw)
            yield Event(raw, -1 if id_match is None else int(id_match[1]))
            end_match = _EVENT_END.search(self._buffer)
