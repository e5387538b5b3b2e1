"""Counts the store calls of a data centre's entries in simulated time."""

import heapq
import random
from collections.abc import Iterator
from typing import Final

import msgspec
from result import Err, Result

from bench.capacity.fleets import make_fleet
from bench.capacity.slopes import CostSeries
from bench.fakes import FakeStore
from figspread.config.document import dump_fleet
from figspread.config.holder import FleetHolder
from figspread.duties.distribution import WATCH_WAIT_S, FleetWatcher, is_watcher
from figspread.duties.head import DOCUMENT_KIND, HEAD_KIND
from figspread.ids import PeerId
from figspread.platform.types import Changes, StoredObject, Unavailable

ENTRY_COUNTS: Final = (6, 12, 24)
TARGET_ENTRIES: Final = 24
STEADY_S: Final = 60
START_S: Final = 1
OUTAGE_S: Final = 30
RECOVERY_S: Final = 5


class _CountingStore(FakeStore):
    """Counts calls; while `is_down` each `get` fails."""

    def __init__(self) -> None:
        super().__init__()
        self.is_down = False
        self.has_watched = False
        self.put_fleet(1)

    def put_fleet(self, number: int) -> None:
        """Store a configuration with that number and point the head to it."""
        name = 'document-{0}'.format(number)
        document = dump_fleet(make_fleet(20, 20, number=number))
        self.table.put(DOCUMENT_KIND, name, document, None)
        head = msgspec.json.encode({'number': number, 'document': name})
        self.table.put(HEAD_KIND, 'head', head, None)

    def get(
        self, kind: str, name: str
    ) -> Result[StoredObject | None, Unavailable]:
        """Return the object, or `Unavailable` while the store is down."""
        if self.is_down:
            self.calls += 1
            return Err(Unavailable('down'))
        return super().get(kind, name)

    def watch(
        self,
        kind: str,
        *,
        cursor: int,
        wait_s: float,
    ) -> Result[Changes, Unavailable]:
        """Return changes at once; record that the real call would wait."""
        self.has_watched = True
        return super().watch(kind, cursor=cursor, wait_s=wait_s)


class _SimulatedDataCentre:
    """Watchers of a data centre's entries, run in simulated time."""

    def __init__(self, entries: int) -> None:
        """Schedule the first rounds within a second, without configurations."""
        rng = random.Random(entries)
        self.now: float = 0
        self.store = _CountingStore()
        peers = [
            PeerId('entry-{0}'.format(number)) for number in range(entries)
        ]
        self._watchers = [
            self._make_watcher(peer, peers, random.Random(index))
            for index, peer in enumerate(peers)
        ]
        self._schedule = [(rng.random(), index) for index in range(entries)]
        heapq.heapify(self._schedule)

    def run(self, seconds: float) -> float:
        """Advance by `seconds`; return the store calls per second."""
        calls_before = self.store.calls
        end = self.now + seconds
        while self._schedule[0][0] < end:
            due, index = heapq.heappop(self._schedule)
            self.now = due
            self.store.has_watched = False
            delay_s = self._watchers[index].run_round()
            if self.store.has_watched:
                delay_s += WATCH_WAIT_S
            heapq.heappush(self._schedule, (self.now + delay_s, index))
        self.now = end
        return (self.store.calls - calls_before) / seconds

    def _make_watcher(
        self,
        peer: PeerId,
        peers: list[PeerId],
        rng: random.Random,
    ) -> FleetWatcher:
        holder = FleetHolder()
        return FleetWatcher(
            self.store,
            holder,
            rng=rng,
            is_needed=lambda: (
                holder.fleet.number == 0 or is_watcher(peer, peers)
            ),
        )


def measure_store() -> Iterator[CostSeries]:
    """Measure the store calls of a data centre by its number of entries."""
    rates = [_measure_call_rates(size) for size in ENTRY_COUNTS]
    names = (
        'store reads, ordinary, a data centre',
        'store reads, all start within 1 s',
        'store reads, during an outage',
        'store reads, 5 s after an outage',
        'store reads, start in an outage',
    )
    for name, rates_by_size in zip(
        names, zip(*rates, strict=True), strict=True
    ):
        yield CostSeries(
            name, '1/s', ENTRY_COUNTS, rates_by_size, TARGET_ENTRIES
        )


def _measure_call_rates(size: int) -> tuple[float, ...]:
    centre = _SimulatedDataCentre(size)
    starting = centre.run(START_S)
    centre.run(START_S * 4)
    ordinary = centre.run(STEADY_S)
    centre.store.is_down = True
    outage = centre.run(OUTAGE_S)
    centre.store.is_down = False
    recovery = centre.run(RECOVERY_S)
    restarted = _SimulatedDataCentre(size)
    restarted.store.is_down = True
    restarted.run(START_S)
    return ordinary, starting, outage, recovery, restarted.run(OUTAGE_S)
