"""Refusals and closings are counted, and a crowd doesn't fill the log."""

from collections import Counter

from figspread.clock import ManualClock
from figspread.telemetry.closing_reports import (
    LOG_INTERVAL_S,
    ClosingReports,
)
from figspread.telemetry.logs import Level, Log
from figspread.telemetry.metrics import Metrics
from tests.giftwrap_fleet import MemoryLog


def _count(log: MemoryLog) -> Counter[str]:
    counts: Counter[str] = Counter()
    for row in log.rows:
        counts[row['reason']] += row['count']
    return counts


def test_crowd_gets_few_lines_and_an_exact_count() -> None:
    """A line for each reason at once, then one in each interval."""
    clock, rows, metrics = ManualClock(), MemoryLog(), Metrics('entry')
    reports = ClosingReports(clock, Log(Level.INFO, {}, logger=rows), metrics)
    for _ in range(30):
        for _ in range(100):
            reports.record('late')
        reports.record('malformed')
        reports.flush()
        clock.advance(LOG_INTERVAL_S / 10)
    clock.advance(LOG_INTERVAL_S)
    reports.flush()
    assert _count(rows) == {'late': 3000, 'malformed': 30}
    assert len(rows.rows) <= 2 * 5
    text = metrics.render().decode()
    assert 'figspread_caller_closings_total{reason="late"} 3000.0' in text
