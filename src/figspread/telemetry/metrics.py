"""What a process measures; recorded without loading the exporter."""

import itertools
from typing import Final

from figspread.telemetry.instruments import (
    Instrument,
    InstrumentKind,
    InstrumentRegistry,
    InstrumentSpec,
)

EXPORT_INTERVAL_S: Final = 10
# Calls of `record_token_gap` per recorded value.
TOKEN_GAP_SAMPLE: Final = 16
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


# Key, name and description of each gauge of `GaugeValues`.
_GAUGES: Final = (
    ('queue', 'figspread_queue_length', 'Requests that wait.'),
    ('running', 'figspread_running', 'Requests that run.'),
    ('config', 'figspread_config_number', 'Configuration in force.'),
    ('cold', 'figspread_cold_upstreams', 'Upstreams that may be cold.'),
    ('slow', 'figspread_slow_engines', 'Engines known to be slow.'),
    ('callers', 'figspread_caller_connections', 'Open connections of callers.'),
)


class Metrics(InstrumentRegistry):
    """Instruments of one process; all methods are thread-safe.

    Each object has its own registry, so that one process can hold several.
    With an `endpoint`, values are also exported there by OTLP from a thread,
    which `close` stops. Instruments of a single feature are made by
    `make_instrument`.
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
        super().__init__(process, endpoint, interval_s)
        self._token_gap_calls = itertools.count()
        self._make_instruments()
        for key, name, description in _GAUGES:
            self.observe_gauge(key, name, description)

    def record_first_token(self, length_class: str, seconds: float) -> None:
        """Record the time to first token of a request by its length class."""
        self._first_token.record(seconds, length_class=length_class)

    def record_token_gap(self, seconds: float) -> None:
        """Record the time between two tokens, or two chunks of tokens.

        Only one call in `TOKEN_GAP_SAMPLE` is recorded, because recording a
        value costs more than forwarding the token.
        """
        if next(self._token_gap_calls) % TOKEN_GAP_SAMPLE == 0:
            self._token_gap.record(seconds)

    def record_outcome(self, outcome: str, reason: str = '') -> None:
        """Count a request's outcome."""
        self._outcomes.record(1, outcome=outcome, reason=reason)

    def record_refusal(self, reason: str) -> None:
        """Count a request that was refused as not run."""
        self._refusals.record(1, reason=reason)

    def record_retry(self, reason: str) -> None:
        """Count a retry of a request."""
        self._retries.record(1, reason=reason)

    def record_repeat_refused(self, reason: str) -> None:
        """Count a request that may not be sent once more."""
        self._refused_repeats.record(1, reason=reason)

    def record_limited_send(self, kind: str) -> None:
        """Count a request placed on an upstream with a stated rate limit."""
        self._limited_sends.record(1, kind=kind)

    def record_turned_elsewhere(self, reason: str) -> None:
        """Count a request that its upstream takes no more."""
        self._turned_elsewhere.record(1, reason=reason)

    def record_upstream_crash(self) -> None:
        """Count a crash of an upstream that interrupted requests."""
        self._upstream_crashes.record(1)

    def add_control_bytes(self, size: int) -> None:
        """Count bytes of control traffic sent to other processes."""
        self._control_bytes.record(size)

    def set_queue_length(self, length: int) -> None:
        """Set the number of queued requests."""
        self.gauges.update('queue', length)

    def set_running(self, count: int) -> None:
        """Set the number of running requests."""
        self.gauges.update('running', count)

    def set_config_number(self, number: int) -> None:
        """Set the number of the configuration in force in this process."""
        self.gauges.update('config', number)

    def _make_instruments(self) -> None:
        self._first_token = self.make_instrument(
            InstrumentSpec(
                InstrumentKind.HISTOGRAM,
                'figspread_time_to_first_token',
                'Time to first token by length of prompt.',
                's',
                _FIRST_TOKEN_BOUNDS_S,
            )
        )
        self._token_gap = self.make_instrument(
            InstrumentSpec(
                InstrumentKind.HISTOGRAM,
                'figspread_time_between_tokens',
                'Time between tokens, of one in {0}.'.format(TOKEN_GAP_SAMPLE),
                's',
                _TOKEN_GAP_BOUNDS_S,
            )
        )
        self._outcomes = self._make_counter(
            'figspread_outcomes', 'Requests by outcome and reason.'
        )
        self._refusals = self._make_counter(
            'figspread_refusals', 'Requests refused as not run, by reason.'
        )
        self._retries = self._make_counter(
            'figspread_retries', 'Further attempts of requests, by reason.'
        )
        self._refused_repeats = self._make_counter(
            'figspread_refused_repeats',
            'Requests that could not be sent once more, by reason.',
        )
        self._limited_sends = self._make_counter(
            'figspread_limited_sends',
            'Requests placed on upstreams that state a rate limit.',
        )
        self._turned_elsewhere = self._make_counter(
            'figspread_turned_elsewhere',
            'Requests whose upstream took none after all.',
        )
        self._upstream_crashes = self._make_counter(
            'figspread_upstream_crashes',
            'Crashes of upstreams that interrupted requests.',
        )
        self._control_bytes = self._make_counter(
            'figspread_control',
            'Bytes sent to other processes beside requests.',
            'By',
        )

    def _make_counter(
        self, name: str, description: str, unit: str = ''
    ) -> Instrument:
        return self.make_instrument(
            InstrumentSpec(InstrumentKind.COUNTER, name, description, unit)
        )
