"""A run of the soak with planned stops in series, under load that waits."""

import asyncio
import random
import signal
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import msgspec

from bench.giftwrap.deployment import GRACE_S, POOL
from bench.giftwrap.upstream import Pace
from bench.soak.calls import Call, CallPlan, CallSender
from bench.soak.checks import find_answer_violations, find_unended_calls
from bench.soak.fleet import PACE, ROOT, Fleet
from bench.soak.losses import LossCheck
from bench.soak.outcome import Outcome
from bench.soak.recovery import find_recovery_violations
from bench.soak.stalls import StallMonitor

CALLS_PER_S: Final = 30
ROUTE_WEIGHTS: Final = {'caption': 8, 'once': 4, 'status': 2, 'order': 3}
# Longer than a drain takes, so that some requests could wait past its end.
TIMEOUT_S: Final = 10.0
# Output tokens of streams, which take up to 2 s at engines that aren't slow.
STREAM_TOKENS: Final = (920, 2760, 4600)
# The first stop comes early, so that the shortest run has one.
FIRST_STOP_S: Final = (1.0, 2.5)
STOP_GAP_S: Final = (1.0, 4.0)
POLL_INTERVAL_S: Final = 0.02
ENGINE_SLOTS: Final = 8


class Shortage(msgspec.Struct, frozen=True):
    """A way in which upstreams are too slow, or too few, for their load."""

    pace: Pace = PACE
    engine_slots: int = ENGINE_SLOTS


SHORTAGES: Final = (
    Shortage(Pace(prefill_s=0.3, event_s=0.06, plain_s=1)),
    Shortage(Pace(prefill_s=0.1, event_s=0.1, plain_s=0.01)),
    Shortage(Pace(prefill_s=0.1, event_s=0.03, plain_s=0.5), 3),
)
NO_SHORTAGE: Final = Shortage()


class StopPlan(msgspec.Struct, frozen=True):
    """The stops of a run, and a shortage; times are seconds since its start.

    `stops` are the times with the numbers of the entries.
    """

    stops: list[tuple[float, int]]
    shortage: Shortage
    shortage_s: tuple[float, float]


class Stop(msgspec.Struct, frozen=True):
    """When an entry got SIGTERM; seconds since the run's start."""

    entry: int
    asked_s: float


def make_stop_plan(seed: int, length_s: float, entries: int) -> StopPlan:
    """Return the plan of a seed: stops in series until `length_s`.

    The shortage holds for half of that time, and at least as long as a drain.
    """
    rng = random.Random('stops {0}'.format(seed))
    shortage = rng.choice(SHORTAGES)
    begin_s = rng.uniform(0, length_s / 4)
    stops = []
    at_s = rng.uniform(*FIRST_STOP_S)
    while at_s < length_s:
        stops.append((at_s, rng.randrange(entries)))
        at_s += rng.uniform(*STOP_GAP_S)
    end_s = begin_s + max(length_s / 2, GRACE_S)
    return StopPlan(stops, shortage, (begin_s, end_s))


