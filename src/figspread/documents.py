"""Decodes JSON that other programs have written."""

from typing import Final, TypeVar

import msgspec

# Characters of a decoder's message that are kept; it may quote the document.
_DETAIL_LIMIT: Final = 200
_DECODER_ERRORS: Final = (
    msgspec.MsgspecError,
    ValueError,
    ArithmeticError,
    RecursionError,
)
_Document = TypeVar('_Document')


class MalformedDocument(Exception):
    """The bytes can't be decoded as the expected type."""


def decode_json(document: bytes, document_type: type[_Document]) -> _Document:
    """Return the decoded document; raises `MalformedDocument`, nothing else.

    The decoder has exceptions of its own for wrong syntax and types. Text that
    isn't Unicode, numbers out of range and deep nesting raise others.
    """
    try:
        return msgspec.json.decode(document, type=document_type)
    except _DECODER_ERRORS as exc:
        raise MalformedDocument(str(exc)[:_DETAIL_LIMIT]) from exc
