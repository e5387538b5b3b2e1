"""Tests that all entries together keep the budget of repeats, and use it."""

import itertools
from bisect import bisect_right
from collections.abc import Iterator
from functools import cache
from typing import cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.clock import ManualClock
from figspread.direct.peers.fleet_view import FleetView
from figspread.direct.peers.peer_links import PeerLinks
from figspread.ids import PeerId, ServiceName
from figspread.inner.entry_messages import EntryHello
from figspread.inner.messages import PROTOCOL_VERSION
from figspread.policy.repeats import BudgetTerms, RepeatBudget

POOL = ServiceName('pool')
TERMS = BudgetTerms(ratio=0.2, slack=120, window_s=10)
STEP_S = 0.5
SETTLED_S = 30


class KnownLinks:
    """The connections of an entry: what it dials, and which of these answer."""

    def __init__(self) -> None:
        """Start without any."""
        self.dialled: set[str] = set()
        self.connected: set[str] = set()

    def list_dialled(self) -> set[str]:
        """Return the addresses of all entries that are dialled."""
        return self.dialled

    def list_senders(self) -> Iterator[tuple[None, EntryHello]]:
        """Yield the connected entries."""
        for address in sorted(self.connected):
            yield None, _make_hello(address)


class Process:
    """One process of an entry, which repeats whatever its budget allows."""

    def __init__(self, fleet: 'CutFleet', *, is_first: bool) -> None:
        """Start without the list of entries."""
        self.links = KnownLinks()
        self.view = FleetView(
            PeerId('self'), cast(PeerLinks, self.links), fleet.clock
        )
        self.budget = RepeatBudget(fleet.clock, TERMS)
        if is_first:
            self.budget.record_first_process()


