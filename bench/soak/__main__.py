"""Runs the soak test for kept seeds, a range of seeds or random seeds."""

import asyncio
import itertools
import random
import signal
import sys
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import click

from bench.soak.fleet import ROOT
from bench.soak.outcome import Outcome
from bench.soak.run import SoakRun
from bench.soak.stops import StopRun

KEPT_SEEDS_FILE: Final = Path(__file__).with_name('seeds.toml')
KINDS: Final[dict[str, type[SoakRun | StopRun]]] = {
    'faults': SoakRun,
    'stops': StopRun,
}
_S_PER_MINUTE: Final = 60


def kept_seeds() -> list[int]:
    """Return the seeds of `seeds.toml`, each of which has failed before."""
    rows = tomllib.loads(KEPT_SEEDS_FILE.read_text())['seed']
    return [row['seed'] for row in rows]


def _draw_seeds(minutes: float) -> Iterator[int]:
    deadline = time.monotonic() + minutes * _S_PER_MINUTE
    rng = random.SystemRandom()
    while time.monotonic() < deadline:
        yield rng.randrange(1_000_000)


def _raise_interrupt(_number: int, _frame: object) -> None:
    # SIGTERM becomes a KeyboardInterrupt, so that the run stops the processes
    # that it has started.
    signal.raise_signal(signal.SIGINT)


@click.command(
    params=[
        click.Option(['--seeds'], default='', help='such as 1-50 or 7'),
        click.Option(['--kept'], is_flag=True, help='the seeds that failed'),
        click.Option(
            ['--fresh'], type=float, default=0, help='minutes of new seeds'
        ),
        click.Option(
            ['--seconds'], type=float, default=8, help='length of each run'
        ),
        click.Option(
            ['--entries'], type=int, default=3, help='entry processes'
        ),
        click.Option(
            ['--kind'], type=click.Choice(list(KINDS)), help='only these runs'
        ),
        click.Option(
            ['--root'],
            type=click.Path(exists=True, file_okay=False, path_type=Path),
            default=ROOT,
            help='working tree with the code of the entries',
        ),
    ]
)
def main(
    *,
    seeds: str,
    kept: bool,
    fresh: float,
    seconds: float,
    entries: int,
    kind: str | None,
    root: Path,
) -> None:
    """Run entry processes under injected faults and check their guarantees."""
    chosen: list[int] = kept_seeds() if kept else []
    if seeds:
        first, _, last = seeds.partition('-')
        chosen += range(int(first), int(last or first) + 1)
    failed = 0
    signal.signal(signal.SIGTERM, _raise_interrupt)
    kinds = list(KINDS) if kind is None else [kind]
    for seed in itertools.chain(chosen, _draw_seeds(fresh)):
        for name in kinds:
            run = KINDS[name](seed, seconds, entries, root)
            outcome = asyncio.run(run.execute())
            failed += bool(outcome.violations)
            _print(name, outcome)
    if failed:
        click.echo('{0} runs with violations'.format(failed))
        sys.exit(1)


def _print(kind: str, outcome: Outcome) -> None:
    click.echo(
        'seed {0}, {1}: {2} calls, {3} answered, {4} {1}: {5}'.format(
            outcome.seed,
            kind,
            outcome.calls,
            outcome.answered,
            outcome.faults,
            'FOUND' if outcome.violations else 'clean',
        ),
    )
    for line in outcome.violations:
        click.echo('  {0}'.format(line))
    if outcome.violations:
        click.echo('  logs: {0}'.format(outcome.folder))
        for row in outcome.list_log_lines():
            click.echo('    {0}'.format(row))
        click.echo('  stalls of the load: {0}'.format(list(outcome.stalls)))


if __name__ == '__main__':
    main()
