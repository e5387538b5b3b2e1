"""Where a request goes: engines by time, plain services by what runs there.

It answers prompts of very unlike lengths on one pool. What a pass of an
engine reads, all who write there wait for. A caption's events may pause for
200 ms, and a long prompt takes longer than that to read. So requests whose
pauses must be short are packed on few engines, and long prompts are read in
parts by the others.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from typing import Final, TypeAlias

import msgspec

from figspread.ids import DataCentreId, UpstreamId
from figspread.policy.engine_time import (
    EngineProfile,
    pass_s,
    read_s,
    write_s,
)

# Bytes between data centres are dear, and a hop there takes longer.
AWAY_S: Final = 0.004
# A prompt that reads no longer than this is not worth a helper.
SHORT_READ_S: Final = 0.12
# Of the pause that a writer allows, so much may be used: estimates err, and
# the network adds to it.
GAP_USE: Final = 0.8
# Of the aim, so much may be used; what comes after it counts this besides. A
# late long prompt loses as much as several short ones.
AIM_USE: Final = 0.9
LATE_S: Final = 3.0
# What it counts to make one writer late.
DISTURBED_S: Final = 0.5
# What it counts to put a request on an engine where no pauses as short as its
# own are due yet: that engine is lost to long prompts meanwhile.
OPENING_S: Final = 0.1
# Entries that choose at the same moment don't know of each other yet. So the
# best few are told apart by chance, and the last places are left for those
# who find no other.
CHANCE_S: Final = 0.02
LAST_PLACE_S: Final = 0.06
LAST_BUT_ONE_S: Final = 0.03
# What each helper counts: it ties up one more engine.
HELPER_S: Final = 0.01
# The platform takes sixteen helpers beside the first engine.
PARTS: Final = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
# Part of an engine's memory that is left for answers longer than estimated.
KV_RESERVE: Final = 0.03
# A failing engine counts as this much slower, times its failures in a row and
# the share of its answers that fail.
FAILURE_S: Final = 0.4
# Plain services fail now and then; only a larger share tells them apart.
FAILING_STEP: Final = 0.4


class Seat(msgspec.Struct, frozen=True):
    """An upstream that could take a request, with what is there already.

    `reading_s` is how long it still reads, `gap_s` the shortest pause that
    one of its requests allows. `pace` is over 1 for a slow engine,
    `failing_share` of its answers are failures.
    """

    upstream: UpstreamId
    data_centre: DataCentreId
    slots: int
    requests: int = 0
    writers: int = 0
    reading_s: float = 0
    gap_s: float = float('inf')
    kv_tokens: int = 0
    pace: float = 1
    failures: int = 0
    failing_share: float = 0


class Need(msgspec.Struct, frozen=True):
    """What a request needs of an engine, in tokens and seconds.

    Its first token is of no use after `left_s`.
    """

    prompt_tokens: int
    output_tokens: int
    aim_s: float
    gap_s: float
    home: DataCentreId
    left_s: float = float('inf')

    @property
    def kv_tokens(self) -> int:
        """What it takes of an engine's memory."""
        return self.prompt_tokens + self.output_tokens


class Choice(msgspec.Struct, frozen=True):
    """An upstream, its helpers, and when the first token is due.

    `held_tokens` is what each helper stores, in their order; the first engine
    stores the rest. `part_s` is how long each of them reads.
    """

    upstream: UpstreamId
    first_token_s: float = 0
    helpers: tuple[UpstreamId, ...] = ()
    held_tokens: tuple[int, ...] = ()
    part_s: float = 0


class PlacementName(Enum):
    """The ways to choose an engine that can be selected."""

    ENGINE_TIME = 'engine_time'
    FEWEST_REQUESTS = 'fewest_requests'
    RANDOM = 'random'


class _Costed(msgspec.Struct, frozen=True):
    seat: Seat
    first_s: float
    extra_s: float

    @property
    def cost_s(self) -> float:
        return self.first_s + self.extra_s


