"""Assembles the body of a submitted request from its pieces."""

import asyncio

from figspread.inner.messages import BodyPiece, Submit


class Body:
    """Joins the pieces of one body; a wrong piece makes it invalid for good.

    A piece is wrong if it is out of order, exceeds the announced size or
    arrives after the body is complete.
    """

    def __init__(self, submit: Submit) -> None:
        """Start with the bytes that the submission itself carries."""
        self._expected_bytes = max(submit.body_size, len(submit.body))
        self._pieces = [submit.body]
        self._received_bytes = len(submit.body)
        self._next_seq = 0
        self._is_done = asyncio.Event()
        self.is_invalid = False
        self._finish_if_complete()

    def add(self, piece: BodyPiece) -> None:
        """Append the next piece."""
        if self._is_done.is_set() or piece.seq != self._next_seq:
            self._invalidate()
            return
        self._next_seq += 1
        self._received_bytes += len(piece.data)
        if self._received_bytes > self._expected_bytes:
            self._invalidate()
            return
        self._pieces.append(piece.data)
        self._finish_if_complete()

    async def wait(self) -> bytes | None:
        """Wait for the whole body; return `None` if it is invalid."""
        await self._is_done.wait()
        if self.is_invalid:
            return None
        return b''.join(self._pieces)

    def _finish_if_complete(self) -> None:
        if self._received_bytes == self._expected_bytes:
            self._is_done.set()

    def _invalidate(self) -> None:
        self.is_invalid = True
        self._pieces.clear()
        self._is_done.set()
