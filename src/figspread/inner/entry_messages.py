"""Messages between entries that talk to upstreams themselves."""

import msgspec

from figspread.ids import PeerId, UpstreamId
from figspread.inner.base import Message


class PlacementRow(msgspec.Struct, frozen=True, array_like=True):
    """One attempt that an entry has placed; times in milliseconds.

    A `gap_ms` of 0 is none at all.
    """

    placement: str
    upstream: UpstreamId
    kv_tokens: int = 0
    output_tokens: int = 0
    reading_ms: int = 0
    gap_ms: int = 0
    is_helping: bool = False


class EntryHello(Message, frozen=True):
    """Which entry opens a connection to another one, and where it listens.

    `peer` is another one after each start of the process.
    """

    version: int
    peer: PeerId
    address: str


class EntryNews(Message, frozen=True):
    """What an entry has placed since its last news, and what it knows.

    `config_number` and `store_revision` say how new its configuration and its
    upstreams are; who has older ones asks for them.
    """

    started: tuple[PlacementRow, ...] = ()
    read: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()
    config_number: int = 0
    store_revision: int = 0
    leaving: bool = False


class FetchUpstreams(Message, frozen=True):
    """Asks for the upstreams that have changed after `store_revision`."""

    store_revision: int


class StoredRow(msgspec.Struct, frozen=True):
    """An object of the store as an entry has read it."""

    name: str
    revision: int
    document: bytes
    is_deleted: bool = False


class UpstreamRows(Message, frozen=True):
    """Upstreams as of `store_revision`, changed or deleted ones."""

    rows: tuple[StoredRow, ...]
    store_revision: int
