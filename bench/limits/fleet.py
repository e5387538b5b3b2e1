"""Simulated entries that share an upstream's limit, on a manual clock."""

import asyncio
import random
from collections.abc import Callable, Collection, Iterator, Mapping
from typing import TypeAlias

import msgspec

from figspread.clock import ManualClock
from figspread.direct.model import Upstream, UpstreamState
from figspread.direct.peers.permits import Permits
from figspread.direct.requests.send_gate import PERMIT_TTL_S
from figspread.direct.state.upstream_notices import (
    UpstreamNotices,
    identify_run,
)
from figspread.ids import DataCentreId, PeerId, ServiceName, UpstreamId
from figspread.inner.codec import decode, encode
from figspread.inner.entry_messages import NoticeRow, PermitRequest
from figspread.policy.cold_upstreams import ColdBound, ColdLimit, plan_limit
from figspread.policy.notices import Incarnation, UpstreamNotice
from figspread.policy.rate_owner import (
    ASSUMED_ENTRIES,
    FORGET_COLD_S,
    FORGET_ENTRY_S,
    EntryCensus,
)
from figspread.telemetry.logs import Level, Log

STEP_S = 0.02
# Steps between the heartbeats of all entries.
HEARTBEAT_STEPS = 25
# Entries notice a lost connection after this time.
SILENCE_S = 2.0
# An entry that was frozen handles requests before it notices lost connections.
THAW_S = 0.1
UPSTREAM = Upstream(
    UpstreamId('e-1'),
    ServiceName('pool'),
    '10.0.0.1:80',
    DataCentreId('a'),
    8,
    UpstreamState.READY,
    1,
)


# The group of the entry at an address.
GroupOf: TypeAlias = Callable[[str], int]


# The users' bound on requests to a cold engine in any one second.
COLD_BOUND = ColdBound(1.5, 5)


class SimulatedCold:
    """What one entry knows of the cold upstream."""

    def __init__(self, fleet: 'PermitFleet', entry: 'SimulatedEntry') -> None:
        """Ask `entry` whether it knows."""
        self._fleet = fleet
        self._entry = entry

    def find_run_limit(self, run: Incarnation) -> ColdLimit | None:
        """Return the limit if the entry knows of it."""
        if not self._fleet.cold_per_s or not self._entry.knows_cold:
            return None
        return self.plan_hint(self._fleet.cold_per_s)

    def plan_hint(self, per_s: float) -> ColdLimit:
        """Return the limit of an upstream that a peer knows to be cold."""
        return plan_limit(per_s, COLD_BOUND)

    def list_limited(self) -> Collection[Incarnation]:
        """Return the upstream if the entry knows that it is cold."""
        run = identify_run(UPSTREAM)
        return [] if self.find_run_limit(run) is None else [run]


class SimulatedEntry:
    """An entry that asks for permits and sends what it is allowed.

    It is the `EntryView` of its own `Permits`. While it `is_isolated` it knows of
    no other entry, and no other knows of it. It `knows_cold` if it takes the
    upstream to be cold.
    """

    def __init__(self, fleet: 'PermitFleet', address: str, start: int) -> None:
        """Start the process number `start` at `address`."""
        self.entry = PeerId('{0}-{1}'.format(address, start))
        self.address = address
        self.denied_until_s: float = 0
        self.is_frozen = False
        self.is_isolated = False
        self.thawed_s = float('-inf')
        self.knows_cold = True
        self.notices = UpstreamNotices(fleet.clock, Log(Level.ERROR, {}))
        self.notices.subscribe(self)
        self._cold = SimulatedCold(fleet, self)
        self.permits = Permits(
            self, self.notices, fleet.clock, fleet.rng, self._cold
        )
        self._fleet = fleet
        self._census = EntryCensus()

    def list_owners(
        self, *, is_cold: bool = False
    ) -> Mapping[PeerId, 'SimulatedLink | None']:
        """Return the entries that this one is connected to, and itself."""
        owners: dict[PeerId, SimulatedLink | None] = {
            other.entry: SimulatedLink(self, other)
            for other in self._fleet.list_connected(self)
        }
        owners[self.entry] = None
        return owners

    def share(self, *, is_cold: bool = False) -> float:
        """Return the connected share of all known entries."""
        now = self._fleet.clock.now()
        connected = {
            other.address for other in self._fleet.list_connected(self)
        }
        dialled = {
            other.address
            for other in self._fleet.entries.values()
            if other is not self and not other.is_isolated
        }
        if self.is_isolated:
            return 1 / ASSUMED_ENTRIES if is_cold else 1
        self._census.update(now, connected, dialled)
        return self._census.share(
            now, FORGET_COLD_S if is_cold else FORGET_ENTRY_S
        )

    def announce_notice(self, row: NoticeRow) -> None:
        """Tell the reachable entries what the upstream has stated."""
        for other in self._fleet.list_reachable(self):
            other.notices.merge(row, self.entry)

    def count_message(self, frame: bytes) -> None:
        """Count a message of this entry."""
        self._fleet.messages += 1
        self._fleet.message_bytes += len(frame)

    def is_reachable_from(self, sender: 'SimulatedEntry') -> bool:
        """Return whether messages of `sender` arrive here and are read."""
        return not (
            self.is_frozen
            or self.is_isolated
            or sender.is_isolated
            or self._fleet.is_cut(self, sender)
        )

    async def try_send(self) -> None:
        """Send one request if there is a permit for it."""
        clock = self._fleet.clock
        if self.is_frozen or clock.now() < self.denied_until_s:
            return
        wait_s: float = 0
        run = identify_run(UPSTREAM)
        is_limited = self.notices.find_limit(UPSTREAM) is not None
        if is_limited or self._cold.find_run_limit(run) is not None:
            wait_s = await self.permits.request(run)
        self.denied_until_s = clock.now() + wait_s
        if not wait_s:
            self._fleet.record_send()
            notice = UpstreamNotice(rate_limit=self._fleet.rate_limit)
            self.notices.record(UPSTREAM, notice, has_run=True)


