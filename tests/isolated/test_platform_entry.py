"""An entry on the platform outlasts crowds of clients that hold bodies back.

Such clients ended a process, which ran out of memory. Bounds are the limits that
the platform states in the settings of the entry's process.
"""

import asyncio
from collections import Counter
from contextlib import suppress
from typing import Final

import pytest
from bench.faults.crowds import BODY_LIMIT, Crowd, Sending
from bench.giftwrap.caller import Caller
from bench.giftwrap.deployment import HOST, KEY, LIMITS
from bench.soak.fleet import EntryProcess, Fleet

from figspread.http1.answers import ExchangeError
from figspread.http1.client import Unreachable
from tests.isolated.watching import Watch

MEMORY_MB: Final = 100
DESCRIPTORS: Final = 280
# Of the descriptors, so many are for files.
FILES: Final = 200
ANSWER_TIMEOUT_S: Final = 60
RETRY_DELAY_S: Final = 0.2
SETTINGS: Final = {
    'limits.memoryMb': str(MEMORY_MB),
    'limits.fileDescriptors': str(DESCRIPTORS),
}
HEAD: Final = '\r\n'.join(
    (
        'POST /order/x HTTP/1.1',
        'Host: {0}'.format(HOST),
        'Authorization: Bearer {0}'.format(KEY),
        'X-Figspread-Request-Deadline: 10000',
    )
).encode()


async def _call_until_answered(address: str) -> None:
    """Send an ordinary request, again after a refusal, until it is answered."""
    caller = Caller(address, 'ordinary')
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while True:
            with suppress(ExchangeError, Unreachable):
                if (await caller.call('status')).status == 200:
                    return
            await asyncio.sleep(RETRY_DELAY_S)


async def _wait_until_ready(entry: EntryProcess) -> None:
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while not await entry.is_ready():
            await asyncio.sleep(RETRY_DELAY_S)


async def _start(fleet: Fleet) -> EntryProcess:
    await fleet.start()
    fleet.write_next_configuration(
        limits={**LIMITS, 'maxBodyBytes': BODY_LIMIT}
    )
    address = fleet.entries[0].address
    await _call_until_answered(address)
    # The route is new in this version.
    route = 'v{0}'.format(fleet.config_version)
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while (await Caller(address, 'new').call(route)).status == 404:
            await asyncio.sleep(RETRY_DELAY_S)
    return fleet.entries[0]


async def _play(fleet: Fleet, sending: Sending) -> tuple[Watch, Counter[int]]:
    entry = await _start(fleet)
    watch = Watch(entry.pid)
    crowd = Crowd(entry.address, HEAD, sending)
    async with watch.count_sockets(), crowd.play():
        await _call_until_answered(entry.address)
        await _wait_until_ready(entry)
    await _call_until_answered(entry.address)
    assert watch.is_alive
    assert watch.peak_memory_bytes < MEMORY_MB * 1_000_000
    return watch, crowd.statuses


async def _run(sending: Sending) -> tuple[Watch, Counter[int]]:
    fleet = Fleet(1, 1, settings=SETTINGS)
    try:
        return await _play(fleet, sending)
    finally:
        await fleet.stop()


@pytest.mark.parametrize('sending', Sending, ids=lambda each: each.value)
def test_entry_outlasts_a_crowd_that_holds_bodies_back(
    sending: Sending,
) -> None:
    """It keeps to its limits and answers an ordinary request."""
    watch, statuses = asyncio.run(_run(sending))
    assert watch.most_sockets < DESCRIPTORS - FILES
    assert not statuses[500]


async def _send_large_body() -> int:
    fleet = Fleet(1, 1, settings=SETTINGS)
    try:
        entry = await _start(fleet)
        caller = Caller(entry.address, 'large')
        return (await caller.call('order', body=bytes(BODY_LIMIT))).status
    finally:
        await fleet.stop()


def test_largest_body_is_served_in_calm() -> None:
    """The limits don't refuse what the operator's configuration allows."""
    assert asyncio.run(_send_large_body()) == 200