class CutFleet:
    """Entries, and the first and repeated sends of all of them."""

    def __init__(self, entries: int) -> None:
        """Start all entries for the first time, connected."""
        self.clock = ManualClock(1000)
        self.first_s: list[float] = []
        self.repeated_s: list[float] = []
        self.group_count = 1
        self.has_store = True
        names = [str(number) for number in range(entries)]
        self.processes: dict[str, Process] = {}
        for name in names:
            self.processes[name] = Process(self, is_first=True)
        for name in names:
            self._read_list(name)
        self.update()

    def restart(self, name: str) -> None:
        """Replace a process by one that knows nothing."""
        self.processes[name] = Process(self, is_first=False)
        self._read_list(name)
        self.update()

    def leave(self, name: str) -> None:
        """End a process that tells those that it reaches."""
        process = self.processes.pop(name)
        for other in process.links.connected & set(self.processes):
            view = self.processes[other].view
            view.record_leaving(PeerId(name))
            view.record_loss(PeerId(name), name)
        self.update()

    def update(self) -> None:
        """Let all entries notice who is connected."""
        for name, process in self.processes.items():
            process.links.connected = {
                other
                for other in self.processes
                if other != name and self._find_group(other, name)
            }
            process.links.dialled |= process.links.connected
            process.budget.record_entries(process.view.count_entries())

    def play(self, seconds: float, requests: int, repeats: int) -> None:
        """Let each entry get so many requests, and want repeats, each step."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self.update()
            now = self.clock.now()
            for process in self.processes.values():
                for _ in range(requests):
                    process.budget.record_first_send(POOL)
                self.first_s.extend(itertools.repeat(now, requests))
                allowed = _repeat(process.budget, repeats)
                self.repeated_s.extend(itertools.repeat(now, allowed))

    def list_windows(self) -> Iterator[tuple[int, float]]:
        """Yield the repeats of each window, and those that are allowed."""
        for end_s in sorted(set(self.repeated_s)):
            repeats = _count(self.repeated_s, end_s)
            requests = max(
                _count(self.first_s, end_s - before_s)
                for before_s in (0, TERMS.window_s / 2, TERMS.window_s)
            )
            yield repeats, TERMS.ratio * requests + TERMS.slack

    def _find_group(self, one: str, other: str) -> bool:
        return int(one) % self.group_count == int(other) % self.group_count

    def _read_list(self, name: str) -> None:
        if self.has_store:
            process = self.processes[name]
            process.links.dialled |= set(self.processes) - {name}
            process.view.record_list()


@cache
def _make_hello(address: str) -> EntryHello:
    return EntryHello(PROTOCOL_VERSION, PeerId(address), address)


def _repeat(
    budget: RepeatBudget, tries: int, service: ServiceName = POOL
) -> int:
    """Send as many repeats at once as are allowed; return how many these are."""
    allowed = sum(budget.try_reserve(service) for _ in range(tries))
    for _ in range(allowed):
        budget.record_repeat(service)
    return allowed


def _count(times_s: list[float], end_s: float) -> int:
    """Count those in the window that ends at `end_s`; they are in order."""
    before = bisect_right(times_s, end_s - TERMS.window_s)
    return bisect_right(times_s, end_s) - before


def _break_apart(fleet: CutFleet) -> None:
    fleet.group_count = len(fleet.processes)


def _end_most(fleet: CutFleet) -> None:
    for name in tuple(fleet.processes)[1:]:
        fleet.processes.pop(name)


def _leave_most(fleet: CutFleet) -> None:
    for name in tuple(fleet.processes)[1:]:
        fleet.leave(name)


def _restart_all(fleet: CutFleet) -> None:
    for name in tuple(fleet.processes):
        fleet.restart(name)


def _restart_cut_off(fleet: CutFleet) -> None:
    _break_apart(fleet)
    _restart_all(fleet)


def _restart_without_store(fleet: CutFleet) -> None:
    fleet.has_store = False
    _restart_cut_off(fleet)


TROUBLES = {
    'cut off from each other': _break_apart,
    'killed but one': _end_most,
    'stopped but one': _leave_most,
    'restarted': _restart_all,
    'restarted, cut off': _restart_cut_off,
    'restarted, cut off, without the store': _restart_without_store,
}


@pytest.mark.parametrize('entries', [3, 23, 68])
@pytest.mark.parametrize('trouble', TROUBLES)
def test_entries_that_do_not_hear_each_other_keep_the_budget(
    trouble: str, entries: int
) -> None:
    """Guard against as many budgets as there are entries without a peer."""
    fleet = CutFleet(entries)
    fleet.play(SETTLED_S, requests=1, repeats=10)
    for _ in range(3):
        TROUBLES[trouble](fleet)
        fleet.play(3, requests=1, repeats=10)
    fleet.play(TERMS.window_s, requests=1, repeats=10)
    assert all(repeats <= allowed for repeats, allowed in fleet.list_windows())


@settings(max_examples=40)
@given(
    entries=st.integers(2, 8),
    steps=st.lists(
        st.tuples(
            st.sampled_from(('restart', 'leave', 'cut', 'store', 'play')),
            st.integers(0, 7),
        ),
        max_size=25,
    ),
)
def test_budget_is_kept_in_any_order_of_restarts_and_cuts(
    entries: int, steps: list[tuple[str, int]]
) -> None:
    """Guard against any order in which parts add up to more than the slack."""
    fleet = CutFleet(entries)
    for kind, number in steps:
        name = str(number % entries)
        if kind == 'restart':
            fleet.restart(name)
        elif kind == 'leave' and name in fleet.processes:
            fleet.leave(name)
        elif kind == 'cut':
            fleet.group_count = 1 + number % entries
        elif kind == 'store':
            fleet.has_store = number % 2 == 0
        fleet.play(1, requests=number, repeats=100)
    assert all(repeats <= allowed for repeats, allowed in fleet.list_windows())


@pytest.mark.parametrize('entries', [1, 3, 23])
def test_connected_entries_may_use_most_of_the_budget(entries: int) -> None:
    """Guard against callers who fail though the budget would allow a repeat."""
    fleet = CutFleet(entries)
    fleet.play(3 * TERMS.window_s, requests=2, repeats=100)
    repeats, allowed = list(fleet.list_windows())[-1]
    # Each entry may be short of one whole repeat.
    assert repeats > 0.75 * allowed - entries


def test_restarted_entry_may_repeat_again() -> None:
    """Guard against an entry that stays without repeats after its start."""
    fleet = CutFleet(3)
    budget = fleet.processes['0'].budget
    assert _repeat(budget, 100) == 30
    fleet.restart('0')
    budget = fleet.processes['0'].budget
    for _ in range(20):
        budget.record_first_send(POOL)
    by_ratio = _repeat(budget, 100)
    fleet.clock.advance(5)
    while_it_grows = _repeat(budget, 100)
    fleet.play(11, requests=0, repeats=0)
    whole_part = _repeat(budget, 100)
    assert (by_ratio, while_it_grows, whole_part) == (3, 5, 30)


def test_repeats_at_a_service_depend_on_its_own_requests_only() -> None:
    """Guard against repeats that the requests for another service allow."""
    budget = CutFleet(3).processes['0'].budget
    desk = ServiceName('desk')
    for _ in range(1000):
        budget.record_first_send(POOL)
    for _ in range(20):
        budget.record_first_send(desk)
    at_desk = _repeat(budget, 1000, desk)
    at_pool = _repeat(budget, 1000)
    assert (at_desk, at_pool) == (33, 180)


def test_repeats_that_wait_count_when_they_are_sent() -> None:
    """Guard against repeats of two windows that reach upstreams within one."""
    fleet = CutFleet(1)
    budget = fleet.processes['0'].budget
    waiting = sum(budget.try_reserve(POOL) for _ in range(1000))
    fleet.clock.advance(TERMS.window_s + 1)
    while_they_wait = _repeat(budget, 1000)
    for _ in range(waiting):
        budget.record_repeat(POOL)
    fleet.clock.advance(TERMS.window_s - 1)
    after_they_went = _repeat(budget, 1000)
    assert (waiting, while_they_wait, after_they_went) == (90, 0, 0)


def test_repeats_that_are_not_sent_are_returned() -> None:
    """Guard against a budget that requests use up which never were repeated."""
    budget = CutFleet(1).processes['0'].budget
    reserved = sum(budget.try_reserve(POOL) for _ in range(1000))
    for _ in range(reserved):
        budget.release(POOL)
    assert _repeat(budget, 1000) == reserved
