"""Collects an entry's placement changes and encodes them for other entries."""

from collections.abc import Iterable
from typing import Any, Final, Protocol

import msgspec

from figspread.direct.state.placements import Placement
from figspread.ids import PeerId, PlacementId
from figspread.inner.entry_messages import (
    CompactNews,
    CompactRow,
    EntryNews,
    PlacementRow,
)

_MS_PER_S: Final = 1000


class AnnouncedVersions(msgspec.Struct, frozen=True):
    """What each message tells of its sender besides placements."""

    config_number: int = 0
    store_revision: int = 0
    is_leaving: bool = False

    def drop_unchanged(self, sent: 'AnnouncedVersions') -> 'AnnouncedVersions':
        """Return these with 0 for each version that is the same in `sent`."""
        is_same_config = self.config_number == sent.config_number
        is_same_revision = self.store_revision == sent.store_revision
        return msgspec.structs.replace(
            self,
            config_number=0 if is_same_config else self.config_number,
            store_revision=0 if is_same_revision else self.store_revision,
        )


class PlacementChanges(msgspec.Struct, frozen=True):
    """Placements that have started, finished their prefill, or ended."""

    started: tuple[Placement, ...] = ()
    prefilled: tuple[PlacementId, ...] = ()
    ended: tuple[PlacementId, ...] = ()


class PlacementAnnouncer(Protocol):
    """Announces this entry's placements to the other entries."""

    def announce_start(self, placement: Placement) -> None:
        """Announce a new placement."""

    def announce_prefill_end(self, name: PlacementId) -> None:
        """Announce that the prefill of a placement is done."""

    def announce_end(self, name: PlacementId) -> None:
        """Announce that a placement has ended."""

    def hurry(self) -> None:
        """Send what has been announced without waiting for more."""


class PendingChanges:
    """Changes that are not sent yet."""

    def __init__(self) -> None:
        """Start without changes."""
        self._started: list[Placement] = []
        self._prefilled: list[PlacementId] = []
        self._ended: list[PlacementId] = []

    def __bool__(self) -> bool:
        """Return whether there are any changes."""
        return bool(self._started or self._prefilled or self._ended)

    def add_start(self, placement: Placement) -> None:
        """Add a new placement."""
        self._started.append(placement)

    def add_prefill_end(self, name: PlacementId) -> None:
        """Add the end of a prefill."""
        self._prefilled.append(name)

    def add_end(self, name: PlacementId) -> None:
        """Add the end of a placement."""
        self._ended.append(name)

    def pop(self) -> PlacementChanges:
        """Return all changes and forget them."""
        changes = PlacementChanges(
            tuple(self._started), tuple(self._prefilled), tuple(self._ended)
        )
        self._started.clear()
        self._prefilled.clear()
        self._ended.clear()
        return changes


def make_placement_id(entry: PeerId, number: int) -> PlacementId:
    """Return the id of an entry's placement `number`."""
    return PlacementId('{0}.{1}'.format(entry, number))


def encode_full_news(
    changes: PlacementChanges, versions: AnnouncedVersions
) -> EntryNews:
    """Return the message for entries of any version."""
    return EntryNews(
        tuple(_to_row(placement) for placement in changes.started),
        changes.prefilled,
        changes.ended,
        versions.config_number,
        versions.store_revision,
        versions.is_leaving,
    )


def encode_compact_news(
    changes: PlacementChanges, versions: AnnouncedVersions
) -> CompactNews:
    """Return the message for entries that read `CompactNews`."""
    return CompactNews(
        tuple(_to_compact_row(placement) for placement in changes.started),
        tuple(_numbers(changes.prefilled)),
        tuple(_numbers(changes.ended)),
        versions.config_number,
        versions.store_revision,
        versions.is_leaving,
    )


def decode_full_news(news: EntryNews) -> PlacementChanges:
    """Return the placement changes of a message."""
    return PlacementChanges(
        tuple(
            _from_row(row, PlacementId(row.placement)) for row in news.started
        ),
        tuple(PlacementId(name) for name in news.read),
        tuple(PlacementId(name) for name in news.ended),
    )


def decode_compact_news(sender: PeerId, news: CompactNews) -> PlacementChanges:
    """Return the placement changes of a message of `sender`."""
    return PlacementChanges(
        tuple(
            _from_row(row, make_placement_id(sender, row.number))
            for row in news.started
        ),
        tuple(make_placement_id(sender, number) for number in news.read),
        tuple(make_placement_id(sender, number) for number in news.ended),
    )


def _numbers(names: Iterable[PlacementId]) -> Iterable[int]:
    return (int(name.rpartition('.')[2]) for name in names)


def _to_row(placement: Placement) -> PlacementRow:
    return PlacementRow(placement.placement, **_row_fields(placement))


def _to_compact_row(placement: Placement) -> CompactRow:
    number = next(iter(_numbers((placement.placement,))))
    return CompactRow(number, **_row_fields(placement))


def _row_fields(placement: Placement) -> dict[str, Any]:
    has_gap = placement.target_gap_s < float('inf')
    return {
        'upstream': placement.upstream,
        'kv_tokens': placement.kv_tokens,
        'output_tokens': placement.output_tokens,
        'reading_ms': round(placement.prefill_s * _MS_PER_S),
        'gap_ms': round(placement.target_gap_s * _MS_PER_S) if has_gap else 0,
        'is_helping': placement.is_helper,
    }


def _from_row(row: PlacementRow | CompactRow, name: PlacementId) -> Placement:
    return Placement(
        name,
        row.upstream,
        row.kv_tokens,
        row.output_tokens,
        row.reading_ms / _MS_PER_S,
        row.gap_ms / _MS_PER_S or float('inf'),
        row.is_helping,
    )
