"""Exports instruments by OpenTelemetry, also as Prometheus text."""

from collections.abc import Callable, Iterable, Mapping
from typing import Final, assert_never

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    MetricReader,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from figspread.telemetry.instruments import (
    Instrument,
    InstrumentKind,
    InstrumentSpec,
)

EXPORT_TIMEOUT_S: Final = 5
_MS_IN_S: Final = 1000


class MetricsExporter:
    """The exporter of one process, with a registry of its own.

    With an `endpoint`, values are also exported there by OTLP from a thread,
    which `close` stops.
    """

    def __init__(
        self, process: str, *, endpoint: str, interval_s: float
    ) -> None:
        """Start without instruments.

        `process` is exported as the service name; `interval_s` is the time
        between two exports in seconds.
        """
        self._registry = CollectorRegistry()
        readers: list[MetricReader] = [
            PrometheusMetricReader(
                scope_info_enabled=False,
                registry=self._registry,
            ),
        ]
        if endpoint:
            readers.append(_make_otlp_reader(endpoint, interval_s))
        self._provider = MeterProvider(
            metric_readers=readers,
            resource=Resource({'service.name': process}),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter('figspread')

    def connect(self, instrument: Instrument) -> None:
        """Export what `instrument` has recorded and will record."""
        instrument.connect(_make_recorder(self._meter, instrument.spec))

    def observe(
        self, name: str, description: str, read: Callable[[], int]
    ) -> None:
        """Export a gauge whose value `read` returns at each collection."""
        self._meter.create_observable_gauge(
            name, callbacks=[_GaugeCallback(read)], description=description
        )

    def render(self) -> bytes:
        """Return all values as Prometheus text."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Export the remaining values if there is an endpoint, and stop."""
        self._provider.shutdown(timeout_millis=EXPORT_TIMEOUT_S * _MS_IN_S)


class _GaugeCallback:
    def __init__(self, read: Callable[[], int]) -> None:
        self._read = read

    def __call__(self, _options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(self._read())


def _make_recorder(
    meter: Meter, spec: InstrumentSpec
) -> Callable[[float, Mapping[str, str]], None]:
    match spec.kind:
        case InstrumentKind.COUNTER:
            return meter.create_counter(
                spec.name, unit=spec.unit, description=spec.description
            ).add
        case InstrumentKind.GAUGE:
            return meter.create_gauge(
                spec.name, unit=spec.unit, description=spec.description
            ).set
        case InstrumentKind.HISTOGRAM:
            return meter.create_histogram(
                spec.name,
                unit=spec.unit,
                description=spec.description,
                explicit_bucket_boundaries_advisory=spec.bounds,
            ).record
        case _:
            assert_never(spec.kind)


def _make_otlp_reader(endpoint: str, interval_s: float) -> MetricReader:
    # Imported only when needed: the exporter takes 20 MB of memory.
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )

    return PeriodicExportingMetricReader(
        OTLPMetricExporter(
            endpoint='{0}/v1/metrics'.format(endpoint),
            timeout=EXPORT_TIMEOUT_S,
        ),
        export_interval_millis=interval_s * _MS_IN_S,
        export_timeout_millis=EXPORT_TIMEOUT_S * _MS_IN_S,
    )
