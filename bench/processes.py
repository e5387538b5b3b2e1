"""Starts the project's real processes for tests and measurements."""

import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, Final, NamedTuple, Self

import urllib3

from bench.ports import PortReservations

SECRET: Final = 'a-secret-for-the-tests-only'
KEY: Final = 'key-of-the-studio'
MODEL: Final = 'caption-7b'
PREFILL_TOKENS_PER_S: Final = 200_000
ADMITTED_REQUESTS: Final = 24
LIFETIME_S: Final = '100'
STOP_TIMEOUT_S: Final = 20
WAIT_TIMEOUT_S: Final = 15
# How long an agent waits for progress of its upstream.
PROGRESS_TIMEOUT_S: Final = 2
POLL_INTERVAL_S: Final = 0.02

SETTINGS = """
vm = "{vm}"
data_centre = "mu-a"
region = "mu-north"
operator_port = 0
log_level = "error"
heartbeat_s = 0.2
silence_s = 1.0
drain_limit_s = 30
[inner_secret]
environment = "FIGSPREAD_SECRET"
[object_api]
url = "http://127.0.0.1:{objects}"
"""

ENTRY_SETTINGS = """
accept_after_leaving_s = 0.2
[http]
host = "127.0.0.1"
port = {port}
threads = {threads}
admitted_requests = {admitted}
{http_lines}
[vm_list]
url = "http://127.0.0.1:{vms}"
interval_s = 0.2
"""

AGENT_SETTINGS = """
upstream = "{vm}"
kind = "{kind}"
upstream_url = "http://127.0.0.1:{upstream}"
progress_timeout_s = {progress_timeout_s}
reconcile_s = 0.2
"""

NOTE_HEAD = """
[note]
id = "first"
against = 0
[[added.data_centres]]
id = "mu-a"
region = "mu-north"
[[added.pools]]
id = "captions"
models = ["caption-7b"]
[[added.services]]
id = "order-desk"
[[added.services.routes]]
method = "GET"
path = "/status/*"
is_repeatable = true
[[added.workspaces]]
id = "studio"
key_hashes = ["{key_hash}"]
"""

NOTE_ENGINE = """
[[added.engines]]
id = "{vm}"
pool = "captions"
data_centre = "mu-a"
agent = "127.0.0.1:{agent}"
url = "http://127.0.0.1:{upstream}"
kv_tokens = {kv_tokens}
prefill_tokens_per_s = {rate}
"""

NOTE_SERVICE = """
[[added.service_upstreams]]
id = "{vm}"
service = "order-desk"
data_centre = "mu-a"
agent = "127.0.0.1:{agent}"
url = "http://127.0.0.1:{upstream}"
"""


def build_command(program: str, *words: str, descriptors: int = 0) -> list[str]:
    """Return the command line of one of the project's programs.

    An alarm ends the process after `LIFETIME_S` if nothing else does. It may
    open `descriptors` files and sockets, unless that is 0.
    """
    limit = (
        'import resource; resource.setrlimit(resource.RLIMIT_NOFILE, '
        '({0}, {0})); '.format(descriptors)
        if descriptors
        else ''
    )
    start = (
        'import signal; signal.alarm({0}); {1}'
        'from figspread.cli.{2} import main; main()'
    ).format(LIFETIME_S, limit, program)
    return [sys.executable, '-c', start, *words]


