"""A pool of idle connections to upstreams, by address."""

import asyncio
from collections import defaultdict
from typing import Final

from figspread.clock import Clock
from figspread.http1.buffers import BufferPool
from figspread.http1.client import (
    Head,
    UpstreamConnection,
    open_connection,
)
from figspread.http1.requests import Request

# Upstreams announce their idle timeout in whole seconds. A connection is closed
# this long before it, so that no request is sent while the upstream closes.
IDLE_MARGIN_S: Final = 1.0
# Longest time that a connection stays idle in the pool if the upstream announces
# no timeout, and if it announces a longer one. With 23 entries and 69 engines an
# entry meets each engine less than twice a minute.
MAX_IDLE_S: Final = 4.0
MAX_ANNOUNCED_IDLE_S: Final = 60.0
CONNECT_TIMEOUT_S: Final = 1.0
# Idle connections kept for one address; further ones are closed.
MAX_IDLE_PER_ADDRESS: Final = 24
# Idle connections kept for all addresses, where nobody has set a limit.
DEFAULT_MAX_IDLE: Final = 1024


class ConnectionPool:
    """Opens connections and keeps reusable ones for further exchanges.

    `opened` counts the connections that were opened. What they keep counts in
    `buffers`, and no more than `max_idle` stay idle.
    """

    def __init__(
        self,
        clock: Clock,
        buffers: BufferPool | None = None,
        max_idle: int = DEFAULT_MAX_IDLE,
    ) -> None:
        """Start with no connections."""
        self._clock = clock
        self._max_idle = max_idle
        self.buffers = buffers or BufferPool()
        self._idle: defaultdict[str, list[tuple[float, UpstreamConnection]]]
        self._idle = defaultdict(list)
        self._idle_count = 0
        self.opened = 0

    async def acquire(
        self,
        address: str,
        *,
        is_fresh: bool = False,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> UpstreamConnection:
        """Return an idle connection, or a new one if there is none.

        With `is_fresh` the connection is always a new one. Raises
        `Unreachable` when a new one can't be opened within `timeout_s`.
        """
        idle = self._idle[address]
        while idle and not is_fresh:
            idle_since, conn = idle.pop()
            self._idle_count -= 1
            if (
                conn.is_reusable
                and self._clock.now() - idle_since < _idle_limit_s(conn)
            ):
                return conn
            conn.close()
        self.opened += 1
        return await open_connection(
            address, timeout_s=timeout_s, buffers=self.buffers
        )

    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection to `address` is kept."""
        return bool(self._idle.get(address))

    def release(self, address: str, conn: UpstreamConnection) -> None:
        """Return `conn` to the pool; close it if it is not reusable."""
        conn.forget_body()
        idle = self._idle[address]
        has_room = (
            len(idle) < MAX_IDLE_PER_ADDRESS
            and self._idle_count < self._max_idle
        )
        if conn.is_reusable and has_room:
            self._idle_count += 1
            idle.append((self._clock.now(), conn))
        else:
            conn.close()

    def close_address(self, address: str) -> None:
        """Close the idle connections to `address`."""
        for _, conn in self._idle.pop(address, ()):
            self._idle_count -= 1
            conn.close()

    def close_idle(self) -> None:
        """Close connections past their idle timeout or not reusable."""
        now = self._clock.now()
        for address in tuple(self._idle):
            reusable = []
            for idle_since, conn in self._idle[address]:
                if conn.is_reusable and now - idle_since < _idle_limit_s(conn):
                    reusable.append((idle_since, conn))
                else:
                    self._idle_count -= 1
                    conn.close()
            self._idle[address] = reusable
            if not reusable:
                self._idle.pop(address)


def _idle_limit_s(conn: UpstreamConnection) -> float:
    announced_s = conn.idle_timeout_s
    if announced_s == float('inf'):
        return MAX_IDLE_S
    return min(MAX_ANNOUNCED_IDLE_S, announced_s - IDLE_MARGIN_S)


async def exchange_once(
    pool: ConnectionPool,
    address: str,
    request: Request,
    *,
    timeout_s: float,
    limit_bytes: int,
    is_fresh: bool = False,
) -> tuple[Head, bytes]:
    """Send one request; return the head and complete body of the answer.

    With `is_fresh` it goes over a new connection, on which no late copy of an
    earlier answer can arrive. Raises `Unreachable`, `ExchangeError` (also for a body above
    `limit_bytes`), or `TimeoutError` after `timeout_s`.
    """
    async with asyncio.timeout(timeout_s):
        conn = await pool.acquire(address, is_fresh=is_fresh)
        try:
            conn.send(
                request.method,
                request.target,
                request.fields,
                request.body,
            )
            head = await conn.read_head()
            body = await conn.read_body(limit_bytes)
        except BaseException:
            conn.close('given up here')
            raise
    pool.release(address, conn)
    return head, body
