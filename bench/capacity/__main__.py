"""Command that measures costs by size and extrapolates them to the target."""

import sys
import time
from collections.abc import Callable, Iterator
from typing import Final, TypeAlias

from tabulate import tabulate

from bench.capacity.links import measure_links
from bench.capacity.local import measure_local
from bench.capacity.slopes import CostSeries
from bench.capacity.store import measure_store
from bench.capacity.streams import measure_streams

_Measure: TypeAlias = Callable[[], Iterator[CostSeries]]

_PARTS: Final[dict[str, _Measure]] = {
    'local': measure_local,
    'store': measure_store,
    'links': measure_links,
    'streams': measure_streams,
}
_HEADERS: Final = (
    'what',
    'unit',
    'sizes',
    'measured',
    'slope',
    'intercept',
    'target',
    'at target',
)


def main() -> None:
    """Measure the parts given as arguments, or all of them."""
    names = sys.argv[1:] or list(_PARTS)
    unknown = [name for name in names if name not in _PARTS]
    if unknown:
        sys.exit(
            'unknown parts {0}; the known parts are {1}'.format(
                unknown, list(_PARTS)
            )
        )
    started = time.monotonic()
    rows = [
        _format_series(series) for name in names for series in _PARTS[name]()
    ]
    print(tabulate(rows, _HEADERS, disable_numparse=True))  # noqa: WPS421
    print('{0:.0f} s'.format(time.monotonic() - started))  # noqa: WPS421


def _format_series(series: CostSeries) -> list[str]:
    slope, intercept = series.fit()
    return [
        series.name,
        series.unit,
        ' '.join(_format_number(size) for size in series.sizes),
        ' '.join(_format_number(cost) for cost in series.costs),
        _format_number(slope),
        _format_number(intercept),
        _format_number(series.target),
        _format_number(series.estimate_at_target()),
    ]


def _format_number(number: float) -> str:
    return (
        '{0:,.4g}'.format(number)
        if number < 1000
        else _format_large_number(number)
    )


def _format_large_number(number: float) -> str:
    return '{0:,.0f}'.format(number)


if __name__ == '__main__':
    main()