class SimulatedLink(msgspec.Struct, frozen=True):
    """A connection, with messages that arrive at once or not at all."""

    sender: SimulatedEntry
    receiver: SimulatedEntry

    def post(self, frame: bytes) -> None:
        """Deliver a permit request, and its reply."""
        self.sender.count_message(frame)
        question = decode(frame).unwrap()
        assert isinstance(question, PermitRequest)  # noqa: S101
        if self.receiver.is_reachable_from(self.sender):
            reply = self.receiver.permits.answer(self.sender.entry, question)
            self.receiver.count_message(encode(reply))
            self.sender.permits.handle_reply(reply)


class PermitFleet:
    """Entries, who reaches whom, and the requests that the upstream got.

    `group_of` gives entries that reach each other the same group. The upstream
    states `rate_limit`, `None` for none, and is cold with the limit `cold_per_s`
    unless that is 0. Requests use up to `send_delay_s` of their permit's life.
    `messages` counts those about permits,
    with `message_bytes` before the framing of the connection.
    """

    def __init__(
        self,
        entries: int,
        rate_limit: float | None,
        seed: int,
        *,
        cold_per_s: float = 0,
    ) -> None:
        """Start all entries."""
        self.clock = ManualClock(1000)
        self.rng = random.Random(seed)
        self.rate_limit = rate_limit
        self.cold_per_s = cold_per_s
        self.send_delay_s = PERMIT_TTL_S if cold_per_s else 0
        self.arrivals_s: list[float] = []
        self.messages = 0
        self.message_bytes = 0
        self.group_of: GroupOf = lambda _: 0
        self._starts = 0
        self._changed_s = float('-inf')
        self._old_group_of: GroupOf = self.group_of
        self.entries: dict[str, SimulatedEntry] = {}
        for number in range(entries):
            self.restart('10.0.0.{0}'.format(number))

    def restart(self, address: str) -> None:
        """Replace the process at an address by a new one."""
        self._starts += 1
        fresh = SimulatedEntry(self, address, self._starts)
        for other in self.entries.values():
            if other.address != address and not other.is_frozen:
                for row in other.notices.list_rows():
                    fresh.notices.merge(row, other.entry)
        self.entries[address] = fresh

    def add_isolated(self, address: str) -> SimulatedEntry:
        """Start an entry that knows nobody until it is no longer isolated."""
        self._starts += 1
        fresh = SimulatedEntry(self, address, self._starts)
        fresh.is_isolated = True
        self.entries[address] = fresh
        return fresh

    def thaw(self, entry: SimulatedEntry) -> None:
        """Let a frozen entry go on, which has not noticed lost connections."""
        entry.is_frozen = False
        entry.thawed_s = self.clock.now()

    def record_send(self) -> None:
        """Record a request that is sent within the life of its permit."""
        delay_s = self.rng.uniform(0, self.send_delay_s)
        self.arrivals_s.append(self.clock.now() + delay_s)

    def cut(self, group_of: GroupOf) -> None:
        """Let entries of different groups no longer reach each other."""
        self._old_group_of = self.group_of
        self.group_of = group_of
        self._changed_s = self.clock.now()

    def list_reachable(self, entry: SimulatedEntry) -> Iterator[SimulatedEntry]:
        """Yield the other entries that get messages of this one."""
        for other in self.entries.values():
            if other is not entry and other.is_reachable_from(entry):
                yield other

    def list_connected(self, entry: SimulatedEntry) -> Iterator[SimulatedEntry]:
        """Yield those that it believes to reach: it notices a cut late."""
        now = self.clock.now()
        is_fresh = (
            now < self._changed_s + SILENCE_S or now < entry.thawed_s + THAW_S
        )
        group_of = self._old_group_of if is_fresh else self.group_of
        for other in self.entries.values():
            same_group = group_of(other.address) == group_of(entry.address)
            is_known = not (other.is_isolated or entry.is_isolated)
            if other is not entry and same_group and is_known:
                yield other

    def is_cut(self, one: SimulatedEntry, other: SimulatedEntry) -> bool:
        """Return whether messages between two entries are lost."""
        return self.group_of(one.address) != self.group_of(other.address)

    async def run(self, seconds: float, requests_per_s: float) -> None:
        """Play the fleet with requests at random entries."""
        for step in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            asking = [
                entry
                for entry in self.entries.values()
                if self.rng.random()
                < requests_per_s * STEP_S / len(self.entries)
            ]
            await asyncio.gather(*(entry.try_send() for entry in asking))
            if step % HEARTBEAT_STEPS == 0:
                self._send_heartbeats()

    def _send_heartbeats(self) -> None:
        for entry in self.entries.values():
            if not entry.is_frozen:
                entry.permits.update()
