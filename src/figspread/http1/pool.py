"""Kept connections to upstreams, by address."""

import asyncio
from collections import defaultdict
from typing import Final

from figspread.clock import Clock
from figspread.http1.caller import Request
from figspread.http1.client import UpstreamConnection, open_connection

# Upstreams state their idle time in whole seconds; this much is left unused.
IDLE_MARGIN_S: Final = 1.0
# Without a stated time a connection is kept this long.
IDLE_S: Final = 4.0
CONNECT_TIMEOUT_S: Final = 1.0
KEPT_PER_ADDRESS: Final = 24


class ConnectionPool:
    """Opens connections and keeps the reusable ones for a while."""

    def __init__(self, clock: Clock) -> None:
        """Start with no connections."""
        self._clock = clock
        self._idle: defaultdict[str, list[tuple[float, UpstreamConnection]]]
        self._idle = defaultdict(list)
        self.opened = 0

    async def acquire(
        self,
        address: str,
        *,
        is_fresh: bool = False,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> UpstreamConnection:
        """Return a connection; with `is_fresh` one that is new.

        Raises `Unreachable`.
        """
        kept = self._idle[address]
        while kept and not is_fresh:
            since, conn = kept.pop()
            limit_s = min(IDLE_S, conn.idle_limit_s - IDLE_MARGIN_S)
            if conn.is_reusable and self._clock.now() - since < limit_s:
                return conn
            conn.close()
        self.opened += 1
        return await open_connection(address, timeout_s=timeout_s)

    def release(self, address: str, conn: UpstreamConnection) -> None:
        """Keep `conn` if it may be used again, else close it."""
        kept = self._idle[address]
        if conn.is_reusable and len(kept) < KEPT_PER_ADDRESS:
            kept.append((self._clock.now(), conn))
        else:
            conn.close()

    def forget(self, address: str) -> None:
        """Close the kept connections to `address`."""
        for _, conn in self._idle.pop(address, ()):
            conn.close()

    def close_idle(self) -> None:
        """Close connections that were kept for long enough."""
        now = self._clock.now()
        for address in tuple(self._idle):
            fresh = []
            for since, conn in self._idle[address]:
                limit_s = min(IDLE_S, conn.idle_limit_s - IDLE_MARGIN_S)
                if conn.is_reusable and now - since < limit_s:
                    fresh.append((since, conn))
                else:
                    conn.close()
            self._idle[address] = fresh
            if not fresh:
                self._idle.pop(address)


async def exchange(
    pool: ConnectionPool,
    address: str,
    request: Request,
    *,
    timeout_s: float,
    limit_bytes: int,
) -> tuple[int, bytes]:
    """Return status and whole body of the answer to one call.

    Raises `Broken`, `Unreachable`, or `TimeoutError` after `timeout_s`.
    """
    async with asyncio.timeout(timeout_s):
        conn = await pool.acquire(address)
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
    return head.status, body
