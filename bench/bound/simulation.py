"""Simulates a load on engines in virtual time with the product's placement.

A single dispatcher always knows the state of every engine: there is no network,
no fault and no second entry. Its result is thus the best case of a policy.
"""

import heapq
import itertools
import random
from collections.abc import Iterator, Mapping, Sequence

import msgspec

from bench.bound.engines import SimulatedEngine, Stream
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


class EarnedShares(msgspec.Struct, frozen=True):
    """Earned worth as shares of the total worth of the prompts.

    `worst_window` is the lowest share of a window of arrivals.
    """

    whole_day: float
    worst_window: float
    by_kind: Mapping[str, float]


class DaySimulation:
    """Simulation of a day: arrivals, a queue and engines."""

    def __init__(self, site: Site, policy: PlacementName, seed: int) -> None:
        """Start at time 0 with idle engines."""
        self._site = site
        self._select_placement = PLACEMENTS[policy]
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._placements = PlacementRegistry(self._clock, lambda: None)
        self._placement_numbers = itertools.count()
        self._waiting: list[Prompt] = []
        self._placements_by_prompt: dict[int, tuple[PlacementId, ...]] = {}
        self._streams: list[Stream] = []
        self._engines = [
            SimulatedEngine(
                site.profile, self._handle_prefilled, self._handle_finished
            )
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

    def run(self, load: Sequence[Prompt]) -> list[Stream]:
        """Process the load to its end and return a stream for each prompt.

        A prompt that waited past its deadline has a stream that never ended.
        """
        events = [(prompt.arrived_s, prompt.number, -1) for prompt in load]
        while events:
            event_s, number, engine = heapq.heappop(events)
            self._clock.advance(event_s - self._clock.now())
            if engine < 0:
                self._waiting.append(load[number])
            else:
                self._engines[engine].end_pass(event_s)
            self._place_waiting()
            for end_s, index in self._begin_passes(event_s):
                heapq.heappush(events, (end_s, len(load), index))
        return self._streams

    def _begin_passes(self, now: float) -> Iterator[tuple[float, int]]:
        for index, engine in enumerate(self._engines):
            if engine.pass_ends_s is None:
                engine.begin_pass(now)
                if engine.pass_ends_s is not None:
                    yield engine.pass_ends_s, index

    def _place_waiting(self) -> None:
        now = self._clock.now()
        self._waiting.sort(key=self._rank_prompt)
        for prompt in tuple(self._waiting):
            if now > prompt.arrived_s + prompt.kind.deadline_s:
                self._waiting.remove(prompt)
                self._streams.append(Stream(prompt, -1, 0, 0))
            elif self._try_place(prompt):
                self._waiting.remove(prompt)
            else:
                return

    def _rank_prompt(self, prompt: Prompt) -> tuple[int, bool, float]:
        return rank_claim(self._make_claim(prompt), self._clock.now())

    def _make_claim(self, prompt: Prompt) -> Claim:
        profile = self._site.profile
        prefill_s = prefill_time_s(profile, prompt.prompt_tokens)
        return Claim(
            str(prompt.number),
            0,
            prompt.arrived_s,
            prompt.arrived_s + prompt.kind.target_latency_s - prefill_s,
            prompt.arrived_s + prompt.kind.deadline_s - prefill_s,
            prefill_s
            + decode_time_s(profile, prompt.output_tokens, profile.slots),
        )

    def _try_place(self, prompt: Prompt) -> bool:
        requirements = PlacementRequirements(
            prompt.prompt_tokens,
            prompt.output_tokens,
            prompt.kind.target_latency_s,
            prompt.kind.target_gap_s,
            _HOME,
            prompt.arrived_s + prompt.kind.deadline_s - self._clock.now(),
        )
        candidates = [
            self._placements.build_upstream_load(upstream)
            for upstream in self._upstreams
        ]
        choice = self._select_placement(
            candidates, self._site.profile, requirements, self._rng
        )
        if choice is None:
            return False
        self._start_prompt(prompt, choice, requirements)
        return True

    def _start_prompt(
        self,
        prompt: Prompt,
        choice: PlacementChoice,
        requirements: PlacementRequirements,
    ) -> None:
        placements = make_placements(
            choice, requirements, self._new_placement_id
        )
        for placement in placements:
            self._placements.start(placement)
        self._placements_by_prompt[prompt.number] = tuple(
            started.placement for started in placements
        )
        parts = 1 + len(choice.helpers)
        primary = int(choice.upstream)
        events = prompt.output_tokens // self._site.profile.steps_per_pass
        stream = Stream(prompt, primary, parts, events)
        self._streams.append(stream)
        self._engines[primary].add_prefill(stream, parts, is_helper=False)
        for helper in choice.helpers:
            self._engines[int(helper)].add_prefill(
                stream, parts, is_helper=True
            )

    def _new_placement_id(self) -> PlacementId:
        return PlacementId(str(next(self._placement_numbers)))

    def _handle_prefilled(self, stream: Stream, now: float) -> None:
        stream.prefill_parts_left -= 1
        if stream.prefill_parts_left:
            return
        primary, *helpers = self._placements_by_prompt[stream.prompt.number]
        self._placements.record_prefill_end(primary)
        for placement in helpers:
            self._placements.end(placement)
        self._engines[stream.primary_engine].start_decode(stream)

    def _handle_finished(self, stream: Stream, now: float) -> None:
        self._placements.end(
            self._placements_by_prompt.pop(stream.prompt.number)[0]
        )


def compute_earned_shares(
    streams: Sequence[Stream],
    length_s: float,
    window_s: float = 2,
) -> EarnedShares:
    """Return the earned shares; windows of `window_s` are by arrival time."""
    by_kind: dict[str, list[Stream]] = {}
    windows: list[list[Stream]] = [
        [] for _ in range(int(length_s // window_s) + 1)
    ]
    for stream in streams:
        by_kind.setdefault(stream.prompt.kind.name, []).append(stream)
        windows[int(stream.prompt.arrived_s // window_s)].append(stream)
    return EarnedShares(
        _earned_share(streams),
        min(_earned_share(window) for window in windows if window),
        {name: _earned_share(rows) for name, rows in sorted(by_kind.items())},
    )


def _earned_share(streams: Sequence[Stream]) -> float:
    total_worth = sum(stream.prompt.worth for stream in streams)
    return sum(stream.earned_worth for stream in streams) / total_worth


def compute_engine_time_bound(
    site: Site, load: Sequence[Prompt], length_s: float
) -> float:
    """Return the share of worth that the time of all engines allows.

    Only engine time is limited: each prompt takes its prefill time and its
    share of passes with all slots in use. Prompts with the most worth for their
    time are served first, until the time of all engines is used up. Worth of
    late answers, gaps and memory are left out, so the true optimum within
    `length_s` is lower. A `DaySimulation` isn't strictly bounded by this share,
    because it goes on after `length_s` until its load is finished.
    """
    profile = site.profile
    left_s = site.engines * length_s
    total_worth = sum(prompt.worth for prompt in load)
    earned: float = 0
    candidates = [
        (_engine_time_s(profile, prompt), prompt.worth) for prompt in load
    ]
    candidates.sort(key=_time_per_worth)
    for time_s, worth in candidates:
        share = min(1, left_s / time_s)
        earned += worth * share
        left_s -= time_s * share
    return earned / total_worth


def _engine_time_s(profile: EngineProfile, prompt: Prompt) -> float:
    decode_s = decode_time_s(profile, prompt.output_tokens, profile.slots - 1)
    return (
        prefill_time_s(profile, prompt.prompt_tokens) + decode_s / profile.slots
    )


def _time_per_worth(candidate: tuple[float, float]) -> float:
    time_s, worth = candidate
    return time_s / worth
