"""Reads a caller's request body, bounded in bytes and in time."""

from enum import Enum
from typing import Any, Final

from figspread.clock import Deadline
from figspread.entry.held_bytes import HeldBytes

READ_SIZE_BYTES: Final = 65_536


class BodyFault(Enum):
    """Why a body was refused; each value is the detail for the caller."""

    NO_LENGTH = 'Content-Length is needed'
    TOO_LARGE = 'the body is too large'
    TOO_SLOW = 'the body came too slowly'
    NO_ROOM = 'all requests hold too much'
    CUT = 'the body ended early'


def read_body(
    rfile: Any,
    *,
    length: str | None,
    limit: int,
    deadline: Deadline,
    held: HeldBytes,
) -> bytes | BodyFault:
    """Return the whole body from a cheroot `rfile`, or why it is refused.

    `length` is the `Content-Length` header, and `limit` is in bytes. The body
    counts in `held`. Each
    read returns what has arrived, and the deadline is checked between reads,
    so that a caller that sends a byte at a time can't hold the thread for
    long past `deadline`.
    """
    if length is None or not length.isdecimal():
        return BodyFault.NO_LENGTH
    if int(length) > limit:
        return BodyFault.TOO_LARGE
    if not held.try_hold_body(int(length)):
        return BodyFault.NO_ROOM
    return _read_exactly(rfile, int(length), deadline)


def _read_exactly(
    rfile: Any,
    size: int,
    deadline: Deadline,
) -> bytes | BodyFault:
    body = bytearray()
    while len(body) < size:
        if deadline.is_past():
            return BodyFault.TOO_SLOW
        try:
            chunk = _read_available(rfile, size - len(body))
        except TimeoutError:
            return BodyFault.TOO_SLOW
        if not chunk:
            return BodyFault.CUT
        body += chunk
    return bytes(body)


def _read_available(rfile: Any, max_bytes: int) -> bytes:
    chunk = rfile.rfile.read1(min(max_bytes, READ_SIZE_BYTES))
    # The server uses this count to skip the unread part of the body.
    rfile.remaining -= len(chunk)
    return bytes(chunk)
