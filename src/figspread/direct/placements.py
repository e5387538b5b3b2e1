"""What runs at each upstream: own placements and those of other entries."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Final, NewType

import msgspec

from figspread.clock import Clock
from figspread.direct.model import Upstream
from figspread.ids import PeerId, UpstreamId
from figspread.policy.placement import Choice, Need, Seat

PlacementId = NewType('PlacementId', str)
# A peer's placement whose end was never told is dropped after this time; no
# route lets a request last longer.
FORGET_S: Final = 20.0


class Placement(msgspec.Struct, frozen=True):
    """One attempt at one upstream, or a helper's part of one.

    `reading_s` is how long its prompt takes to read, `kv_tokens` what it will
    hold at most, `gap_s` the longest pause between its events.
    """

    placement: PlacementId
    upstream: UpstreamId
    kv_tokens: int = 0
    output_tokens: int = 0
    reading_s: float = 0
    gap_s: float = float('inf')
    is_helping: bool = False


class Occupancy(msgspec.Struct):
    """What is known to be at one upstream."""

    placed: dict[PlacementId, Placement]
    reading: dict[PlacementId, float]
    read_until: float = 0

    @property
    def requests(self) -> int:
        """The requests that hold a slot."""
        return sum(not known.is_helping for known in self.placed.values())

    @property
    def writers(self) -> int:
        """The requests that have begun to give their answer."""
        return self.requests - len(
            [
                placement
                for placement in self.reading
                if not self.placed[placement].is_helping
            ],
        )

    @property
    def kv_tokens(self) -> int:
        """What all will hold at most, in tokens."""
        return sum(known.kv_tokens for known in self.placed.values())

    @property
    def gap_s(self) -> float:
        """The shortest pause that one of the requests allows."""
        return min(
            (known.gap_s for known in self.placed.values()),
            default=float('inf'),
        )


class PlacementRegistry:
    """Placements by upstream; `changed` is called after each end."""

    def __init__(self, clock: Clock, changed: Callable[[], None]) -> None:
        """Start with nothing placed."""
        self._clock = clock
        self._changed = changed
        self._upstreams: defaultdict[UpstreamId, Occupancy] = defaultdict(
            lambda: Occupancy({}, {}),
        )
        self._where: dict[PlacementId, UpstreamId] = {}
        self._peers: defaultdict[PeerId, dict[PlacementId, float]]
        self._peers = defaultdict(dict)

    def occupancy(self, upstream: UpstreamId) -> Occupancy:
        """Return what is at an upstream."""
        return self._upstreams.get(upstream) or Occupancy({}, {})

    def reading_left_s(self, upstream: UpstreamId) -> float:
        """Return about how long the upstream still reads."""
        known = self._upstreams.get(upstream)
        if known is None or not known.reading:
            return 0
        return max(0, known.read_until - self._clock.now())

    def seat_at(self, upstream: Upstream) -> Seat:
        """Return an upstream with what is there, as if it were sound."""
        there = self.occupancy(upstream.upstream)
        return Seat(
            upstream.upstream,
            upstream.data_centre,
            upstream.slots,
            requests=there.requests,
            writers=there.writers,
            reading_s=self.reading_left_s(upstream.upstream),
            gap_s=there.gap_s,
            kv_tokens=there.kv_tokens,
        )

    def start(self, placement: Placement, peer: PeerId | None = None) -> None:
        """Note a placement, of `peer` if it isn't this entry's own."""
        now = self._clock.now()
        known = self._upstreams[placement.upstream]
        known.placed[placement.placement] = placement
        self._where[placement.placement] = placement.upstream
        if placement.reading_s:
            known.reading[placement.placement] = now
            begins = max(now, known.read_until) if known.reading else now
            known.read_until = begins + placement.reading_s
        if peer is not None:
            self._peers[peer][placement.placement] = now

    def count(self) -> int:
        """Return how many placements are known."""
        return len(self._where)

    def own(self) -> Iterable[Placement]:
        """Return the placements of this entry itself."""
        theirs = set().union(*self._peers.values())
        for name, upstream in self._where.items():
            if name not in theirs:
                yield self._upstreams[upstream].placed[name]

    def knows(self, name: PlacementId) -> bool:
        """Tell whether a placement has not ended yet."""
        return name in self._where

    def note_first(self, name: PlacementId) -> None:
        """Note that a placement's prompt has been read."""
        upstream = self._where.get(name)
        if upstream is None:
            return
        known = self._upstreams[upstream]
        if known.reading.pop(name, None) is not None and not known.reading:
            known.read_until = 0

    def end(self, name: PlacementId) -> None:
        """Forget a placement; a second call changes nothing."""
        self.note_first(name)
        upstream = self._where.pop(name, None)
        if upstream is None:
            return
        known = self._upstreams[upstream]
        known.placed.pop(name)
        if not known.placed:
            self._upstreams.pop(upstream)
        self._changed()

    def drop_peer(self, peer: PeerId) -> None:
        """Forget what a lost peer had placed: its connections are gone too."""
        self._end_all(tuple(self._peers.pop(peer, ())))

    def drop_old(self) -> None:
        """Forget placements whose end a peer never told."""
        before = self._clock.now() - FORGET_S
        for names in self._peers.values():
            old = [name for name, since in names.items() if since < before]
            self._end_all(old)
            for name in old:
                names.pop(name)

    def end_of_peer(self, peer: PeerId, name: PlacementId) -> None:
        """Note that a peer's placement has ended."""
        self._peers[peer].pop(name, None)
        self.end(name)

    def _end_all(self, names: Iterable[PlacementId]) -> None:
        for name in names:
            self.end(name)


def make_placements(
    choice: Choice,
    need: Need,
    new_name: Callable[[], PlacementId],
) -> tuple[Placement, ...]:
    """Return the placement at the chosen upstream, then those of helpers."""
    first = Placement(
        new_name(),
        choice.upstream,
        need.kv_tokens - sum(choice.held_tokens),
        need.output_tokens,
        choice.part_s,
        need.gap_s,
    )
    helping = [
        Placement(
            new_name(),
            helper,
            tokens,
            reading_s=choice.part_s,
            is_helping=True,
        )
        for helper, tokens in zip(
            choice.helpers,
            choice.held_tokens,
            strict=True,
        )
    ]
    return (first, *helping)
