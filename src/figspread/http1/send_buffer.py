"""What a connection has sent and its peer has not made room for yet."""

import asyncio
from collections.abc import Callable
from contextlib import suppress


class SendBuffer:
    """Follows the unsent bytes of a transport."""

    def __init__(self, timeout_s: Callable[[], float]) -> None:
        """Start without a transport; `timeout_s` is called for each wait."""
        self._timeout_s = timeout_s
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()

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
        """How many bytes the kernel has not taken yet."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

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
