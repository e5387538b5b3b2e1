"""The fleet of a soak: entry processes and stand-ins, linked by relays."""

import asyncio
import itertools
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import msgspec

from bench.faults.relay import TcpRelay
from bench.giftwrap.deployment import (
    DESK,
    ENGINE,
    POOL,
    make_configuration,
    make_route,
    make_settings,
)
from bench.giftwrap.store import PlatformStore
from bench.giftwrap.upstream import Pace, Upstream
from figspread.http1.answers import ExchangeError
from figspread.http1.client import (
    Unreachable,
    open_connection,
)

ROOT: Final = Path(__file__).resolve().parent.parent.parent
PORTS: Final = [7411, 7412, 7413, 7414]
ENGINE_COUNT: Final = 4
PLAIN_SERVICE_COUNT: Final = 3
READY_TIMEOUT_S: Final = 15
# Engines are cold after each start but the first, and tolerate few requests a
# second meanwhile.
COLD_START_S: Final = 2.0
COLD_PER_S: Final = 2.0
COLD_FACTOR: Final = 1.5
COLD_SLACK: Final = 5
COLD_SETTINGS: Final = {
    'bounds.coldOverage': str(COLD_FACTOR),
    'bounds.coldSlack': str(COLD_SLACK),
}
SERVICES: Final = (
    {
        'name': POOL,
        'connectionLimit': 264,
        'engine': ENGINE,
        'coldStartS': COLD_START_S,
        'coldPerS': COLD_PER_S,
    },
    {'name': DESK, 'connectionLimit': 96},
)
# Interval at which engines write their records.
HEARTBEAT_INTERVAL_S: Final = 1.2
# Data centres of the upstreams in turn; the entries are in the first one.
ZONES: Final = ('a', 'b')
# The bound for evacuations, shorter than the platform's, so that most of a
# short run is checked.
EVACUATION_S: Final = 1.0
EVACUATION_SETTINGS: Final = {
    'bounds.evacuationMs': str(round(EVACUATION_S * 1000))
}
# Signals that the soak ends entries with.
ENDING_SIGNALS: Final = frozenset((signal.SIGTERM, signal.SIGKILL))
PACE: Final = Pace(prefill_s=0.02, event_s=0.02, plain_s=0.01)


class ColdPeriod(msgspec.Struct, frozen=True):
    """When an upstream was cold, in event loop time."""

    upstream: str
    started_s: float
    ended_s: float


