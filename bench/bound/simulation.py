"""Simulates a load on engines in virtual time with the product's placement.

Prompts are spread over entries, each with a queue and placements of its own; it
hears of the others' placements after `NEWS_DELAY_S`. A single entry knows all
at once, which is the best case of a policy. There are no faults.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Final

import msgspec

from bench.bound.engines import SimulatedEngine, Stream
from bench.bound.load import Prompt, Site
from figspread.clock import ManualClock
from figspread.direct.model import Upstream, UpstreamState
from figspread.direct.peers.slowdown_exchange import SLOWDOWN_BATCH_DELAY_S
from figspread.direct.requests.placing import TURN_MARGIN_S
from figspread.direct.requests.speed_recorder import (
    MeasuredAttempt,
    SpeedRecorder,
)
from figspread.direct.state.admission_queue import MISS_LIMIT, Claim, rank_claim
from figspread.direct.state.placements import (
    Placement,
    PlacementRegistry,
    make_placements,
)
from figspread.direct.state.slowdowns import SlowdownRegistry
from figspread.direct.state.upstream_notices import identify_run
from figspread.ids import DataCentreId, PlacementId, ServiceName, UpstreamId
from figspread.policy.contention import SETTLE_S, is_contended
from figspread.policy.engine_choice import (
    is_short_prompt,
    max_parts,
)
from figspread.policy.engine_time import (
    EngineProfile,
    decode_time_s,
    prefill_time_s,
)
from figspread.policy.notices import Incarnation
from figspread.policy.placement import (
    PLACEMENTS,
    PlacementName,
)
from figspread.policy.upstream_load import (
    PlacementChoice,
    PlacementRequirements,
)
from figspread.telemetry.logs import Level, Log

_HOME = DataCentreId('here')
_POOL = ServiceName('pool')
# Time until other entries know of a placement: the delay for batches and the
# way between two data centres.
NEWS_DELAY_S: Final = 0.008
# Interval at which an entry checks its queue besides the checks at changes.
QUEUE_CHECK_INTERVAL_S: Final = 0.1


class EarnedShares(msgspec.Struct, frozen=True):
    """Earned worth as shares of the total worth of the prompts.

    `worst_window` is the lowest share of a window of arrivals.
    """

    whole_day: float
    worst_window: float
    by_kind: Mapping[str, float]


class _Start(msgspec.Struct, eq=False):
    """A placed prompt that is sent when `prefills_before` are done."""

    stream: Stream
    choice: PlacementChoice
    names: tuple[PlacementId, ...]
    prefills_before: tuple[PlacementId, ...]
    latest_s: float
    is_sent: bool = False
    speed: SpeedRecorder | None = None


class _Entry:
    """The view and the queue of one entry."""

    def __init__(self, clock: ManualClock, rng: random.Random) -> None:
        self.placements = PlacementRegistry(clock, self._mark_changed)
        self.slowdowns = SlowdownRegistry(
            clock, rng, Log(Level.ERROR, {'process': 'simulation'})
        )
        self.waiting: list[Prompt] = []
        self.starts: list[_Start] = []
        self.is_changed = False

    def _mark_changed(self) -> None:
        self.is_changed = True


class DaySimulation:
    """Simulation of a day: arrivals, entries with queues, and engines."""

    def __init__(
        self,
        site: Site,
        policy: PlacementName,
        seed: int,
        *,
        entries: int = 1,
        slowdowns: Mapping[int, float] | None = None,
        recovery_s: float = float('inf'),
    ) -> None:
        """Start at time 0 with idle engines.

        `slowdowns` has the factors of engines that are slower than published,
        by number, until `recovery_s`.
        """
        self._site = site
        self._select_placement = PLACEMENTS[policy]
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._entries = [
            _Entry(self._clock, random.Random(seed + number))
            for number in range(entries)
        ]
        for entry in self._entries:
            entry.slowdowns.subscribe(_SlowdownNews(self, entry))
        self._placement_numbers = itertools.count()
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._starts_by_prompt: dict[int, tuple[_Entry, _Start]] = {}
        self._streams: list[Stream] = []
        self._engines = [
            SimulatedEngine(
                site.profile,
                self._handle_prefilled,
                self._handle_finished,
                self._handle_event,
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

        for number, factor in (slowdowns or {}).items():
            self._engines[number].slowdown = factor
        if recovery_s < float('inf'):
            self._schedule(recovery_s, self._recover)

    def _recover(self) -> None:
        for engine in self._engines:
            engine.slowdown = 1

    def run(self, load: Sequence[Prompt]) -> list[Stream]:
        """Process the load to its end and return a stream for each prompt.

        A prompt that waited past its deadline has a stream that never ended.
        """
        for prompt in load:
            number = self._rng.randrange(len(self._entries))
            self._schedule(
                prompt.arrived_s, partial(self._arrive, number, prompt)
            )
        while self._events:
            event_s, _, action = heapq.heappop(self._events)
            self._clock.advance(event_s - self._clock.now())
            action()
            for entry in self._entries:
                if entry.is_changed:
                    entry.is_changed = False
                    self._send_started(entry)
                    self._place_waiting(entry)
            self._begin_passes()
        return self._streams

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), action))

    def _begin_passes(self) -> None:
        now = self._clock.now()
        for engine in self._engines:
            if engine.pass_ends_s is None:
                engine.begin_pass(now)
                if engine.pass_ends_s is not None:
                    self._schedule(
                        engine.pass_ends_s,
                        partial(engine.end_pass, engine.pass_ends_s),
                    )

    def restart_entries(self, at_s: float) -> None:
        """Replace all entries at `at_s` by ones that know of no placement.

        Engines go on with the requests of the former ones.
        """
        self._schedule(at_s, self._restart_entries)

    def _restart_entries(self) -> None:
        self._entries = [
            _Entry(self._clock, random.Random(number))
            for number in range(len(self._entries))
        ]
        for entry in self._entries:
            entry.slowdowns.subscribe(_SlowdownNews(self, entry))

    def _arrive(self, number: int, prompt: Prompt) -> None:
        entry = self._entries[number]
        entry.waiting.append(prompt)
        entry.is_changed = True

    def _tell_others(
        self, entry: _Entry, change: Callable[[PlacementRegistry], object]
    ) -> None:
        others = [other for other in self._entries if other is not entry]

        def apply_change() -> None:  # noqa: WPS430
            for other in others:
                change(other.placements)

        if others:
            self._schedule(self._clock.now() + NEWS_DELAY_S, apply_change)

    def _check_queue(self, entry: _Entry) -> None:
        entry.is_changed = bool(entry.waiting)

    def _place_waiting(self, entry: _Entry) -> None:
        now = self._clock.now()
        entry.waiting.sort(key=self._rank_prompt)
        misses = 0
        for prompt in tuple(entry.waiting):
            if now > prompt.arrived_s + prompt.kind.deadline_s:
                entry.waiting.remove(prompt)
                self._streams.append(Stream(prompt, -1, 0, 0))
            elif self._try_place(entry, prompt):
                entry.waiting.remove(prompt)
            else:
                misses += 1
                if misses > MISS_LIMIT:
                    break
        if entry.waiting:
            self._schedule(
                now + QUEUE_CHECK_INTERVAL_S, partial(self._check_queue, entry)
            )

    def _rank_prompt(self, prompt: Prompt) -> tuple[int, bool, float]:
        return rank_claim(self._make_claim(prompt), self._clock.now())

    def _make_claim(self, prompt: Prompt) -> Claim:
        profile = self._site.profile
        prefill_s = prefill_time_s(profile, prompt.prompt_tokens)
        parts = max_parts(profile, prompt.prompt_tokens, len(self._engines))
        return Claim(
            str(prompt.number),
            0,
            prompt.arrived_s,
            prompt.arrived_s + prompt.kind.target_latency_s - prefill_s / parts,
            prompt.arrived_s + prompt.kind.deadline_s - prefill_s / parts,
            prefill_s
            + decode_time_s(profile, prompt.output_tokens, profile.slots - 1),
        )

    def _try_place(self, entry: _Entry, prompt: Prompt) -> bool:
        requirements = PlacementRequirements(
            prompt.prompt_tokens,
            prompt.output_tokens,
            prompt.kind.target_latency_s,
            prompt.kind.target_gap_s,
            _HOME,
            prompt.arrived_s + prompt.kind.deadline_s - self._clock.now(),
        )
        candidates = [
            entry.slowdowns.apply(
                entry.placements.build_upstream_load(upstream),
                identify_run(upstream),
                is_short=is_short_prompt(
                    self._site.profile, prompt.prompt_tokens
                ),
            )
            for upstream in self._upstreams
        ]
        choice = self._select_placement(
            candidates, self._site.profile, requirements, self._rng
        )
        if choice is None:
            return False
        self._register(entry, prompt, choice, requirements)
        return True

    def _register(
        self,
        entry: _Entry,
        prompt: Prompt,
        choice: PlacementChoice,
        requirements: PlacementRequirements,
    ) -> None:
        prefills_before = tuple(
            name
            for helper in choice.helpers
            for name in entry.placements.occupancy(helper).prefilling
        )
        turn_s = max(
            map(entry.placements.estimate_prefill_left_s, choice.helpers),
            default=0,
        )
        before = entry.placements.occupancy(choice.upstream).requests
        placements = make_placements(
            choice, requirements, self._new_placement_id
        )
        for placement in placements:
            entry.placements.start(placement)
            self._tell_others(entry, partial(_start_placement, placement))
        parts = 1 + len(choice.helpers)
        events = prompt.output_tokens // self._site.profile.steps_per_pass
        stream = Stream(prompt, int(choice.upstream), parts, events)
        self._streams.append(stream)
        start = _Start(
            stream,
            choice,
            tuple(started.placement for started in placements),
            prefills_before,
            self._clock.now() + turn_s + TURN_MARGIN_S,
        )
        self._starts_by_prompt[prompt.number] = (entry, start)
        is_shared = self._clock.now() > prompt.arrived_s or is_contended(
            self._site.profile.slots, before
        )
        if len(self._entries) > 1 and is_shared:
            self._schedule(
                self._clock.now() + SETTLE_S,
                partial(self._settle, entry, start),
            )
        else:
            self._queue_start(entry, start)

    def _settle(self, entry: _Entry, start: _Start) -> None:
        slots = self._site.profile.slots
        occupancy = entry.placements.occupancy(start.choice.upstream)
        if occupancy.keeps_slot(start.names[0], slots, self._clock.now()):
            self._queue_start(entry, start)
            return
        self._streams.remove(start.stream)
        self._starts_by_prompt.pop(start.stream.prompt.number)
        for name in start.names:
            entry.placements.end(name)
            self._tell_others(entry, partial(_end_placement, name))
        entry.waiting.append(start.stream.prompt)
        entry.is_changed = True

    def _queue_start(self, entry: _Entry, start: _Start) -> None:
        entry.starts.append(start)
        self._send_started(entry)
        if not start.is_sent:
            self._schedule(start.latest_s, partial(self._send_started, entry))

    def _send_started(self, entry: _Entry) -> None:
        for start in tuple(entry.starts):
            is_due = self._clock.now() >= start.latest_s
            if is_due or not any(
                map(entry.placements.is_prefilling, start.prefills_before)
            ):
                entry.starts.remove(start)
                start.is_sent = True
                start.speed = self._make_recorder(entry, start)
                start.speed.record_send()
                self._send(start.stream, start.choice)

    def _send(self, stream: Stream, choice: PlacementChoice) -> None:
        parts = 1 + len(choice.helpers)
        self._engines[stream.primary_engine].add_prefill(
            stream, parts, is_helper=False
        )
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
        entry, start = self._starts_by_prompt[stream.prompt.number]
        if start.speed is not None:
            start.speed.record_first_output()
        for name in start.names:
            entry.placements.record_prefill_end(name)
            self._tell_others(entry, partial(_end_prefill, name))
        self._engines[stream.primary_engine].start_decode(stream, now)

    def _handle_event(self, stream: Stream, now: float) -> None:
        _, start = self._starts_by_prompt[stream.prompt.number]
        if stream.first_event_s is not None and start.speed is not None:
            start.speed.record_gap(now - stream.last_event_s)

    def _make_recorder(self, entry: _Entry, start: _Start) -> SpeedRecorder:
        choice = start.choice
        return SpeedRecorder(
            entry.placements,
            entry.slowdowns,
            self._clock,
            MeasuredAttempt(
                self._site.profile,
                self._upstreams[int(choice.upstream)],
                tuple(self._upstreams[int(name)] for name in choice.helpers),
                start.stream.prompt.prompt_tokens,
            ),
        )

    def send_slowdown(self, entry: _Entry, run: Incarnation) -> None:
        """Send a factor that `entry` has measured to the others."""
        self._schedule(
            self._clock.now() + SLOWDOWN_BATCH_DELAY_S + NEWS_DELAY_S,
            partial(self._merge_slowdown, entry, run),
        )

    def _merge_slowdown(self, entry: _Entry, run: Incarnation) -> None:
        row = entry.slowdowns.make_row(run)
        for other in self._entries:
            if row is not None and other is not entry:
                other.slowdowns.merge(row, 'peer')

    def _handle_finished(self, stream: Stream, now: float) -> None:
        entry, start = self._starts_by_prompt.pop(stream.prompt.number)
        for name in start.names:
            entry.placements.end(name)
            self._tell_others(entry, partial(_end_placement, name))


class _SlowdownNews:
    def __init__(self, simulation: DaySimulation, entry: _Entry) -> None:
        self._simulation = simulation
        self._entry = entry

    def announce_slowdown(self, run: Incarnation) -> None:
        self._simulation.send_slowdown(self._entry, run)


def _start_placement(placement: Placement, registry: PlacementRegistry) -> None:
    registry.start(placement)


def _end_prefill(name: PlacementId, registry: PlacementRegistry) -> None:
    registry.record_prefill_end(name)


def _end_placement(name: PlacementId, registry: PlacementRegistry) -> None:
    registry.end(name)


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
