"""One run of a soak: load and faults together, then a calm end."""

import asyncio
import random
import time
from typing import Final

import msgspec

from bench.giftwrap.caller import Answer, Caller
from bench.soak.checks import (
    OUTPUT_TOKENS,
    Call,
    Disturbance,
    find_faults,
)
from bench.soak.faults import KINDS, Strike, make_plan
from bench.soak.world import World
from figspread.http1.client import ExchangeError, Unreachable

CALLS_PER_S: Final = 30
LIMIT_S: Final = 4.0
# What must be made good again, and all leases over, is so by then.
CALM_S: Final = 5.0
WEIGHTS: Final = {
    'caption': 6,
    'once': 2,
    'status': 4,
    'order': 4,
    'giant': 1,
}
USAGES: Final = {'caption': 5000, 'once': 5000, 'giant': 700_000}
HANG_S: Final = 6.0


class Outcome(msgspec.Struct, frozen=True):
    """What a run has shown."""

    seed: int
    calls: int
    answered: int
    faults: int
    found: list[str]
    folder: str


class Run:
    """Plays the plan of a seed on a world of its own."""

    def __init__(self, seed: int, length_s: float, entries: int) -> None:
        """Prepare the world and the plan."""
        self._seed = seed
        self._length_s = length_s
        self._rng = random.Random(seed)
        self._world = World(seed, entries)
        self._plan = make_plan(seed, length_s)
        self._calls: list[Call] = []
        self._struck: list[Disturbance] = []
        self._began = time.monotonic()

    async def play(self) -> Outcome:
        """Play it and return what it has shown."""
        try:
            await self._world.start()
            self._began = time.monotonic()
            async with asyncio.TaskGroup() as group:
                for strike in self._plan:
                    group.create_task(self._strike(strike))
                for number in range(round(self._length_s * CALLS_PER_S)):
                    group.create_task(self._call_later(number))
            found = await self._check_calm()
            found += find_faults(self._world, self._calls, self._struck)
        finally:
            await self._world.stop()
        answered = [
            call.request
            for call in self._calls
            if call.answer is not None and call.answer.status == 200
        ]
        return Outcome(
            self._seed,
            len(self._calls),
            len(answered),
            len(self._struck),
            found,
            str(self._world.folder),
        )

    def _now(self) -> float:
        return time.monotonic() - self._began

    async def _strike(self, strike: Strike) -> None:
        await asyncio.sleep(strike.at_s)
        began_s = self._now()
        await KINDS[strike.kind](self._world, strike)
        self._struck.append(Disturbance(strike, began_s, self._now()))

    async def _call_later(self, number: int) -> None:
        entry = self._rng.randrange(len(self._world.entries))
        routes = list(WEIGHTS)
        route = self._rng.choices(routes, list(WEIGHTS.values()))[0]
        await asyncio.sleep(number / CALLS_PER_S)
        name = 's{0}-{1}'.format(self._seed, number)
        self._calls.append(await self._call(name, route, entry))

    async def _call(self, name: str, route: str, entry: int) -> Call:
        caller = Caller(self._world.entries[entry].address)
        prompt = USAGES.get(route)
        usage = '{0},{1}'.format(prompt, OUTPUT_TOKENS) if prompt else ''
        sent_s = self._now()
        answer: Answer | None = None
        try:
            async with asyncio.timeout(LIMIT_S + HANG_S):
                answer = await caller.call(
                    'caption' if route == 'giant' else route,
                    usage=usage,
                    limit_ms=round(LIMIT_S * 1000),
                    request_id=name,
                    body=name.encode(),
                )
        except (ExchangeError, Unreachable, TimeoutError):
            answer = None
        return Call(
            name,
            route,
            entry,
            sent_s,
            self._now(),
            LIMIT_S,
            answer,
        )

    async def _check_calm(self) -> list[str]:
        """Return what is not as before once all has been made good."""
        world = self._world
        for name in world.upstreams:
            await world.restart_upstream(name)
        for entry in world.entries:
            entry.start()
            await entry.until_ready()
        await asyncio.sleep(CALM_S)
        found = []
        for name, upstream in world.upstreams.items():
            if upstream.working:
                found.append('{0} works for nobody'.format(name))
            if upstream.held_tickets():
                found.append('{0} holds memory for nobody'.format(name))
        newest = 'v{0}'.format(world.version)
        for number, _ in enumerate(world.entries):
            for route in ('caption', 'order', 'status', newest):
                request = 'end-{0}-{1}'.format(number, route)
                call = await self._call(request, route, number)
                if call.answer is None or call.answer.status != 200:
                    found.append('does not recover: {0}'.format(call))
        return found
