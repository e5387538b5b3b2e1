"""Runs the comparisons, prints their tables and writes report and plot."""

import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Final

import click
import msgspec
from tabulate import tabulate

from bench.measure.comparisons import (
    Row,
    Setting,
    compare_overload,
    compare_routing,
    compare_short_behind_long,
    compare_workspaces,
)
from bench.measure.plot import plot_tables

COMPARISONS: Final = {
    'routing': compare_routing,
    'behind': compare_short_behind_long,
    'overload': compare_overload,
    'workspaces': compare_workspaces,
}
QUICK: Final = ('routing', 'behind', 'overload')
# A quick run ends within a minute; of that its tables and the plot take this.
QUICK_LIMIT_S: Final = 50.0


def _selection(command: Callable[..., None]) -> Callable[..., None]:
    quick = click.option(
        '--quick',
        is_flag=True,
        help='A few short runs, as many as fit into a minute.',
    )
    only = click.option(
        '--only',
        type=click.Choice(list(COMPARISONS)),
        multiple=True,
        help='Run just these comparisons.',
    )
    baselines = click.option(
        '--baselines/--no-baselines',
        default=True,
        help='Run what is not in force by default too.',
    )
    return quick(only(baselines(command)))


@click.command()
@_selection
@click.option('--seed', type=click.IntRange(0), default=1, show_default=True)
@click.option(
    '--time-scale',
    type=click.FloatRange(0.1, 100),
    default=1.5,
    show_default=True,
    help='How much faster than life the engines run.',
)
@click.option(
    '--out',
    type=click.Path(file_okay=False, path_type=Path),
    default=Path('out'),
    show_default=True,
    help='A folder for tables, reports and the plot.',
)
def main(
    *,
    quick: bool,
    seed: int,
    time_scale: float,
    only: Sequence[str],
    baselines: bool,
    out: Path,
) -> None:
    """Compare policies on this machine; figures are ratios within a run."""
    out.mkdir(parents=True, exist_ok=True)
    setting = Setting(seed, time_scale, out, quick, baselines)
    usual = QUICK if quick else tuple(COMPARISONS)
    names = only or usual
    tables: dict[str, list[Row]] = {}
    started = time.monotonic()
    ends = started + QUICK_LIMIT_S if quick else float('inf')
    for name in names:
        tables[name] = run_until(COMPARISONS[name](setting), ends)
    if quick:
        counts = {table: len(rows) for table, rows in tables.items()}
        click.echo('runs that the time was enough for: {0}'.format(counts))
    _write(tables, out, seed)
    click.echo('Took {0:.0f} s'.format(time.monotonic() - started))


def run_until(runs: Iterator[Row], ends: float) -> list[Row]:
    """Return the rows of runs that end by `ends`.

    `ends` is on the monotonic clock. A run is taken to last as long as the
    longest one before it.
    """
    rows: list[Row] = []
    longest_s: float = 0
    while time.monotonic() + longest_s < ends:
        began = time.monotonic()
        row = next(runs, None)
        if row is None:
            return rows
        click.echo(dict(row), err=True)
        longest_s = max(longest_s, time.monotonic() - began)
        rows.append(row)
    return rows


def _write(
    tables: Mapping[str, Sequence[Row]],
    out: Path,
    seed: int,
) -> None:
    document = {'seed': seed, 'tables': tables}
    plain = msgspec.json.format(msgspec.json.encode(document), indent=2)
    (out / 'measure.json').write_bytes(plain)
    texts = [
        '{0}\n\n{1}\n'.format(name, _make_table(rows))
        for name, rows in tables.items()
    ]
    (out / 'tables.txt').write_text('\n'.join(texts))
    for text in texts:
        click.echo(text)
    plot_tables(tables, out / 'measure.png')


def _make_table(rows: Sequence[Row]) -> str:
    return tabulate(
        [dict(row) for row in rows],
        headers='keys',
        tablefmt='github',
        floatfmt='.4g',
    )


if __name__ == '__main__':
    main()
