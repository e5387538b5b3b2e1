"""Reading of callers' bodies is bounded in bytes and in time."""

import io

import pytest

from figspread.clock import Deadline, ManualClock
from figspread.entry.body import BodyFault, read_body
from figspread.entry.held_bytes import ByteBudget, HeldBytes

LIMIT = 100
TIME_LIMIT_S = 30


class SlowReader(io.RawIOBase):
    """Returns one byte per read and advances the clock by `pause_s`."""

    def __init__(self, text: bytes, clock: ManualClock, pause_s: float) -> None:
        """Start before the first byte of `text`."""
        self._text = io.BytesIO(text)
        self._clock = clock
        self._pause_s = pause_s

    def read1(self, size: int) -> bytes:
        """Return the next byte."""
        self._clock.advance(self._pause_s)
        return self._text.read(min(size, 1))


class BoundedReader:
    """Stands in for cheroot's body reader, with the same two attributes."""

    def __init__(self, source: io.RawIOBase, remaining: int) -> None:
        """Read `remaining` bytes from `source`."""
        self.rfile = source
        self.remaining = remaining


class TimingOutReader(io.RawIOBase):
    """Raises the socket's `TimeoutError` on every read."""

    def read1(self, _size: int) -> bytes:
        """Raise `TimeoutError`."""
        raise TimeoutError


@pytest.mark.parametrize(
    ('text', 'length', 'pause_s', 'expected'),
    [
        (b'hello', '5', 0, b'hello'),
        (b'hello more', '5', 0, b'hello'),
        (b'', '0', 0, b''),
        (b'hello', None, 0, BodyFault.NO_LENGTH),
        (b'hello', '-5', 0, BodyFault.NO_LENGTH),
        (b'hello', 'five', 0, BodyFault.NO_LENGTH),
        (b'hello', '101', 0, BodyFault.TOO_LARGE),
        (b'hell', '5', 0, BodyFault.CUT),
        (b'x' * 90, '90', 1, BodyFault.TOO_SLOW),
    ],
)
def test_body_is_read_whole_or_rejected(
    text: bytes,
    length: str | None,
    pause_s: float,
    expected: bytes | BodyFault,
) -> None:
    """A body is returned whole, or rejected within a read of the deadline.

    A caller that sends a byte at a time must not hold a server thread.
    """
    clock = ManualClock()
    body = read_body(
        BoundedReader(SlowReader(text, clock, pause_s), len(text)),
        length=length,
        limit=LIMIT,
        deadline=Deadline(clock, TIME_LIMIT_S),
        held=HeldBytes(ByteBudget(LIMIT)),
    )
    assert body == expected
    assert clock.now() <= TIME_LIMIT_S + pause_s


def test_socket_timeout_is_reported_as_too_slow() -> None:
    """A socket timeout must not surface as an internal error."""
    body = read_body(
        BoundedReader(TimingOutReader(), 5),
        length='5',
        limit=LIMIT,
        deadline=Deadline(ManualClock(), TIME_LIMIT_S),
        held=HeldBytes(ByteBudget(LIMIT)),
    )
    assert body is BodyFault.TOO_SLOW
