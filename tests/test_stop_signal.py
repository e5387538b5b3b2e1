"""Tests that the grace period of a stop begins with its signal.

An entry whose event loop was busy took the time late, and was killed before it had
answered its last requests.
"""

import asyncio
import os
import signal
import time
from collections.abc import Iterator

import pytest

from figspread.clock import MonotonicClock
from figspread.direct.lifecycle.stop_signal import handle_stop_signal

BUSY_S = 0.4


@pytest.fixture(autouse=True)
def _restore_handler() -> Iterator[None]:
    previous = signal.getsignal(signal.SIGTERM)
    yield
    signal.signal(signal.SIGTERM, previous)


def test_grace_period_begins_while_the_event_loop_is_busy() -> None:
    """Take the time when the signal arrives, not when the loop handles it."""
    clock = MonotonicClock()

    async def scenario() -> float:
        asked: asyncio.Future[float] = asyncio.Future()
        handle_stop_signal(clock, asked.set_result)
        sent_s = clock.now()
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(BUSY_S)
        async with asyncio.timeout(5):
            return await asked - sent_s

    assert asyncio.run(scenario()) < BUSY_S / 2


def test_second_signal_does_not_end_a_process_that_exits() -> None:
    """Ignore the signal once the event loop is closed."""
    calls: list[float] = []

    async def scenario() -> None:
        handle_stop_signal(MonotonicClock(), calls.append)

    asyncio.run(scenario())
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(0)
    assert not calls
