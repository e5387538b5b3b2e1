"""A store, upstreams and entries of the Gift Wrap platform in one process."""

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
from bench.giftwrap.upstream import Upstream

from figspread.clock import MonotonicClock
from figspread.direct.app import DirectEntry, StoreKinds
from figspread.http1.pool import ConnectionPool
from figspread.telemetry.logs import Level, Log
from giftwrap.settings import decode_settings, read_fields
from giftwrap.store import GiftWrapStore
from giftwrap.wire import GiftWrapWire

STORE_KINDS = StoreKinds('config', 'main', 'servers', 'entries')
LIMIT_S = 20
# Below the ports that the kernel gives to outgoing connections.
PORTS = [7401, 7402, 7403, 7404]
_HOSTS = itertools.count()
_Result = TypeVar('_Result')


class MemoryLog:
    """Keeps the messages that an entry logs."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: list[dict[str, Any]] = []

    def write(
        self,
        dictionary: dict[str, Any],
        serializer: object = None,
    ) -> None:
        """Take one message."""
        self.rows.append(dictionary)

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the messages of one kind."""
        return [row for row in self.rows if row['message_type'] == name]


class SkippingClock(MonotonicClock):
    """The machine's clock, which a test can move forward."""

    def __init__(self) -> None:
        """Start at the machine's own time."""
        self._skipped: float = 0

    def now(self) -> float:
        """Return seconds since an unstated start."""
        return super().now() + self._skipped

    def skip(self, seconds: float) -> None:
        """Move forward."""
        self._skipped += seconds


class Fleet:
    """All the parts; entries are started one by one."""

    def __init__(self, folder: Path) -> None:
        """Keep settings files in `folder`."""
        self.store = PlatformStore()
        self.upstreams: dict[str, Upstream] = {}
        self.entries: list[DirectEntry] = []
        self.logs: list[MemoryLog] = []
        self.callers: list[Caller] = []
        self.clock = SkippingClock()
        self._folder = folder

    async def add_upstream(self, name: str, service: str) -> Upstream:
        """Start an upstream and register it."""
        upstream = Upstream(name, service, host=new_host())
        await upstream.start()
        self.upstreams[name] = upstream
        self.register(upstream)
        return upstream

    def register(self, upstream: Upstream) -> None:
        """Write the upstream's entry as it is now."""
        self.store.put('servers', upstream.name, upstream.entry)

    async def add_entry(
        self,
        *,
        store: PlatformStore | None = None,
        **more: str,
    ) -> Caller:
        """Start an entry and return its caller; it may see another store."""
        name = 'entry-{0}'.format(len(self.entries))
        ip = new_host()
        path = self._folder / name
        path.write_text(
            make_settings(
                name,
                (store or self.store).address,
                ip,
                PORTS,
                **more,
            ),
        )
        cfg, store_address = decode_settings(read_fields(path))
        log = MemoryLog()
        entry = DirectEntry(
            cfg,
            STORE_KINDS,
            GiftWrapWire(),
            GiftWrapStore(store_address, ConnectionPool(MonotonicClock())),
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
        """Stop everything at once."""
        for entry in self.entries:
            await entry.stop()
        for upstream in self.upstreams.values():
            await upstream.stop()
        await self.store.stop()


@contextmanager
def silent_listener() -> Iterator[str]:
    """Give an address where connections are neither accepted nor refused."""
    with socket.socket() as listener, socket.socket() as first:
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        # The kernel keeps one connection waiting and drops what follows.
        first.connect(listener.getsockname())
        yield '{0}:{1}'.format(*listener.getsockname())


async def until(holds: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(LIMIT_S):
        while not holds():
            await asyncio.sleep(0.005)


def new_host() -> str:
    """Return a loopback address that no other fleet or process uses."""
    number = next(_HOSTS)
    process = os.getpid()
    return '127.{0}.{1}.{2}'.format(
        1 + process % 250,
        process // 250 % 250,
        1 + number % 250,
    )


@asynccontextmanager
async def make_fleet(
    folder: Path,
    *,
    entries: int = 1,
) -> AsyncIterator[Fleet]:
    """Give a fleet of two engines, two desks and ready entries."""
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
        await until(lambda: all(entry.is_ready for entry in fleet.entries))
        yield fleet
    finally:
        await fleet.stop()


def play(
    folder: Path,
    scene: Callable[[Fleet], Awaitable[_Result]],
    *,
    entries: int = 1,
) -> _Result:
    """Run a scene on a fleet and return its result."""

    async def run() -> _Result:
        async with make_fleet(folder, entries=entries) as fleet:
            async with asyncio.timeout(LIMIT_S):
                return await scene(fleet)

    return asyncio.run(run())
