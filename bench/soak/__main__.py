"""Runs the soak by seeds, kept ones, a range, or fresh ones for some time."""

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

from bench.soak.run import Run

KEPT: Final = Path(__file__).with_name('seeds.toml')
_S_PER_MINUTE: Final = 60


def kept_seeds() -> list[int]:
    """Return the seeds that have failed once."""
    rows = tomllib.loads(KEPT.read_text())['seed']
    return [row['seed'] for row in rows]


def _fresh(minutes: float) -> Iterator[int]:
    ends = time.monotonic() + minutes * _S_PER_MINUTE
    rng = random.SystemRandom()
    while time.monotonic() < ends:
        yield rng.randrange(1_000_000)


def _interrupt(_number: int, _frame: object) -> None:
    # An interrupted run ends the processes that it has started.
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
    """Run entries as processes under faults and check what they promise."""
    chosen: list[int] = kept_seeds() if kept else []
    if seeds:
        first, _, last = seeds.partition('-')
        chosen += range(int(first), int(last or first) + 1)
    failed = 0
    signal.signal(signal.SIGTERM, _interrupt)
    for seed in itertools.chain(chosen, _fresh(fresh)):
        outcome = asyncio.run(Run(seed, seconds, entries).play())
        failed += bool(outcome.found)
        click.echo(
            'seed {0}: {1} calls, {2} answered, {3} faults: {4}'.format(
                seed,
                outcome.calls,
                outcome.answered,
                outcome.faults,
                'clean' if not outcome.found else 'FOUND',
            ),
        )
        for line in outcome.found:
            click.echo('  {0}'.format(line))
        if outcome.found:
            click.echo('  logs: {0}'.format(outcome.folder))
    if failed:
        click.echo('{0} seeds with findings'.format(failed))
        sys.exit(1)


if __name__ == '__main__':
    main()
