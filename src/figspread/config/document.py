"""Serialized form of the fleet's configuration.

Processes store it in the Object API and send it to their peers.
"""

import zlib
from typing import Final

import msgspec
from result import Err, Ok, Result

from figspread.config.fleet import Fleet
from figspread.documents import MalformedDocument, decode_json

# Decompressed size that is read at most; a longer document is cut there and
# fails to decode.
DOCUMENT_LIMIT_BYTES: Final = 16_777_216


def dump_fleet(fleet: Fleet) -> bytes:
    """Return `fleet` as zlib-compressed JSON."""
    return zlib.compress(msgspec.json.encode(fleet))


def load_fleet(document: bytes) -> Result[Fleet, str]:
    """Return the fleet in `document`, or why it cannot be decoded."""
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(document, DOCUMENT_LIMIT_BYTES)
        return Ok(decode_json(encoded, Fleet))
    except (zlib.error, MalformedDocument) as exc:
        return Err('not a valid configuration: {0}'.format(exc))
