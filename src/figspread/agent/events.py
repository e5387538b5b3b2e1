"""Splits a byte stream into server-sent events."""

import re
from typing import Final

import msgspec

EVENT_LIMIT_BYTES: Final = 1_048_576
# It begins with a literal, for which the search is several times faster.
_BLANK_LINE: Final = re.compile(rb'\n\r?\n')
# A blank line may be split between two reads.
_MAX_BLANK_LINE_BYTES: Final = 3
_DROPPED_EVENT: Final = re.compile(
    rb'(?:data: ?\[DONE\]\r?\n|(?::[^\n]*\n)+)\r?\n\Z',
)
_LEADING_COMMENTS: Final = re.compile(rb'\A(?::[^\n]*\n)+')
_EVENT_WITHOUT_TOKEN: Final = re.compile(
    rb'data: ?(?:\[DONE\]|.*(?:"choices": ?\[\]|"delta": ?\{\}|"usage": ?\{))',
    re.DOTALL,
)


class Events(msgspec.Struct, frozen=True):
    """The bytes of complete events, and how many of these carry a token."""

    data: bytes
    tokens: int


class EventSplitter:
    r"""Buffers incomplete events; drops `[DONE]` events and comments.

    The entry writes `[DONE]` itself once it knows that the answer is complete.
    A comment is dropped because it would start the caller's response before
    the first token, when the request may still have to be refused.

    Example:

    >>> splitter = EventSplitter()
    >>> splitter.feed(b'data: {"a": 1}\n\ndata: [DO')
    Events(data=b'data: {"a": 1}\n\n', tokens=1)
    >>> splitter.feed(b'NE]\n\n')
    Events(data=b'', tokens=0)
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._incomplete = b''

    @property
    def has_incomplete_event(self) -> bool:
        """Whether the bytes so far end in the middle of an event."""
        return bool(self._incomplete)

    @property
    def is_too_large(self) -> bool:
        """Whether the incomplete event exceeds `EVENT_LIMIT_BYTES`."""
        return len(self._incomplete) > EVENT_LIMIT_BYTES

    def feed(self, data: bytes) -> Events:
        """Add `data` and return the events that it completes, in order."""
        search_start = max(0, len(self._incomplete) - _MAX_BLANK_LINE_BYTES)
        buffer = self._incomplete + data
        tokens = 0
        event_start = 0
        events = []
        for blank_line in _BLANK_LINE.finditer(buffer, search_start):
            event = buffer[event_start : blank_line.end()]
            if not _DROPPED_EVENT.match(event):
                events.append(event)
                tokens += _has_token(event)
            event_start = blank_line.end()
        self._incomplete = buffer[event_start:]
        return Events(b''.join(events), tokens)


def _has_token(event: bytes) -> bool:
    if event.startswith(b':'):
        event = _LEADING_COMMENTS.sub(b'', event, count=1)
    return event.startswith(b'data:') and not _EVENT_WITHOUT_TOKEN.match(event)
