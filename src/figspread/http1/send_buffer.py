"""What a connection has sent and its peer has not made room for yet."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from figspread.http1.sockets import count_unreceived_bytes

# How long a peer that has received everything may take to close.
LINGER_TIMEOUT_S: Final = 2.0
# Interval of checks for what the peer has received.
RECEIVED_CHECK_INTERVAL_S: Final = 0.05


class SendBuffer:
    """Follows the unsent bytes of a transport.

    `is_finished` tells whether nothing more will be sent.
    """

    def __init__(self, timeout_s: Callable[[], float]) -> None:
        """Start without a transport; `timeout_s` is called for each wait."""
        self._timeout_s = timeout_s
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self.is_finished = False

    def attach(self, transport: asyncio.Transport) -> None:
        """Follow the bytes that are written to `transport`."""
        self._transport = transport

    def pause(self) -> None:
        """Record that much is unsent."""
        self._writable.clear()

    def resume(self) -> None:
        """Record that the peer has made room."""
        self._writable.set()

    @property
    def unsent_bytes(self) -> int:
        """How many bytes the kernel has not taken yet.

        After `finish`, these include what the kernel has and the peer has not
        received.
        """
        if self._transport is None:
            return 0
        unsent_bytes = self._transport.get_write_buffer_size()
        if self.is_finished:
            unsent_bytes += count_unreceived_bytes(self._transport)
        return unsent_bytes

    async def wait_until_writable(self) -> None:
        """Wait while much is unsent.

        Raises `ConnectionResetError` once the peer has made no room for
        `timeout_s`.
        """
        while not self._writable.is_set():
            unsent_bytes = self.unsent_bytes
            with suppress(TimeoutError):
                async with asyncio.timeout(self._timeout_s()):
                    await self._writable.wait()
            has_progressed = self.unsent_bytes < unsent_bytes
            if not (self._writable.is_set() or has_progressed):
                raise ConnectionResetError('the peer does not read')

    async def finish(self) -> None:
        """Send the end, and wait until the peer has received everything.

        Input has to be read and discarded from now on: the kernel resets a
        connection that is closed with unread input, or that gets input once
        closed, and drops what the peer has not received (RFC 9112, section 9.6).

        Raises `ConnectionResetError` as `wait_until_writable` does.
        """
        if self._transport is None or self._transport.is_closing():
            return
        self.is_finished = True
        self._transport.write_eof()
        self._transport.resume_reading()
        await self._wait_until_received()

    async def linger(self) -> None:
        """Give a peer that has received everything the time to close."""
        if self.is_finished:
            await asyncio.sleep(LINGER_TIMEOUT_S)

    async def _wait_until_received(self) -> None:
        clock = asyncio.get_running_loop().time
        progressed_s = clock()
        while unsent_bytes := self.unsent_bytes:
            await asyncio.sleep(RECEIVED_CHECK_INTERVAL_S)
            if self.unsent_bytes < unsent_bytes:
                progressed_s = clock()
            elif clock() - progressed_s > self._timeout_s():
                raise ConnectionResetError('the peer does not read')
