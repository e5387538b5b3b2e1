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

from bench.soak.run import SoakRun

KEPT_SEEDS_FILE: Final = Path(__file__).with_name('seeds.toml')
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


@click.command()
@click.option('--seeds', default='', help='such as 1-50 or 7')
@click.option('--kept', is_flag=True, help='the seeds that failed once')
@click.option('--fresh', type=float, default=0, help='minutes of new seeds')
@click.option('--seconds', type=float, default=8, help='length of each run')
@click.option('--entries', type=int, default=3, help='entry processes')
def main(
    *,
    seeds: str,
    kept: bool,
    fresh: float,
    seconds: float,
    entries: int,
) -> None:
    """Run entry processes under injected faults and check their guarantees."""
    chosen: list[int] = kept_seeds() if kept else []
    if seeds:
        first, _, last = seeds.partition('-')
        chosen += range(int(first), int(last or first) + 1)
    failed = 0
    signal.signal(signal.SIGTERM, _raise_interrupt)
    for seed in itertools.chain(chosen, _draw_seeds(fresh)):
        outcome = asyncio.run(SoakRun(seed, seconds, entries).execute())
        failed += bool(outcome.violations)
        click.echo(
            'seed {0}: {1} calls, {2} answered, {3} faults: {4}'.format(
                seed,
                outcome.calls,
                outcome.answered,
                outcome.faults,
                'clean' if not outcome.violations else 'FOUND',
            ),
        )
        for line in outcome.violations:
            click.echo('  {0}'.format(line))
        if outcome.violations:
            click.echo('  logs: {0}'.format(outcome.folder))
    if failed:
        click.echo('{0} seeds with violations'.format(failed))
        sys.exit(1)


if __name__ == '__main__':
    main()
