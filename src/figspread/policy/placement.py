"""Where a request goes: engines by time, plain services by what runs there.

It answers prompts of very unlike lengths on one pool. A long prompt slows the
writers beside it and holds up short prompts behind it, so it is spread over
engines that read in parallel, away from writers; short prompts keep the
engines with nothing long to read.
"""

from collections.abc import Sequence
from typing import Final

import msgspec

from figspread.ids import DataCentreId, UpstreamId
from figspread.policy.engine_time import EngineProfile, pass_s, read_s

# Bytes between data centres are dear, and a hop there takes longer.
AWAY_S: Final = 0.004
# A prompt that reads longer than this holds up the writers beside it.
LONG_READ_S: Final = 0.12
# What it costs a writer that a long prompt is read beside it, as a share of
# the time of that reading.
DISTURBANCE: Final = 0.25
# Prompts are read by so many engines that the reading takes a part of its aim.
READ_SHARE_OF_AIM: Final = 0.3
MOST_PARTS: Final = 8
# Part of an engine's memory that is left for answers longer than estimated.
KV_RESERVE: Final = 0.03


class Seat(msgspec.Struct, frozen=True):
    """An upstream that could take a request, with what is there already.

    `reading_s` is how long it still reads; `longest_s` the longest prompt of
    these. `pace` is over 1 for a slow engine.
    """

    upstream: UpstreamId
    data_centre: DataCentreId
    slots: int
    requests: int = 0
    writers: int = 0
    reading_s: float = 0
    longest_s: float = 0
    kv_tokens: int = 0
    pace: float = 1
    failures: int = 0


class Choice(msgspec.Struct, frozen=True):
    """An upstream, its helpers, and when the first token is due."""

    upstream: UpstreamId
    first_token_s: float
    helpers: tuple[UpstreamId, ...] = ()
    part_s: float = 0


class Need(msgspec.Struct, frozen=True):
    """What a request needs of an engine, in tokens and seconds."""

    prompt_tokens: int
    output_tokens: int
    aim_s: float
    home: DataCentreId


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
            seat.requests // 2,
            seat.data_centre != home,
            seat.requests,
        ),
    )
    return Choice(best.upstream, 0)


def choose_engine(
    seats: Sequence[Seat],
    engine: EngineProfile,
    need: Need,
) -> Choice | None:
    """Return the engine, with helpers for a long prompt, or `None` if full.

    All seats are of engines that are alike but for their pace.
    """
    free = [seat for seat in seats if seat.requests < seat.slots]
    fitting = [seat for seat in free if _fits(seat, engine, need)]
    if not fitting:
        return None
    alone_s = read_s(engine, need.prompt_tokens)
    parts = _count_parts(alone_s, need.aim_s, len(free))
    if parts == 1:
        best = min(fitting, key=lambda seat: _cost_s(seat, engine, need, 1))
        return Choice(best.upstream, _first_s(best, engine, alone_s))
    ranked = sorted(
        free,
        key=lambda seat: _cost_s(seat, engine, need, parts),
    )
    first = next(seat for seat in ranked if seat in fitting)
    others = [seat for seat in ranked if seat is not first]
    part_s = alone_s / parts
    chosen = _worthwhile(others[: parts - 1], first, engine, part_s)
    part_s = alone_s / (len(chosen) + 1)
    latest_s = max(_first_s(seat, engine, part_s) for seat in (first, *chosen))
    return Choice(
        first.upstream,
        latest_s,
        tuple(seat.upstream for seat in chosen),
        part_s,
    )


def _count_parts(alone_s: float, aim_s: float, free: int) -> int:
    target_s = max(LONG_READ_S, aim_s * READ_SHARE_OF_AIM)
    return max(1, min(round(alone_s / target_s + 0.49), MOST_PARTS, free))


def _worthwhile(
    others: Sequence[Seat],
    first: Seat,
    engine: EngineProfile,
    part_s: float,
) -> Sequence[Seat]:
    # A helper that is busy for longer than its part saves holds all up.
    start_s = first.reading_s + part_s
    return [seat for seat in others if seat.reading_s <= start_s]


def _fits(seat: Seat, engine: EngineProfile, need: Need) -> bool:
    room = engine.kv_tokens * (1 - KV_RESERVE) - seat.kv_tokens
    return need.prompt_tokens + need.output_tokens <= room


def _first_s(seat: Seat, engine: EngineProfile, reading_s: float) -> float:
    context = engine.mean_prompt_tokens * seat.writers
    beside_s = pass_s(engine, seat.writers, context)
    return (seat.reading_s + reading_s) * seat.pace + beside_s


def _cost_s(
    seat: Seat,
    engine: EngineProfile,
    need: Need,
    parts: int,
) -> float:
    reading_s = read_s(engine, need.prompt_tokens, parts)
    away_s = 0 if seat.data_centre == need.home else AWAY_S
    disturbed_s = 0.0
    if reading_s > LONG_READ_S:
        disturbed_s = seat.writers * reading_s * DISTURBANCE
    elif seat.longest_s > LONG_READ_S:
        disturbed_s = seat.reading_s * DISTURBANCE
    fail_s = seat.failures * engine.stride / 1000
    return _first_s(seat, engine, reading_s) + disturbed_s + away_s + fail_s
