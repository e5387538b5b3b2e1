"""One run of the soak: requests under faults, then a check of recovery."""

import asyncio
import random
import time
from typing import Final

import msgspec

from bench.giftwrap.caller import Answer, Caller
from bench.soak.checks import (
    OUTPUT_TOKENS,
    Call,
    InjectedFault,
    find_violations,
)
from bench.soak.cold_engines import find_cold_violations, restart_engine
from bench.soak.deadly_parts import (
    find_deadly_violations,
    list_entry_faults,
    send_deadly_parts,
)
from bench.soak.evacuations import EvacuationPlay
from bench.soak.faults import (
    COLD_FAULT,
    DEADLY_FAULT,
    EVACUATION_FAULT,
    FAULT_ACTIONS,
    STATED_ACTIONS,
    PlannedFault,
    make_plan,
)
from bench.soak.fleet import Fleet
from bench.soak.stated_checks import find_stated_violations
from figspread.http1.answers import ExchangeError
from figspread.http1.client import Unreachable

# Rate of requests to all entries together.
CALLS_PER_S: Final = 30
# Timeout that callers send with each request.
REQUEST_TIMEOUT_S: Final = 4.0
# Wait between the readiness of all entries and the check of recovery, long
# enough for memory reservations that nobody renews to expire.
RECOVERY_WAIT_S: Final = 5.0
ROUTE_WEIGHTS: Final = {
    'caption': 6,
    'once': 2,
    'status': 4,
    'order': 4,
    'giant': 1,
}
# Prompt tokens by route; requests to other routes state no token usage.
PROMPT_TOKENS: Final = {'caption': 5000, 'once': 5000, 'giant': 700_000}
# How long past its timeout a caller waits for a request to end.
HANG_GRACE_S: Final = 6.0


class Outcome(msgspec.Struct, frozen=True):
    """Counts and violations of a run; `folder` has the logs of its entries."""

    seed: int
    calls: int
    answered: int
    faults: int
    violations: list[str]
    folder: str


class SoakRun:
    """Executes the fault plan of a seed on a fleet of its own."""

    def __init__(self, seed: int, length_s: float, entries: int) -> None:
        """Create the fleet and the plan; `execute` runs them."""
        self._seed = seed
        self._length_s = length_s
        self._rng = random.Random(seed)
        self._fleet = Fleet(seed, entries)
        self._plan = make_plan(seed, length_s)
        self._calls: list[Call] = []
        self._evacuations = EvacuationPlay()
        self._injected_faults: list[InjectedFault] = []
        self._started = time.monotonic()

    async def execute(self) -> Outcome:
        """Run the load with its faults and return the outcome."""
        try:
            await self._fleet.start()
            self._started = time.monotonic()
            async with asyncio.TaskGroup() as group:
                for fault in self._plan:
                    group.create_task(self._inject_fault(fault))
                for number in range(round(self._length_s * CALLS_PER_S)):
                    group.create_task(self._call_at_start_time(number))
            violations = await self._check_recovery()
            violations += self._find_violations()
        finally:
            await self._fleet.stop()
        answered = [
            call.request
            for call in self._calls
            if call.answer is not None and call.answer.status == 200
        ]
        return Outcome(
            self._seed,
            len(self._calls),
            len(answered),
            len(self._injected_faults),
            violations,
            str(self._fleet.folder),
        )

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
            *find_violations(self._fleet, self._calls, self._injected_faults),
            *find_stated_violations(
                self._fleet, self._calls, self._injected_faults, self._started
            ),
            *find_deadly_violations(
                self._fleet, deadly, entry_faults, self._started
            ),
            *find_cold_violations(self._fleet),
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
        }
        await actions[fault.kind](self._fleet, fault)
        self._injected_faults.append(
            InjectedFault(fault, started_s, self._now())
        )

    async def _call_at_start_time(self, number: int) -> None:
        entry = self._rng.randrange(len(self._fleet.entries))
        routes = list(ROUTE_WEIGHTS)
        route = self._rng.choices(routes, list(ROUTE_WEIGHTS.values()))[0]
        await asyncio.sleep(number / CALLS_PER_S)
        name = 's{0}-{1}'.format(self._seed, number)
        self._calls.append(await self._make_call(name, route, entry))

    async def _make_call(self, name: str, route: str, entry: int) -> Call:
        caller = Caller(self._fleet.entries[entry].address)
        prompt_tokens = PROMPT_TOKENS.get(route)
        usage = (
            '{0},{1}'.format(prompt_tokens, OUTPUT_TOKENS)
            if prompt_tokens
            else ''
        )
        sent_s = self._now()
        answer: Answer | None = None
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S + HANG_GRACE_S):
                answer = await caller.call(
                    'caption' if route == 'giant' else route,
                    usage=usage,
                    limit_ms=round(REQUEST_TIMEOUT_S * 1000),
                    request_id=name,
                    body=name.encode(),
                    # Sound prompts share the first part of deadly ones.
                    parts=(
                        'common:40,{0}:40'.format(name) if prompt_tokens else ''
                    ),
                )
        except (ExchangeError, Unreachable, TimeoutError):
            answer = None
        return Call(
            name,
            route,
            entry,
            sent_s,
            self._now(),
            REQUEST_TIMEOUT_S,
            answer,
        )

    async def _check_recovery(self) -> list[str]:
        """Return a line for each violation after all faults have been undone.

        Upstreams must have released all work and memory, and each entry must
        serve each kind of route, and the newest configuration's own route.
        """
        fleet = self._fleet
        for name in fleet.upstreams:
            await fleet.restart_upstream(name)
        for entry in fleet.entries:
            entry.start()
            await entry.wait_until_ready()
        await asyncio.sleep(RECOVERY_WAIT_S)
        violations = []
        for name, upstream in fleet.upstreams.items():
            if upstream.running_ids:
                violations.append(
                    '{0} runs requests that no caller waits for'.format(name)
                )
            if upstream.list_active_reservations():
                violations.append(
                    '{0} holds reservations that no caller needs'.format(name)
                )
        newest_route = 'v{0}'.format(fleet.config_version)
        for number, _ in enumerate(fleet.entries):
            for route in ('caption', 'order', 'status', newest_route):
                request = 'end-{0}-{1}'.format(number, route)
                call = await self._make_call(request, route, number)
                if call.answer is None or call.answer.status != 200:
                    violations.append(
                        'request failed after faults ended: {0}'.format(call)
                    )
        return violations
