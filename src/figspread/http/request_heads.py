"""Finds the end of a request's head, and what the head says of the body.

cheroot parses the head again and rejects what is malformed or ambiguous. Here such a
head has no body.
"""

import re
from typing import Final

import msgspec

_END: Final = re.compile(rb'\n\r?\n')
# The end may have arrived in two pieces.
_LONGEST_END_BYTES: Final = 3
_LENGTH: Final = re.compile(rb'(?im)^content-length:[ \t]*([^\r\n]*)')
_CODING: Final = re.compile(rb'(?im)^transfer-encoding[ \t]*:')
_EXPECTATION: Final = re.compile(rb'(?im)^expect:[ \t]*100-continue[ \t]*\r?\n')
# Numbers of bytes with more digits are no lengths.
_MAX_DIGITS: Final = 19


class HeadFacts(msgspec.Struct, frozen=True):
    """What the head says of the body, whose `length` is in bytes.

    `has_coding` means that the body may come in chunks, `is_expecting` that
    the caller waits to be asked for it.
    """

    length: int
    has_coding: bool
    is_expecting: bool


def find_head_end(received: bytearray, searched_bytes: int) -> int | None:
    """Return the number of bytes of the head, `None` if its end is missing.

    It is known not to end within the first `searched_bytes`.
    """
    start = max(0, searched_bytes - _LONGEST_END_BYTES)
    end = _END.search(received, start)
    return None if end is None else end.end()


def read_facts(head: bytes) -> HeadFacts:
    """Return what a complete head says of its body."""
    lengths = set(_LENGTH.findall(head))
    text = lengths.pop().strip() if len(lengths) == 1 else b''
    is_number = text.isdigit() and len(text) <= _MAX_DIGITS
    return HeadFacts(
        int(text) if is_number else 0,
        bool(_CODING.search(head)),
        bool(_EXPECTATION.search(head)),
    )


def drop_expectation(head: bytes) -> bytes:
    """Return a head without the field that asks for status 100."""
    return _EXPECTATION.sub(b'', head)
