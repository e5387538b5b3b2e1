"""Streams are cut into whole events, however their bytes arrive."""

from hypothesis import given
from hypothesis import strategies as st

from figspread.http1.events import EventSplitter


@given(
    numbers=st.lists(st.integers(0, 10**6), min_size=1, max_size=20),
    ending=st.sampled_from([b'\n\n', b'\r\n\r\n']),
    cuts=st.lists(st.integers(0, 2000), max_size=30),
)
def test_cuts_into_whole_events(
    numbers: list[int],
    ending: bytes,
    cuts: list[int],
) -> None:
    """Cuts into whole events."""
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


def test_a_part_of_an_event_is_held_back() -> None:
    """A part of an event is held back."""
    splitter = EventSplitter()
    assert not list(splitter.feed(b'id: 1\ndata: a\n'))
    assert splitter.pending_bytes


def test_an_event_without_an_id_has_none() -> None:
    """An event without an id has none."""
    events = list(EventSplitter().feed(b'data: a\n\n'))
    assert [event.id for event in events] == [-1]
