"""Sends encoded messages to one other entry."""

import asyncio
from collections import deque
from typing import Final

from figspread.ids import PeerId
from figspread.inner.connection import Connection

# Bytes that may wait for a peer. One that reads more slowly is disconnected;
# after it has reconnected, a snapshot replaces what it has missed.
BACKLOG_LIMIT_BYTES: Final = 1_048_576


class PeerSender:
    """Sends frames in order, without making the caller wait for the peer.

    A peer that takes none for the connection's `silence_s` is disconnected.
    `peer` is its id, once it has told it.
    """

    def __init__(self, conn: Connection) -> None:
        """Send over `conn`."""
        self._conn = conn
        self._backlog: deque[bytes] = deque()
        self._backlog_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self.peer: PeerId | None = None

    def abort(self) -> None:
        """Drop the connection."""
        self._conn.abort()

    def post(self, frame: bytes) -> None:
        """Queue a frame; frames for a closed connection are dropped."""
        if self._conn.is_closed:
            return
        self._backlog.append(frame)
        self._backlog_bytes += len(frame)
        if self._backlog_bytes > BACKLOG_LIMIT_BYTES:
            self._conn.abort()
            self._backlog.clear()
        elif self._task is None:
            self._task = asyncio.create_task(self._send_backlog())

    async def _send_backlog(self) -> None:
        try:
            while self._backlog:
                frame = self._backlog.popleft()
                self._backlog_bytes -= len(frame)
                async with asyncio.timeout(self._conn.timeouts.silence_s):
                    await self._conn.send_frame(frame)
        except TimeoutError:
            self._conn.abort()
        except BaseException:
            # What was sent last is unknown; a new connection begins anew.
            self._conn.abort()
            raise
        finally:
            self._task = None
