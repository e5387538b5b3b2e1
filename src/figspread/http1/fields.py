"""Header fields: lookup, and removal of hop-by-hop fields."""

from collections.abc import Iterable, Sequence
from typing import Final, TypeAlias

Fields: TypeAlias = Sequence[tuple[bytes, bytes]]

# Digits of the largest whole numbers that are exact as floating-point numbers.
MAX_COUNT_DIGITS: Final = 15

# Fields that apply to one connection only (RFC 9110, section 7.6.1), and the
# framing fields, which each connection sets anew.
_HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


def find_field(fields: Fields, name: bytes) -> str | None:
    """Return the first value of the field `name`, given in lower case."""
    for field_name, content in fields:
        if field_name == name:
            return content.decode('latin-1').strip()
    return None


def parse_count(text: str | None) -> int | None:
    """Return the whole number that a field holds, `None` if it holds none.

    One with more than `MAX_COUNT_DIGITS` digits counts as none.
    """
    digits = (text or '').strip()
    if len(digits) > MAX_COUNT_DIGITS:
        return None
    return int(digits) if digits.isascii() and digits.isdecimal() else None


def has_token(fields: Fields, name: bytes, token: str) -> bool:
    """Return whether a comma-separated field contains `token`.

    `token` is in lower case; the case of the field doesn't matter.
    """
    return token in _list_tokens(fields, name)


def drop_fields(fields: Fields, names: Iterable[bytes] = ()) -> Fields:
    """Return the fields to forward: without `names` and hop-by-hop fields."""
    connection_options = {
        token.encode() for token in _list_tokens(fields, b'connection')
    }
    dropped = _HOP_BY_HOP.union(connection_options, names)
    return [field for field in fields if field[0] not in dropped]


def _list_tokens(fields: Fields, name: bytes) -> set[str]:
    return {
        token.strip().lower()
        for field_name, content in fields
        if field_name == name
        for token in content.decode('latin-1').split(',')
    }
