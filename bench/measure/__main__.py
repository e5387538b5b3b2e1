"""Command that runs the comparisons and writes tables, report and plot."""

import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Final

import click
import msgspec
from tabulate import tabulate

from bench.measure.comparisons import (
    ComparisonOptions,
    Row,
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
QUICK_COMPARISONS: Final = ('routing', 'behind', 'overload')
# Limits the comparisons of a quick run, which has to end within a minute;
# the rest of the minute is for writing the tables and the plot.
QUICK_LIMIT_S: Final = 50.0


def _add_selection_options(command: Callable[..., None]) -> Callable[..., None]:
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
        help='Also run the policies that are not the default.',
    )
    return quick(only(baselines(command)))


@click.command()
@_add_selection_options
@click.option('--seed', type=click.IntRange(0), default=1, show_default=True)
@click.option(
    '--time-scale',
    type=click.FloatRange(0.1, 100),
    default=1.5,
    show_default=True,
    help="Speed-up of the engines' clock against real time.",
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
    options = ComparisonOptions(seed, time_scale, out, quick, baselines)
    default_names = QUICK_COMPARISONS if quick else tuple(COMPARISONS)
    names = only or default_names
    tables: dict[str, list[Row]] = {}
    started = time.monotonic()
    deadline = started + QUICK_LIMIT_S if quick else float('inf')
    for name in names:
        tables[name] = run_until(COMPARISONS[name](options), deadline)
    if quick:
        counts = {table: len(rows) for table, rows in tables.items()}
        click.echo('runs that the time was enough for: {0}'.format(counts))
    _write_results(tables, out, seed)
    click.echo('Took {0:.0f} s'.format(time.monotonic() - started))


def run_until(runs: Iterator[Row], deadline: float) -> list[Row]:
    """Return the rows of the runs that are expected to end by `deadline`.

    `deadline` is in seconds on the monotonic clock. A run is expected to
    take as long as the longest run before it.
    """
    rows: list[Row] = []
    longest_s: float = 0
    while time.monotonic() + longest_s < deadline:
        run_started = time.monotonic()
        row = next(runs, None)
        if row is None:
            return rows
        click.echo(dict(row), err=True)
        longest_s = max(longest_s, time.monotonic() - run_started)
        rows.append(row)
    return rows


def _write_results(
    tables: Mapping[str, Sequence[Row]],
    out: Path,
    seed: int,
) -> None:
    document = {'seed': seed, 'tables': tables}
    report = msgspec.json.format(msgspec.json.encode(document), indent=2)
    (out / 'measure.json').write_bytes(report)
    sections = [
        '{0}\n\n{1}\n'.format(name, _make_table(rows))
        for name, rows in tables.items()
    ]
    (out / 'tables.txt').write_text('\n'.join(sections))
    for section in sections:
        click.echo(section)
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
