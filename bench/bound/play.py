"""Plays a load on engines in virtual time, with the product's own placement.

One dispatcher sees all at once: no network, no faults, no second entry. What
it earns is what the policy can earn at best.
"""

import heapq
import itertools
import random
from collections.abc import Iterator, Mapping, Sequence

import msgspec

from bench.bound.engines import SimEngine, Stream
from bench.bound.load import Prompt, Site
from figspread.clock import ManualClock
from figspread.direct.admission_queue import Claim, rank_claim
from figspread.direct.model import Upstream, UpstreamState
from figspread.direct.placements import (
    PlacementId,
    PlacementRegistry,
    make_placements,
)
from figspread.ids import DataCentreId, ServiceName, UpstreamId
from figspread.policy.engine_time import (
    EngineProfile,
    decode_time_s,
    prefill_time_s,
)
from figspread.policy.placement import (
    PLACEMENTS,
    PlacementChoice,
    PlacementName,
    PlacementRequirements,
)

_HOME = DataCentreId('here')
_POOL = ServiceName('pool')


class Earned(msgspec.Struct, frozen=True):
    """What a day has earned, as shares of what was owed."""

    whole: float
    worst_window: float
    by_kind: Mapping[str, float]


class Player:
    """One day: arrivals, a queue, engines."""

    def __init__(self, site: Site, policy: PlacementName, seed: int) -> None:
        """Start at 0 with idle engines."""
        self._site = site
        self._choose = PLACEMENTS[policy]
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._placed = PlacementRegistry(self._clock, lambda: None)
        self._names = itertools.count()
        self._waiting: list[Prompt] = []
        self._held: dict[int, tuple[PlacementId, ...]] = {}
        self._streams: list[Stream] = []
        self._engines = [
            SimEngine(site.profile, self._note_read, self._note_end)
            for _ in range(site.engines)
        ]
        self._upstreams = [
            Upstream(
                UpstreamId(str(number)),
                _POOL,
                '',
                _HOME,
                site.profile.slots,
                UpstreamState.READY,
            )
            for number in range(site.engines)
        ]

    def play(self, load: Sequence[Prompt]) -> list[Stream]:
        """Play the load to its end and return what became of each prompt."""
        events = [(prompt.arrived_s, prompt.number, -1) for prompt in load]
        while events:
            when_s, number, engine = heapq.heappop(events)
            self._clock.advance(when_s - self._clock.now())
            if engine < 0:
                self._waiting.append(load[number])
            else:
                self._engines[engine].end_pass(when_s)
            self._place_waiting()
            for ends_s, index in self._begin_passes(when_s):
                heapq.heappush(events, (ends_s, len(load), index))
        return self._streams

    def _begin_passes(self, now: float) -> Iterator[tuple[float, int]]:
        for index, engine in enumerate(self._engines):
            if engine.pass_ends_s is None:
                engine.begin_pass(now)
                if engine.pass_ends_s is not None:
                    yield engine.pass_ends_s, index

    def _place_waiting(self) -> None:
        now = self._clock.now()
        self._waiting.sort(key=self._rank)
        for prompt in tuple(self._waiting):
            if now > prompt.arrived_s + prompt.kind.deadline_s:
                self._waiting.remove(prompt)
                self._streams.append(Stream(prompt, -1, 0, 0))
            elif self._try(prompt):
                self._waiting.remove(prompt)
            else:
                return

    def _rank(self, prompt: Prompt) -> tuple[int, bool, float]:
        return rank_claim(self._claim(prompt), self._clock.now())

    def _claim(self, prompt: Prompt) -> Claim:
        profile = self._site.profile
        least_s = prefill_time_s(profile, prompt.prompt_tokens)
        return Claim(
            str(prompt.number),
            0,
            prompt.arrived_s,
            prompt.arrived_s + prompt.kind.aim_s - least_s,
            prompt.arrived_s + prompt.kind.deadline_s - least_s,
            least_s
            + decode_time_s(profile, prompt.output_tokens, profile.slots),
        )

    def _try(self, prompt: Prompt) -> bool:
        requirements = PlacementRequirements(
            prompt.prompt_tokens,
            prompt.output_tokens,
            prompt.kind.aim_s,
            prompt.kind.gap_s,
            _HOME,
            prompt.arrived_s + prompt.kind.deadline_s - self._clock.now(),
        )
        candidates = [
            self._placed.build_upstream_load(one) for one in self._upstreams
        ]
        choice = self._choose(
            candidates, self._site.profile, requirements, self._rng
        )
        if choice is None:
            return False
        self._start(prompt, choice, requirements)
        return True

    def _start(
        self,
        prompt: Prompt,
        choice: PlacementChoice,
        requirements: PlacementRequirements,
    ) -> None:
        placements = make_placements(choice, requirements, self._new_name)
        for placement in placements:
            self._placed.start(placement)
        self._held[prompt.number] = tuple(one.placement for one in placements)
        parts = 1 + len(choice.helpers)
        first = int(choice.upstream)
        events = prompt.output_tokens // self._site.profile.steps_per_pass
        stream = Stream(prompt, first, parts, events)
        self._streams.append(stream)
        self._engines[first].read(stream, parts, is_helping=False)
        for helper in choice.helpers:
            self._engines[int(helper)].read(stream, parts, is_helping=True)

    def _new_name(self) -> PlacementId:
        return PlacementId(str(next(self._names)))

    def _note_read(self, stream: Stream, now: float) -> None:
        stream.parts_left -= 1
        if stream.parts_left:
            return
        first, *helping = self._held[stream.prompt.number]
        self._placed.record_prefill_end(first)
        for name in helping:
            self._placed.end(name)
        self._engines[stream.first_engine].write(stream)

    def _note_end(self, stream: Stream, now: float) -> None:
        self._placed.end(self._held.pop(stream.prompt.number)[0])


