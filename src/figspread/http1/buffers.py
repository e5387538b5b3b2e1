"""Bounds what the connections of a process keep in memory, in the sum.

Limits of single requests and answers don't bound the memory of a process that has
thousands of connections. When their sum reaches the limit, the connection that keeps
most gives up what it is receiving, so that the others go on.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

# Bytes that each connection may keep beside the limit. Heads and most bodies are
# smaller, so few requests depend on what others send.
FREE_BYTES: Final = 8192
# Limit of the sum where the memory of the process is not known.
DEFAULT_LIMIT_BYTES: Final = 50_331_648
# What is read from a connection at a time: a part of the room that is left, within
# bounds. Others may read as much before the next one gives up.
MIN_READ_BYTES: Final = 4096
MAX_READ_BYTES: Final = 65_536
READ_DIVISOR: Final = 8
# Sizes in bytes have fewer binary digits than this.
_SIZE_CLASSES: Final = 64


class BufferPool:
    """The sum of what connections keep, and who gives up when it is too large.

    `given_up` counts how often that happened.
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        """Start without connections."""
        self.limit_bytes = limit_bytes
        self._used_bytes = 0
        # Of what can't be given up.
        self._fixed_bytes = 0
        # Those that can give up, by the size class of what they keep.
        self._receiving: list[OrderedDict[BufferShare, None]] = [
            OrderedDict() for _ in range(_SIZE_CLASSES)
        ]
        self.given_up = 0

    @property
    def used_bytes(self) -> int:
        """What counts against the limit."""
        return self._used_bytes

    @property
    def read_bytes(self) -> int:
        """How much to read from a connection at a time."""
        room_bytes = self.limit_bytes - self._used_bytes
        return min(
            MAX_READ_BYTES, max(MIN_READ_BYTES, room_bytes // READ_DIVISOR)
        )

    def open_share(self, give_up: Callable[[], None]) -> 'BufferShare':
        """Return the share of a connection.

        `give_up` is called when it has to drop what it is receiving.
        """
        return BufferShare(self, give_up)

    def has_room_for(self, share: 'BufferShare', kept_bytes: int) -> bool:
        """Return whether a share may keep so much, if others give up theirs."""
        fixed_bytes = self._fixed_bytes
        if not share.is_receiving:
            fixed_bytes -= _count(share.kept_bytes)
        return fixed_bytes + _count(kept_bytes) <= self.limit_bytes

    def exchange(
        self, share: 'BufferShare', kept_bytes: int, *, is_receiving: bool
    ) -> None:
        """Record what a share keeps instead of what it kept."""
        self._count_out(share)
        share.kept_bytes = kept_bytes
        share.is_receiving = is_receiving
        self._count_in(share)
        while self._used_bytes > self.limit_bytes:
            largest = self._find_largest()
            if largest is None:
                return
            self.given_up += 1
            largest.give_up()

    def _count_out(self, share: 'BufferShare') -> None:
        size = _count(share.kept_bytes)
        if not size:
            return
        self._used_bytes -= size
        if share.is_receiving:
            self._receiving[size.bit_length()].pop(share)
        else:
            self._fixed_bytes -= size

    def _count_in(self, share: 'BufferShare') -> None:
        size = _count(share.kept_bytes)
        if not size:
            return
        self._used_bytes += size
        if share.is_receiving:
            self._receiving[size.bit_length()][share] = None
        else:
            self._fixed_bytes += size

    def _find_largest(self) -> 'BufferShare | None':
        """Return one of the largest size class, the least recently changed."""
        for shares in reversed(self._receiving):
            if shares:
                return next(iter(shares))
        return None


class BufferShare:
    """What one connection keeps.

    While it `is_receiving`, it can be made to give that up.
    """

    def __init__(self, pool: BufferPool, give_up: Callable[[], None]) -> None:
        """Start empty."""
        self._pool = pool
        self._give_up = give_up
        self.kept_bytes = 0
        self.is_receiving = True

    def resize(self, kept_bytes: int, *, is_receiving: bool = True) -> None:
        """Record what the connection keeps now."""
        if (kept_bytes, is_receiving) != (self.kept_bytes, self.is_receiving):
            self._pool.exchange(self, kept_bytes, is_receiving=is_receiving)

    def try_keep(self, kept_bytes: int) -> bool:
        """Keep so much until it is resized; return whether there is room.

        Others give up what they are receiving for it.
        """
        if not self._pool.has_room_for(self, kept_bytes):
            return False
        self.resize(kept_bytes, is_receiving=False)
        return True

    def give_up(self) -> None:
        """Drop what is being received."""
        self.resize(0)
        self._give_up()

    def close(self) -> None:
        """Keep nothing more, and forget the connection."""
        self.resize(0)
        self._give_up = _do_nothing


def _do_nothing() -> None:
    """Stand in for the call of a connection that is closed."""


def _count(kept_bytes: int) -> int:
    return max(0, kept_bytes - FREE_BYTES)
