"""Finds the workspace of a caller's API key."""

import hashlib
import hmac
from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import Final, TypeAlias

from figspread.config.fleet import Fleet, Workspace

_BEARER_PREFIX: Final = 'Bearer '
_BUCKET_PREFIX_CHARACTERS: Final = 8

_Bucket: TypeAlias = Sequence[tuple[str, Workspace]]


def hash_key(key: str) -> str:
    """Return the SHA-256 digest that a release note lists for `key`."""
    return hashlib.sha256(key.encode()).hexdigest()


class ApiKeyIndex:
    """Index of workspaces by the digests of their API keys.

    The first characters of a digest select a bucket, and the digests in the
    bucket are compared in constant time. So the cost of a lookup doesn't grow
    with the number of workspaces, and its duration reveals the bucket at
    most. The bucket says nothing about a key, because a caller can't choose
    the digest of the key that it sends.
    """

    def __init__(self) -> None:
        """Start with an empty index."""
        self._index: tuple[Fleet, Mapping[str, _Bucket]] = (Fleet(), {})

    def find_workspace(
        self,
        fleet: Fleet,
        authorization: str,
    ) -> Workspace | None:
        """Return the workspace whose key is in the `Authorization` header.

        Return `None` if the header has no known key. The index is rebuilt
        when `fleet` isn't the one of the last call. Safe to call from any
        thread.
        """
        if not authorization.startswith(_BEARER_PREFIX):
            return None
        digest = hash_key(authorization[len(_BEARER_PREFIX) :].strip())
        indexed_fleet, buckets = self._index
        if indexed_fleet is not fleet:
            buckets = _index_keys(fleet)
            self._index = (fleet, buckets)
        return _find_in_bucket(
            buckets.get(digest[:_BUCKET_PREFIX_CHARACTERS], ()), digest
        )


def _find_in_bucket(bucket: _Bucket, digest: str) -> Workspace | None:
    found = None
    for key_hash, workspace in bucket:
        if hmac.compare_digest(key_hash, digest):
            found = workspace
    return found


def _index_keys(fleet: Fleet) -> Mapping[str, _Bucket]:
    buckets: defaultdict[str, list[tuple[str, Workspace]]] = defaultdict(list)
    for workspace in fleet.workspaces.values():
        for key_hash in workspace.key_hashes:
            bucket = buckets[key_hash[:_BUCKET_PREFIX_CHARACTERS]]
            bucket.append((key_hash, workspace))
    return dict(buckets)
