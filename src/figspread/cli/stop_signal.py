"""Waiting for SIGTERM, SIGINT or a timeout."""

import signal
import threading
from types import FrameType


class StopSignal:
    """Event that SIGTERM, SIGINT or `request_exit` sets.

    SIGHUP is ignored, as settings are read at the start only.
    """

    def __init__(self) -> None:
        """Install handlers for the signals; call this on the main thread."""
        self._event = threading.Event()
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle_signal)

    def wait(self, timeout_s: float | None = None) -> bool:
        """Return whether a stop was requested within `timeout_s` seconds."""
        return self._event.wait(timeout_s)

    def request_exit(self) -> None:
        """Request the exit as a signal does; any thread may call this."""
        self._event.set()

    def _handle_signal(self, _number: int, _frame: FrameType | None) -> None:
        self._event.set()
