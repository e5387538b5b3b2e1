"""Bytes from a worker thread to a task of the event loop, bounded."""

import asyncio
import threading
from contextlib import suppress
from typing import Final

STREAM_LIMIT_BYTES: Final = 65_536


class ByteStream:
    """One thread writes, one task reads.

    The thread is held up while `PIPE_LIMIT_BYTES` wait to be read, and the
    loop is woken only when its task waits.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start empty; the reader is a task of `loop`."""
        self._loop = loop
        self._changed = threading.Condition()
        self._parts: list[bytes] = []
        self._size = 0
        self._has_ended = False
        self._is_closed = False
        self._waiting: asyncio.Future[None] | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the writer has written all it had."""
        return self._has_ended

    def write(self, data: bytes) -> bool:
        """Hand over `data`; `False` says that nobody reads any more."""
        with self._changed:
            self._changed.wait_for(self._has_room)
            if self._is_closed:
                return False
            self._parts.append(data)
            self._size += len(data)
            self._wake()
        return True

    def end(self) -> None:
        """Say that no more is written."""
        with self._changed:
            self._has_ended = True
            self._wake()

    def close(self) -> None:
        """Say that nobody reads any more; lets the writer go on."""
        with self._changed:
            self._is_closed = True
            self._parts.clear()
            self._changed.notify_all()

    async def wait(self) -> None:
        """Wait until there is something to take, or the end."""
        with self._changed:
            if self._parts or self._has_ended:
                return
            self._waiting = self._loop.create_future()
            waiting = self._waiting
        await waiting

    def take(self) -> bytes:
        """Return all that waits; after `wait`, nothing means the end."""
        with self._changed:
            data = b''.join(self._parts)
            self._parts.clear()
            self._size = 0
            self._changed.notify_all()
        return data

    def _has_room(self) -> bool:
        return self._is_closed or self._size < STREAM_LIMIT_BYTES

    def _wake(self) -> None:
        waiting = self._waiting
        if waiting is None:
            return
        self._waiting = None
        # A loop that has stopped has nobody left to wake.
        with suppress(RuntimeError):
            self._loop.call_soon_threadsafe(_resolve, waiting)


def _resolve(waiting: asyncio.Future[None]) -> None:
    if not waiting.done():
        waiting.set_result(None)
