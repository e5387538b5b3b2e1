"""The promises that a soak checks, from what callers and upstreams saw."""

import itertools
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from bench.giftwrap.caller import Answer
from bench.giftwrap.upstream import Upstream, stream_bytes
from bench.soak.faults import OF_ENTRIES, PLANNED, Strike, hit_entry
from bench.soak.world import World

NOT_RUN: Final = frozenset((408, 421, 429, 503))
# A final answer may be this late: the platform's own bound.
LATE_S: Final = 0.5
# After a disturbance things may take this long to be as before.
SETTLE_S: Final = 3.0
OUTPUT_TOKENS: Final = 920
ONCE: Final = frozenset(('order', 'once'))
STREAMS: Final = frozenset(('caption', 'giant', 'once'))


class Call(msgspec.Struct, frozen=True):
    """A caller's request and what came of it; times since the start.

    `answer` is `None` where no connection could be had.
    """

    request: str
    route: str
    entry: int
    sent_s: float
    ended_s: float
    limit_s: float
    answer: Answer | None


class Disturbance(msgspec.Struct, frozen=True):
    """A fault as it was carried out; times since the start."""

    strike: Strike
    began_s: float
    ended_s: float


def find_faults(
    world: World,
    calls: Sequence[Call],
    disturbances: Sequence[Disturbance],
) -> list[str]:
    """Return every promise that was broken, one line each."""
    runs = count_runs(world.upstreams.values())
    checks = itertools.chain(
        *(_check_call(call, runs[call.request]) for call in calls),
        *(_check_time(world, call, disturbances) for call in calls),
        *(_check_planned(world, call, disturbances) for call in calls),
        *(
            _check_versions(entry.name, world.log_rows(entry))
            for entry in world.entries
        ),
    )
    return list(checks)


def count_runs(upstreams: Iterable[Upstream]) -> Counter[str]:
    """Return how often each request has run."""
    names = (upstream.runs.elements() for upstream in upstreams)
    return Counter(itertools.chain.from_iterable(names))


def expected_body(call: Call) -> bytes:
    """Return the whole answer that is due."""
    if call.route in STREAMS:
        return stream_bytes(OUTPUT_TOKENS)
    return 'answer to {0}'.format(call.request).encode()


def _check_call(call: Call, runs: int) -> list[str]:
    answer = call.answer
    found = []
    if call.route in ONCE and runs > 1:
        found.append('ran {0} times: {1}'.format(runs, call))
    if answer is None:
        return found
    if call.route in ONCE and answer.status in NOT_RUN and runs:
        found.append('said not to have run: {0}'.format(call))
    if answer.status == 200 and answer.is_whole:
        if answer.body != expected_body(call) or not answer.signature:
            found.append('wrong answer: {0}'.format(call))
    elif answer.status == 200 and not expected_body(call).startswith(
        answer.body,
    ):
        found.append('wrong part of an answer: {0}'.format(call))
    if answer.status in {400, 401, 404}:
        found.append('a proper request denied: {0}'.format(call))
    return found


def _touches(
    world: World,
    disturbance: Disturbance,
    call: Call,
) -> bool:
    kind = disturbance.strike.kind
    if kind in OF_ENTRIES or kind == 'hang up an entry':
        struck = hit_entry(world, disturbance.strike)
        return struck is world.entries[call.entry]
    return True


def _during(disturbance: Disturbance, call: Call) -> bool:
    ended_s = disturbance.ended_s + SETTLE_S
    return disturbance.began_s <= call.ended_s and call.sent_s <= ended_s


def _check_time(
    world: World,
    call: Call,
    disturbances: Sequence[Disturbance],
) -> list[str]:
    late_s = call.ended_s - call.sent_s - call.limit_s
    is_excused = any(
        disturbance.strike.kind in OF_ENTRIES
        and _touches(world, disturbance, call)
        and _during(disturbance, call)
        for disturbance in disturbances
    )
    if late_s > LATE_S and not is_excused:
        return ['late by {0:.2f} s: {1}'.format(late_s, call)]
    return []


def _check_planned(
    world: World,
    call: Call,
    disturbances: Sequence[Disturbance],
) -> list[str]:
    near = [
        disturbance.strike.kind
        for disturbance in disturbances
        if _touches(world, disturbance, call) and _during(disturbance, call)
    ]
    if set(near) - PLANNED:
        return []
    answer = call.answer
    # A closed listener is no answer, but nothing was read either.
    if answer is None or answer.status in {200, 503} and answer.is_whole:
        return []
    if answer.status == 0 and 'terminate an entry' in near:
        return []
    return ['cut though only {0}: {1}'.format(near, call)]


def _check_versions(name: str, rows: Sequence[dict[str, object]]) -> list[str]:
    newest = 0
    for row in rows:
        if row.get('message_type') == 'process started':
            newest = 0
        if row.get('message_type') != 'configuration applied':
            continue
        version = row['version']
        assert isinstance(version, int)  # noqa: S101
        if version <= newest:
            return ['{0} went back to version {1}'.format(name, version)]
        newest = version
    return []
