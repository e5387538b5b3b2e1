"""The system that a case runs against, and the handles on its parts."""

import hashlib
import signal
import tempfile
from collections import Counter
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec

from bench.faults.calls import ENTRIES
from bench.faults.relay import Relay
from bench.processes import KEY, Pair, Process, System, find_port

SERVICE: Final = 'desk-a'
KV_TOKENS: Final = 100_000


class Shape(NamedTuple):
    """How many engines there are, and whether the first has a relay."""

    engines: int = 2
    is_relayed: bool = False


class World:
    """Engines, a service, their agents and two entries, all ready."""

    def __init__(self, system: System, shape: Shape) -> None:
        """Start everything; entries keep their ports when they restart."""
        self.system = system
        self.relay: Relay | None = None
        self.faulted: set[int] = set()
        self.complaints: list[str] = []
        with ThreadPoolExecutor(shape.engines + ENTRIES + 1) as pool:
            engines = [
                pool.submit(self._add_engine, number, shape)
                for number in range(shape.engines)
            ]
            service = pool.submit(system.add_service, SERVICE)
            entries = [
                pool.submit(
                    system.start_entry,
                    _name_entry(number),
                    port=find_port(),
                )
                for number in range(ENTRIES)
            ]
            self.engines = [started.result() for started in engines]
            self.service = service.result()
            self.entries = [started.result() for started in entries]
        self.ports: Sequence[int] = [entry.port for entry in self.entries]
        system.apply_note(hashlib.sha256(KEY.encode()).hexdigest())
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until all entries are connected to all agents."""
        for entry in self.entries:
            self.system.wait_ready(entry, upstreams=len(self.engines) + 1)

    def put_faults(self, process: Process, **faults: object) -> None:
        """Replace a stand-in's fault switches; none heals it."""
        answer = self.system.http.request(
            'PUT',
            _make_url(process, '/standin/faults'),
            body=msgspec.json.encode(faults),
        )
        assert answer.status == 200, answer.data

    def list_vms(self, *rows: dict[str, str]) -> None:
        """Replace the platform's VM list."""
        self.system.http.request(
            'PUT',
            _make_url(self.system.vms, '/vms'),
            body=msgspec.json.encode({'vms': rows}),
        )

    def kill_entry(self, number: int) -> None:
        """End an entry at once."""
        self.faulted.add(self.ports[number])
        self.entries[number].kill()

    def start_entry(self, number: int) -> None:
        """Start an entry that has ended, on its port."""
        self.entries[number] = self.system.start_entry(
            _name_entry(number),
            port=self.ports[number],
        )

    def start_agent(self, number: int) -> None:
        """Start an engine's agent that has ended, on its port."""
        engine, agent = self.engines[number]
        started = self.system.start_agent(
            agent.name,
            'engine',
            engine,
            port=agent.port,
        )
        self.engines[number] = Pair(engine, started)

    def start_service_agent(self) -> None:
        """Start the service's agent that has ended, on its port."""
        service, agent = self.service
        started = self.system.start_agent(
            agent.name,
            'service',
            service,
            port=agent.port,
        )
        self.service = Pair(service, started)

    def start_engine(self, number: int) -> None:
        """Start an engine that has ended, on its port."""
        engine, agent = self.engines[number]
        started = self.system.start_engine(
            KV_TOKENS,
            '--port',
            str(engine.port),
        )
        self.engines[number] = Pair(started, agent)

    def count_runs(self) -> Counter[str]:
        """Return how often each body ran on the upstreams that are up."""
        runs: Counter[str] = Counter()
        upstreams = [engine.upstream for engine in self.engines]
        for upstream in (*upstreams, self.service.upstream):
            if upstream.is_running:
                runs += self.count_runs_of(upstream)
        return runs

    def count_runs_of(self, upstream: Process) -> Counter[str]:
        """Return how often each body ran on `upstream`."""
        return Counter(self._get(upstream, '/standin/runs')['by_body'])

    def count_held(self) -> int:
        """Return how much the engines hold now."""
        return sum(
            len(self._get(engine.upstream, '/engine/holdings'))
            for engine in self.engines
            if engine.upstream.is_running
        )

    def heal(self) -> None:
        """Take away what stands in the way of the last clean-up."""
        if self.relay is not None:
            self.relay.speak()
        self.put_faults(self.system.objects)
        self.put_faults(self.system.vms)
        for process in self._list_processes():
            if process.is_running:
                process.send(signal.SIGCONT)

    def close(self) -> None:
        """End what is not a process."""
        if self.relay is not None:
            self.relay.close()

    def _list_processes(self) -> Sequence[Process]:
        parts = (*self.entries, *self.service)
        return (*parts, *(one for pair in self.engines for one in pair))

    def _add_engine(self, number: int, shape: Shape) -> Pair:
        is_relayed = shape.is_relayed and number == 0
        return self.system.add_engine(
            'engine-{0}'.format(number),
            '--port',
            str(find_port()),
            kv_tokens=KV_TOKENS,
            reach=self._reach_by_relay if is_relayed else int,
        )

    def _reach_by_relay(self, port: int) -> int:
        self.relay = Relay(port)
        return self.relay.port

    def _get(self, process: Process, path: str) -> Any:
        return self.system.http.request('GET', _make_url(process, path)).json()


@contextmanager
def open_world(shape: Shape) -> Iterator[World]:
    """Start a world and end all of it."""
    with (
        tempfile.TemporaryDirectory() as folder,
        System(Path(folder)) as system,
    ):
        world = World(system, shape)
        try:
            yield world
        finally:
            world.close()


def _name_entry(number: int) -> str:
    return 'entry-{0}'.format(number)


def _make_url(process: Process, path: str) -> str:
    return 'http://127.0.0.1:{0}{1}'.format(process.port, path)
