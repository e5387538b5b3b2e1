"""A TCP server for tests, which closes what it has accepted."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import TypeAlias

StreamHandler: TypeAlias = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


async def hold_open(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Neither read nor write, and keep the connection."""
    await asyncio.Event().wait()


class RawServer:
    """Passes each connection to `serve`, and closes it at the end.

    As a context it listens on loopback; `address` is its `ip:port`.
    """

    def __init__(self, serve: StreamHandler = hold_open, port: int = 0) -> None:
        """Listen on `port`, on a free one if that is 0."""
        self.address = ''
        self._serve = serve
        self._port = port
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> 'RawServer':
        """Listen."""
        self._server = await asyncio.start_server(
            self._handle, '127.0.0.1', self._port
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = '{0}:{1}'.format(host, port)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stop listening, and close all connections."""
        self._server.close()
        # A connection that the kernel has accepted may not have a task yet.
        await asyncio.sleep(0)
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                await self._serve(reader, writer)
        finally:
            writer.close()
            self._tasks.discard(task)
