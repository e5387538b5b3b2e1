"""HMAC proofs that a peer holds the shared secret, without revealing it."""

import hashlib
import hmac
import secrets
from enum import Enum
from typing import Final

from figspread.ids import PeerId

NONCE_BYTES: Final = 32
# Size of the length prefix of each part that a proof covers.
_LENGTH_BYTES: Final = 4


class Role(Enum):
    """The side of a connection that makes a proof."""

    OPENER = b'opener'
    ACCEPTOR = b'acceptor'


def new_nonce() -> bytes:
    """Return random bytes for one handshake."""
    return secrets.token_bytes(NONCE_BYTES)


def make_proof(
    secret: bytes,
    role: Role,
    peer: PeerId,
    *,
    peer_nonce: bytes,
    own_nonce: bytes,
) -> bytes:
    """Return the proof of `peer` over both nonces of a handshake.

    Each part is preceded by its length, so that no two handshakes hash the
    same input. The role prevents a peer from reflecting a proof back to the
    side that made it.
    """
    digest = hmac.new(secret, digestmod=hashlib.sha256)
    for part in (
        b'figspread',
        role.value,
        peer.encode(),
        peer_nonce,
        own_nonce,
    ):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.digest()


def is_valid_proof(expected: bytes, received: bytes) -> bool:
    """Return whether the proofs are equal; compares in constant time."""
    return hmac.compare_digest(expected, received)
