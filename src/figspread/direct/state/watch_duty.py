"""Decides whether this entry watches the store or relies on other entries."""

import asyncio
from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.ids import DataCentreId, PeerId
from figspread.policy.watchers import (
    WatcherRank,
    count_watchers,
    is_relieved,
    rank_watcher,
    resume_delay_s,
)
from figspread.telemetry.logs import Log

# Time after which a watcher that has said nothing is no longer relied on. Two
# heartbeats may be missed.
STATUS_TTL_S: Final = 1.2
# Entries of a data centre share the checks for the end of an outage; this is
# the most by which the interval of one entry's checks grows.
MAX_CHECK_SHARE: Final = 8


class _Peer(msgspec.Struct):
    rank: WatcherRank
    data_centre: DataCentreId
    watches_until_s: float = float('-inf')


class WatchDuty:
    """Whether this entry has to watch the store.

    `needed` is set while it has to, `relieved` while it doesn't. An entry
    watches from its start until it is complete and enough entries of its data
    centre with a better rank say that they watch.
    """

    def __init__(
        self,
        clock: Clock,
        log: Log,
        entry: PeerId,
        data_centre: DataCentreId,
        link_mbps: float,
    ) -> None:
        """Start with the duty."""
        self._clock = clock
        self._log = log
        self._rank = rank_watcher(entry, link_mbps)
        self._data_centre = data_centre
        self._peers: dict[PeerId, _Peer] = {}
        self._lacking_since_s: float | None = None
        self.needed = asyncio.Event()
        self.needed.set()
        self.relieved = asyncio.Event()

    @property
    def check_share(self) -> int:
        """Among how many entries the checks during an outage are shared."""
        return min(MAX_CHECK_SHARE, 1 + len(self._list_near_peers()))

    def add_peer(
        self, peer: PeerId, data_centre: DataCentreId, link_mbps: float
    ) -> None:
        """Add a connected entry."""
        self._peers[peer] = _Peer(rank_watcher(peer, link_mbps), data_centre)

    def remove_peer(self, peer: PeerId) -> None:
        """Remove an entry whose connection is lost."""
        self._peers.pop(peer, None)

    def record_status(self, peer: PeerId, *, is_watching: bool) -> None:
        """Record whether a peer says that it watches the store."""
        known = self._peers.get(peer)
        if known is not None:
            known.watches_until_s = (
                self._clock.now() + STATUS_TTL_S if is_watching else 0
            )

    def update(self, *, is_complete: bool) -> None:
        """Take up the duty or hand it over; call this at short intervals.

        `is_complete` says that the entry has registered and has all that it
        needs to serve.
        """
        now = self._clock.now()
        near = self._list_near_peers()
        watching = [peer for peer in near if peer.watches_until_s > now]
        centres = {peer.data_centre for peer in self._peers.values()}
        watchers = count_watchers(len(centres | {self._data_centre}))
        ranks = [peer.rank for peer in watching]
        if is_complete and is_relieved(self._rank, ranks, watchers):
            self._lacking_since_s = None
            self._switch(is_needed=False, watchers=len(watching))
            return
        if self.needed.is_set():
            return
        if self._lacking_since_s is None:
            self._lacking_since_s = now
        idle = [peer.rank for peer in near if peer not in watching]
        if now - self._lacking_since_s >= resume_delay_s(self._rank, idle):
            self._switch(is_needed=True, watchers=len(watching))

    def _list_near_peers(self) -> list[_Peer]:
        return [
            peer
            for peer in self._peers.values()
            if peer.data_centre == self._data_centre
        ]

    def _switch(self, *, is_needed: bool, watchers: int) -> None:
        if is_needed == self.needed.is_set():
            return
        self._log.info(
            'store watch resumed' if is_needed else 'store watch handed over',
            watchers=watchers,
        )
        for event, is_set in (
            (self.needed, is_needed),
            (self.relieved, not is_needed),
        ):
            if is_set:
                event.set()
            else:
                event.clear()
