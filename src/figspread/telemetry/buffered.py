"""A byte stream that never blocks its writer and counts what it drops."""

import json
import os
import threading
from collections import deque
from typing import Final

# About two seconds of lines on the busiest days.
LINES: Final = 4096
FLUSH_S: Final = 0.2


class BufferedLines:
    """Takes lines and writes them to a descriptor from a thread of its own.

    With `LINES` unwritten ones further lines are dropped; the next line that
    is written says how many.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to `descriptor`."""
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, line: bytes) -> int:
        """Take a line."""
        if len(self._lines) >= LINES:
            self._dropped += 1
        else:
            self._lines.append(line)
        return len(line)

    def flush(self) -> None:
        """Do nothing: the thread writes."""

    def close(self) -> None:
        """Write what is left and stop."""
        self._stop.set()
        self._thread.join(FLUSH_S)
        self._write_all()

    def _run(self) -> None:
        while not self._stop.wait(FLUSH_S):
            self._write_all()

    def _write_all(self) -> None:
        taken = []
        while self._lines:
            taken.append(self._lines.popleft())
        if self._dropped:
            row = {'message_type': 'log lines dropped', 'count': self._dropped}
            self._dropped = 0
            taken.append(b'%s\n' % json.dumps(row).encode())
        pending = b''.join(taken)
        while pending:
            try:
                pending = pending[os.write(self._descriptor, pending) :]
            except OSError:
                # Nobody reads the logs any more; serving goes on.
                return
