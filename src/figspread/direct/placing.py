"""Places requests at upstreams: what is there, what is free, who waits."""

import itertools
from collections.abc import Collection
from functools import partial
from typing import Final, Protocol

import msgspec

from figspread.direct.admission_queue import Claim, Refused
from figspread.direct.model import Route, Service, Upstream
from figspread.direct.parts import Parts
from figspread.direct.placements import (
    Placement,
    PlacementId,
    make_placements,
)
from figspread.ids import UpstreamId
from figspread.policy.comeback import ComebackTimes
from figspread.policy.engine_time import EngineProfile, read_s, write_s
from figspread.policy.placement import (
    PLACEMENTS,
    Choice,
    Need,
    Seat,
    choose_plain,
)

# A plain service queues a few requests beside those that it runs.
PLAIN_QUEUE_SHARE: Final = 2.0
# What a plain service takes for a request, until it shows otherwise.
PLAIN_WORK_S: Final = 0.03
# When to come back where no upstream is known.
FULL_AGAIN_S: Final = 0.5


class Announcer(Protocol):
    """Tells the other entries what is placed."""

    def tell_start(self, placement: Placement) -> None:
        """Tell of a new placement."""

    def tell_first(self, name: PlacementId) -> None:
        """Tell that a prompt has been read."""

    def tell_end(self, name: PlacementId) -> None:
        """Tell that a placement has ended."""


class Wanted(msgspec.Struct, frozen=True):
    """A request that wants a place; `ends_s` is on the clock."""

    request: str
    route: Route
    service: Service
    prompt_tokens: int
    output_tokens: int
    priority: int
    arrived_s: float
    ends_s: float


class Place(msgspec.Struct, frozen=True):
    """A place that has been taken, to be left once.

    `held_tokens` is what each helper is to store, in their order.
    """

    upstream: Upstream
    helpers: tuple[Upstream, ...]
    held_tokens: tuple[int, ...]
    first_token_s: float
    names: tuple[PlacementId, ...]
    requests_there: int


class Placer:
    """Chooses upstreams and books what it has chosen."""

    def __init__(self, parts: Parts, announcer: Announcer) -> None:
        """Place requests and tell `announcer` of it."""
        self._parts = parts
        self._clock = parts.clock
        self._placed = parts.placed
        self._announcer = announcer
        self._numbers = itertools.count()
        self._comeback = ComebackTimes(parts.clock)

    async def place(
        self,
        wanted: Wanted,
        excluded: Collection[UpstreamId] = (),
    ) -> Place:
        """Return a place, perhaps after a wait.

        Raises `Refused` at once when none can be had in time, and
        `TimeoutError` when that shows only later.
        """
        queue = self._parts.queue
        claim = _make_claim(wanted)
        if not len(queue):
            place = self._try(wanted, excluded)
            if place is not None:
                return place
        self._check_prospect(wanted, claim)
        return await queue.wait(
            claim,
            partial(self._try, wanted, excluded),
            self.leave,
        )

    def note_first(self, place: Place) -> None:
        """Note that the first token, or a plain answer, is there."""
        name, *helping = place.names
        self._placed.note_first(name)
        self._announcer.tell_first(name)
        self._end(helping)

    def leave(self, place: Place) -> None:
        """Give a place back; a second call changes nothing."""
        self._end(place.names)

    def _end(self, names: Collection[PlacementId]) -> None:
        for name in names:
            if self._placed.knows(name):
                self._placed.end(name)
                self._announcer.tell_end(name)

    def _try(
        self,
        wanted: Wanted,
        excluded: Collection[UpstreamId],
    ) -> Place | None:
        service = wanted.service
        seats = self._seats(service, excluded)
        need = Need(
            wanted.prompt_tokens,
            wanted.output_tokens,
            wanted.route.aim_s,
            wanted.route.gap_s,
            self._parts.home,
            wanted.ends_s - self._clock.now(),
        )
        if service.engine is None:
            choice = choose_plain(seats, need.home, PLAIN_QUEUE_SHARE)
        else:
            choose = PLACEMENTS[self._parts.placement]
            choice = choose(seats, service.engine, need, self._parts.rng)
        return None if choice is None else self._take(need, choice)

    def _seats(
        self,
        service: Service,
        excluded: Collection[UpstreamId],
    ) -> list[Seat]:
        usable = self._parts.registry.usable(service.name)
        others = [
            upstream for upstream in usable if upstream.upstream not in excluded
        ]
        return [self._seat_at(upstream) for upstream in others or usable]

    def _seat_at(self, upstream: Upstream) -> Seat:
        name = upstream.upstream
        health = self._parts.registry.health
        return msgspec.structs.replace(
            self._placed.seat_at(upstream),
            pace=self._parts.paces.pace(name),
            failures=health.failures(name),
            failing_share=health.failing_share(name),
        )

    def _take(self, need: Need, choice: Choice) -> Place:
        upstreams = self._parts.registry.known
        there = self._placed.occupancy(choice.upstream).requests
        placements = make_placements(choice, need, self._new_name)
        for placement in placements:
            self._placed.start(placement)
            self._announcer.tell_start(placement)
        return Place(
            upstreams[choice.upstream],
            tuple(upstreams[name] for name in choice.helpers),
            choice.held_tokens,
            choice.first_token_s,
            tuple(known.placement for known in placements),
            there,
        )

    def _new_name(self) -> PlacementId:
        return PlacementId(
            '{0}.{1}'.format(self._parts.entry, next(self._numbers)),
        )

    def _check_prospect(self, wanted: Wanted, claim: Claim) -> None:
        usable = self._parts.registry.usable(wanted.service.name)
        if not usable:
            raise Refused('no upstream is known', FULL_AGAIN_S)
        ahead_s = self._parts.queue.work_ahead_s(claim)
        wait_s = ahead_s / _lanes(wanted, usable)
        excess_s = self._clock.now() + wait_s - claim.ends_s
        if excess_s > 0:
            raise Refused(
                'the wait is too long',
                self._comeback.next_after_s(
                    excess_s=excess_s,
                    service_s=claim.work_s / len(usable),
                ),
            )


def _lanes(wanted: Wanted, usable: Collection[Upstream]) -> int:
    if wanted.service.engine is None:
        return sum(upstream.slots for upstream in usable)
    return len(usable)


def _make_claim(wanted: Wanted) -> Claim:
    engine = wanted.service.engine
    work_s = PLAIN_WORK_S
    least_s = PLAIN_WORK_S
    if engine is not None:
        least_s = read_s(engine, wanted.prompt_tokens)
        work_s = least_s + _writing_s(engine, wanted.output_tokens)
    return Claim(
        wanted.request,
        wanted.priority,
        wanted.arrived_s,
        wanted.arrived_s + wanted.route.aim_s - least_s,
        wanted.ends_s - least_s,
        work_s,
    )


def _writing_s(engine: EngineProfile, output_tokens: int) -> float:
    # A full engine writes for all its slots at once.
    return write_s(engine, output_tokens, engine.slots) / engine.slots
