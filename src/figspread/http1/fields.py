"""Header fields: look-up, and which of them concern one connection only."""

from collections.abc import Iterable, Sequence
from typing import Final, TypeAlias

Fields: TypeAlias = Sequence[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1, and the framing, which each connection has anew.
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
    """Return the first value of the field `name`, which is in lower case."""
    for known, field in fields:
        if known == name:
            return field.decode('latin-1').strip()
    return None


def has_token(fields: Fields, name: bytes, token: str) -> bool:
    """Tell whether a comma-separated field holds `token`, in any case."""
    return token in _list_tokens(fields, name)


def drop_fields(fields: Fields, names: Iterable[bytes] = ()) -> Fields:
    """Return the fields that are passed on: not `names`, nor hop-by-hop."""
    named = {token.encode() for token in _list_tokens(fields, b'connection')}
    dropped = _HOP_BY_HOP.union(named, names)
    return [field for field in fields if field[0] not in dropped]


def _list_tokens(fields: Fields, name: bytes) -> set[str]:
    return {
        token.strip().lower()
        for known, field in fields
        if known == name
        for token in field.decode('latin-1').split(',')
    }
