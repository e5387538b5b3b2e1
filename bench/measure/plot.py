"""Plots of the comparisons, one bar chart for each."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Final

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from bench.measure.comparisons import Row

# For each table the columns that label a row and those drawn as bars.
PLOTTED_COLUMNS: Final = {
    'routing': (('router',), ('1k-4k p95 ms', '4k-32k p95 ms')),
    'behind': (('queue', 'longs'), ('shorts p50 ms', 'shorts p95 ms')),
    'overload': (('variant', 'load'), ('answered/s',)),
    'workspaces': (('run', 'workspace'), ('p95 ms',)),
}
_BAR_WIDTH: Final = 0.4


def plot_tables(tables: Mapping[str, Sequence[Row]], path: Path) -> None:
    """Draw a bar chart for each of `tables` into the image file `path`."""
    mpl.use('agg')
    figure = Figure(figsize=(5 * len(tables), 5), layout='constrained')
    axes = figure.subplots(1, len(tables), squeeze=False)[0]
    for chart, (name, rows) in zip(axes, tables.items(), strict=True):
        _draw_bars(chart, name, rows)
    figure.savefig(path)


def _draw_bars(chart: Axes, name: str, rows: Sequence[Row]) -> None:
    labels, columns = PLOTTED_COLUMNS[name]
    for offset, column in enumerate(columns):
        chart.bar(
            [position + offset * _BAR_WIDTH for position in range(len(rows))],
            [float(row.get(column, 0)) for row in rows],
            _BAR_WIDTH,
            label=column,
        )
    chart.set_title(name)
    chart.set_xticks(
        range(len(rows)),
        [' '.join(str(row[label]) for label in labels) for row in rows],
        rotation=60,
        ha='right',
    )
    chart.legend()
