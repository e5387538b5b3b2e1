"""Metrics of the evacuation of data centres."""

from figspread.telemetry.instruments import InstrumentKind, InstrumentSpec
from figspread.telemetry.metrics import Metrics


class EvacuationMetrics:
    """Evacuated data centres, and the requests that this affects."""

    def __init__(self, metrics: Metrics) -> None:
        """Create the instruments."""
        self._requests = metrics.make_instrument(
            InstrumentSpec(
                InstrumentKind.COUNTER,
                'figspread_evacuated_requests',
                'Requests redirected or refused by evacuations.',
            )
        )
        self._data_centres = metrics.make_instrument(
            InstrumentSpec(
                InstrumentKind.GAUGE,
                'figspread_evacuated_data_centres',
                'Data centres that are evacuated.',
            )
        )

    def record_redirected(self) -> None:
        """Count a request that was placed in a data centre, but not sent."""
        self._requests.record(1, result='redirected')

    def record_refused(self) -> None:
        """Count a request without any upstream outside of evacuations."""
        self._requests.record(1, result='refused')

    def record_count(self, count: int) -> None:
        """Record the number of evacuated data centres."""
        self._data_centres.record(count)
