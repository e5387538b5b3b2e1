"""Formats the report of a load run as a text table."""

from collections.abc import Iterator
from typing import Final, TypeAlias

from tabulate import tabulate

from figspread.load.report import GroupSummary, Report

HEADERS: Final = (
    'requests',
    'sent',
    'answered',
    'not run',
    'failed',
    'unknown',
    'first token p50 ms',
    'p95 ms',
    'whole p95 ms',
    'reasons',
)
_Row: TypeAlias = list[str | int]


def format_report(report: Report) -> str:
    """Return a table of each group of `report` with outcomes and latencies."""
    return tabulate(
        list(_list_rows(report)),
        headers=HEADERS,
        disable_numparse=True,
    )


def _list_rows(report: Report) -> Iterator[_Row]:
    for groups in (report.classes, report.services):
        for name, group in groups.items():
            yield _make_row(name, group)
    yield _make_row('all', report.total)


def _make_row(name: str, group: GroupSummary) -> _Row:
    outcomes = group.outcomes
    return [
        name,
        group.requests,
        outcomes.get('answered', 0),
        outcomes.get('not_run', 0),
        outcomes.get('failed', 0),
        outcomes.get('unknown', 0),
        _format_time(group.first_token.count, group.first_token.p50_ms),
        _format_time(group.first_token.count, group.first_token.p95_ms),
        _format_time(group.whole.count, group.whole.p95_ms),
        _format_reasons(group),
    ]


def _format_time(count: int, time_ms: float) -> str:
    return '{0:.0f}'.format(time_ms) if count else '-'


def _format_reasons(group: GroupSummary) -> str:
    return ', '.join(
        '{0} {1}'.format(count, reason)
        for reason, count in group.reasons.items()
    )
