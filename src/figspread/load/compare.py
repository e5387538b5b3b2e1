"""Compares the reports of two load runs."""

from collections.abc import Iterator, Mapping
from typing import Final, TypeAlias

from tabulate import tabulate

from figspread.load.report import GroupSummary, Report

NO_FIGURE: Final = '-'
_Row: TypeAlias = tuple[str, str, str, str]


def compare_reports(first: Report, second: Report) -> str:
    """Return a table of both runs' figures and their ratio, B to A.

    Warnings about partial runs or differing plans come before it.
    """
    rows = list(_list_rows(first, second))
    table = tabulate(
        rows,
        headers=('', 'A', 'B', 'B/A'),
        colalign=('left', 'right', 'right', 'right'),
        disable_numparse=True,
    )
    return '\n'.join((*_list_warnings(first, second), table))


def _list_warnings(first: Report, second: Report) -> Iterator[str]:
    if first.is_partial:
        yield 'A is partial: the run was interrupted.'
    if second.is_partial:
        yield 'B is partial: the run was interrupted.'
    if first.plan != second.plan:
        yield 'The runs had different load files.'


def _list_rows(first: Report, second: Report) -> Iterator[_Row]:
    yield _make_row('requests', first.total.requests, second.total.requests)
    yield _make_row('answered/s', first.answered_per_s, second.answered_per_s)
    for outcome in first.total.outcomes:
        yield _make_row(
            outcome,
            first.total.outcomes[outcome],
            second.total.outcomes.get(outcome, 0),
        )
    yield _make_row('late p99 ms', first.late.p99_ms, second.late.p99_ms)
    yield from _list_group_rows(first.classes, second.classes)
    yield from _list_group_rows(first.workspaces, second.workspaces)
    yield from _list_group_rows(first.services, second.services)


def _list_group_rows(
    first: Mapping[str, GroupSummary],
    second: Mapping[str, GroupSummary],
) -> Iterator[_Row]:
    for name in sorted({*first, *second}):
        pair = (first.get(name), second.get(name))
        yield _make_group_row(name, 'answered', pair)
        yield _make_group_row(name, 'first token p50 ms', pair)
        yield _make_group_row(name, 'first token p95 ms', pair)
        yield _make_group_row(name, 'between tokens p95 ms', pair)
        yield _make_group_row(name, 'whole p95 ms', pair)


def _make_group_row(
    name: str,
    measure: str,
    pair: tuple[GroupSummary | None, GroupSummary | None],
) -> _Row:
    figures = [
        None if group is None else _get_figure(group, measure) for group in pair
    ]
    return _make_row('{0} {1}'.format(name, measure), figures[0], figures[1])


def _get_figure(group: GroupSummary, measure: str) -> float | None:
    if measure == 'answered':
        return group.outcomes.get('answered', 0)
    times, field = {
        'first token p50 ms': (group.first_token, 'p50_ms'),
        'first token p95 ms': (group.first_token, 'p95_ms'),
        'between tokens p95 ms': (group.between_tokens, 'p95_ms'),
        'whole p95 ms': (group.whole, 'p95_ms'),
    }[measure]
    return getattr(times, field) if times.count else None


def _make_row(name: str, first: float | None, second: float | None) -> _Row:
    ratio = NO_FIGURE
    if first and second is not None:
        ratio = '{0:.2f}'.format(second / first)
    return name, _format_figure(first), _format_figure(second), ratio


def _format_figure(figure: float | None) -> str:
    return NO_FIGURE if figure is None else '{0:.6g}'.format(figure)
