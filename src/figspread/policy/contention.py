"""Settles which of several placements at the same moment keep an engine's slots.

It answers many entries that place requests at the same time, when most engines
are full: all see the slot that has just become free, and those that lose it
would wait at that engine while other engines get free slots.
"""

from collections.abc import Collection
from typing import Final

import xxhash

# Time after which an entry has heard of placements that others made at the same
# moment. Entries hear of a free slot up to some milliseconds apart, and a
# message to all others takes that long on the smallest links.
SETTLE_S: Final = 0.02
# Placements that began longer ago than this have kept their slot.
CONTENTION_WINDOW_S: Final = 0.04
# Free slots, before a placement, with which it has to settle.
CONTENDED_SLOTS: Final = 3


def is_contended(slots: int, requests_before: int) -> bool:
    """Return whether a placement takes one of an engine's last slots."""
    return slots - requests_before <= CONTENDED_SLOTS


def keeps_slot(name: str, contenders: Collection[str], free: int) -> bool:
    """Return whether `name` keeps one of `free` slots among `contenders`.

    All entries come to the same result if they know of the same contenders,
    which include `name`.

    >>> keeps_slot('a', ['a', 'b'], 2)
    True
    >>> keeps_slot('a', ['a', 'b'], 1) == keeps_slot('b', ['a', 'b'], 1)
    False
    """
    if len(contenders) <= free:
        return True
    ranked = sorted(contenders, key=_hash_name)
    return name in ranked[: max(0, free)]


def _hash_name(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
