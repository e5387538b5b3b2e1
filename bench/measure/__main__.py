"""Runs the comparisons, prints their tables and writes report and plot."""

import time
from collections.abc import Callable, Mapping, Sequence
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


def _selection(command: Callable[..., None]) -> Callable[..., None]:
    quick = click.option(
        '--quick',
        is_flag=True,
        help='A few short runs, in a minute.',
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
    for name in names:
        rows = tables.setdefault(name, [])
        for row in COMPARISONS[name](setting):
            click.echo('{0}: {1}'.format(name, dict(row)), err=True)
            rows.append(row)
    _write(tables, out, seed)
    click.echo('Took {0:.0f} s'.format(time.monotonic() - started))


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
