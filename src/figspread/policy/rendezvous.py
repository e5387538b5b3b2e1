"""Rendezvous hashing with bounded load."""

from collections.abc import Mapping, Sequence
from typing import Final

import xxhash

from figspread.ids import UpstreamId

LOAD_FACTOR: Final = 1.25
LOAD_SLACK_S: Final = 0.25


def order_upstreams(
    key: str,
    upstreams: Sequence[UpstreamId],
) -> Sequence[UpstreamId]:
    """Return `upstreams` in the order of preference of `key`.

    When an upstream joins or leaves, only keys that rank it first move.
    """
    seed = _hash_key(key)
    return sorted(
        upstreams,
        key=lambda upstream: (_score(seed, upstream), upstream),
        reverse=True,
    )


def choose_bounded(
    key: str,
    loads_s: Mapping[UpstreamId, float],
) -> UpstreamId | None:
    """Return the preferred upstream of `key` among those within the bound.

    The bound is `LOAD_FACTOR` times the mean of `loads_s` plus `LOAD_SLACK_S`.
    A hot key spills over only to the next upstream in its order, so that few
    engines cache its prefix.
    """
    if not loads_s:
        return None
    mean_s = sum(loads_s.values()) / len(loads_s)
    bound_s = mean_s * LOAD_FACTOR + LOAD_SLACK_S
    eligible = [
        upstream for upstream, load_s in loads_s.items() if load_s <= bound_s
    ]
    seed = _hash_key(key)
    return max(
        eligible, key=lambda upstream: (_score(seed, upstream), upstream)
    )


def _hash_key(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())


def _score(seed: int, upstream: UpstreamId) -> int:
    return xxhash.xxh3_64_intdigest(upstream.encode(), seed)
