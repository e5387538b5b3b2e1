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
from bench.giftwrap.upstream import Fault, StatedTerms
from bench.soak.fleet import EntryProcess, Fleet

STOP_FAULT: Final = 'terminate an entry'
LIMIT_FAULT: Final = 'limit an upstream'
LEAVING_FAULT: Final = 'announce that an upstream leaves'
PAUSE_FAULT: Final = 'ask for pauses of an upstream'
DEADLY_FAULT: Final = 'send prompts with a deadly part'
COLD_FAULT: Final = 'restart an engine'
EVACUATION_FAULT: Final = 'evacuate a data centre'
LOST_ANSWER_FAULT: Final = 'lose answers of the store'
CROWD_FAULT: Final = 'crowd an entry'
FaultAction: TypeAlias = Callable[[Fleet, 'PlannedFault'], Awaitable[None]]

MIN_DURATION_S: Final = 0.2
MAX_DURATION_S: Final = 3.0
# What upstreams state holds longer, as its checks begin after some seconds.
MAX_STATED_S: Final = 8.0
STATED_FAULTS_PER_S: Final = 0.4
COLD_FAULTS_PER_S: Final = 0.4
# Evacuations of a run, of one data centre or the other.
EVACUATIONS: Final = 2
MAX_EVACUATION_S: Final = 6.0
MAX_CROWD_S: Final = 6.0
STATED_LIMITS: Final = (0.5, 1, 5)
STATED_PAUSE_S: Final = 1.5
REWRITE_DELAY_S: Final = 0.5
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
    """Return the plan of a seed: one fault a second on average, overlapping.

    Faults of `STATED_ACTIONS` and of further kinds come in addition and are drawn by
    themselves, so that the older ones of a kept seed stay as they were.
    """
    faults = _draw_faults(
        random.Random(seed),
        sorted(FAULT_ACTIONS),
        round(length_s),
        length_s,
        MAX_DURATION_S,
    )
    stated = _draw_faults(
        random.Random(-1 - seed),
        sorted(STATED_ACTIONS),
        round(length_s * STATED_FAULTS_PER_S),
        length_s,
        MAX_STATED_S,
    )
    cold_count = round(length_s * COLD_FAULTS_PER_S)
    return sorted(
        (
            *faults,
            *stated,
            *_draw_kind(
                'deadly', seed, DEADLY_FAULT, 1, length_s / 2, length_s
            ),
            *_draw_kind(
                'cold', seed, COLD_FAULT, cold_count, length_s, MAX_DURATION_S
            ),
            *_draw_kind(
                'evacuations',
                seed,
                EVACUATION_FAULT,
                EVACUATIONS,
                length_s,
                MAX_EVACUATION_S,
            ),
            *_draw_kind(
                'lost answers',
                seed,
                LOST_ANSWER_FAULT,
                1,
                length_s,
                MAX_DURATION_S,
            ),
            *_draw_kind('crowds', seed, CROWD_FAULT, 1, length_s, MAX_CROWD_S),
        ),
        key=lambda fault: fault.start_s,
    )


def _draw_kind(
    name: str,
    seed: int,
    kind: str,
    count: int,
    length_s: float,
    max_duration_s: float,
) -> list[PlannedFault]:
    return _draw_faults(
        random.Random('{0} {1}'.format(name, seed)),
        [kind],
        count,
        length_s,
        max_duration_s,
    )


def _draw_faults(
    rng: random.Random,
    kinds: list[str],
    count: int,
    length_s: float,
    max_duration_s: float,
) -> list[PlannedFault]:
    return [
        PlannedFault(
            rng.uniform(0, length_s),
            rng.choice(kinds),
            rng.uniform(MIN_DURATION_S, max_duration_s),
            rng.randrange(1_000_000),
        )
        for _ in range(count)
    ]


def select_entry(fleet: Fleet, fault: PlannedFault) -> EntryProcess:
    """Return the entry process that a fault targets."""
    return fleet.entries[fault.selector % len(fleet.entries)]


def select_upstream(fleet: Fleet, fault: PlannedFault) -> str:
    """Return the name of the upstream that a fault targets."""
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


