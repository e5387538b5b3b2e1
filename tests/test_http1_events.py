"""Event streams are split into whole events, however their bytes arrive."""

import time

from hypothesis import given
from hypothesis import strategies as st

from figspread.http1.events import EventSplitter


@given(
    numbers=st.lists(st.integers(0, 10**6), min_size=1, max_size=20),
    ending=st.sampled_from([b'\n\n', b'\r\n\r\n']),
    cuts=st.lists(st.integers(0, 2000), max_size=30),
)
def test_stream_is_split_into_whole_events(
    numbers: list[int],
    ending: bytes,
    cuts: list[int],
) -> None:
    """Ids and bytes of all events survive any division of the stream."""
    line = ending[: len(ending) // 2]
    raws = [
        b'id: %d' % number + line + b'data: a' + ending for number in numbers
    ]
    stream = b''.join(raws)
    bounds = sorted({0, len(stream), *(cut % len(stream) for cut in cuts)})
    splitter = EventSplitter()
    events = [
        event
        for start, end in zip(bounds, bounds[1:], strict=False)
        for event in splitter.feed(stream[start:end])
    ]
    assert [event.id for event in events] == numbers
    assert b''.join(event.raw for event in events) == stream
    assert not splitter.pending_bytes


def test_incomplete_event_is_buffered() -> None:
    """An event without its blank line is not yielded yet."""
    splitter = EventSplitter()
    assert not list(splitter.feed(b'id: 1\ndata: a\n'))
    assert splitter.pending_bytes


def test_event_without_id_has_id_minus_one() -> None:
    """A missing id is reported as -1."""
    events = list(EventSplitter().feed(b'data: a\n\n'))
    assert [event.id for event in events] == [-1]


# About the size of an event that a reader accepts at most, in small pieces.
PIECES = 100_000
PIECE = b'data: ten\n'
# Twenty microseconds a piece. Searching all bytes again with each piece took over
# two minutes.
ENDLESS_EVENT_S = 2.0


def test_event_without_end_costs_time_in_proportion_to_its_bytes() -> None:
    """Don't search the bytes of an event again with each new piece."""
    splitter = EventSplitter()
    started_s = time.process_time()
    for _ in range(PIECES):
        assert not list(splitter.feed(PIECE))
    assert splitter.buffered_bytes == PIECES * len(PIECE)
    assert time.process_time() - started_s < ENDLESS_EVENT_S
