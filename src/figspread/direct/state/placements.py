"""Tracks what runs at each upstream, for this entry and its peers."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.direct.model import Upstream
from figspread.direct.state.placement_owners import PlacementOwners
from figspread.direct.state.work_history import EndedWork, WorkHistory
from figspread.ids import PeerId, PlacementId, UpstreamId
from figspread.policy.contention import CONTENTION_WINDOW_S, keeps_slot
from figspread.policy.unknown_load import UnknownLoad
from figspread.policy.upstream_load import (
    PlacementChoice,
    PlacementRequirements,
    RunningRequest,
    UpstreamLoad,
)

# A peer's placement is dropped after this time if its end was never announced;
# no route lets a request last longer.
PEER_PLACEMENT_TTL_S: Final = 20.0
# Time that the placements of a silent peer are kept. If its VM has lost power,
# engines don't notice that and go on with its requests.
SILENT_PEER_TTL_S: Final = 4.0
# A prefill counts as overdue when it takes longer than estimated by more than
# this: an engine answers at the end of a pass, and the news take a while.
OVERDUE_SLACK_S: Final = 0.25
# Share of a prefill that counts as left until its end is announced. Estimates
# leave out the passes of other requests, and an engine that all entries take
# for free at the same moment gets many requests at once.
MIN_LEFT_SHARE: Final = 0.25


class Placement(msgspec.Struct, frozen=True):
    """One attempt at one upstream, or a helper's part of one.

    `kv_tokens` is how many tokens of KV cache it may use at most, `prefill_s`
    how many seconds its prefill takes, and `target_gap_s` the longest time
    between its events that is allowed, in seconds.
    """

    placement: PlacementId
    upstream: UpstreamId
    kv_tokens: int = 0
    output_tokens: int = 0
    prefill_s: float = 0
    target_gap_s: float = float('inf')
    is_helper: bool = False


class Occupancy(msgspec.Struct):
    """The placements at one upstream.

    `prefilling` has the seconds that each prefill takes that isn't done, in the
    order in which they are done. The first of them began at the clock time
    `prefill_began_s`. `registered_s` has the clock time at which each placement
    became known here, and `running` the requests that hold a slot; helpers hold
    none.
    """

    placements: dict[PlacementId, Placement]
    prefilling: dict[PlacementId, float]
    prefill_began_s: float = 0
    registered_s: dict[PlacementId, float] = msgspec.field(default_factory=dict)
    running: dict[PlacementId, RunningRequest] = msgspec.field(
        default_factory=dict
    )

    @property
    def requests(self) -> int:
        """The number of requests that hold a slot."""
        return len(self.running)

    def keeps_slot(self, name: PlacementId, slots: int, now: float) -> bool:
        """Return whether a recent placement may stay on an engine of `slots`.

        It may not if others that began at the same moment took them all.
        """
        since_s = now - CONTENTION_WINDOW_S
        contenders = [
            other
            for other, registered_s in self.registered_s.items()
            if registered_s > since_s and other in self.running
        ]
        established = self.requests - len(contenders)
        return keeps_slot(name, contenders, slots - established)

    @property
    def decoding(self) -> int:
        """The number of requests whose prefill is done."""
        return len(self.running.keys() - self.prefilling.keys())

    @property
    def kv_tokens(self) -> int:
        """The KV cache that all placements may use at most, in tokens.

        A helper keeps its part until the request has ended.
        """
        return sum(
            placement.kv_tokens for placement in self.placements.values()
        )

    @property
    def target_gap_s(self) -> float:
        """The shortest `target_gap_s` of the requests, or infinity."""
        return min(
            (req.target_gap_s for req in self.running.values()),
            default=float('inf'),
        )


class PlacementRegistry:
    """The placements of this entry and its peers, by upstream.

    `on_change` is called after each prefill and each placement that ends.
    `history` has what has ended lately at each upstream, and `owners` whose
    placements they are.
    """

    def __init__(self, clock: Clock, on_change: Callable[[], None]) -> None:
        """Start without placements."""
        self._clock = clock
        self._on_change = on_change
        self._occupancy_by_upstream: defaultdict[UpstreamId, Occupancy] = (
            defaultdict(
                lambda: Occupancy({}, {}),
            )
        )
        self._upstream_by_placement: dict[PlacementId, UpstreamId] = {}
        self.history = WorkHistory(clock)
        self.owners = PlacementOwners(clock)
        self._unknown_load = UnknownLoad(clock)
        self._placements_by_peer: defaultdict[PeerId, dict[PlacementId, float]]
        self._placements_by_peer = defaultdict(dict)

    def occupancy(self, upstream: UpstreamId) -> Occupancy:
        """Return the placements at an upstream."""
        return self._occupancy_by_upstream.get(upstream) or Occupancy({}, {})

    def estimate_prefill_left_s(self, upstream: UpstreamId) -> float:
        """Return the estimated prefill time left at an upstream, in seconds."""
        occupancy = self._occupancy_by_upstream.get(upstream)
        if occupancy is None or not occupancy.prefilling:
            return 0
        first_s, *later_s = occupancy.prefilling.values()
        first = next(iter(occupancy.prefilling))
        due_s = occupancy.prefill_began_s + first_s
        left_s = max(due_s - self._clock.now(), first_s * MIN_LEFT_SHARE)
        # An entry that has been silent since can't have told of the end.
        overdue_s = self.owners.find_contact_s(first) - due_s
        if overdue_s > OVERDUE_SLACK_S:
            # The engine does work that no entry has told of, or is slow. It is
            # expected to take as long again.
            left_s = max(left_s, overdue_s)
        return left_s + sum(later_s)

    def is_prefilling(self, name: PlacementId) -> bool:
        """Return whether a placement is registered and its prefill not done."""
        upstream = self._upstream_by_placement.get(name)
        if upstream is None:
            return False
        return name in self._occupancy_by_upstream[upstream].prefilling

    def build_upstream_load(self, upstream: Upstream) -> UpstreamLoad:
        """Return an upstream with its load, without slowdown and failures."""
        load = self.occupancy(upstream.upstream)
        return UpstreamLoad(
            upstream.upstream,
            upstream.data_centre,
            upstream.slots,
            requests=load.requests,
            decoding_requests=load.decoding,
            prefill_backlog_s=self.estimate_prefill_left_s(upstream.upstream),
            target_gap_s=load.target_gap_s,
            running=tuple(load.running.values()),
            kv_tokens=load.kv_tokens,
            has_unknown_load=self._unknown_load.may_have_unknown(
                upstream.upstream
            ),
        )

    def start(self, placement: Placement, peer: PeerId | None = None) -> None:
        """Register a placement of `peer`, or of this entry if it is `None`.

        One that is registered already is left as it is.
        """
        if placement.placement in self._upstream_by_placement:
            return
        now = self._clock.now()
        occupancy = self._occupancy_by_upstream[placement.upstream]
        occupancy.placements[placement.placement] = placement
        occupancy.registered_s[placement.placement] = now
        if not placement.is_helper:
            occupancy.running[placement.placement] = RunningRequest(
                placement.target_gap_s, placement.kv_tokens
            )
        self._upstream_by_placement[placement.placement] = placement.upstream
        if placement.prefill_s:
            if not occupancy.prefilling:
                occupancy.prefill_began_s = now
            occupancy.prefilling[placement.placement] = placement.prefill_s
        if peer is not None:
            self._placements_by_peer[peer][placement.placement] = now
            self.owners.add(placement.placement, peer)

    def count(self) -> int:
        """Return the number of placements of all entries."""
        return len(self._upstream_by_placement)

    def list_own(self) -> Iterable[Placement]:
        """Yield the placements of this entry."""
        peer_placements = set().union(*self._placements_by_peer.values())
        for name, upstream in self._upstream_by_placement.items():
            if name not in peer_placements:
                yield self._occupancy_by_upstream[upstream].placements[name]

    def is_registered(self, name: PlacementId) -> bool:
        """Return whether a placement is registered and has not ended."""
        return name in self._upstream_by_placement

    def record_prefill_end(self, name: PlacementId) -> None:
        """Record that the prefill of a placement is done."""
        if self.is_prefilling(name):
            self._unknown_load.record_first_token(
                self._upstream_by_placement[name]
            )
            self._end_prefill(name)
            self._on_change()

    def end(self, name: PlacementId) -> None:
        """Remove a placement; a second call does nothing."""
        if self.is_prefilling(name):
            self._end_prefill(name)
        upstream = self._upstream_by_placement.pop(name, None)
        if upstream is None:
            return
        self.owners.remove(name)
        occupancy = self._occupancy_by_upstream[upstream]
        placement = occupancy.placements.pop(name)
        self.history.record(
            upstream,
            EndedWork(
                requests=not placement.is_helper,
                kv_tokens=placement.kv_tokens,
            ),
        )
        occupancy.registered_s.pop(name)
        occupancy.running.pop(name, None)
        if not occupancy.placements:
            self._occupancy_by_upstream.pop(upstream)
        self._on_change()

    def drop_peer(self, peer: PeerId, *, is_silent: bool = False) -> None:
        """Remove a lost peer's placements: its connections are closed too.

        Those of a silent peer expire in `SILENT_PEER_TTL_S`.
        """
        if not is_silent:
            self._end_all(tuple(self._placements_by_peer.pop(peer, ())))
            return
        latest_s = self._clock.now() - PEER_PLACEMENT_TTL_S + SILENT_PEER_TTL_S
        names = self._placements_by_peer.get(peer, {})
        for name, started_s in names.items():
            names[name] = min(started_s, latest_s)

    def drop_expired(self) -> None:
        """Remove peers' placements older than `PEER_PLACEMENT_TTL_S`."""
        cutoff_s = self._clock.now() - PEER_PLACEMENT_TTL_S
        self.history.drop_old()
        for names in self._placements_by_peer.values():
            expired = [
                name
                for name, started_s in names.items()
                if started_s < cutoff_s
            ]
            self._end_all(expired)
            for name in expired:
                names.pop(name)

    def end_peer_placement(self, peer: PeerId, name: PlacementId) -> None:
        """Remove a placement of a peer."""
        self._placements_by_peer[peer].pop(name, None)
        self.end(name)

    def _end_prefill(self, name: PlacementId) -> None:
        upstream = self._upstream_by_placement[name]
        occupancy = self._occupancy_by_upstream[upstream]
        placement = occupancy.placements[name]
        self.history.record(upstream, EndedWork(placement.prefill_s))
        if name == next(iter(occupancy.prefilling)):
            occupancy.prefill_began_s = self._clock.now()
        occupancy.prefilling.pop(name)

    def _end_all(self, names: Iterable[PlacementId]) -> None:
        for name in names:
            self.end(name)


def make_placements(
    choice: PlacementChoice,
    requirements: PlacementRequirements,
    new_name: Callable[[], PlacementId],
) -> tuple[Placement, ...]:
    """Return the placement at the selected upstream, then the helpers'."""
    first = Placement(
        new_name(),
        choice.upstream,
        requirements.kv_tokens - sum(choice.helper_kv_tokens),
        requirements.output_tokens,
        choice.engine_prefill_s,
        requirements.target_gap_s,
    )
    helping = [
        Placement(
            new_name(),
            helper,
            tokens,
            prefill_s=choice.engine_prefill_s,
            is_helper=True,
        )
        for helper, tokens in zip(
            choice.helpers,
            choice.helper_kv_tokens,
            strict=True,
        )
    ]
    return (first, *helping)
