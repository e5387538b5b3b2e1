"""A fault of the soak: prompts with a part that crashes engines, and its check."""

import asyncio
import random
from collections.abc import Sequence
from contextlib import suppress
from typing import Final

import msgspec

from bench.giftwrap.caller import Caller
from bench.giftwrap.deployment import POOL
from bench.giftwrap.upstream import REQUEST_ID, Upstream, list_parts
from bench.soak.faults import ENTRY_FAULTS, PlannedFault, select_entry
from bench.soak.fleet import Fleet
from figspread.http1.answers import ExchangeError
from figspread.http1.client import Unreachable
from figspread.http1.fields import find_field

SEND_INTERVAL_S: Final = 0.15
DOWN_S: Final = 0.5
TIMEOUT_S: Final = 4.0
# The platform's bound: from this time after the fifth crash, three requests with
# the part may still reach engines, sent by entries without a fault of their own
# for as long.
CRASHES_ALLOWED: Final = 5
SETTLE_S: Final = 3.0
LATE_ARRIVALS_ALLOWED: Final = 3


class EntryFault(msgspec.Struct, frozen=True):
    """A fault of the entry `entry`; times are seconds since the run's start."""

    entry: int
    started_s: float
    ended_s: float


async def send_deadly_parts(fleet: Fleet, fault: PlannedFault) -> None:
    """Send prompts with a part that crashes engines, and restart these."""
    part = 'dead-{0}'.format(fault.selector)
    rng = random.Random(fault.selector)
    loop = asyncio.get_running_loop()
    engines = _list_engines(fleet)
    for engine in engines:
        engine.deadly_parts |= {part}
    end_s = loop.time() + fault.duration_s
    async with asyncio.TaskGroup() as group:
        restarts = group.create_task(_restart_crashed(fleet))
        number = 0
        while loop.time() < end_s:
            number += 1
            entry = rng.randrange(len(fleet.entries))
            name = '{0}-{1}-{2}'.format(part, entry, number)
            group.create_task(_call(fleet, entry, part, name))
            await asyncio.sleep(SEND_INTERVAL_S)
        await asyncio.sleep(TIMEOUT_S)
        restarts.cancel()
    for engine in engines:
        engine.deadly_parts -= {part}
    await _restart_all_crashed(fleet)


def find_deadly_violations(
    fleet: Fleet,
    faults: Sequence[PlannedFault],
    entry_faults: Sequence[EntryFault],
    started_s: float,
) -> list[str]:
    """Return a line for each part that got to engines too often.

    `started_s` is the event loop's time at the run's start.
    """
    violations = []
    for fault in faults:
        part = 'dead-{0}'.format(fault.selector)
        crashes_s = sorted(
            crashed_s
            for engine in _list_engines(fleet)
            for crashed_s, parts in engine.deadly_crashes
            if part in parts
        )
        if len(crashes_s) < CRASHES_ALLOWED:
            continue
        since_s = crashes_s[CRASHES_ALLOWED - 1] + SETTLE_S - started_s
        late = [
            arrival
            for arrival in _list_arrivals(fleet, part, started_s)
            if arrival[0] > since_s and not _is_excused(arrival, entry_faults)
        ]
        if len(late) > LATE_ARRIVALS_ALLOWED:
            violations.append(
                '{0} reached engines {1} times from {2:.2f} s on, {3} crashes: '
                '{4}'.format(part, len(late), since_s, len(crashes_s), late)
            )
    return violations


def list_entry_faults(
    fleet: Fleet, injected: Sequence[tuple[PlannedFault, float, float]]
) -> list[EntryFault]:
    """Return those of the injected faults, with their times, of one entry."""
    return [
        EntryFault(
            fleet.entries.index(select_entry(fleet, fault)), started_s, ended_s
        )
        for fault, started_s, ended_s in injected
        if fault.kind in ENTRY_FAULTS
    ]


def _list_engines(fleet: Fleet) -> list[Upstream]:
    return [
        upstream
        for upstream in fleet.upstreams.values()
        if upstream.service == POOL
    ]


async def _restart_crashed(fleet: Fleet) -> None:
    while True:
        await asyncio.sleep(DOWN_S)
        await _restart_all_crashed(fleet)


async def _restart_all_crashed(fleet: Fleet) -> None:
    for engine in _list_engines(fleet):
        if not engine.is_listening:
            await fleet.restart_upstream(engine.name)


async def _call(fleet: Fleet, entry: int, part: str, name: str) -> None:
    caller = Caller(fleet.entries[entry].address)
    with suppress(ExchangeError, Unreachable, TimeoutError):
        async with asyncio.timeout(TIMEOUT_S):
            await caller.call(
                'caption',
                usage='5000,230',
                limit_ms=round(TIMEOUT_S * 1000),
                request_id=name,
                body=name.encode(),
                parts='common:40,{0}:40,{1}:40'.format(part, name),
            )


def _list_arrivals(
    fleet: Fleet, part: str, started_s: float
) -> list[tuple[float, int, str]]:
    """Return when, from which entry and as what requests reached engines."""
    arrivals = []
    for engine in _list_engines(fleet):
        for arrived_s, request in zip(
            engine.arrivals_s, engine.received_requests, strict=True
        ):
            if part in list_parts(request):
                name = find_field(request.fields, REQUEST_ID) or ''
                entry = int(name.rsplit('-', 2)[1])
                arrivals.append((arrived_s - started_s, entry, name))
    return arrivals


def _is_excused(
    arrival: tuple[float, int, str], entry_faults: Sequence[EntryFault]
) -> bool:
    arrived_s, entry, _ = arrival
    return any(
        fault.entry == entry
        and fault.started_s <= arrived_s <= fault.ended_s + SETTLE_S
        for fault in entry_faults
    )
