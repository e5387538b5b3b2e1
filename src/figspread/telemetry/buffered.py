"""Non-blocking line writer that counts the lines it drops when full."""

import json
import os
import select
import threading
from collections import deque
from collections.abc import Iterable, Iterator
from typing import Final

# Unwritten lines that are kept: about two seconds of output at peak load.
BUFFER_LIMIT_LINES: Final = 4096
FLUSH_INTERVAL_S: Final = 0.2
CLOSE_TIMEOUT_S: Final = 0.2


class BufferedLines:
    """Stream that writes lines to a file descriptor from a background thread.

    Writers never block. While `BUFFER_LIMIT_LINES` lines are unwritten, further
    ones are dropped; a log line with their count follows those that were kept.
    Lines that can't be written to the descriptor are lost and not counted.
    """

    def __init__(self, descriptor: int) -> None:
        """Start the thread that writes to `descriptor`."""
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, line: bytes) -> int:
        """Queue or drop a line; return its length in bytes either way."""
        if len(self._lines) >= BUFFER_LIMIT_LINES:
            self._dropped += 1
        else:
            self._lines.append(line)
        return len(line)

    def flush(self) -> None:
        """Do nothing; the thread writes every `FLUSH_INTERVAL_S` seconds."""

    def close(self) -> None:
        """Write the lines that are left, unless that takes too long.

        It does while nobody reads the descriptor.
        """
        self._stop.set()
        self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stop.wait(FLUSH_INTERVAL_S):
            self._write_all()
        self._write_all()

    def _write_all(self) -> None:
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if self._dropped:
            row = {'message_type': 'log lines dropped', 'count': self._dropped}
            self._dropped = 0
            lines.append(b'%s\n' % json.dumps(row).encode())
        for batch in _join_lines(lines):
            try:
                _write_whole(self._descriptor, batch)
            except OSError:
                # The rest of these lines is lost, uncounted, so that the
                # process keeps serving, for instance with a full disk or
                # after the reader of the logs has closed its end.
                return


def _join_lines(lines: Iterable[bytes]) -> Iterator[bytes]:
    """Yield batches of whole lines, of up to `PIPE_BUF` bytes if they fit.

    A pipe takes that many bytes at once, so a reader that collects the output
    of several processes finds no line in two pieces.
    """
    batch = b''
    for line in lines:
        if batch and len(batch) + len(line) > select.PIPE_BUF:
            yield batch
            batch = b''
        batch += line
    if batch:
        yield batch


def _write_whole(descriptor: int, batch: bytes) -> None:
    while batch:
        batch = batch[os.write(descriptor, batch) :]