def sum_up(
    streams: Sequence[Stream],
    length_s: float,
    window_s: float = 2,
) -> Earned:
    """Return what the streams have earned; windows are by arrival."""
    by_kind: dict[str, list[Stream]] = {}
    windows: list[list[Stream]] = [
        [] for _ in range(int(length_s // window_s) + 1)
    ]
    for stream in streams:
        by_kind.setdefault(stream.prompt.kind.name, []).append(stream)
        windows[int(stream.prompt.arrived_s // window_s)].append(stream)
    return Earned(
        _share(streams),
        min(_share(window) for window in windows if window),
        {name: _share(rows) for name, rows in sorted(by_kind.items())},
    )


def _share(streams: Sequence[Stream]) -> float:
    owed = sum(stream.prompt.worth for stream in streams)
    return sum(stream.worth for stream in streams) / owed


def bound_by_time(site: Site, load: Sequence[Prompt], length_s: float) -> float:
    """Return the share that no placement can exceed, by engine time alone.

    Each prompt takes its reading and its share of full passes. What is worth
    most for its time is served first, until all engines' time is used up;
    late worth, pauses and memory are left out, so the true best is lower.
    """
    profile = site.profile
    left_s = site.engines * length_s
    owed = sum(prompt.worth for prompt in load)
    earned: float = 0
    costs = [(_least_s(profile, prompt), prompt.worth) for prompt in load]
    costs.sort(key=_cost_of_worth)
    for cost_s, worth in costs:
        share = min(1, left_s / cost_s)
        earned += worth * share
        left_s -= cost_s * share
    return earned / owed


def _least_s(profile: EngineProfile, prompt: Prompt) -> float:
    writing_s = decode_time_s(profile, prompt.output_tokens, profile.slots - 1)
    return (
        prefill_time_s(profile, prompt.prompt_tokens)
        + writing_s / profile.slots
    )


def _cost_of_worth(cost: tuple[float, float]) -> float:
    cost_s, worth = cost
    return cost_s / worth