class Process:
    """One running process, which prints its ports as JSON on its first line."""

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        log: Path,
        descriptors: int = 0,
    ) -> None:
        """Start the process and wait for its ports."""
        self.name = name
        with log.open('a') as stream:
            self._popen = subprocess.Popen(
                build_command(*command, descriptors=descriptors),
                stdout=subprocess.PIPE,
                stderr=stream,
                env={**os.environ, 'FIGSPREAD_SECRET': SECRET},
            )
        assert self._popen.stdout is not None
        first_line = self._popen.stdout.readline()
        assert first_line, log.read_text()
        self.ports: dict[str, int] = json.loads(first_line)
        self.port = self.ports['port']

    @property
    def pid(self) -> int:
        """The process id, for reading its resource usage."""
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._popen.poll() is None

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to this process only."""
        self._popen.send_signal(signal_number)

    def wait(self) -> int:
        """Wait for the process to end and return its exit code."""
        return self._popen.wait(STOP_TIMEOUT_S)

    def kill(self) -> None:
        """Kill the process, also when it is suspended."""
        if self._popen.poll() is None:
            self._popen.kill()
        self._popen.wait(STOP_TIMEOUT_S)
        if self._popen.stdout is not None:
            self._popen.stdout.close()


class UpstreamPair(NamedTuple):
    """An upstream and the agent beside it."""

    upstream: Process
    agent: Process


class System:
    """The platform's stand-ins and the upstreams, agents and entries of a test.

    Stand-ins are started first, then agents, then entries. All processes end
    with the context.
    """

    def __init__(self, folder: Path, settings: str = SETTINGS) -> None:
        """Start the stand-ins of the Object API and the VM list."""
        self._folder = folder
        self._settings = settings
        self._processes: list[Process] = []
        self._note_parts: list[str] = []
        self.ports = PortReservations()
        self.http = urllib3.PoolManager(retries=False, timeout=30)
        self.objects = self.start_standin('objects')
        self.vms = self.start_standin('vms')

    def __enter__(self) -> Self:
        """Return the system itself."""
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _exc: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        """End every process that was started."""
        for process in reversed(self._processes):
            process.kill()
        self.ports.close()
        self.http.clear()

    def start(
        self, name: str, command: Sequence[str], *, descriptors: int = 0
    ) -> Process:
        """Start a process that ends with the system."""
        log = self._folder / '{0}.log'.format(name)
        process = Process(name, command, log, descriptors)
        self._processes.append(process)
        return process

    def start_standin(self, kind: str, *options: str) -> Process:
        """Start a stand-in, which ends by itself after `LIFETIME_S`."""
        command = ['standin', kind, '--lifetime-s', LIFETIME_S]
        return self.start(
            '{0}-{1}'.format(kind, len(self._processes)), [*command, *options]
        )

    def start_engine(
        self,
        kv_tokens: int,
        *options: str,
        rate: int = PREFILL_TOKENS_PER_S,
    ) -> Process:
        """Start a stand-in engine that has the model loaded."""
        return self.start_standin(
            'engine',
            '--model',
            MODEL,
            '--kv-tokens',
            str(kv_tokens),
            '--prefill-rate',
            str(rate),
            *options,
        )

    def start_agent(
        self,
        vm: str,
        kind: str,
        upstream: Process,
        *options: str,
        port: int = 0,
        progress_timeout_s: float = PROGRESS_TIMEOUT_S,
    ) -> Process:
        """Start an agent beside `upstream`; `kind` is 'engine' or 'service'."""
        path = self._write_settings(
            vm,
            AGENT_SETTINGS.format(
                vm=vm,
                kind=kind,
                upstream=upstream.port,
                progress_timeout_s=progress_timeout_s,
            )
            + '[inner]\nhost = "127.0.0.1"\nport = {0}\n'.format(port),
        )
        return self.start(vm, ['agent', '--settings', path, *options])

    def add_engine(
        self,
        vm: str,
        *options: str,
        kv_tokens: int = 100_000,
        rate: int = PREFILL_TOKENS_PER_S,
        map_port: Callable[[int], int] = int,
        agent_options: Sequence[str] = (),
    ) -> UpstreamPair:
        """Start an engine and its agent, and add them to the release note.

        `map_port` returns the port that entries connect to, given the port of
        the agent.
        """
        engine = self.start_engine(kv_tokens, *options, rate=rate)
        agent = self.start_agent(
            vm, 'engine', engine, *agent_options, port=self.ports.reserve()
        )
        self._note_parts.append(
            NOTE_ENGINE.format(
                vm=vm,
                agent=map_port(agent.port),
                upstream=engine.port,
                kv_tokens=kv_tokens,
                rate=rate,
            ),
        )
        return UpstreamPair(engine, agent)

    def add_service(
        self, vm: str, *, progress_timeout_s: float = PROGRESS_TIMEOUT_S
    ) -> UpstreamPair:
        """Start a plain service and its agent; add them to the release note."""
        service = self.start_standin('service')
        agent = self.start_agent(
            vm,
            'service',
            service,
            port=self.ports.reserve(),
            progress_timeout_s=progress_timeout_s,
        )
        self._note_parts.append(
            NOTE_SERVICE.format(
                vm=vm,
                agent=agent.port,
                upstream=service.port,
            ),
        )
        return UpstreamPair(service, agent)

    def add_to_release_note(self, text: str) -> None:
        """Add rows to the release note that `apply_note` applies."""
        self._note_parts.append(text)

    def apply_release_note(self, key_hash: str) -> None:
        """Apply a release note with everything that was added so far."""
        path = self._folder / 'note.toml'
        text = NOTE_HEAD.format(key_hash=key_hash) + ''.join(self._note_parts)
        path.write_text(text)
        self.run_operator('release', 'apply', str(path))

    def run_operator(self, *words: str) -> str:
        """Run an operator command and return its output."""
        completed = subprocess.run(
            build_command('operator', *words),
            capture_output=True,
            text=True,
            timeout=STOP_TIMEOUT_S,
            env={
                **os.environ,
                'FIGSPREAD_OBJECT_API': 'http://127.0.0.1:{0}'.format(
                    self.objects.port,
                ),
            },
        )
        assert completed.returncode == 0, completed.stdout + completed.stderr
        return completed.stdout

    def start_entry(
        self,
        vm: str,
        *options: str,
        port: int = 0,
        threads: int = 32,
        admitted: int = ADMITTED_REQUESTS,
        http_lines: Sequence[str] = (),
        descriptors: int = 0,
    ) -> Process:
        """Start an entry.

        `http_lines` are added to the section `http` of its settings. It may
        open `descriptors` files and sockets, or as many as this process if
        that is 0.
        """
        path = self._write_settings(
            vm,
            ENTRY_SETTINGS.format(
                vms=self.vms.port,
                port=port,
                admitted=admitted,
                threads=threads,
                http_lines='\n'.join(http_lines),
            ),
        )
        command = ['entry', '--settings', path, *options]
        return self.start(vm, command, descriptors=descriptors)

    def wait_ready(self, entry: Process, *, upstreams: int) -> None:
        """Wait until the entry is ready and connected to its upstreams."""

        def is_ready() -> bool:
            status = self.read_status(entry)
            upstream_rows = status['upstreams']
            is_connected = sum(
                1 for row in upstream_rows if row['state'] == 'open'
            )
            return status['state'] == 'ready' and is_connected == upstreams

        self.wait_until(is_ready)

    def read_status(self, entry: Process) -> dict[str, Any]:
        """Return the status that the entry's operator page shows."""
        url = 'http://127.0.0.1:{0}/operator/status'.format(
            entry.ports['operator'],
        )
        status: dict[str, Any] = self.http.request('GET', url).json()
        return status

    def wait_until(self, holds: Callable[[], bool]) -> None:
        """Poll until `holds` returns true, for at most `WAIT_TIMEOUT_S`."""
        started = time.monotonic()
        while not holds():
            assert time.monotonic() - started < WAIT_TIMEOUT_S
            self.pause()

    def pause(self, length_s: float = POLL_INTERVAL_S) -> None:
        """Sleep between two polls, `length_s` seconds."""
        threading.Event().wait(length_s)

    def _write_settings(self, vm: str, extra: str) -> str:
        path = self._folder / '{0}.toml'.format(vm)
        common = self._settings.format(vm=vm, objects=self.objects.port)
        keys, _, tables = extra.partition('[')
        head, _, rest = common.partition('[')
        path.write_text(
            '{0}{1}[{2}[{3}'.format(head, keys, rest, tables),
        )
        return str(path)
