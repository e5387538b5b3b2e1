"""Runs a Gift Wrap store, upstreams and entries in one process."""

import asyncio
import itertools
import os
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from typing import Any, TypeVar

from bench.giftwrap.caller import Caller
from bench.giftwrap.deployment import (
    DESK,
    POOL,
    make_configuration,
    make_settings,
)
from bench.giftwrap.store import PlatformStore
from bench.giftwrap.upstream import Pace, Upstream

from figspread.clock import MonotonicClock
from figspread.direct.lifecycle.app import DirectEntry
from figspread.direct.lifecycle.settings import StoreKinds
from figspread.http1.pool import ConnectionPool
from figspread.telemetry.logs import Level, Log
from giftwrap.settings import decode_settings, read_fields
from giftwrap.store import GiftWrapStore
from giftwrap.wire import GiftWrapWire

STORE_KINDS = StoreKinds(
    'config', 'main', 'servers', 'entries', 'quarantines', 'evacuations'
)
TIMEOUT_S = 20
# Below the range of ephemeral ports, so that no outgoing connection has them.
PORTS = [7401, 7402, 7403, 7404]
_HOST_NUMBERS = itertools.count()
_Result = TypeVar('_Result')


class MemoryLog:
    """Records the messages that an entry logs."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: list[dict[str, Any]] = []

    def write(
        self,
        dictionary: dict[str, Any],
        serializer: object = None,
    ) -> None:
        """Record a message."""
        self.rows.append(dictionary)

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the messages with the event `name`."""
        return [row for row in self.rows if row['message_type'] == name]


class OffsetClock(MonotonicClock):
    """The machine's monotonic clock with an offset that a test can increase."""

    def __init__(self) -> None:
        """Start without an offset."""
        self._offset_s: float = 0

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return super().now() + self._offset_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        self._offset_s += seconds


class Fleet:
    """A store, upstreams, and entries with a caller and a log each."""

    def __init__(self, folder: Path) -> None:
        """Create a fleet that writes its settings files to `folder`."""
        self.store = PlatformStore()
        self.upstreams: dict[str, Upstream] = {}
        self.entries: list[DirectEntry] = []
        self.logs: list[MemoryLog] = []
        self.callers: list[Caller] = []
        self.clock = OffsetClock()
        self._folder = folder

    async def add_upstream(
        self,
        name: str,
        service: str,
        *,
        zone: str = 'a',
        pace: Pace = Pace(),
        slots: int = 8,
    ) -> Upstream:
        """Start an upstream in the data centre `zone` and register it."""
        upstream = Upstream(
            name,
            service,
            zone=zone,
            host=allocate_host(),
            pace=pace,
            slots=slots,
        )
        await upstream.start()
        self.upstreams[name] = upstream
        self.register(upstream)
        return upstream

    def register(self, upstream: Upstream) -> None:
        """Write the upstream's current record to the store."""
        self.store.put('servers', upstream.name, upstream.record)

    async def add_entry(
        self,
        *,
        store: PlatformStore | None = None,
        ip: str = '',
        **settings: str,
    ) -> Caller:
        """Start an entry and return a caller of it.

        The entry uses `store` if given, else the fleet's store, and `ip` if
        given, else an address of its own.
        """
        name = 'entry-{0}'.format(len(self.entries))
        ip = ip or allocate_host()
        path = self._folder / name
        path.write_text(
            make_settings(
                name,
                (store or self.store).address,
                ip,
                PORTS,
                **settings,
            ),
        )
        cfg, store_address = decode_settings(read_fields(path))
        log = MemoryLog()
        entry = DirectEntry(
            cfg,
            STORE_KINDS,
            GiftWrapWire(),
            GiftWrapStore(
                store_address,
                ConnectionPool(MonotonicClock()),
                cfg.store_recovery_s,
            ),
            Log(Level.DEBUG, {'process': name}, logger=log),
            self.clock,
        )
        self.logs.append(log)
        self.entries.append(entry)
        await entry.start()
        caller = Caller(cfg.callers, name)
        self.callers.append(caller)
        return caller

    async def stop(self) -> None:
        """Stop all entries, upstreams and the store, without draining."""
        for entry in self.entries:
            await entry.stop()
        for upstream in self.upstreams.values():
            await upstream.stop()
        await self.store.stop()


@contextmanager
def silent_listener() -> Iterator[str]:
    """Yield an address where connections are neither accepted nor refused."""
    with socket.socket() as listener, socket.socket() as first:
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        # With a backlog of 0 the kernel queues one connection and drops the
        # next ones.
        first.connect(listener.getsockname())
        yield '{0}:{1}'.format(*listener.getsockname())


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until `condition` is true, for `TIMEOUT_S` at most."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


def allocate_host() -> str:
    """Return a loopback address that no other fleet or process uses."""
    number = next(_HOST_NUMBERS)
    process_id = os.getpid()
    return '127.{0}.{1}.{2}'.format(
        1 + process_id % 250,
        process_id // 250 % 250,
        1 + number % 250,
    )


@asynccontextmanager
async def start_fleet(
    folder: Path,
    *,
    entries: int = 1,
) -> AsyncIterator[Fleet]:
    """Yield a fleet of two engines, two plain upstreams and ready entries."""
    fleet = Fleet(folder)
    await fleet.store.start()
    fleet.store.put('config', 'main', make_configuration(7))
    for name in ('e-1', 'e-2'):
        await fleet.add_upstream(name, POOL)
    for name in ('d-1', 'd-2'):
        await fleet.add_upstream(name, DESK)
    try:
        for _ in range(entries):
            await fleet.add_entry()
        await wait_until(lambda: all(entry.is_ready for entry in fleet.entries))
        yield fleet
    finally:
        await fleet.stop()


def run_scenario(
    folder: Path,
    scenario: Callable[[Fleet], Awaitable[_Result]],
    *,
    entries: int = 1,
) -> _Result:
    """Run a scenario on a fleet and return its result."""

    async def run() -> _Result:
        async with start_fleet(folder, entries=entries) as fleet:
            async with asyncio.timeout(TIMEOUT_S):
                return await scenario(fleet)

    return asyncio.run(run())
