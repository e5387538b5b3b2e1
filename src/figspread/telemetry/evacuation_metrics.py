"""Metrics of the evacuation of data centres."""

from opentelemetry.metrics import Meter


class EvacuationMetrics:
    """Evacuated data centres, and the requests that this affects."""

    def __init__(self, meter: Meter) -> None:
        """Create the instruments."""
        self._requests = meter.create_counter(
            'figspread_evacuated_requests',
            description='Requests redirected or refused by evacuations.',
        )
        self._data_centres = meter.create_gauge(
            'figspread_evacuated_data_centres',
            description='Data centres that are evacuated.',
        )

    def record_redirected(self) -> None:
        """Count a request that was placed in a data centre, but not sent."""
        self._requests.add(1, {'result': 'redirected'})

    def record_refused(self) -> None:
        """Count a request without any upstream outside of evacuations."""
        self._requests.add(1, {'result': 'refused'})

    def record_count(self, count: int) -> None:
        """Record the number of evacuated data centres."""
        self._data_centres.set(count)
