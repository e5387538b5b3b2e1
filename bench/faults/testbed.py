"""The system that a fault case runs against, with access to its parts."""

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

from bench.faults.calls import ENTRY_COUNT
from bench.faults.relay import TcpRelay
from bench.processes import KEY, Process, System, UpstreamPair

SERVICE: Final = 'desk-a'
KV_TOKENS: Final = 100_000


class TestbedOptions(NamedTuple):
    """How many engines to start, and whether the first is behind a relay."""

    engines: int = 2
    has_relay: bool = False


class Testbed:
    """Engines, a plain service, their agents and two entries, all ready.

    `interrupted_ports` holds the ports of entries that a case killed or
    suspended, `unmet_expectations` what a case found wrong.
    """

    def __init__(self, system: System, options: TestbedOptions) -> None:
        """Start all processes; each keeps its port when it restarts."""
        self.system = system
        self.relay: TcpRelay | None = None
        self.interrupted_ports: set[int] = set()
        self.unmet_expectations: list[str] = []
        with ThreadPoolExecutor(options.engines + ENTRY_COUNT + 1) as pool:
            engines = [
                pool.submit(self._add_engine, number, options)
                for number in range(options.engines)
            ]
            service = pool.submit(system.add_service, SERVICE)
            entries = [
                pool.submit(
                    system.start_entry,
                    _name_entry(number),
                    port=system.ports.reserve(),
                )
                for number in range(ENTRY_COUNT)
            ]
            self.engines = [started.result() for started in engines]
            self.service = service.result()
            self.entries = [started.result() for started in entries]
        self.ports: Sequence[int] = [entry.port for entry in self.entries]
        system.apply_release_note(hashlib.sha256(KEY.encode()).hexdigest())
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until all entries are connected to all agents."""
        for entry in self.entries:
            self.system.wait_ready(entry, upstreams=len(self.engines) + 1)

    def set_faults(self, process: Process, **faults: object) -> None:
        """Replace the fault switches of a stand-in; no argument clears them."""
        answer = self.system.http.request(
            'PUT',
            _make_url(process, '/standin/faults'),
            body=msgspec.json.encode(faults),
        )
        assert answer.status == 200, answer.data

    def set_vm_list(self, *rows: dict[str, str]) -> None:
        """Replace the platform's VM list."""
        self.system.http.request(
            'PUT',
            _make_url(self.system.vms, '/vms'),
            body=msgspec.json.encode({'vms': rows}),
        )

    def kill_entry(self, number: int) -> None:
        """Kill an entry."""
        self.interrupted_ports.add(self.ports[number])
        self.entries[number].kill()

    def start_entry(self, number: int) -> None:
        """Restart an entry that has ended, on the same port."""
        self.entries[number] = self.system.start_entry(
            _name_entry(number),
            port=self.ports[number],
        )

    def start_agent(self, number: int) -> None:
        """Restart an engine's agent that has ended, on the same port."""
        engine, agent = self.engines[number]
        started = self.system.start_agent(
            agent.name,
            'engine',
            engine,
            port=agent.port,
        )
        self.engines[number] = UpstreamPair(engine, started)

    def start_service_agent(self) -> None:
        """Restart the service's agent that has ended, on the same port."""
        service, agent = self.service
        started = self.system.start_agent(
            agent.name,
            'service',
            service,
            port=agent.port,
        )
        self.service = UpstreamPair(service, started)

    def start_engine(self, number: int) -> None:
        """Restart an engine that has ended, on the same port."""
        engine, agent = self.engines[number]
        started = self.system.start_engine(
            KV_TOKENS,
            '--port',
            str(engine.port),
        )
        self.engines[number] = UpstreamPair(started, agent)

    def count_runs(self) -> Counter[str]:
        """Return the number of runs of each body on all running upstreams."""
        runs: Counter[str] = Counter()
        upstreams = [engine.upstream for engine in self.engines]
        for upstream in (*upstreams, self.service.upstream):
            if upstream.is_running:
                runs += self.count_runs_on(upstream)
        return runs

    def count_runs_on(self, upstream: Process) -> Counter[str]:
        """Return the number of runs of each body on `upstream`."""
        return Counter(self._get_json(upstream, '/standin/runs')['by_body'])

    def count_holdings(self) -> int:
        """Return the number of memory holdings on all running engines."""
        return sum(
            len(self._get_json(engine.upstream, '/engine/holdings'))
            for engine in self.engines
            if engine.upstream.is_running
        )

    def clear_faults(self) -> None:
        """Clear platform and relay faults and resume suspended processes.

        Otherwise they would prevent the last clean-up.
        """
        if self.relay is not None:
            self.relay.resume()
        self.set_faults(self.system.objects)
        self.set_faults(self.system.vms)
        for process in self._list_processes():
            if process.is_running:
                process.send(signal.SIGCONT)

    def close(self) -> None:
        """Close the relay, the only part that is not a process."""
        if self.relay is not None:
            self.relay.close()

    def _list_processes(self) -> Sequence[Process]:
        processes = (*self.entries, *self.service)
        return (
            *processes,
            *(process for pair in self.engines for process in pair),
        )

    def _add_engine(self, number: int, options: TestbedOptions) -> UpstreamPair:
        has_relay = options.has_relay and number == 0
        return self.system.add_engine(
            'engine-{0}'.format(number),
            '--port',
            str(self.system.ports.reserve()),
            kv_tokens=KV_TOKENS,
            map_port=self._start_relay if has_relay else int,
        )

    def _start_relay(self, port: int) -> int:
        self.relay = TcpRelay(port)
        return self.relay.port

    def _get_json(self, process: Process, path: str) -> Any:
        return self.system.http.request('GET', _make_url(process, path)).json()


@contextmanager
def open_testbed(options: TestbedOptions) -> Iterator[Testbed]:
    """Start a testbed and end all of it when the context closes."""
    with (
        tempfile.TemporaryDirectory() as folder,
        System(Path(folder)) as system,
    ):
        testbed = Testbed(system, options)
        try:
            yield testbed
        finally:
            testbed.close()


def _name_entry(number: int) -> str:
    return 'entry-{0}'.format(number)


def _make_url(process: Process, path: str) -> str:
    return 'http://127.0.0.1:{0}{1}'.format(process.port, path)
