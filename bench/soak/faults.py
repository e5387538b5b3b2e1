"""Faults that a soak injects.

Most last for a time and are undone. If two that overlap set the same state,
such as the mode of the store, the end of the first also ends the other.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Mapping
from typing import Final, TypeAlias

import msgspec

from bench.giftwrap.store import StoreMode
from bench.giftwrap.upstream import Fault
from bench.soak.fleet import EntryProcess, Fleet

FaultAction: TypeAlias = Callable[[Fleet, 'PlannedFault'], Awaitable[None]]

MIN_DURATION_S: Final = 0.2
MAX_DURATION_S: Final = 3.0
# Upstream faults that affect single requests. `_fail_requests` sets one of them
# on one upstream, for half of its requests.
REQUEST_FAULTS: Final = (
    Fault.RESETS,
    Fault.DUPLICATE_RESPONSE,
    Fault.FOREIGN,
    Fault.UNFRAMED,
    Fault.TRUNCATED,
    Fault.CONTENT_CODED,
    Fault.ERROR,
    Fault.HANGS,
    Fault.FULL,
    Fault.WITHIN_EVENT,
)


class PlannedFault(msgspec.Struct, frozen=True):
    """A planned fault, `start_s` after the run's start for `duration_s`.

    Terminations, hang-up signals, resets, changes of the configuration and the
    loss of the store's history ignore `duration_s`. `selector` is a random
    number that selects the target and the variant.
    """

    start_s: float
    kind: str
    duration_s: float
    selector: int


def make_plan(seed: int, length_s: float) -> list[PlannedFault]:
    """Return the plan of a seed: one fault a second on average, overlapping."""
    rng = random.Random(seed)
    return sorted(
        (
            PlannedFault(
                rng.uniform(0, length_s),
                rng.choice(sorted(FAULT_ACTIONS)),
                rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
                rng.randrange(1_000_000),
            )
            for _ in range(round(length_s))
        ),
        key=lambda fault: fault.start_s,
    )


def select_entry(fleet: Fleet, fault: PlannedFault) -> EntryProcess:
    """Return the entry process that a fault targets."""
    return fleet.entries[fault.selector % len(fleet.entries)]


def _select_upstream(fleet: Fleet, fault: PlannedFault) -> str:
    names = sorted(fleet.upstreams)
    return names[fault.selector % len(names)]


async def _kill_entry(fleet: Fleet, fault: PlannedFault) -> None:
    entry = select_entry(fleet, fault)
    await entry.kill()
    await asyncio.sleep(fault.duration_s)
    entry.start()


async def _pause_entry(fleet: Fleet, fault: PlannedFault) -> None:
    entry = select_entry(fleet, fault)
    entry.signal_process(signal.SIGSTOP)
    await asyncio.sleep(fault.duration_s)
    entry.signal_process(signal.SIGCONT)


async def _terminate_entry(fleet: Fleet, fault: PlannedFault) -> None:
    entry = select_entry(fleet, fault)
    entry.signal_process(signal.SIGCONT)
    entry.signal_process(signal.SIGTERM)
    await entry.wait_for_exit()
    entry.start()


async def _send_hangup_signal(fleet: Fleet, fault: PlannedFault) -> None:
    select_entry(fleet, fault).signal_process(signal.SIGHUP)


async def _change_configuration(fleet: Fleet, fault: PlannedFault) -> None:
    for _ in range(1 + fault.selector % 3):
        fleet.write_next_configuration()
        await asyncio.sleep(MIN_DURATION_S / 2)


async def _fail_store(fleet: Fleet, fault: PlannedFault) -> None:
    modes = [mode for mode in StoreMode if mode is not StoreMode.WORKS]
    fleet.store.switch_mode(modes[fault.selector % len(modes)])
    await asyncio.sleep(fault.duration_s)
    fleet.store.switch_mode(StoreMode.WORKS)


async def _delay_store(fleet: Fleet, fault: PlannedFault) -> None:
    # Each answer takes 0.3 s. With an even selector, the store also applies
    # writes without an answer: it resets the connection instead.
    fleet.store.delay_s = 0.3
    fleet.store.drops_write_answers = fault.selector % 2 == 0
    await asyncio.sleep(fault.duration_s)
    fleet.store.delay_s = 0
    fleet.store.drops_write_answers = False


async def _drop_store_history(fleet: Fleet, fault: PlannedFault) -> None:
    fleet.store.forget_history()


async def _silence_store_link(fleet: Fleet, fault: PlannedFault) -> None:
    relay = select_entry(fleet, fault).store_relay
    relay.stall(is_one_way=fault.selector % 3 == 0)
    await asyncio.sleep(fault.duration_s)
    relay.resume()


async def _reset_store_link(fleet: Fleet, fault: PlannedFault) -> None:
    select_entry(fleet, fault).store_relay.reset()


async def _fail_requests(fleet: Fleet, planned_fault: PlannedFault) -> None:
    upstream = fleet.upstreams[_select_upstream(fleet, planned_fault)]
    upstream.fault = REQUEST_FAULTS[
        planned_fault.selector % len(REQUEST_FAULTS)
    ]
    upstream.fault_share = 0.5
    await asyncio.sleep(planned_fault.duration_s)
    upstream.fault = Fault.NONE


async def _crash_upstream(fleet: Fleet, fault: PlannedFault) -> None:
    name = _select_upstream(fleet, fault)
    await fleet.upstreams[name].stop()
    await asyncio.sleep(fault.duration_s)
    await fleet.restart_upstream(name)


async def _silence_upstream_link(fleet: Fleet, fault: PlannedFault) -> None:
    relay = fleet.relays[_select_upstream(fleet, fault)]
    relay.stall(is_one_way=fault.selector % 3 == 0)
    await asyncio.sleep(fault.duration_s)
    relay.resume()


async def _delay_upstream_link(fleet: Fleet, fault: PlannedFault) -> None:
    relay = fleet.relays[_select_upstream(fleet, fault)]
    relay.delay_s = 0.05
    await asyncio.sleep(fault.duration_s)
    relay.delay_s = 0


async def _reset_upstream_link(fleet: Fleet, fault: PlannedFault) -> None:
    fleet.relays[_select_upstream(fleet, fault)].reset()


async def _let_upstream_leave(fleet: Fleet, fault: PlannedFault) -> None:
    name = _select_upstream(fleet, fault)
    fleet.upstreams[name].state = 'draining'
    fleet.register_upstream(name)
    await asyncio.sleep(fault.duration_s)
    fleet.upstreams[name].state = 'ready'
    fleet.register_upstream(name)


FAULT_ACTIONS: Final[Mapping[str, FaultAction]] = {
    'kill an entry': _kill_entry,
    'pause an entry': _pause_entry,
    'terminate an entry': _terminate_entry,
    'hang up an entry': _send_hangup_signal,
    'change the configuration': _change_configuration,
    'fail the store': _fail_store,
    'slow the store': _delay_store,
    'forget the store history': _drop_store_history,
    'cut an entry from the store': _silence_store_link,
    'reset an entry at the store': _reset_store_link,
    'fail runs of an upstream': _fail_requests,
    'crash an upstream': _crash_upstream,
    'cut an upstream': _silence_upstream_link,
    'delay an upstream': _delay_upstream_link,
    'reset an upstream': _reset_upstream_link,
    'let an upstream leave': _let_upstream_leave,
}
# Faults of one entry process. Calls to this entry that overlap one of them, or
# the `RECOVERY_TIME_S` after it, may end after their deadline.
ENTRY_FAULTS: Final = frozenset(
    (
        'kill an entry',
        'pause an entry',
        'terminate an entry',
    )
)
# Planned work, which must not cut off any answer unless another fault does.
PLANNED_WORK: Final = frozenset(
    (
        'terminate an entry',
        'hang up an entry',
        'change the configuration',
    )
)