class EntryProcess:
    """An entry process with its settings and a relay to the store."""

    def __init__(
        self,
        name: str,
        host: str,
        store_relay: TcpRelay,
        folder: Path,
        root: Path = ROOT,
        settings: Mapping[str, str] = MappingProxyType({}),
    ) -> None:
        """Write the settings file; `start` starts the process.

        The process runs the code in the working tree `root`. `settings` are
        added to the file.
        """
        self._root = root
        self.name = name
        self.address = '{0}:{1}'.format(host, PORTS[0])
        self.store_relay = store_relay
        self.log_path = folder / '{0}.log'.format(name)
        self._readiness_address = '{0}:{1}'.format(host, PORTS[1])
        self._settings_path = folder / '{0}.conf'.format(name)
        self._process: subprocess.Popen[bytes] | None = None
        self._is_asked_to_exit = False
        self._exits: list[int] = []
        self._settings_path.write_text(
            make_settings(
                name,
                '127.0.0.1:{0}'.format(store_relay.port),
                host,
                PORTS,
                **COLD_SETTINGS,
                **EVACUATION_SETTINGS,
                **settings,
            ),
        )

    @property
    def pid(self) -> int:
        """The id of the last process that was started, 0 without one."""
        return 0 if self._process is None else self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code of the last process, `None` while it is running."""
        return None if self._process is None else self._process.poll()

    @property
    def unasked_exits(self) -> list[int]:
        """The exit codes of processes that were neither stopped nor killed."""
        code = self.exit_code
        if code is None or self._is_asked_to_exit:
            return self._exits
        return [*self._exits, code]

    @property
    def peak_memory_bytes(self) -> int:
        """The most memory that the running process has had."""
        text = Path('/proc/{0}/status'.format(self.pid)).read_text()
        # In units of 1024 bytes.
        return int(text.partition('VmHWM:')[2].split()[0]) * 1024

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.is_running:
            return
        self._exits = self.unasked_exits
        self._is_asked_to_exit = False
        path = os.pathsep.join(
            (str(self._root / 'src'), str(self._root / 'platform'))
        )
        with self.log_path.open('ab') as log:
            self._process = subprocess.Popen(  # noqa: S603
                (
                    sys.executable,
                    str(self._root / 'platform' / 'entry.py'),
                    str(self._root / 'deploy' / 'entry.toml'),
                ),
                env={
                    **os.environ,
                    'PYTHONPATH': path,
                    'FIGSPREAD_BOOT': str(self._settings_path),
                },
                stdout=log,
                stderr=log,
            )

    def signal_process(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.is_running:
            self._is_asked_to_exit |= number in ENDING_SIGNALS
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process, also if it is paused, and wait for its exit."""
        self.signal_process(signal.SIGCONT)
        self.signal_process(signal.SIGKILL)
        await self.wait_for_exit()

    async def wait_for_exit(self) -> None:
        """Wait until the process that runs now has exited."""
        # Another fault may start a new process before this exit is noticed, so
        # the loop polls the same process throughout.
        process = self._process
        while process is not None and process.poll() is None:
            await asyncio.sleep(0.02)

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            conn = await open_connection(self._readiness_address, timeout_s=1)
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

    async def wait_until_ready(self) -> None:
        """Wait until the entry is ready.

        Raises `TimeoutError` after `READY_TIMEOUT_S`.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


class Fleet:
    """The store, upstreams, entry processes and relays of one run."""

    def __init__(
        self,
        seed: int,
        entries: int,
        root: Path = ROOT,
        settings: Mapping[str, str] = MappingProxyType({}),
    ) -> None:
        """Create a fleet of `entries` entries; `start` starts it.

        The entries run the code in the working tree `root`, with `settings`
        beside the usual ones.
        """
        self._root = root
        self._settings = settings
        self.store = PlatformStore()
        self.entries: list[EntryProcess] = []
        self.upstreams: dict[str, Upstream] = {}
        self.relays: dict[str, TcpRelay] = {}
        self.config_version = 1
        self.cold_periods: list[ColdPeriod] = []
        self._heartbeats: asyncio.Task[None] | None = None
        self._configuration: Any = None
        self.evacuated: set[str] = set()
        self._seed = seed
        self._entry_count = entries
        self._start_numbers = itertools.count(1)
        self.folder = Path(tempfile.mkdtemp(prefix='figspread-soak-'))

    async def start(self) -> None:
        """Start everything and wait until all entries are ready."""
        await self.store.start()
        self.write_next_configuration()
        for number in range(ENGINE_COUNT):
            await self.add_upstream(
                'e-{0}'.format(number), POOL, ZONES[number % len(ZONES)]
            )
        for number in range(PLAIN_SERVICE_COUNT):
            await self.add_upstream(
                'd-{0}'.format(number), DESK, ZONES[number % len(ZONES)]
            )
        self._heartbeats = asyncio.create_task(self._write_heartbeats())
        port = int(self.store.address.rpartition(':')[2])
        process_id = os.getpid()
        for number in range(self._entry_count):
            host = '127.{0}.{1}.{2}'.format(
                1 + process_id % 250,
                process_id // 250 % 250,
                1 + number,
            )
            name = 'entry-{0}'.format(number)
            entry = EntryProcess(
                name,
                host,
                TcpRelay(port),
                self.folder,
                self._root,
                self._settings,
            )
            entry.start()
            self.entries.append(entry)
        for entry in self.entries:
            await entry.wait_until_ready()

    async def stop(self) -> None:
        """Stop everything that was started."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for entry in self.entries:
            await entry.kill()
            entry.store_relay.close()
        for name, relay in self.relays.items():
            relay.close()
            await self.upstreams[name].stop()
        await self.store.stop()

    def write_next_configuration(self, **overrides: Any) -> None:
        """Write the next configuration version, with a route named after it."""
        self.config_version += 1
        configuration = make_configuration(
            self.config_version, **{'services': SERVICES, **overrides}
        )
        name = 'v{0}'.format(self.config_version)
        configuration['routes'].append(make_route(name, 'safe', DESK))
        self._configuration = configuration
        self.store.put('config', 'main', configuration)

    def write_evacuations(self) -> None:
        """Write the evacuations in force, and delete the others."""
        for zone in ZONES:
            if zone in self.evacuated:
                self.store.put('evacuations', zone, {})
            else:
                self.store.delete('evacuations', zone)

    def rewrite_store(self) -> None:
        """Write again what the operator and the upstreams have written."""
        self.store.put('config', 'main', self._configuration)
        self.write_evacuations()
        for name, upstream in self.upstreams.items():
            if upstream.is_listening:
                self.register_upstream(name)

    async def add_upstream(self, name: str, service: str, zone: str) -> None:
        """Start an upstream behind a relay and register it."""
        upstream = Upstream(
            name, service, zone=zone, pace=PACE, seed=self._seed
        )
        upstream.start_number = next(self._start_numbers)
        await upstream.start()
        relay = TcpRelay(int(upstream.address.rpartition(':')[2]))
        self.upstreams[name] = upstream
        self.relays[name] = relay
        self.register_upstream(name)

    async def restart_upstream(self, name: str) -> None:
        """Restart an upstream at its former address, if it has crashed.

        Registers it with a new start number in either case, as cold if it is an
        engine.
        """
        upstream = self.upstreams[name]
        if not upstream.is_listening:
            with suppress(OSError):
                await upstream.start(int(upstream.address.rpartition(':')[2]))
        upstream.start_number = next(self._start_numbers)
        if upstream.service == POOL:
            now = asyncio.get_running_loop().time()
            upstream.cold_until_s = now + COLD_START_S
            self.cold_periods.append(
                ColdPeriod(name, now, upstream.cold_until_s)
            )
        self.register_upstream(name)

    async def _write_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for name, upstream in self.upstreams.items():
                if upstream.is_listening and upstream.service == POOL:
                    upstream.sequence += 1
                    self.register_upstream(name)

    def register_upstream(self, name: str) -> None:
        """Write the upstream's record with the address of its relay."""
        address = '127.0.0.1:{0}'.format(self.relays[name].port)
        record = {**self.upstreams[name].record, 'address': address}
        self.store.put('servers', name, record)

    def read_log_rows(self, entry: EntryProcess) -> list[dict[str, Any]]:
        """Return the JSON objects that an entry has logged so far."""
        rows = []
        for line in entry.log_path.read_bytes().splitlines():
            with suppress(msgspec.DecodeError):
                rows.append(msgspec.json.decode(line))
        return [row for row in rows if isinstance(row, dict)]
