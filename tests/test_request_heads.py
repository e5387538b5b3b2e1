"""What a head says of its body, before cheroot parses it.

A request that is taken for shorter or longer than the server takes it would let one
hide in another.
"""

import pytest

from figspread.http.request_heads import (
    HeadFacts,
    drop_expectation,
    find_head_end,
    read_facts,
)

LINE = b'POST / HTTP/1.1\r\n'


@pytest.mark.parametrize(
    ('received', 'end'),
    [
        (LINE + b'Host: x\r\n\r\nbody', len(LINE) + 11),
        (LINE + b'Host: x\r\n', None),
        (LINE + b'Host: x\n\nbody', len(LINE) + 9),
        (b'', None),
    ],
)
def test_end_of_a_head_is_found(received: bytes, end: int | None) -> None:
    """Also when it arrives byte by byte."""
    assert find_head_end(bytearray(received), 0) == end
    for size in range(1, len(received) + 1):
        found = find_head_end(bytearray(received[:size]), size - 1)
        assert found is None or found == end
        if end is not None and size >= end:
            break
    else:
        assert end is None


@pytest.mark.parametrize(
    ('fields', 'length', 'has_coding', 'is_expecting'),
    [
        (b'Content-Length: 5\r\n', 5, False, False),
        (b'content-length:5\r\n', 5, False, False),
        (b'Content-Length: 5\r\nContent-Length: 5\r\n', 5, False, False),
        # These are rejected by the server, which reads no body for them.
        (b'Content-Length: 5\r\nContent-Length: 6\r\n', 0, False, False),
        (b'Content-Length: +5\r\n', 0, False, False),
        (b'Content-Length: 5, 5\r\n', 0, False, False),
        (b'Content-Length : 5\r\n', 0, False, False),
        (b'Content-Length: ' + b'9' * 20 + b'\r\n', 0, False, False),
        (b'X-Content-Length: 5\r\n', 0, False, False),
        (b'Transfer-Encoding: chunked\r\n', 0, True, False),
        (b'Content-Length: 5\r\nExpect: 100-continue\r\n', 5, False, True),
        (b'', 0, False, False),
    ],
)
def test_facts_of_a_head(
    fields: bytes, length: int, has_coding: bool, is_expecting: bool
) -> None:
    """The length counts only if it is one number."""
    head = LINE + fields + b'\r\n'
    assert read_facts(head) == HeadFacts(length, has_coding, is_expecting)


def test_expectation_is_dropped_once_it_is_met() -> None:
    """The server would ask for the body again."""
    head = LINE + b'Expect: 100-continue\r\nHost: x\r\n\r\n'
    assert drop_expectation(head) == LINE + b'Host: x\r\n\r\n'