async def lose_store_answers(fleet: Fleet, fault: PlannedFault) -> None:
    """Lose the answers that tell of two changes of the configuration."""
    fleet.store.lost_kinds = {'config'}
    fleet.write_next_configuration()
    await asyncio.sleep(fault.duration_s)
    fleet.write_next_configuration()
    await asyncio.sleep(MIN_DURATION_S)
    fleet.store.lost_kinds = set()


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
    upstream = fleet.upstreams[select_upstream(fleet, planned_fault)]
    upstream.fault = REQUEST_FAULTS[
        planned_fault.selector % len(REQUEST_FAULTS)
    ]
    upstream.fault_share = 0.5
    await asyncio.sleep(planned_fault.duration_s)
    upstream.fault = Fault.NONE


async def _crash_upstream(fleet: Fleet, fault: PlannedFault) -> None:
    name = select_upstream(fleet, fault)
    await fleet.upstreams[name].stop()
    await asyncio.sleep(fault.duration_s)
    await fleet.restart_upstream(name)


async def _silence_upstream_link(fleet: Fleet, fault: PlannedFault) -> None:
    relay = fleet.relays[select_upstream(fleet, fault)]
    relay.stall(is_one_way=fault.selector % 3 == 0)
    await asyncio.sleep(fault.duration_s)
    relay.resume()


async def _delay_upstream_link(fleet: Fleet, fault: PlannedFault) -> None:
    relay = fleet.relays[select_upstream(fleet, fault)]
    relay.delay_s = 0.05
    await asyncio.sleep(fault.duration_s)
    relay.delay_s = 0


async def _reset_upstream_link(fleet: Fleet, fault: PlannedFault) -> None:
    fleet.relays[select_upstream(fleet, fault)].reset()


async def _let_upstream_leave(fleet: Fleet, fault: PlannedFault) -> None:
    name = select_upstream(fleet, fault)
    fleet.upstreams[name].state = 'draining'
    fleet.register_upstream(name)
    await asyncio.sleep(fault.duration_s)
    fleet.upstreams[name].state = 'ready'
    fleet.register_upstream(name)


async def _limit_upstream(fleet: Fleet, fault: PlannedFault) -> None:
    rate_limit = STATED_LIMITS[fault.selector % len(STATED_LIMITS)]
    await _state_terms(fleet, fault, StatedTerms(rate_limit=rate_limit))


async def _announce_leaving(fleet: Fleet, fault: PlannedFault) -> None:
    await _state_terms(fleet, fault, StatedTerms(is_leaving=True))
    # It comes back as a new process.
    await fleet.restart_upstream(select_upstream(fleet, fault))


async def _ask_for_pauses(fleet: Fleet, fault: PlannedFault) -> None:
    upstream = fleet.upstreams[select_upstream(fleet, fault)]
    upstream.fault = Fault.FULL
    upstream.fault_share = 0.5
    await _state_terms(fleet, fault, StatedTerms(pause_s=STATED_PAUSE_S))
    upstream.fault = Fault.NONE


async def _state_terms(
    fleet: Fleet, fault: PlannedFault, terms: StatedTerms
) -> None:
    upstream = fleet.upstreams[select_upstream(fleet, fault)]
    upstream.terms = terms
    await asyncio.sleep(fault.duration_s)
    upstream.terms = StatedTerms()


async def _restore_store(fleet: Fleet, fault: PlannedFault) -> None:
    earlier = fleet.store.take_copy()
    await asyncio.sleep(fault.duration_s)
    fleet.store.restore(earlier)
    await asyncio.sleep(REWRITE_DELAY_S)
    fleet.rewrite_store()


STATED_ACTIONS: Final[Mapping[str, FaultAction]] = {
    LIMIT_FAULT: _limit_upstream,
    LEAVING_FAULT: _announce_leaving,
    PAUSE_FAULT: _ask_for_pauses,
    'restore the store': _restore_store,
}
FAULT_ACTIONS: Final[Mapping[str, FaultAction]] = {
    'kill an entry': _kill_entry,
    'pause an entry': _pause_entry,
    STOP_FAULT: _terminate_entry,
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
        STOP_FAULT,
    )
)
# Planned work, which must not cut off any answer unless another fault does.
PLANNED_WORK: Final = frozenset(
    (
        STOP_FAULT,
        'hang up an entry',
        'change the configuration',
    )
)
