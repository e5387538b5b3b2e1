"""Versions of a store that may come back from an older copy.

Revisions go back then and are given out again, and the store's era rises. A
version puts the era before the revision, so versions never go back.
"""

from typing import Final, NewType

StoreVersion = NewType('StoreVersion', int)

# Revisions are below 2 to this power.
_REVISION_BITS: Final = 44


def make_version(era: int, revision: int) -> StoreVersion:
    """Return the version of a revision in an era.

    >>> make_version(2, 5) > make_version(1, 99)
    True
    """
    return StoreVersion((era << _REVISION_BITS) + revision)


def find_era(version: int) -> int:
    """Return the era of a version.

    >>> find_era(make_version(2, 5))
    2
    """
    return version >> _REVISION_BITS


def find_revision(version: int) -> int:
    """Return the revision of a version within its era.

    >>> find_revision(make_version(2, 5))
    5
    """
    return version & ((1 << _REVISION_BITS) - 1)
