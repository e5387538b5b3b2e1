"""Logs and counts refused requests and closed connections, within a bound."""

import threading
from collections import Counter
from typing import Final

from figspread.clock import Clock
from figspread.telemetry.instruments import InstrumentKind, InstrumentSpec
from figspread.telemetry.logs import Log
from figspread.telemetry.metrics import Metrics

# Interval of log lines on the same reason.
LOG_INTERVAL_S: Final = 5.0


class ClosingReports:
    """Counts each closing by its reason, and logs the sums.

    A crowd of clients must not fill the log: a reason is logged at once when it is
    first seen, and then with the number of closings in each interval.
    """

    def __init__(self, clock: Clock, log: Log, metrics: Metrics) -> None:
        """Start without closings."""
        self._clock = clock
        self._log = log
        self._counter = metrics.make_instrument(
            InstrumentSpec(
                InstrumentKind.COUNTER,
                'figspread_caller_closings',
                'Requests refused and connections closed before a whole '
                'request, by reason.',
            )
        )
        self._unlogged: Counter[str] = Counter()
        self._logged_s: dict[str, float] = {}
        self._lock = threading.Lock()

    def record(self, reason: str) -> None:
        """Count a closing."""
        self._counter.record(1, reason=reason)
        with self._lock:
            self._unlogged[reason] += 1
            is_new = reason not in self._logged_s
        if is_new:
            self.flush()

    def flush(self) -> None:
        """Log what is due; call it every second or so."""
        now = self._clock.now()
        with self._lock:
            due = {
                reason: count
                for reason, count in self._unlogged.items()
                if now - self._logged_s.get(reason, -LOG_INTERVAL_S)
                >= LOG_INTERVAL_S
            }
            for reason in due:
                self._unlogged.pop(reason)
                self._logged_s[reason] = now
        for reason, count in due.items():
            self._log.warning(
                'callers refused or closed', reason=reason, count=count
            )
