"""The soak's world: real entries as processes, stand-ins, relays between."""

import asyncio
import itertools
import os
import signal
import subprocess
import sys
import tempfile
from contextlib import suppress
from pathlib import Path
from typing import Any, Final

import msgspec

from bench.faults.relay import Relay
from bench.giftwrap.deployment import (
    DESK,
    POOL,
    make_configuration,
    make_route,
    make_settings,
)
from bench.giftwrap.store import PlatformStore
from bench.giftwrap.upstream import Pace, Upstream
from figspread.http1.client import ExchangeError, Unreachable, open_connection

ROOT: Final = Path(__file__).resolve().parent.parent.parent
PORTS: Final = [7411, 7412, 7413, 7414]
ENGINES: Final = 4
DESKS: Final = 3
READY_LIMIT_S: Final = 15
PACE: Final = Pace(read_s=0.02, event_s=0.02, plain_s=0.01)


class Entry:
    """One entry process, its settings and its relay to the store."""

    def __init__(
        self, name: str, host: str, store: Relay, folder: Path
    ) -> None:
        """Write the settings; `start` runs the program."""
        self.name = name
        self.address = '{0}:{1}'.format(host, PORTS[0])
        self.store = store
        self.log = folder / '{0}.log'.format(name)
        self._check = '{0}:{1}'.format(host, PORTS[1])
        self._settings = folder / '{0}.conf'.format(name)
        self._process: subprocess.Popen[bytes] | None = None
        self._settings.write_text(
            make_settings(
                name,
                '127.0.0.1:{0}'.format(store.port),
                host,
                PORTS,
            ),
        )

    @property
    def is_running(self) -> bool:
        """Tell whether the process lives."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Run the program, unless it runs."""
        if self.is_running:
            return
        path = os.pathsep.join((str(ROOT / 'src'), str(ROOT / 'platform')))
        with self.log.open('ab') as log:
            self._process = subprocess.Popen(  # noqa: S603
                (
                    sys.executable,
                    str(ROOT / 'platform' / 'entry.py'),
                    str(ROOT / 'deploy' / 'entry.toml'),
                ),
                env={
                    **os.environ,
                    'PYTHONPATH': path,
                    'FIGSPREAD_BOOT': str(self._settings),
                },
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it lives."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.wait_for_end()

    async def wait_for_end(self) -> None:
        """Wait until the process has ended."""
        # Another fault may start the next one before this one's end is seen.
        ending = self._process
        while ending is not None and ending.poll() is None:
            await asyncio.sleep(0.02)

    async def is_ready(self) -> bool:
        """Tell whether it says that it is ready."""
        try:
            conn = await open_connection(self._check, timeout_s=1)
        except Unreachable:
            return False
        try:
            async with asyncio.timeout(1):
                conn.send(b'GET', b'/', [(b'host', b'x')], b'')
                return (await conn.read_head()).status == 200
        except (ExchangeError, TimeoutError):
            return False
        finally:
            conn.close()

    async def until_ready(self) -> None:
        """Wait until it is ready; raises `TimeoutError`."""
        async with asyncio.timeout(READY_LIMIT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


class World:
    """Everything of one run."""

    def __init__(self, seed: int, entries: int) -> None:
        """Prepare; `start` runs it."""
        self.store = PlatformStore()
        self.entries: list[Entry] = []
        self.upstreams: dict[str, Upstream] = {}
        self.relays: dict[str, Relay] = {}
        self.version = 1
        self._seed = seed
        self._count = entries
        self._starts = itertools.count(1)
        self.folder = Path(tempfile.mkdtemp(prefix='figspread-soak-'))

    async def start(self) -> None:
        """Start all and wait until all entries are ready."""
        await self.store.start()
        self.configure()
        for number in range(ENGINES):
            await self.add_upstream('e-{0}'.format(number), POOL)
        for number in range(DESKS):
            await self.add_upstream('d-{0}'.format(number), DESK)
        port = int(self.store.address.rpartition(':')[2])
        process = os.getpid()
        for number in range(self._count):
            host = '127.{0}.{1}.{2}'.format(
                1 + process % 250,
                process // 250 % 250,
                1 + number,
            )
            name = 'entry-{0}'.format(number)
            entry = Entry(name, host, Relay(port), self.folder)
            entry.start()
            self.entries.append(entry)
        for entry in self.entries:
            await entry.until_ready()

    async def stop(self) -> None:
        """End all that was started."""
        for entry in self.entries:
            await entry.end()
            entry.store.close()
        for name, relay in self.relays.items():
            relay.close()
            await self.upstreams[name].stop()
        await self.store.stop()

    def configure(self, **more: Any) -> None:
        """Write the next version, which has a route of its own."""
        self.version += 1
        words = make_configuration(self.version, **more)
        name = 'v{0}'.format(self.version)
        words['routes'].append(make_route(name, 'safe', DESK))
        self.store.put('config', 'main', words)

    async def add_upstream(self, name: str, service: str) -> None:
        """Start an upstream behind a relay and register it."""
        upstream = Upstream(name, service, pace=PACE, seed=self._seed)
        upstream.born = next(self._starts)
        await upstream.start()
        relay = Relay(int(upstream.address.rpartition(':')[2]))
        self.upstreams[name] = upstream
        self.relays[name] = relay
        self.register(name)

    async def restart_upstream(self, name: str) -> None:
        """Start an upstream that has crashed anew, at its own address."""
        upstream = self.upstreams[name]
        if not upstream.is_listening:
            with suppress(OSError):
                await upstream.start(int(upstream.address.rpartition(':')[2]))
        upstream.born = next(self._starts)
        self.register(name)

    def register(self, name: str) -> None:
        """Write the upstream's entry, with its relay's address."""
        address = '127.0.0.1:{0}'.format(self.relays[name].port)
        entry = {**self.upstreams[name].entry, 'address': address}
        self.store.put('servers', name, entry)

    def log_rows(self, entry: Entry) -> list[dict[str, Any]]:
        """Return the lines that an entry has logged so far."""
        rows = []
        for line in entry.log.read_bytes().splitlines():
            with suppress(msgspec.DecodeError):
                rows.append(msgspec.json.decode(line))
        return [row for row in rows if isinstance(row, dict)]
