"""Places requests at upstreams: what is there, what is free, who waits."""

import itertools
from collections.abc import Callable, Collection, Mapping
from typing import Final, Protocol

import msgspec

from figspread.clock import Clock
from figspread.direct.book import Book, Placement, PlacementId
from figspread.direct.model import Route, Service, Upstream
from figspread.direct.registry import Registry
from figspread.direct.waiting import Claim, Refused, WaitingRoom
from figspread.ids import DataCentreId, PeerId, UpstreamId
from figspread.policy.comeback import ComebackTimes
from figspread.policy.engine_time import EngineProfile, read_s, write_s
from figspread.policy.placement import (
    Choice,
    Need,
    Seat,
    choose_engine,
    choose_plain,
)

# A plain service queues a few requests beside those that it runs.
PLAIN_QUEUE_SHARE: Final = 2.0
# What a plain service takes for a request, until it shows otherwise.
PLAIN_WORK_S: Final = 0.03
# An engine with helpers keeps a place for this part of its aim at least.
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
    """A place that has been taken, to be left once."""

    upstream: Upstream
    helpers: tuple[Upstream, ...]
    first_token_s: float
    names: tuple[PlacementId, ...]
    requests_there: int


class Placer:
    """Chooses upstreams and books what it has chosen."""

    def __init__(
        self,
        *,
        clock: Clock,
        registry: Registry,
        book: Book,
        room: WaitingRoom,
        home: DataCentreId,
        entry: PeerId,
    ) -> None:
        """Place requests for the entry called `entry` in `home`."""
        self._clock = clock
        self._registry = registry
        self._book = book
        self._room = room
        self._home = home
        self._entry = entry
        self._numbers = itertools.count()
        self._comeback = ComebackTimes(clock)
        self.announcer: Announcer | None = None
        self.paces: Mapping[UpstreamId, float] = {}

    async def place(
        self,
        wanted: Wanted,
        excluded: Collection[UpstreamId] = (),
    ) -> Place:
        """Return a place, perhaps after a wait.

        Raises `Refused` at once when none can be had in time, and
        `TimeoutError` when that shows only later.
        """
        choose = self._make_choice(wanted, excluded)
        claim = _make_claim(wanted)
        if not len(self._room):
            choice = choose()
            if choice is not None:
                return self._take(wanted, choice)
        self._check_prospect(wanted, claim)
        taken: list[Place] = []

        def choose_and_take() -> Choice | None:  # noqa: WPS430
            choice = choose()
            if choice is not None:
                taken.append(self._take(wanted, choice))
            return choice

        try:
            await self._room.wait(claim, choose_and_take)
        except BaseException:
            for place in taken:
                self.leave(place)
            raise
        return taken[0]

    def note_first(self, place: Place) -> None:
        """Note that the first token, or a plain answer, is there."""
        name, *helping = place.names
        self._book.note_first(name)
        if self.announcer:
            self.announcer.tell_first(name)
        self._end(helping)

    def leave(self, place: Place) -> None:
        """Give a place back; a second call changes nothing."""
        self._end(place.names)

    def _end(self, names: Collection[PlacementId]) -> None:
        for name in names:
            if self._book.knows(name):
                self._book.end(name)
                if self.announcer:
                    self.announcer.tell_end(name)

    def _make_choice(
        self,
        wanted: Wanted,
        excluded: Collection[UpstreamId],
    ) -> Callable[[], Choice | None]:
        need = Need(
            wanted.prompt_tokens,
            wanted.output_tokens,
            wanted.route.aim_s,
            self._home,
        )

        def choose() -> Choice | None:  # noqa: WPS430
            seats = self._seats(wanted.service, excluded)
            if wanted.service.engine is None:
                return choose_plain(seats, self._home, PLAIN_QUEUE_SHARE)
            return choose_engine(seats, wanted.service.engine, need)

        return choose

    def _seats(
        self,
        service: Service,
        excluded: Collection[UpstreamId],
    ) -> list[Seat]:
        usable = self._registry.usable(service.name)
        others = [
            upstream for upstream in usable if upstream.upstream not in excluded
        ]
        return [self._seat_at(upstream) for upstream in others or usable]

    def _seat_at(self, upstream: Upstream) -> Seat:
        there = self._book.occupancy(upstream.upstream)
        return Seat(
            upstream.upstream,
            upstream.data_centre,
            upstream.slots,
            requests=there.requests,
            writers=there.writers,
            reading_s=self._book.reading_left_s(upstream.upstream),
            longest_s=there.longest_reading_s(),
            kv_tokens=there.kv_tokens,
            pace=self.paces.get(upstream.upstream, 1),
            failures=self._registry.failures(upstream.upstream),
        )

    def _take(self, wanted: Wanted, choice: Choice) -> Place:
        known = self._registry.known
        there = self._book.occupancy(choice.upstream).requests
        reading_s = choice.part_s
        engine = wanted.service.engine
        if engine is not None and not choice.helpers:
            reading_s = read_s(engine, wanted.prompt_tokens)
        placements = [
            Placement(
                self._new_name(),
                choice.upstream,
                wanted.prompt_tokens + wanted.output_tokens,
                wanted.output_tokens,
                reading_s,
            ),
        ]
        placements += [
            Placement(
                self._new_name(),
                helper,
                reading_s=reading_s,
                is_helping=True,
            )
            for helper in choice.helpers
        ]
        for placement in placements:
            self._book.start(placement)
            if self.announcer:
                self.announcer.tell_start(placement)
        return Place(
            known[choice.upstream],
            tuple(known[helper] for helper in choice.helpers),
            choice.first_token_s,
            tuple(placement.placement for placement in placements),
            there,
        )

    def _new_name(self) -> PlacementId:
        return PlacementId(
            '{0}.{1}'.format(self._entry, next(self._numbers)),
        )

    def _check_prospect(self, wanted: Wanted, claim: Claim) -> None:
        usable = self._registry.usable(wanted.service.name)
        if not usable:
            raise Refused('no upstream is known', FULL_AGAIN_S)
        wait_s = self._room.work_ahead_s(claim) / _lanes(wanted, usable)
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
