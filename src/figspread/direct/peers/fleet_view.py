"""What an entry sees of the fleet of entries: who shares upstreams' limits."""

from collections.abc import Iterator, Mapping
from typing import Final

from figspread.clock import Clock
from figspread.direct.peers.peer_links import PeerLinks
from figspread.direct.peers.peer_sender import PeerSender
from figspread.direct.peers.peer_versions import MINOR_VERSION
from figspread.ids import PeerId
from figspread.policy.rate_owner import (
    ASSUMED_ENTRIES,
    FORGET_COLD_S,
    EntryCensus,
)

# Entries of this minor version or a higher one grant permits.
PERMIT_MINOR_VERSION: Final = 2
# An entry that reaches this share of the known entries or less counts as cut off.
CUT_OFF_SHARE: Final = 0.5


class FleetView:
    """The connected entries, and how many of all entries they are."""

    def __init__(self, entry: PeerId, links: PeerLinks, clock: Clock) -> None:
        """Look at the connections of this entry, `entry`."""
        self.entry = entry
        self._links = links
        self._clock = clock
        self._census = EntryCensus()
        self._leaving: set[PeerId] = set()
        self.is_leaving = False
        self._has_list = False

    def record_list(self) -> None:
        """Record that all entries which are listed in the store are dialled."""
        self._has_list = True

    def record_leaving(self, peer: PeerId) -> None:
        """Record that an entry has said that it is leaving."""
        self._leaving.add(peer)

    def record_loss(self, peer: PeerId, address: str) -> None:
        """Record the end of an entry's connection.

        One that was leaving has ended; another one may be cut off.
        """
        if peer in self._leaving:
            self._leaving.discard(peer)
            self._census.forget(address)

    def list_owners(
        self, *, is_cold: bool = False
    ) -> Mapping[PeerId, PeerSender | None]:
        """Return the entries that may own upstreams; this one has no sender.

        Entries of older builds don't know of cold upstreams.
        """
        owners: dict[PeerId, PeerSender | None] = {}
        minor_version = MINOR_VERSION if is_cold else PERMIT_MINOR_VERSION
        for peer, sender in self._list_connected(minor_version):
            if peer not in self._leaving:
                owners[peer] = sender
        if not self.is_leaving or not owners:
            owners[self.entry] = None
        return owners

    def share(self, *, is_cold: bool = False) -> float:
        """Return the connected share of all known entries.

        If `is_cold`, entries that were lost count for longer, and an entry that
        has not seen the list of entries doesn't take those it knows for all.
        """
        now = self._clock.now()
        connected = self._update_census()
        if not is_cold:
            return self._census.share(now)
        share = self._census.share(now, FORGET_COLD_S)
        if self._has_list:
            return share
        return min(share, (1 + connected) / ASSUMED_ENTRIES)

    def count_entries(self) -> int | None:
        """Return how many entries may exist, `None` without their list.

        Entries that were lost count for as long as for limits of cold upstreams.
        """
        if not self._has_list:
            return None
        self._update_census()
        return self._census.count(self._clock.now(), FORGET_COLD_S)

    def has_peers(self) -> bool:
        """Return whether another entry is connected."""
        return any(self._links.list_senders())

    def is_cut_off(self) -> bool:
        """Return whether half of the known entries or more are unreachable."""
        has_peers = any(self._links.list_senders())
        is_alone = bool(self._links.list_dialled()) and not has_peers
        return is_alone or self.share() <= CUT_OFF_SHARE

    def _update_census(self) -> int:
        """Record who is connected now; return how many entries these are."""
        connected = {
            hello.address
            for _, hello in self._links.list_senders()
            if hello is not None
        }
        self._census.update(
            self._clock.now(), connected, self._links.list_dialled()
        )
        return len(connected)

    def _list_connected(
        self, minor_version: int
    ) -> Iterator[tuple[PeerId, PeerSender]]:
        for sender, hello in self._links.list_senders():
            if hello and hello.minor_version >= minor_version:
                yield hello.peer, sender
