"""Bounds what all requests of an entry hold in memory together."""

import threading
from typing import Final

# Largest answer that is joined for a caller who doesn't stream.
JOINED_LIMIT_BYTES: Final = 8_388_608


class ByteBudget:
    """The bytes that the requests of all threads may hold."""

    def __init__(self, limit_bytes: int) -> None:
        """Start with nothing held."""
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._lock = threading.Lock()

    @property
    def held_bytes(self) -> int:
        """What is held now."""
        return self._held_bytes

    def try_change(self, size: int) -> bool:
        """Hold `size` more bytes, or fewer if it is negative.

        Return whether they are within the limit; if not, nothing changes.
        """
        with self._lock:
            if size > 0 and self._held_bytes + size > self._limit_bytes:
                return False
            self._held_bytes += size
        return True


class HeldBytes:
    """What one request holds; it is served by one thread at a time."""

    def __init__(self, budget: ByteBudget) -> None:
        """Start with nothing held."""
        self._budget = budget
        self._size = 0
        self._joined_bytes = 0

    def try_hold_body(self, size: int) -> bool:
        """Hold the body of the request, unless that was done before.

        Return whether there is room.
        """
        return size <= self._size or self._try_hold(size)

    def try_hold_piece(self, size: int) -> bool:
        """Hold a piece of the answer; return whether there is room."""
        self._joined_bytes += size
        return self._joined_bytes <= JOINED_LIMIT_BYTES and self._try_hold(size)

    def release(self) -> None:
        """Hold nothing any more."""
        self._budget.try_change(-self._size)
        self._size = 0

    def _try_hold(self, size: int) -> bool:
        if not self._budget.try_change(size):
            return False
        self._size += size
        return True
