"""Fleets of stand-in engines for the comparisons."""

import hashlib
import subprocess
import tempfile
from collections.abc import Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import Final, NamedTuple

import tomlkit

from bench.processes import (
    KEY,
    SETTINGS,
    Process,
    System,
    UpstreamPair,
    build_command,
)
from figspread.load.plan import LoadPlan
from figspread.load.report import Report, read_report
from figspread.standins.engine_report import PrefillCounts

ENGINES: Final = 4
PREFILL_TOKENS_PER_S: Final = 20_000
KV_TOKENS: Final = 420_000
ENTRY_THREADS: Final = 900
ADMITTED_REQUESTS: Final = 890
# Stops a load tool that hangs; normally it exits by itself.
LOAD_TIMEOUT_S: Final = 120

_WORKSPACE_NOTE: Final = """
[[added.workspaces]]
id = "{name}"
weight = {weight}
key_hashes = ["{key_hash}"]
"""


class Policies(NamedTuple):
    """The policies that entries and agents are started with."""

    router: str = 'token_work'
    queue: str = 'tokens'
    checks_wait: bool = True


class Load(NamedTuple):
    """A load to send and the name of its plan and report files."""

    name: str
    plan: LoadPlan


class Measurement(NamedTuple):
    """Reports of concurrent loads, by name, and prefill counts per engine."""

    reports: Mapping[str, Report]
    prefills: Sequence[PrefillCounts]


class Fleet:
    """Engines with their agents and one entry, started for each run."""

    def __init__(
        self, system: System, policies: Policies, scale: float
    ) -> None:
        """Start all processes and wait until the entry is ready."""
        self._system = system
        with ThreadPoolExecutor(ENGINES) as pool:
            self._pairs = list(
                pool.map(
                    lambda number: _start_engine(
                        system,
                        'engine-{0}'.format(number),
                        policies,
                        scale,
                    ),
                    range(ENGINES),
                ),
            )
        system.apply_release_note(hashlib.sha256(KEY.encode()).hexdigest())
        wait_option = (
            '--check-wait' if policies.checks_wait else '--no-check-wait'
        )
        self.entry = system.start_entry(
            'entry-1',
            '--router',
            policies.router,
            wait_option,
            threads=ENTRY_THREADS,
            admitted=ADMITTED_REQUESTS,
        )
        system.wait_ready(self.entry, upstreams=ENGINES)

    def measure(self, loads: Sequence[Load], folder: Path) -> Measurement:
        """Send `loads` concurrently and write their reports to `folder`."""
        with ThreadPoolExecutor(len(loads)) as pool:
            reports = pool.map(
                lambda load: _run_load_tool(load, self.entry, folder),
                loads,
            )
            reports_by_name = {
                load.name: report
                for load, report in zip(loads, reports, strict=True)
            }
        return Measurement(
            reports_by_name,
            [self._read_prefills(pair) for pair in self._pairs],
        )

    def _read_prefills(self, pair: UpstreamPair) -> PrefillCounts:
        url = 'http://127.0.0.1:{0}/standin/prefills'.format(
            pair.upstream.port,
        )
        counts = self._system.http.request('GET', url).json()
        return PrefillCounts(**counts)


@contextmanager
def run_fleet(
    policies: Policies,
    scale: float,
    weights: Mapping[str, float],
) -> Iterator[Fleet]:
    """Run a fleet with workspaces of `weights`; stop it on exit."""
    settings = SETTINGS.replace('silence_s = 1.0', 'silence_s = 5')
    with tempfile.TemporaryDirectory() as folder:
        with System(Path(folder), settings) as system:
            for name, weight in weights.items():
                system.add_to_release_note(
                    _WORKSPACE_NOTE.format(
                        name=name,
                        weight=weight,
                        key_hash=_hash_key(make_key(name)),
                    ),
                )
            yield Fleet(system, policies, scale)


def make_key(workspace: str) -> str:
    """Return the API key of a workspace, given its name."""
    return 'key-of-{0}'.format(workspace)


def _hash_key(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def _start_engine(
    system: System,
    vm: str,
    policies: Policies,
    scale: float,
) -> UpstreamPair:
    return system.add_engine(
        vm,
        '--time-scale',
        str(scale),
        kv_tokens=KV_TOKENS,
        rate=PREFILL_TOKENS_PER_S,
        agent_options=('--queue', policies.queue),
    )


def _run_load_tool(load: Load, entry: Process, folder: Path) -> Report:
    plan_path = folder / '{0}.toml'.format(load.name)
    plan_path.write_text(tomlkit.dumps(load.plan.model_dump(mode='json')))
    report_path = plan_path.with_suffix('.json')
    keys = [
        argument
        for workspace in load.plan.workspaces
        for argument in (
            '--key',
            '{0}={1}'.format(workspace.name, make_key(workspace.name)),
        )
    ]
    url = 'http://127.0.0.1:{0}'.format(entry.port)
    completed = subprocess.run(
        build_command(
            'load',
            'run',
            str(plan_path),
            '--url',
            url,
            '--out',
            str(report_path),
            *keys,
        ),
        capture_output=True,
        text=True,
        timeout=LOAD_TIMEOUT_S,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    return read_report(report_path).unwrap()
