"""Calls to the store and the VM list, counted on a clock of their own."""

import heapq
import random
from collections.abc import Iterator
from typing import Final

import msgspec
from result import Err, Result

from bench.capacity.fleets import make_fleet
from bench.capacity.slopes import Row
from bench.fakes import FakeStore
from figspread.config.document import dump_fleet
from figspread.config.holder import FleetHolder
from figspread.duties.distribution import WATCH_WAIT_S, FleetWatcher, is_watcher
from figspread.duties.head import DOCUMENT_KIND, HEAD_KIND
from figspread.ids import PeerId
from figspread.platform.types import Changes, StoredObject, Unavailable

ENTRY_SIZES: Final = (6, 12, 24)
TARGET_ENTRIES: Final = 24
PLAIN_S: Final = 60
START_S: Final = 1
OUTAGE_S: Final = 30
AFTER_S: Final = 5


class _CountingStore(FakeStore):
    """Counts calls; while down it refuses them all."""

    def __init__(self) -> None:
        super().__init__()
        self.is_down = False
        self.has_watched = False
        self.put_fleet(1)

    def put_fleet(self, number: int) -> None:
        """Have the head name a configuration of that number."""
        name = 'document-{0}'.format(number)
        document = dump_fleet(make_fleet(20, 20, number=number))
        self.table.put(DOCUMENT_KIND, name, document, None)
        head = msgspec.json.encode({'number': number, 'document': name})
        self.table.put(HEAD_KIND, 'head', head, None)

    def get(
        self, kind: str, name: str
    ) -> Result[StoredObject | None, Unavailable]:
        """Return the object, or refuse."""
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
        """Note that the caller would have waited now."""
        self.has_watched = True
        return super().watch(kind, cursor=cursor, wait_s=wait_s)


class _DataCentre:
    """Entries whose rounds follow each other on a clock of their own."""

    def __init__(self, entries: int) -> None:
        """Start all of them within a second, without a configuration."""
        rng = random.Random(entries)
        self.now: float = 0
        self.store = _CountingStore()
        peers = [PeerId('entry-{0}'.format(one)) for one in range(entries)]
        self._watchers = [
            self._make_watcher(peer, peers, random.Random(at))
            for at, peer in enumerate(peers)
        ]
        self._due = [(rng.random(), at) for at in range(entries)]
        heapq.heapify(self._due)

    def run(self, seconds: float) -> float:
        """Go on for that long; return the calls a second."""
        calls = self.store.calls
        ends = self.now + seconds
        while self._due[0][0] < ends:
            due, at = heapq.heappop(self._due)
            self.now = due
            self.store.has_watched = False
            delay_s = self._watchers[at].run_round()
            if self.store.has_watched:
                delay_s += WATCH_WAIT_S
            heapq.heappush(self._due, (self.now + delay_s, at))
        self.now = ends
        return (self.store.calls - calls) / seconds

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


def measure_store() -> Iterator[Row]:
    """Count the calls of a data centre's entries by their number."""
    counts = [_count(size) for size in ENTRY_SIZES]
    names = (
        'store reads, ordinary, a data centre',
        'store reads, all start within 1 s',
        'store reads, during an outage',
        'store reads, 5 s after an outage',
        'store reads, start in an outage',
    )
    for name, by_size in zip(names, zip(*counts, strict=True), strict=True):
        yield Row(name, '1/s', ENTRY_SIZES, by_size, TARGET_ENTRIES)


def _count(size: int) -> tuple[float, ...]:
    centre = _DataCentre(size)
    starting = centre.run(START_S)
    centre.run(START_S * 4)
    ordinary = centre.run(PLAIN_S)
    centre.store.is_down = True
    outage = centre.run(OUTAGE_S)
    centre.store.is_down = False
    after = centre.run(AFTER_S)
    fresh = _DataCentre(size)
    fresh.store.is_down = True
    fresh.run(START_S)
    return ordinary, starting, outage, after, fresh.run(OUTAGE_S)
