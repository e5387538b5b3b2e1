"""Plots the latencies of a load run by length class."""

from collections.abc import Mapping
from pathlib import Path
from typing import Final

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from result import Err, Ok, Result

from figspread.load.report import LatencySummary, Report
from figspread.policy.types import LengthClass

PERCENTILES: Final = ('p50_ms', 'p90_ms', 'p95_ms', 'p99_ms')
_BAR_WIDTH: Final = 0.2
_SIZE_INCHES: Final = (9, 5)


def plot_report(report: Report, path: Path) -> Result[None, str]:
    """Plot time to first token and inter-token time into the file `path`.

    Return the error text if the file can't be written.
    """
    mpl.use('agg')
    figure = Figure(figsize=_SIZE_INCHES, layout='constrained')
    left, right = figure.subplots(1, 2)
    groups = {
        length_class.value: report.classes[length_class.value]
        for length_class in LengthClass
        if length_class.value in report.classes
    }
    _draw_percentiles(
        left,
        'time to first token',
        {name: group.first_token for name, group in groups.items()},
    )
    _draw_percentiles(
        right,
        'between tokens',
        {name: group.between_tokens for name, group in groups.items()},
    )
    try:
        figure.savefig(path)
    except (OSError, ValueError) as exc:
        return Err(str(exc))
    return Ok(None)


def _draw_percentiles(
    axes: Axes, title: str, times: Mapping[str, LatencySummary]
) -> None:
    for series, percentile in enumerate(PERCENTILES):
        axes.bar(
            [position + series * _BAR_WIDTH for position in range(len(times))],
            [
                getattr(group_times, percentile)
                for group_times in times.values()
            ],
            _BAR_WIDTH,
            label=percentile.removesuffix('_ms'),
        )
    axes.set_title(title)
    axes.set_ylabel('ms')
    axes.set_yscale('symlog', linthresh=1)
    axes.set_xticks(range(len(times)), times)
    axes.legend()
