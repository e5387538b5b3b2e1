"""Splits JSON texts into the texts of their parts, without decoding these.

A decoder fails for a whole document because of one part: text that isn't
Unicode, or nesting that is too deep. Split first, the other parts can be used.
The parts are found by brackets and strings alone, without recursion.
"""

import re
from collections.abc import Iterator, Mapping
from typing import Final

from figspread.documents import MalformedDocument

_STRING: Final = r'"[^"\\]*(?:\\.[^"\\]*)*"'
# Brackets in a row are one token, so that deep nesting is passed over at once.
_BRACKETS: Final = r'{0}|[\[{{]+|[\]}}]+'.format(_STRING)
_INNER_TOKEN: Final = re.compile(_BRACKETS.encode(), re.DOTALL)
_OUTER_TOKEN: Final = re.compile('{0}|,'.format(_BRACKETS).encode(), re.DOTALL)
_MEMBER: Final = re.compile(
    r'\s*({0})\s*:\s*(.*\S)\s*'.format(_STRING).encode(), re.DOTALL
)


def split_array(text: bytes) -> list[bytes]:
    """Return the texts of an array's elements; raises `MalformedDocument`."""
    return list(_split(text, b'['))


def split_object(text: bytes) -> Mapping[str, bytes]:
    """Return the texts of an object's members by name.

    Names are as written, without their quotes; of equal names the last one
    counts. Raises `MalformedDocument`.
    """
    members = {}
    for part in _split(text, b'{'):
        member = _MEMBER.fullmatch(part)
        if member is None:
            raise MalformedDocument('an object with a part that is no member')
        members[member[1][1:-1].decode('latin-1')] = member[2]
    return members


def _split(text: bytes, opening: bytes) -> Iterator[bytes]:
    if not text.lstrip().startswith(opening):
        raise MalformedDocument('not the expected kind of value')
    depth = 0
    begin = text.index(opening) + 1
    token = _OUTER_TOKEN.search(text)
    while token is not None:
        size = len(token[0])
        match token[0][:1]:
            case b'[' | b'{':
                depth += size
            case b']' | b'}' if size >= depth:
                # The brackets behind the value's own one are others'.
                end = token.start() + depth - 1
                yield from _list_last(text[begin:end])
                return
            case b']' | b'}':
                depth -= size
            case b',':
                yield text[begin : token.start()]
                begin = token.end()
        pattern = _OUTER_TOKEN if depth == 1 else _INNER_TOKEN
        token = pattern.search(text, token.end())
    raise MalformedDocument('a value without an end')


def _list_last(part: bytes) -> Iterator[bytes]:
    if part.strip():
        yield part
