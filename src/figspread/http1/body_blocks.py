"""The body of a request while it arrives."""

from typing import Final

# Of equal size, so that the memory of one body can be used for another.
BLOCK_BYTES: Final = 65_536


class BodyBlocks:
    """Joins small parts at once, and all others only when the body is complete.

    A single growing buffer would be moved again and again, and leave gaps in the
    memory of the process.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._blocks: list[bytes] = []
        self._last = bytearray()
        self.size = 0

    def append(self, part: bytes) -> None:
        """Add a part."""
        self.size += len(part)
        self._last += part
        if len(self._last) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._last))
            self._last = bytearray()

    def take(self) -> bytes:
        """Return the whole body, and keep nothing."""
        body = b''.join((*self._blocks, self._last))
        self.clear()
        return body

    def clear(self) -> None:
        """Drop all parts."""
        self._blocks.clear()
        self._last = bytearray()
        self.size = 0
