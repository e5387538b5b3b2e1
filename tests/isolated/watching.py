"""Follows the memory and the descriptors of a process from outside."""

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Final

_INTERVAL_S: Final = 0.02
# `/proc` gives memory in units of 1024 bytes.
_UNIT_BYTES: Final = 1024


class Watch:
    """The most memory and sockets that a process has had so far."""

    def __init__(self, pid: int) -> None:
        """Watch the process `pid`."""
        self._folder = Path('/proc/{0}'.format(pid))
        self.most_sockets = 0

    @property
    def is_alive(self) -> bool:
        """Whether the process has not ended."""
        status = (self._folder / 'status').read_text()
        return 'State:\tZ' not in status

    @property
    def peak_memory_bytes(self) -> int:
        """The most memory that the process has had since its start."""
        text = (self._folder / 'status').read_text()
        return int(text.partition('VmHWM:')[2].split()[0]) * _UNIT_BYTES

    @asynccontextmanager
    async def count_sockets(self) -> AsyncIterator[None]:
        """Count the open sockets again and again."""
        task = asyncio.create_task(self._run())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            self.most_sockets = max(self.most_sockets, self._read_sockets())
            await asyncio.sleep(_INTERVAL_S)

    def _read_sockets(self) -> int:
        count = 0
        for path in (self._folder / 'fd').iterdir():
            # It may have been closed meanwhile.
            with suppress(OSError):
                count += os.readlink(path).startswith('socket:')
        return count