class StopRun:
    """Stops entries one after the other, and starts each again at once.

    The load goes on until the last stopped process has ended.
    """

    def __init__(
        self, seed: int, length_s: float, entries: int, root: Path = ROOT
    ) -> None:
        """Create the fleet and the plan; `execute` runs them."""
        self._seed = seed
        self._rng = random.Random('stopped calls {0}'.format(seed))
        self._fleet = Fleet(seed, entries, root)
        self._plan = make_stop_plan(seed, length_s, entries)
        self._calls: list[Call] = []
        self._stops: list[Stop] = []
        self._leaving: set[int] = set()
        self._started_s: float = 0

    async def execute(self) -> Outcome:
        """Run the load with the stops and return the outcome."""
        sender = CallSender([], 0)
        try:
            await self._fleet.start()
            self._started_s = asyncio.get_running_loop().time()
            sender = CallSender(
                [entry.address for entry in self._fleet.entries],
                self._started_s,
            )
            stalls = await self._run_load(sender)
            violations = await find_recovery_violations(self._fleet, sender)
            violations += self._find_violations()
        finally:
            sender.close()
            await self._fleet.stop()
        return Outcome.count(
            self._seed,
            self._calls,
            len(self._stops),
            violations,
            self._fleet,
            stalls,
        )

    async def _run_load(self, sender: CallSender) -> list[tuple[float, float]]:
        """Run the load with the stops and return its stalls."""
        monitor = StallMonitor()
        with monitor:
            async with asyncio.TaskGroup() as group:
                stopping = group.create_task(self._stop_in_series())
                group.create_task(self._cause_shortage())
                group.create_task(self._send_calls(sender, stopping))
        return monitor.stalls

    async def _send_calls(
        self, sender: CallSender, stopping: asyncio.Task[None]
    ) -> None:
        number = 0
        async with asyncio.TaskGroup() as group:
            while not stopping.done():
                number += 1
                group.create_task(self._call(sender, self._draw_call(number)))
                await self._sleep_until(number / CALLS_PER_S)

    async def _call(self, sender: CallSender, plan: CallPlan) -> None:
        """Send a request to the first entry that takes the connection."""
        for number, _ in enumerate(self._fleet.entries):
            entry = (plan.entry + number) % len(self._fleet.entries)
            call = await sender.send(msgspec.structs.replace(plan, entry=entry))
            self._calls.append(call)
            if not call.is_unsent:
                return

    def _draw_call(self, number: int) -> CallPlan:
        routes = list(ROUTE_WEIGHTS)
        plan = CallPlan.draw(
            self._rng,
            't{0}-{1}'.format(self._seed, number),
            self._rng.choices(routes, list(ROUTE_WEIGHTS.values()))[0],
            self._rng.randrange(len(self._fleet.entries)),
        )
        return msgspec.structs.replace(
            plan,
            timeout_s=TIMEOUT_S,
            output_tokens=self._rng.choice(STREAM_TOKENS),
        )

    async def _stop_in_series(self) -> None:
        async with asyncio.TaskGroup() as group:
            for at_s, number in self._plan.stops:
                await self._sleep_until(at_s)
                group.create_task(self._stop(await self._select(number)))

    async def _select(self, number: int) -> int:
        """Return the first entry from `number` on that isn't leaving yet."""
        count = len(self._fleet.entries)
        while len(self._leaving) == count:
            await asyncio.sleep(POLL_INTERVAL_S)
        while number in self._leaving:
            number = (number + 1) % count
        self._leaving.add(number)
        return number

    async def _stop(self, number: int) -> None:
        entry = self._fleet.entries[number]
        self._stops.append(Stop(number, self._now()))
        entry.signal_process(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await entry.wait_for_exit()
        except TimeoutError:
            await entry.kill()
        entry.start()
        self._leaving.discard(number)

    async def _cause_shortage(self) -> None:
        begin_s, end_s = self._plan.shortage_s
        await self._sleep_until(begin_s)
        self._apply(self._plan.shortage)
        await self._sleep_until(end_s)
        self._apply(NO_SHORTAGE)

    def _apply(self, shortage: Shortage) -> None:
        for name, upstream in self._fleet.upstreams.items():
            upstream.pace = shortage.pace
            if upstream.service == POOL:
                upstream.slots = shortage.engine_slots
                self._fleet.register_upstream(name)

    def _find_violations(self) -> list[str]:
        return [
            *find_answer_violations(self._fleet, self._calls),
            *find_unended_calls(self._calls),
            *find_losses(
                self._calls,
                self._stops,
                LossCheck(self._fleet.upstreams.values(), self._started_s),
            ),
        ]

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(at_s - self._now())

    def _now(self) -> float:
        return asyncio.get_running_loop().time() - self._started_s


def find_losses(
    calls: Sequence[Call], stops: Sequence[Stop], check: LossCheck
) -> list[str]:
    """Return a line for each request that was cut without an excuse."""
    violations = []
    for call in calls:
        stops_s = [stop.asked_s for stop in stops if stop.entry == call.entry]
        if call.is_cut and not check.is_excused(call, stops_s):
            violations.append(
                'cut without an answer, SIGTERM at {0}: {1}'.format(
                    [round(stop_s, 2) for stop_s in stops_s],
                    check.describe(call),
                )
            )
    return violations
