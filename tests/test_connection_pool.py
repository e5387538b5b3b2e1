"""Idle connections to upstreams keep to their number, whatever the addresses.

A crowd of requests opens a connection to an upstream for each; those that stay idle
took descriptors that others need.
"""

import asyncio
from contextlib import AsyncExitStack
from enum import Enum
from typing import Final

import pytest

from figspread.clock import ManualClock
from figspread.http1.pool import MAX_IDLE_S, ConnectionPool
from tests.test_http1_client import OK, FixedAnswerServer

MAX_IDLE: Final = 3
SERVERS: Final = 3
CALLS: Final = 4


async def _call(pool: ConnectionPool, address: str) -> None:
    conn = await pool.acquire(address)
    conn.send(b'GET', b'/', [(b'host', b'x')], b'')
    await conn.read_head()
    await conn.read_body(100)
    pool.release(address, conn)


async def _call_all(pool: ConnectionPool, addresses: list[str]) -> int:
    """Send requests to all at the same time; return how many were connected."""
    opened = pool.opened
    async with asyncio.timeout(5), asyncio.TaskGroup() as group:
        for address in addresses * CALLS:
            group.create_task(_call(pool, address))
    return pool.opened - opened


def test_idle_connections_to_all_upstreams_are_bounded() -> None:
    """Those beyond the limit are closed, and so are opened again."""

    async def scenario() -> tuple[int, int]:
        pool = ConnectionPool(ManualClock(), max_idle=MAX_IDLE)
        async with AsyncExitStack() as stack:
            addresses = [
                (await stack.enter_async_context(FixedAnswerServer(OK))).address
                for _ in range(SERVERS)
            ]
            counts = [await _call_all(pool, addresses) for _ in range(2)]
            for address in addresses:
                pool.close_address(address)
        return counts[0], counts[1]

    calls = SERVERS * CALLS
    assert asyncio.run(scenario()) == (calls, calls - MAX_IDLE)


class _Ending(Enum):
    ADDRESS = 'the address is closed'
    LATE = 'too old for a request'
    SWEPT = 'too old in a sweep'
    NONE = 'they are used again'


@pytest.mark.parametrize('ending', _Ending, ids=lambda each: each.value)
def test_idle_connections_make_room_as_they_end(ending: _Ending) -> None:
    """Others stay idle in their place, no more and no fewer."""

    async def scenario() -> int:
        clock = ManualClock()
        pool = ConnectionPool(clock, max_idle=MAX_IDLE)
        async with FixedAnswerServer(OK) as server:
            await _call_all(pool, [server.address])
            if ending is _Ending.ADDRESS:
                pool.close_address(server.address)
            elif ending is not _Ending.NONE:
                clock.advance(2 * MAX_IDLE_S)
            if ending is _Ending.SWEPT:
                pool.close_idle()
            await _call_all(pool, [server.address])
            opened = await _call_all(pool, [server.address])
            pool.close_address(server.address)
        return opened

    assert asyncio.run(scenario()) == CALLS - MAX_IDLE
