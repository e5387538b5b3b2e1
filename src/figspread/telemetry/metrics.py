"""OpenTelemetry metrics, also available as Prometheus text."""

import itertools
import threading
from collections.abc import Iterable
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    MetricReader,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

EXPORT_INTERVAL_S: Final = 10
EXPORT_TIMEOUT_S: Final = 5
# Calls of `record_token_gap` per recorded value.
TOKEN_GAP_SAMPLE: Final = 16
_MS_IN_S: Final = 1000
_FIRST_TOKEN_BOUNDS_S: Final = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
    30,
    60,
    120,
    300,
    600,
)
_TOKEN_GAP_BOUNDS_S: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.02,
    0.03,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    5,
    30,
)


class Metrics:
    """Instruments of one process; all methods are thread-safe.

    Each object has its own registry, so that one process can hold several.
    With an `endpoint`, values are also exported there by OTLP from a thread,
    which `close` stops. Instruments of a single feature are made from `meter`.
    """

    def __init__(
        self,
        process: str,
        *,
        endpoint: str = '',
        interval_s: float = EXPORT_INTERVAL_S,
    ) -> None:
        """Create all instruments.

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
        self.meter = self._provider.get_meter('figspread')
        self.gauges = GaugeValues()
        self._token_gap_calls = itertools.count()
        self._make_instruments()

    def record_first_token(self, length_class: str, seconds: float) -> None:
        """Record the time to first token of a request by its length class."""
        self._first_token.record(seconds, {'length_class': length_class})

    def record_token_gap(self, seconds: float) -> None:
        """Record the time between two tokens, or two chunks of tokens.

        Only one call in `TOKEN_GAP_SAMPLE` is recorded, because recording a
        value costs more than forwarding the token.
        """
        if next(self._token_gap_calls) % TOKEN_GAP_SAMPLE == 0:
            self._token_gap.record(seconds)

    def record_outcome(self, outcome: str, reason: str = '') -> None:
        """Count a request's outcome."""
        self._outcomes.add(1, {'outcome': outcome, 'reason': reason})

    def record_refusal(self, reason: str) -> None:
        """Count a request that was refused as not run."""
        self._refusals.add(1, {'reason': reason})

    def record_retry(self, reason: str) -> None:
        """Count a retry of a request."""
        self._retries.add(1, {'reason': reason})

    def record_limited_send(self, kind: str) -> None:
        """Count a request placed on an upstream with a stated rate limit."""
        self._limited_sends.add(1, {'kind': kind})

    def record_turned_elsewhere(self, reason: str) -> None:
        """Count a request that its upstream takes no more."""
        self._turned_elsewhere.add(1, {'reason': reason})

    def record_upstream_crash(self) -> None:
        """Count a crash of an upstream that interrupted requests."""
        self._upstream_crashes.add(1)

    def add_control_bytes(self, size: int) -> None:
        """Count bytes of control traffic sent to other processes."""
        self._control_bytes.add(size)

    def set_queue_length(self, length: int) -> None:
        """Set the number of queued requests."""
        self.gauges.update('queue', length)

    def set_running(self, count: int) -> None:
        """Set the number of running requests."""
        self.gauges.update('running', count)

    def set_config_number(self, number: int) -> None:
        """Set the number of the configuration in force in this process."""
        self.gauges.update('config', number)

    def render(self) -> bytes:
        """Return all values as Prometheus text, for `/metrics`."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Export the remaining values if there is an endpoint, and stop."""
        self._provider.shutdown(timeout_millis=EXPORT_TIMEOUT_S * _MS_IN_S)

    def _make_instruments(self) -> None:
        meter = self.meter
        self._first_token = meter.create_histogram(
            'figspread_time_to_first_token',
            unit='s',
            description='Time to first token by length of prompt.',
            explicit_bucket_boundaries_advisory=_FIRST_TOKEN_BOUNDS_S,
        )
        self._token_gap = meter.create_histogram(
            'figspread_time_between_tokens',
            unit='s',
            description='Time between tokens, of one in {0}.'.format(
                TOKEN_GAP_SAMPLE,
            ),
            explicit_bucket_boundaries_advisory=_TOKEN_GAP_BOUNDS_S,
        )
        self._outcomes = meter.create_counter(
            'figspread_outcomes',
            description='Requests by outcome and reason.',
        )
        self._refusals = meter.create_counter(
            'figspread_refusals',
            description='Requests refused as not run, by reason.',
        )
        self._retries = meter.create_counter(
            'figspread_retries',
            description='Further attempts of requests, by reason.',
        )
        self._limited_sends = meter.create_counter(
            'figspread_limited_sends',
            description='Requests placed on upstreams that state a rate limit.',
        )
        self._turned_elsewhere = meter.create_counter(
            'figspread_turned_elsewhere',
            description='Requests whose upstream took none after all.',
        )
        self._upstream_crashes = meter.create_counter(
            'figspread_upstream_crashes',
            description='Crashes of upstreams that interrupted requests.',
        )
        self._control_bytes = meter.create_counter(
            'figspread_control',
            unit='By',
            description='Bytes sent to other processes beside requests.',
        )
        gauges = (
            ('queue', 'figspread_queue_length', 'Requests that wait.'),
            ('running', 'figspread_running', 'Requests that run.'),
            ('config', 'figspread_config_number', 'Configuration in force.'),
            ('cold', 'figspread_cold_upstreams', 'Upstreams that may be cold.'),
            ('slow', 'figspread_slow_engines', 'Engines known to be slow.'),
        )
        for key, name, description in gauges:
            meter.create_observable_gauge(
                name,
                callbacks=[_GaugeCallback(self.gauges, key)],
                description=description,
            )


class GaugeValues:
    """Last value of each gauge by its key, 0 until it is set."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._values: dict[str, int] = {}

    def update(self, key: str, number: int) -> None:
        """Set the gauge `key`."""
        with self._lock:
            self._values[key] = number

    def read(self, key: str) -> int:
        """Return the value of the gauge `key`."""
        with self._lock:
            return self._values.get(key, 0)


class _GaugeCallback:
    """Callback that returns one gauge's value at each collection."""

    def __init__(self, gauges: GaugeValues, key: str) -> None:
        self._gauges = gauges
        self._key = key

    def __call__(self, _options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(self._gauges.read(self._key))


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
