"""Reports objects of the store that can't be read, once each."""

from collections.abc import Iterable
from typing import Final

from figspread.telemetry.instruments import InstrumentKind, InstrumentSpec
from figspread.telemetry.logs import Log
from figspread.telemetry.metrics import Metrics

# Reports that are remembered; the earliest are forgotten and may be repeated.
MAX_REPORTED: Final = 1000


class RecordFaults:
    """Logs each unreadable object once, and counts how often one is read."""

    def __init__(self, log: Log, metrics: Metrics) -> None:
        """Create the counter."""
        self._log = log
        self._reported: dict[tuple[str, str, str], None] = {}
        self._counter = metrics.make_instrument(
            InstrumentSpec(
                InstrumentKind.COUNTER,
                'figspread_unreadable_objects',
                'Objects of the store that were left out, by kind.',
            )
        )

    def report_upstream(self, name: str, revision: int, detail: str) -> None:
        """Report the record of an upstream; logged once for each `detail`."""
        self._counter.record(1, kind='upstream')
        if self._remember('upstream', name, detail):
            # The field `entry` is the id of the upstream.
            self._log.warning(
                'upstream record invalid',
                entry=name,
                revision=revision,
                detail=detail,
            )

    def report_unnamed(self, kind: str, details: Iterable[str]) -> None:
        """Report objects of which not even the names can be read."""
        for detail in details:
            self._counter.record(1, kind=kind)
            if self._remember(kind, '', detail):
                self._log.warning(
                    'store object unreadable', kind=kind, detail=detail
                )

    def _remember(self, kind: str, name: str, detail: str) -> bool:
        """Return whether this fault of this object is new."""
        fault = (kind, name, detail)
        if fault in self._reported:
            return False
        if len(self._reported) >= MAX_REPORTED:
            self._reported.pop(next(iter(self._reported)))
        self._reported[fault] = None
        return True
