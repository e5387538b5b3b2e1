"""Receives the signal by which the platform asks a process to stop."""

import asyncio
import signal
from collections.abc import Callable

from figspread.clock import Clock


def handle_stop_signal(clock: Clock, leave: Callable[[float], None]) -> None:
    """Have the running event loop call `leave` after SIGTERM.

    `leave` gets the clock time at which the signal arrived. A signal handler of
    the event loop runs only once the loop has time, while the grace period goes on.
    """
    loop = asyncio.get_running_loop()

    def handle(*_signal: object) -> None:  # noqa: WPS430
        if not loop.is_closed():
            loop.call_soon_threadsafe(leave, clock.now())

    signal.signal(signal.SIGTERM, handle)
