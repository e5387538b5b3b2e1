"""What may go wrong in a soak: each fault begins, lasts and is made good."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Mapping
from typing import Final, TypeAlias

import msgspec

from bench.giftwrap.store import StoreMode
from bench.giftwrap.upstream import Fault
from bench.soak.world import Entry, World

Act: TypeAlias = Callable[[World, 'Strike'], Awaitable[None]]

SHORTEST_S: Final = 0.2
LONGEST_S: Final = 3.0
RUN_FAULTS: Final = (
    Fault.RESETS,
    Fault.EXTRA,
    Fault.FOREIGN,
    Fault.UNFRAMED,
    Fault.TRUNCATED,
    Fault.CODED,
    Fault.ERROR,
    Fault.HANGS,
    Fault.FULL,
    Fault.WITHIN_EVENT,
)


class Strike(msgspec.Struct, frozen=True):
    """A fault of a plan; `draw` picks what it hits."""

    at_s: float
    kind: str
    for_s: float
    draw: int


def make_plan(seed: int, length_s: float) -> list[Strike]:
    """Return the faults of a seed, about one a second, overlapping."""
    rng = random.Random(seed)
    return sorted(
        (
            Strike(
                rng.uniform(0, length_s),
                rng.choice(sorted(KINDS)),
                rng.uniform(SHORTEST_S, LONGEST_S),
                rng.randrange(1_000_000),
            )
            for _ in range(round(length_s))
        ),
        key=lambda strike: strike.at_s,
    )


def hit_entry(world: World, strike: Strike) -> Entry:
    """Return the entry that a fault hits."""
    return world.entries[strike.draw % len(world.entries)]


def _hit_upstream(world: World, strike: Strike) -> str:
    names = sorted(world.upstreams)
    return names[strike.draw % len(names)]


async def _kill(world: World, strike: Strike) -> None:
    entry = hit_entry(world, strike)
    await entry.end()
    await asyncio.sleep(strike.for_s)
    entry.start()


async def _pause(world: World, strike: Strike) -> None:
    entry = hit_entry(world, strike)
    entry.send(signal.SIGSTOP)
    await asyncio.sleep(strike.for_s)
    entry.send(signal.SIGCONT)


async def _terminate(world: World, strike: Strike) -> None:
    entry = hit_entry(world, strike)
    entry.send(signal.SIGCONT)
    entry.send(signal.SIGTERM)
    await entry.wait_for_end()
    entry.start()


async def _hang_up(world: World, strike: Strike) -> None:
    hit_entry(world, strike).send(signal.SIGHUP)


async def _configure(world: World, strike: Strike) -> None:
    for _ in range(1 + strike.draw % 3):
        world.configure()
        await asyncio.sleep(SHORTEST_S / 2)


async def _fail_store(world: World, strike: Strike) -> None:
    modes = [mode for mode in StoreMode if mode is not StoreMode.WORKS]
    world.store.put_in_force(modes[strike.draw % len(modes)])
    await asyncio.sleep(strike.for_s)
    world.store.put_in_force(StoreMode.WORKS)


async def _slow_store(world: World, strike: Strike) -> None:
    world.store.delay_s = 0.3
    world.store.loses_answers = strike.draw % 2 == 0
    await asyncio.sleep(strike.for_s)
    world.store.delay_s = 0
    world.store.loses_answers = False


async def _forget(world: World, strike: Strike) -> None:
    world.store.forget_history()


async def _cut_store(world: World, strike: Strike) -> None:
    relay = hit_entry(world, strike).store
    relay.fall_silent(is_one_way=strike.draw % 3 == 0)
    await asyncio.sleep(strike.for_s)
    relay.speak()


async def _reset_store(world: World, strike: Strike) -> None:
    hit_entry(world, strike).store.reset()


async def _fail_runs(world: World, strike: Strike) -> None:
    upstream = world.upstreams[_hit_upstream(world, strike)]
    upstream.fault = RUN_FAULTS[strike.draw % len(RUN_FAULTS)]
    upstream.share = 0.5
    await asyncio.sleep(strike.for_s)
    upstream.fault = Fault.NONE


async def _crash(world: World, strike: Strike) -> None:
    name = _hit_upstream(world, strike)
    await world.upstreams[name].stop()
    await asyncio.sleep(strike.for_s)
    await world.restart_upstream(name)


async def _cut_upstream(world: World, strike: Strike) -> None:
    relay = world.relays[_hit_upstream(world, strike)]
    relay.fall_silent(is_one_way=strike.draw % 3 == 0)
    await asyncio.sleep(strike.for_s)
    relay.speak()


async def _delay_upstream(world: World, strike: Strike) -> None:
    relay = world.relays[_hit_upstream(world, strike)]
    relay.delay_s = 0.05
    await asyncio.sleep(strike.for_s)
    relay.delay_s = 0


async def _reset_upstream(world: World, strike: Strike) -> None:
    world.relays[_hit_upstream(world, strike)].reset()


async def _leave(world: World, strike: Strike) -> None:
    name = _hit_upstream(world, strike)
    world.upstreams[name].state = 'draining'
    world.register(name)
    await asyncio.sleep(strike.for_s)
    world.upstreams[name].state = 'ready'
    world.register(name)


KINDS: Final[Mapping[str, Act]] = {
    'kill an entry': _kill,
    'pause an entry': _pause,
    'terminate an entry': _terminate,
    'hang up an entry': _hang_up,
    'change the configuration': _configure,
    'fail the store': _fail_store,
    'slow the store': _slow_store,
    'forget the store history': _forget,
    'cut an entry from the store': _cut_store,
    'reset an entry at the store': _reset_store,
    'fail runs of an upstream': _fail_runs,
    'crash an upstream': _crash,
    'cut an upstream': _cut_upstream,
    'delay an upstream': _delay_upstream,
    'reset an upstream': _reset_upstream,
    'let an upstream leave': _leave,
}
# Faults of an entry's own: what it answers meanwhile may be late or cut.
OF_ENTRIES: Final = frozenset(
    (
        'kill an entry',
        'pause an entry',
        'terminate an entry',
    )
)
# Planned work must cut nothing that no other fault touches.
PLANNED: Final = frozenset(
    (
        'terminate an entry',
        'hang up an entry',
        'change the configuration',
    )
)
