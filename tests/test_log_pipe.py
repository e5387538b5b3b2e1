"""Tests that a process exits though nobody reads its log."""

import os
import threading
from collections.abc import Iterator

import pytest

from figspread.telemetry.buffered import BufferedLines

TIMEOUT_S = 5


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Provide the ends for reading and writing, and close them."""
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def _fill(end: int) -> None:
    os.set_blocking(end, False)
    with pytest.raises(BlockingIOError):
        while True:
            os.write(end, b'x')
    os.set_blocking(end, True)


def test_close_returns_while_the_log_pipe_is_full(
    pipe: tuple[int, int],
) -> None:
    """A process that waits for its reader would not exit before SIGKILL."""
    _fill(pipe[1])
    lines = BufferedLines(pipe[1])
    lines.write(b'last line\n')
    closing = threading.Thread(target=lines.close, daemon=True)
    closing.start()
    closing.join(TIMEOUT_S)
    is_closed = not closing.is_alive()
    # Lets the writer go on, so that the pipe may be closed.
    received = b''
    while not received.endswith(b'last line\n'):
        received = os.read(pipe[0], 1 << 20)
    assert is_closed


def test_close_writes_the_last_lines(pipe: tuple[int, int]) -> None:
    """Lines that were written shortly before the exit are not lost."""
    lines = BufferedLines(pipe[1])
    lines.write(b'last line\n')
    lines.close()
    assert os.read(pipe[0], 100) == b'last line\n'