def choose_plain(
    seats: Sequence[Seat],
    home: DataCentreId,
    queue_share: float,
) -> Choice | None:
    """Return the least busy upstream of a plain service.

    With `queue_share` times its slots in use an upstream is full.
    """
    free = [seat for seat in seats if seat.requests < seat.slots * queue_share]
    if not free:
        return None
    best = min(
        free,
        key=lambda seat: (
            seat.failures,
            round(seat.failing_share / FAILING_STEP),
            seat.requests // 2,
            seat.data_centre != home,
            seat.requests,
        ),
    )
    return Choice(best.upstream)


def choose_at_random(
    seats: Sequence[Seat],
    engine: EngineProfile,
    need: Need,
    rng: random.Random,
) -> Choice | None:
    """Return any engine with a free slot: a baseline to measure against."""
    free = [seat for seat in seats if seat.requests < seat.slots]
    return _choose_alone(rng.choice(free), engine, need) if free else None


def choose_fewest_requests(
    seats: Sequence[Seat],
    engine: EngineProfile,
    need: Need,
    rng: random.Random,
) -> Choice | None:
    """Return the engine with fewest requests: a baseline."""
    free = [seat for seat in seats if seat.requests < seat.slots]
    if not free:
        return None
    least = min(seat.requests for seat in free)
    best = [seat for seat in free if seat.requests == least]
    return _choose_alone(rng.choice(best), engine, need)


def choose_engine(
    seats: Sequence[Seat],
    engine: EngineProfile,
    need: Need,
    rng: random.Random,
) -> Choice | None:
    """Return the engine, with helpers for a long prompt, or `None` to wait.

    All seats are of engines that are alike but for their pace; `rng` decides
    between those that are nearly as good. A request waits where all are full,
    where its time would be over before its first token, and, if it is short,
    where a full engine will have a slot and be sooner.
    """
    chances = {
        seat.upstream: rng.uniform(0, CHANCE_S) + _crowding_s(seat)
        for seat in seats
    }
    free = [seat for seat in seats if seat.requests < seat.slots]
    if not free:
        return None
    best: Choice | None = None
    best_s = float('inf')
    is_short = read_s(engine, need.prompt_tokens) <= SHORT_READ_S
    for parts in PARTS[:1] if is_short else PARTS:
        if parts > len(free):
            break
        ranked = _rank(free, engine, need, parts, chances)
        choice = _compose(ranked, engine, need, parts)
        total_s = _total_s(ranked[:parts], need)
        if choice is not None and total_s < best_s:
            best, best_s = choice, total_s
    if best is None or best.first_token_s > need.left_s:
        return None
    if is_short and _least_when_free_s(seats, engine, need) < best_s:
        return None
    return best


def _least_when_free_s(
    seats: Sequence[Seat],
    engine: EngineProfile,
    need: Need,
) -> float:
    """Return the least total at an engine that is full now."""
    others = engine.slots - 1
    slot_s = write_s(engine, engine.mean_output_tokens, others) / engine.slots
    part_s = read_s(engine, need.prompt_tokens)
    rows = [
        _estimate(seat, engine, need, part_s)
        for seat in seats
        if seat.requests >= seat.slots
    ]
    return min(
        (
            _total_s(
                [_Costed(row.seat, row.first_s + slot_s, row.extra_s)], need
            )
            for row in rows
        ),
        default=float('inf'),
    )


def _rank(
    free: Sequence[Seat],
    engine: EngineProfile,
    need: Need,
    parts: int,
    chances: Mapping[UpstreamId, float],
) -> list[_Costed]:
    part_s = read_s(engine, need.prompt_tokens, parts)
    costed = [_estimate(seat, engine, need, part_s) for seat in free]
    costed.sort(key=lambda row: row.cost_s + chances[row.seat.upstream])
    return costed


