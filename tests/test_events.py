"""Cutting server-sent events out of bytes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.agent.events import EVENT_LIMIT_BYTES, EventSplitter

TOKEN = b'data: {"choices":[{"text":" fig"}]}\n\n'
QUOTED = rb'data: {"choices":[{"text":"\"usage\":{"}]}' b'\n\n'
COMMENT = b': comment\n\n'
END = b'data: [DONE]\n\n'
OTHER_TOKEN = b'data:{"choices":[{"text":"x"}]}\r\n\r\n'
OTHER_END = b'data:[DONE]\r\n\r\n'
STREAMS = [
    (b'', 0),
    (TOKEN, 1),
    (b''.join((TOKEN, TOKEN, END)), 2),
    (b''.join((OTHER_TOKEN, OTHER_END)), 1),
    (b'data: {"choices":[],"usage":{"total_tokens":3}}\n\n', 0),
    (b'data: {"choices":[{"text":""}],"usage": {"total_tokens":3}}\n\n', 0),
    (b'data: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\n', 0),
    (b'data: {"choices":[{"text":"y"}],"usage":null}\n\n', 1),
    (QUOTED, 1),
    (b''.join((COMMENT, TOKEN)), 1),
    (b''.join((b': first line\n', TOKEN)), 1),
]


def drop_ends(stream: bytes) -> bytes:
    """Return `stream` without what is not for the caller.

    The entry writes the `[DONE]` events itself; comments carry nothing.
    """
    for dropped in (END, OTHER_END, COMMENT):
        stream = stream.replace(dropped, b'')
    return stream


@pytest.mark.parametrize(('stream', 'tokens'), STREAMS)
def test_tokens_are_counted_and_nothing_is_lost(
    stream: bytes,
    tokens: int,
) -> None:
    """Events that are no tokens are passed on uncounted."""
    splitter = EventSplitter()
    events = splitter.feed(stream)
    assert (events.data, events.tokens) == (drop_ends(stream), tokens)
    assert not splitter.has_incomplete_event


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(st.sampled_from([stream for stream, _ in STREAMS]), max_size=6),
    st.lists(st.integers(0, 400), max_size=12),
    st.binary(max_size=20).filter(lambda rest: b'\n' not in rest),
)
def test_any_cut_of_the_bytes_gives_the_same_events(
    streams: list[bytes],
    cuts: list[int],
    rest: bytes,
) -> None:
    """Each piece given out is whole events, whatever the pieces taken in."""
    whole = b''.join(streams)
    once = EventSplitter().feed(whole)
    splitter = EventSplitter()
    given_out = b''
    tokens = 0
    ends = sorted({min(cut, len(whole) + len(rest)) for cut in cuts})
    starts = [0, *ends]
    for start, end in zip(starts, [*ends, None], strict=True):
        events = splitter.feed((whole + rest)[start:end])
        assert events.data == b'' or events.data.endswith(
            (b'\n\n', b'\r\n\r\n'),
        )
        given_out += events.data
        tokens += events.tokens
    assert (given_out, tokens) == (drop_ends(whole), once.tokens)
    assert splitter.has_incomplete_event == bool(rest)


def test_an_event_without_an_end_is_bounded() -> None:
    """The splitter says when it holds back too much."""
    splitter = EventSplitter()
    for size in range(EVENT_LIMIT_BYTES // 65_536):
        assert not splitter.is_too_large
        splitter.feed(b'x' * (65_536 + size))
    assert splitter.is_too_large
