"""Heartbeats; each side of a connection runs one task for them."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from figspread.inner.connection import Connection
from figspread.inner.messages import Heartbeat

Sleep: TypeAlias = Callable[[float], Awaitable[None]]


async def keep_alive(
    conn: Connection,
    make_heartbeat: Callable[[], Heartbeat],
    *,
    sleep: Sleep = asyncio.sleep,
) -> None:
    """Send heartbeats until the connection is closed.

    Aborts the connection when nothing was received for `silence_s`, which
    ends the other tasks on it. Each send runs in a task of its own, so that
    one that blocks on the peer's full buffers doesn't delay this check.
    """
    send_task: asyncio.Task[bool] | None = None
    try:
        while not conn.is_closed:
            if is_silent(conn):
                conn.abort()
                return
            if send_task is None or send_task.done():
                send_task = asyncio.create_task(conn.send(make_heartbeat()))
            await sleep(conn.timeouts.heartbeat_s)
    finally:
        if send_task is not None:
            send_task.cancel()


def is_silent(conn: Connection) -> bool:
    """Return whether nothing was received for longer than `silence_s`."""
    return conn.clock.now() - conn.last_received > conn.timeouts.silence_s