def _estimate(
    seat: Seat,
    engine: EngineProfile,
    need: Need,
    part_s: float,
) -> _Costed:
    context = engine.mean_prompt_tokens * seat.writers
    beside_s = pass_s(engine, seat.writers, context)
    first_s = (seat.reading_s + part_s) * seat.pace + beside_s
    extra_s = 0 if seat.data_centre == need.home else AWAY_S
    extra_s += (seat.failures + seat.failing_share) * FAILURE_S
    pause_s = (beside_s + min(part_s + seat.reading_s, _most_s(engine))) * (
        seat.pace
    )
    if pause_s > seat.gap_s * GAP_USE:
        extra_s += DISTURBED_S * seat.requests
    if need.gap_s < seat.gap_s:
        extra_s += OPENING_S
    return _Costed(seat, first_s, extra_s)


def _crowding_s(seat: Seat) -> float:
    places = seat.slots - seat.requests
    return {1: LAST_PLACE_S, 2: LAST_BUT_ONE_S}.get(places, 0)


def _most_s(engine: EngineProfile) -> float:
    # A pass with writers reads one chunk in each of its steps at most.
    return read_s(engine, engine.stride * engine.chunk_tokens)


def _total_s(chosen: Sequence[_Costed], need: Need) -> float:
    first_s = max(row.first_s for row in chosen)
    late_s = max(0, first_s - need.aim_s * AIM_USE)
    if late_s:
        late_s += LATE_S
    extra_s = sum(row.extra_s for row in chosen)
    return first_s + late_s + extra_s + HELPER_S * len(chosen)


def _compose(
    ranked: Sequence[_Costed],
    engine: EngineProfile,
    need: Need,
    parts: int,
) -> Choice | None:
    """Return the choice of `parts` engines, or `None` for want of memory."""
    chosen = ranked[:parts]
    rooms = {row.seat.upstream: _room(row.seat, engine) for row in ranked}
    first = next(
        (row for row in ranked if rooms[row.seat.upstream] >= need.kv_tokens),
        None,
    )
    if first is not None:
        helpers = [row for row in chosen if row is not first][: parts - 1]
        held = [0 for _ in helpers]
        return _make_choice(first, helpers, held, engine, need)
    chosen = sorted(chosen, key=lambda row: -rooms[row.seat.upstream])
    missing = need.kv_tokens - rooms[chosen[0].seat.upstream]
    held = []
    for row in chosen[1:]:
        held.append(max(0, min(missing, rooms[row.seat.upstream])))
        missing -= held[-1]
    if missing > 0:
        return None
    return _make_choice(chosen[0], chosen[1:], held, engine, need)


def _make_choice(
    first: _Costed,
    helpers: Sequence[_Costed],
    held: Sequence[int],
    engine: EngineProfile,
    need: Need,
) -> Choice:
    return Choice(
        first.seat.upstream,
        max(row.first_s for row in (first, *helpers)),
        tuple(row.seat.upstream for row in helpers),
        tuple(held),
        read_s(engine, need.prompt_tokens, len(helpers) + 1),
    )


def _choose_alone(seat: Seat, engine: EngineProfile, need: Need) -> Choice:
    part_s = read_s(engine, need.prompt_tokens)
    return Choice(seat.upstream, seat.reading_s + part_s, part_s=part_s)


def _room(seat: Seat, engine: EngineProfile) -> int:
    return int(engine.kv_tokens * (1 - KV_RESERVE)) - seat.kv_tokens


ChooseEngine: TypeAlias = Callable[
    [Sequence[Seat], EngineProfile, Need, random.Random],
    Choice | None,
]
PLACEMENTS: Final[Mapping[PlacementName, ChooseEngine]] = {
    PlacementName.ENGINE_TIME: choose_engine,
    PlacementName.FEWEST_REQUESTS: choose_fewest_requests,
    PlacementName.RANDOM: choose_at_random,
}
