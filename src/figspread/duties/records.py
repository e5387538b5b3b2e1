"""The stored record of a claim on an idempotency key."""

import hashlib
import re
from collections.abc import Mapping
from typing import Final

import msgspec

from figspread.documents import MalformedDocument, decode_json
from figspread.ids import AttemptId, PeerId, WorkspaceId
from figspread.outcome import Outcome
from figspread.platform.types import ObjectStore, WriteOutcome

CLAIM_KIND_PREFIX: Final = 'claims-'
# Number of object kinds that claims are spread over, so that each kind has few
# objects to list.
CLAIM_SHARDS: Final = 256
# Maximum number of characters of the workspace's id at the start of a claim's
# object name, where it is for human readers only.
_WORKSPACE_PREFIX_CHARACTERS: Final = 64
_UNSAFE_CHARACTERS: Final = re.compile('[^A-Za-z0-9_-]')


class ClaimRecord(msgspec.Struct, frozen=True):
    """The claim on a key and, once known, the outcome of its request.

    `run_until` and `keep_until` are in seconds of wall clock: the latest time
    at which the claimant has its outcome, and the earliest time at which the
    record may be deleted. `body_digest` comes from `digest_request` and so
    covers the method, service and path as well as the body. `answer` is empty
    and `has_answer` false if the answer was too large to store. `outcome` is
    `None` while the request runs.
    """

    workspace: WorkspaceId
    body_digest: str
    attempt: AttemptId
    claimant: PeerId
    run_until: float
    keep_until: float
    outcome: Outcome | None = None
    status: int = 0
    headers: Mapping[str, str] = {}
    answer: bytes = b''
    has_answer: bool = False


class ClaimLocation(msgspec.Struct, frozen=True):
    """The kind and name of the object that holds a claim."""

    kind: str
    name: str


def digest_request(method: str, path: str, body: bytes) -> str:
    """Return a digest that is the same only for resends of one request."""
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def locate_claim(workspace: WorkspaceId, key: str) -> ClaimLocation:
    """Return the location of the claim on `key`.

    Claims are sharded over `CLAIM_SHARDS` kinds by digest, so that the clean-up
    lists only a fraction of them at a time.
    """
    digest = digest_request(workspace, key, b'')
    shard = int(digest[:8], 16) % CLAIM_SHARDS
    readable = _UNSAFE_CHARACTERS.sub('_', workspace)[
        :_WORKSPACE_PREFIX_CHARACTERS
    ]
    return ClaimLocation(
        '{0}{1:02x}'.format(CLAIM_KIND_PREFIX, shard),
        '{0}.{1}'.format(readable, digest),
    )


def write_claim(
    store: ObjectStore,
    place: ClaimLocation,
    record: ClaimRecord,
    *,
    version: int,
) -> WriteOutcome:
    """Replace the record at `version`, or create it if `version` is 0."""
    body = msgspec.json.encode(record)
    if version:
        return store.replace(place.kind, place.name, body, version=version)
    return store.create(place.kind, place.name, body)


def decode_claim(body: bytes) -> ClaimRecord | None:
    """Return the record in `body`, or `None` if it is damaged."""
    try:
        return decode_json(body, ClaimRecord)
    except MalformedDocument:
        return None
