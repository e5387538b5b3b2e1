"""One run of the soak: requests under faults, then a check of recovery."""

import asyncio
import random
import time
from pathlib import Path
from typing import Final

from bench.soak.calls import Call, CallPlan, CallSender
from bench.soak.checks import InjectedFault, find_violations
from bench.soak.cold_engines import find_cold_violations, restart_engine
from bench.soak.crowds import (
    CROWD_SETTINGS,
    crowd_entry,
    find_process_violations,
)
from bench.soak.deadly_parts import (
    find_deadly_violations,
    list_entry_faults,
    send_deadly_parts,
)
from bench.soak.evacuations import EvacuationPlay
from bench.soak.faults import (
    COLD_FAULT,
    CROWD_FAULT,
    DEADLY_FAULT,
    EVACUATION_FAULT,
    FAULT_ACTIONS,
    LOST_ANSWER_FAULT,
    STATED_ACTIONS,
    PlannedFault,
    lose_store_answers,
    make_plan,
)
from bench.soak.fleet import ROOT, Fleet
from bench.soak.outcome import Outcome
from bench.soak.recovery import find_recovery_violations
from bench.soak.stalls import StallMonitor
from bench.soak.stated_checks import find_stated_violations

# Rate of requests to all entries together.
CALLS_PER_S: Final = 30
ROUTE_WEIGHTS: Final = {
    'caption': 6,
    'once': 2,
    'status': 4,
    'order': 4,
    'giant': 1,
}


class SoakRun:
    """Executes the fault plan of a seed on a fleet of its own."""

    def __init__(
        self, seed: int, length_s: float, entries: int, root: Path = ROOT
    ) -> None:
        """Create the fleet and the plan; `execute` runs them."""
        self._seed = seed
        self._length_s = length_s
        self._rng = random.Random(seed)
        # Draws by itself, so that kept seeds have the requests that they had.
        self._connection_rng = random.Random('connections {0}'.format(seed))
        self._fleet = Fleet(seed, entries, root, CROWD_SETTINGS)
        self._plan = make_plan(seed, length_s)
        self._calls: list[Call] = []
        self._evacuations = EvacuationPlay()
        self._injected_faults: list[InjectedFault] = []
        self._started = time.monotonic()
        self._sender = CallSender([], self._started)

    async def execute(self) -> Outcome:
        """Run the load with its faults and return the outcome."""
        try:
            await self._fleet.start()
            self._started = time.monotonic()
            self._sender = CallSender(
                [entry.address for entry in self._fleet.entries], self._started
            )
            stalls = await self._run_load()
            violations = await find_recovery_violations(
                self._fleet, self._sender
            )
            violations += self._find_violations()
        finally:
            self._sender.close()
            await self._fleet.stop()
        return Outcome.count(
            self._seed,
            self._calls,
            len(self._injected_faults),
            violations,
            self._fleet,
            stalls,
        )

    async def _run_load(self) -> list[tuple[float, float]]:
        """Run the load with its faults and return its stalls."""
        monitor = StallMonitor()
        with monitor:
            async with asyncio.TaskGroup() as group:
                for fault in self._plan:
                    group.create_task(self._inject_fault(fault))
                for number in range(round(self._length_s * CALLS_PER_S)):
                    group.create_task(self._call_at_start_time(number))
        return monitor.stalls

    def _find_violations(self) -> list[str]:
        deadly = [fault for fault in self._plan if fault.kind == DEADLY_FAULT]
        entry_faults = list_entry_faults(
            self._fleet,
            [
                (injected.fault, injected.started_s, injected.ended_s)
                for injected in self._injected_faults
            ],
        )
        return [
            *find_violations(
                self._fleet, self._calls, self._injected_faults, self._started
            ),
            *find_stated_violations(
                self._fleet, self._calls, self._injected_faults, self._started
            ),
            *find_deadly_violations(
                self._fleet, deadly, entry_faults, self._started
            ),
            *find_cold_violations(self._fleet),
            *find_process_violations(self._fleet.entries),
            *self._evacuations.find_violations(
                self._fleet, self._calls, self._injected_faults, self._started
            ),
        ]

    def _now(self) -> float:
        return time.monotonic() - self._started

    async def _inject_fault(self, fault: PlannedFault) -> None:
        await asyncio.sleep(fault.start_s)
        started_s = self._now()
        actions = {
            **FAULT_ACTIONS,
            **STATED_ACTIONS,
            DEADLY_FAULT: send_deadly_parts,
            COLD_FAULT: restart_engine,
            EVACUATION_FAULT: self._evacuations.evacuate,
            LOST_ANSWER_FAULT: lose_store_answers,
            CROWD_FAULT: crowd_entry,
        }
        await actions[fault.kind](self._fleet, fault)
        self._injected_faults.append(
            InjectedFault(fault, started_s, self._now())
        )

    async def _call_at_start_time(self, number: int) -> None:
        entry = self._rng.randrange(len(self._fleet.entries))
        routes = list(ROUTE_WEIGHTS)
        route = self._rng.choices(routes, list(ROUTE_WEIGHTS.values()))[0]
        name = 's{0}-{1}'.format(self._seed, number)
        plan = CallPlan.draw(self._connection_rng, name, route, entry)
        await asyncio.sleep(number / CALLS_PER_S)
        self._calls.append(await self._sender.send(plan))
