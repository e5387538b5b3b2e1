"""Knows which peer each placement is of, and when it was last heard of."""

from collections import Counter

from figspread.clock import Clock
from figspread.ids import PeerId, PlacementId


class PlacementOwners:
    """The peers that have told of placements; all others are this entry's."""

    def __init__(self, clock: Clock) -> None:
        """Start without peers."""
        self._clock = clock
        self._peers: dict[PlacementId, PeerId] = {}
        self._counts: Counter[PeerId] = Counter()
        self._contacts: dict[PeerId, float] = {}

    def add(self, name: PlacementId, peer: PeerId) -> None:
        """Record that a placement is of `peer`."""
        self._peers[name] = peer
        self._counts[peer] += 1

    def remove(self, name: PlacementId) -> None:
        """Forget a placement, and its peer with the last one."""
        peer = self._peers.pop(name, None)
        if peer is None:
            return
        self._counts[peer] -= 1
        if not self._counts[peer]:
            self._counts.pop(peer)
            self._contacts.pop(peer, None)

    def record_contact(self, peer: PeerId) -> None:
        """Record that a peer has told all that it knows up to now."""
        self._contacts[peer] = self._clock.now()

    def find_contact_s(self, name: PlacementId) -> float:
        """Return when the entry of a placement was heard of last.

        It is a clock time; this entry is always heard of.
        """
        now = self._clock.now()
        peer = self._peers.get(name)
        return now if peer is None else self._contacts.get(peer, now)
