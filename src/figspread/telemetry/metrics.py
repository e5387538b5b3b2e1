"""Metrics through OpenTelemetry, readable as Prometheus text."""

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
TOKEN_GAP_SAMPLE: Final = 16
TEXT_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'
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
    """A process's own instruments; any thread may use them.

    Each object has its own registry, so that several can live in one process.
    With an `endpoint` they are also sent there by OTLP, from a thread that
    `close` ends.
    """

    def __init__(
        self,
        process: str,
        *,
        endpoint: str = '',
        interval_s: float = EXPORT_INTERVAL_S,
    ) -> None:
        """Prepare all instruments; `process` names this process."""
        self._registry = CollectorRegistry()
        readers: list[MetricReader] = [
            PrometheusMetricReader(
                scope_info_enabled=False,
                registry=self._registry,
            ),
        ]
        if endpoint:
            readers.append(_make_sender(endpoint, interval_s))
        self._provider = MeterProvider(
            metric_readers=readers,
            resource=Resource({'service.name': process}),
            shutdown_on_exit=False,
        )
        self._gauges = _Gauges()
        self._token_gaps = itertools.count()
        self._make_instruments()

    def note_first_token(self, length_class: str, seconds: float) -> None:
        """Count a request's time to first token by its length class."""
        self._first_token.record(seconds, {'length_class': length_class})

    def note_token_gap(self, seconds: float) -> None:
        """Count the time between two tokens, or two chunks of them.

        One call in `TOKEN_GAP_SAMPLE` is recorded: a record costs more than
        passing on the token that it is about.
        """
        if next(self._token_gaps) % TOKEN_GAP_SAMPLE == 0:
            self._token_gap.record(seconds)

    def note_outcome(self, outcome: str, reason: str = '') -> None:
        """Count a request's outcome."""
        self._outcomes.add(1, {'outcome': outcome, 'reason': reason})

    def note_refusal(self, reason: str) -> None:
        """Count a request that was refused as not run."""
        self._refusals.add(1, {'reason': reason})

    def note_retry(self, reason: str) -> None:
        """Count a further attempt of a request."""
        self._retries.add(1, {'reason': reason})

    def add_control_bytes(self, size: int) -> None:
        """Count bytes sent to other processes that carry no request."""
        self._control_bytes.add(size)

    def set_queue_length(self, length: int) -> None:
        """Note how many requests wait."""
        self._gauges.put('queue', length)

    def set_running(self, count: int) -> None:
        """Note how many requests run."""
        self._gauges.put('running', count)

    def set_config_number(self, number: int) -> None:
        """Note the number of the configuration in force here."""
        self._gauges.put('config', number)

    def render(self) -> bytes:
        """Return all values as Prometheus text, for `/metrics`."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Send what is left where there is an endpoint, and stop."""
        self._provider.shutdown(timeout_millis=EXPORT_TIMEOUT_S * _MS_IN_S)

    def _make_instruments(self) -> None:
        meter = self._provider.get_meter('figspread')
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
        self._control_bytes = meter.create_counter(
            'figspread_control',
            unit='By',
            description='Bytes sent to other processes beside requests.',
        )
        gauges = (
            ('queue', 'figspread_queue_length', 'Requests that wait.'),
            ('running', 'figspread_running', 'Requests that run.'),
            ('config', 'figspread_config_number', 'Configuration in force.'),
        )
        for key, name, description in gauges:
            meter.create_observable_gauge(
                name,
                callbacks=[_Reading(self._gauges, key)],
                description=description,
            )


class _Gauges:
    """The last value of each gauge."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._values: dict[str, int] = {}

    def put(self, key: str, number: int) -> None:
        with self._lock:
            self._values[key] = number

    def read(self, key: str) -> int:
        with self._lock:
            return self._values.get(key, 0)


class _Reading:
    """Reads one gauge whenever metrics are collected."""

    def __init__(self, gauges: _Gauges, key: str) -> None:
        self._gauges = gauges
        self._key = key

    def __call__(self, _options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(self._gauges.read(self._key))


def _make_sender(endpoint: str, interval_s: float) -> MetricReader:
    # Only who sends needs the exporter, which takes 20 MB.
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
