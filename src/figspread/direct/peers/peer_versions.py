"""Which messages an entry reads, by the minor version that it has told."""

from typing import Final

from figspread.inner.entry_messages import EntryHello

# Entries of this minor version or a higher one read all messages.
MINOR_VERSION: Final = 4
# Those of these or higher ones read `CompactNews` and `StoreStatus`, also notices
# and permits, and also `PartNews`.
COMPACT_MINOR_VERSION: Final = 1
NOTICES_MINOR_VERSION: Final = 2
PARTS_MINOR_VERSION: Final = 3


def reads_compact_news(hello: EntryHello | None) -> bool:
    """Return whether an entry reads compact news and store statuses."""
    return hello is not None and hello.minor_version >= COMPACT_MINOR_VERSION


def reads_notices(hello: EntryHello | None) -> bool:
    """Return whether an entry reads what upstreams state, and permits."""
    return hello is not None and hello.minor_version >= NOTICES_MINOR_VERSION


def reads_part_news(hello: EntryHello | None) -> bool:
    """Return whether an entry reads news of parts that crash upstreams."""
    return hello is not None and hello.minor_version >= PARTS_MINOR_VERSION


def reads_load_news(hello: EntryHello | None) -> bool:
    """Return whether an entry reads evacuations and slowdowns."""
    return hello is not None and hello.minor_version >= MINOR_VERSION
