"""A bounded byte buffer between a worker thread and an event-loop task."""

import asyncio
import threading
from contextlib import suppress
from typing import Final

BUFFER_LIMIT_BYTES: Final = 65_536


class ByteStream:
    """A byte stream with one writing thread and one reading task.

    A write blocks while `BUFFER_LIMIT_BYTES` or more are unread. The event
    loop is woken only while its task waits.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start empty; the reading task runs on `loop`."""
        self._loop = loop
        self._changed = threading.Condition()
        self._unread: list[bytes] = []
        self._unread_bytes = 0
        self._has_ended = False
        self._is_closed = False
        self._reader_waiter: asyncio.Future[None] | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the writer has called `end`; unread bytes may remain."""
        return self._has_ended

    def write(self, data: bytes) -> bool:
        """Append `data`, once there is room; return `False` if closed."""
        with self._changed:
            self._changed.wait_for(self._has_room)
            if self._is_closed:
                return False
            self._unread.append(data)
            self._unread_bytes += len(data)
            self._wake_reader()
        return True

    def end(self) -> None:
        """Mark the end of the stream; called by the writer."""
        with self._changed:
            self._has_ended = True
            self._wake_reader()

    def close(self) -> None:
        """Discard unread bytes and unblock the writer; called by the reader."""
        with self._changed:
            self._is_closed = True
            self._unread.clear()
            self._changed.notify_all()

    async def wait(self) -> None:
        """Wait until there are bytes to read or the stream has ended."""
        with self._changed:
            if self._unread or self._has_ended:
                return
            self._reader_waiter = self._loop.create_future()
            waiter = self._reader_waiter
        await waiter

    def read_available(self) -> bytes:
        """Return all unread bytes; after `wait`, none means the end."""
        with self._changed:
            data = b''.join(self._unread)
            self._unread.clear()
            self._unread_bytes = 0
            self._changed.notify_all()
        return data

    def _has_room(self) -> bool:
        return self._is_closed or self._unread_bytes < BUFFER_LIMIT_BYTES

    def _wake_reader(self) -> None:
        waiter = self._reader_waiter
        if waiter is None:
            return
        self._reader_waiter = None
        # A closed event loop raises; it has no reader left to wake.
        with suppress(RuntimeError):
            self._loop.call_soon_threadsafe(_resolve_waiter, waiter)


def _resolve_waiter(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
