"""Tests of splitting a byte stream into server-sent events."""

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


def drop_done_and_comments(stream: bytes) -> bytes:
    """Return `stream` without its `[DONE]` events and comments.

    The entry writes `[DONE]` itself, and comments carry no data.
    """
    for dropped in (END, OTHER_END, COMMENT):
        stream = stream.replace(dropped, b'')
    return stream


@pytest.mark.parametrize(('stream', 'tokens'), STREAMS)
def test_events_are_passed_on_and_tokens_counted(
    stream: bytes,
    tokens: int,
) -> None:
    """Events without a token are passed on but not counted."""
    splitter = EventSplitter()
    events = splitter.feed(stream)
    assert (events.data, events.tokens) == (
        drop_done_and_comments(stream),
        tokens,
    )
    assert not splitter.has_incomplete_event


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(st.sampled_from([stream for stream, _ in STREAMS]), max_size=6),
    st.lists(st.integers(0, 400), max_size=12),
    st.binary(max_size=20).filter(lambda rest: b'\n' not in rest),
)
def test_split_input_gives_the_same_events(
    streams: list[bytes],
    cuts: list[int],
    rest: bytes,
) -> None:
    """Each output consists of whole events, however the input is split."""
    whole = b''.join(streams)
    unsplit_events = EventSplitter().feed(whole)
    splitter = EventSplitter()
    output = b''
    tokens = 0
    ends = sorted({min(cut, len(whole) + len(rest)) for cut in cuts})
    starts = [0, *ends]
    for start, end in zip(starts, [*ends, None], strict=True):
        events = splitter.feed((whole + rest)[start:end])
        assert events.data == b'' or events.data.endswith(
            (b'\n\n', b'\r\n\r\n'),
        )
        output += events.data
        tokens += events.tokens
    assert (output, tokens) == (
        drop_done_and_comments(whole),
        unsplit_events.tokens,
    )
    assert splitter.has_incomplete_event == bool(rest)


def test_event_over_the_limit_is_reported() -> None:
    """An event without an end is reported once it exceeds the limit."""
    splitter = EventSplitter()
    for size in range(EVENT_LIMIT_BYTES // 65_536):
        assert not splitter.is_too_large
        splitter.feed(b'x' * (65_536 + size))
    assert splitter.is_too_large
