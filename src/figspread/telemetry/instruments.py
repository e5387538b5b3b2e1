"""Instruments that record values before the exporter of metrics is loaded."""

import threading
from collections.abc import Callable, Mapping
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from figspread.telemetry.exporter import MetricsExporter


class InstrumentKind(Enum):
    """What an instrument does with the values that are recorded."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    HISTOGRAM = 'histogram'


class InstrumentSpec(msgspec.Struct, frozen=True):
    """The kind of an instrument, and how it is exported.

    `bounds` are the upper bounds of a histogram's buckets, in `unit`.
    """

    kind: InstrumentKind
    name: str
    description: str
    unit: str = ''
    bounds: tuple[float, ...] = ()


class Instrument:
    """Keeps recorded values until it is connected, then passes them on.

    All methods are thread-safe.
    """

    def __init__(self, spec: InstrumentSpec) -> None:
        """Start without a connection."""
        self.spec = spec
        self._lock = threading.Lock()
        self._pending: list[tuple[float, Mapping[str, str]]] = []
        # Sums of a counter by its attributes: nobody may ever connect it.
        self._sums: dict[tuple[tuple[str, str], ...], float] = {}
        self._forward: Callable[[float, Mapping[str, str]], None] | None = None

    def record(self, amount: float, **attributes: str) -> None:
        """Record a value with its attributes."""
        with self._lock:
            if self._forward is None:
                self._keep(amount, attributes)
                return
        self._forward(amount, attributes)

    def connect(
        self, forward: Callable[[float, Mapping[str, str]], None]
    ) -> None:
        """Pass all values to `forward`, those kept so far at once."""
        with self._lock:
            for amount, attributes in self._pending:
                forward(amount, attributes)
            for labels, total in self._sums.items():
                forward(total, dict(labels))
            self._pending.clear()
            self._sums.clear()
            self._forward = forward

    def _keep(self, amount: float, attributes: Mapping[str, str]) -> None:
        if self.spec.kind is not InstrumentKind.COUNTER:
            self._pending.append((amount, attributes))
            return
        labels = tuple(sorted(attributes.items()))
        self._sums[labels] = self._sums.get(labels, 0) + amount


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


class InstrumentRegistry:
    """The instruments of one process; all methods are thread-safe.

    Values are kept until `load` is called. Loading the exporter takes a quarter
    of the processor time of a process's start, so a process that callers wait
    for calls it once it serves them.
    """

    def __init__(self, process: str, endpoint: str, interval_s: float) -> None:
        """Start without instruments; see `MetricsExporter` for the rest."""
        self.gauges = GaugeValues()
        self._make_exporter: Callable[[], MetricsExporter] = partial(
            _load_exporter, process, endpoint, interval_s
        )
        self._exporter: MetricsExporter | None = None
        self._lock = threading.Lock()
        self._instruments: list[Instrument] = []
        self._observed: list[tuple[str, str, str]] = []

    def make_instrument(self, spec: InstrumentSpec) -> Instrument:
        """Return a new instrument that is exported with the others."""
        instrument = Instrument(spec)
        with self._lock:
            self._instruments.append(instrument)
            if self._exporter is not None:
                self._exporter.connect(instrument)
        return instrument

    def observe_gauge(self, key: str, name: str, description: str) -> None:
        """Export the gauge `key` as `name`; call this before `load`."""
        self._observed.append((key, name, description))

    def load(self) -> 'MetricsExporter':
        """Load the exporter unless that has been done, and return it."""
        with self._lock:
            if self._exporter is None:
                exporter = self._make_exporter()
                for instrument in self._instruments:
                    exporter.connect(instrument)
                for key, name, description in self._observed:
                    exporter.observe(
                        name, description, partial(self.gauges.read, key)
                    )
                self._exporter = exporter
            return self._exporter

    def render(self) -> bytes:
        """Return all values as Prometheus text, for `/metrics`."""
        return self.load().render()

    def close(self) -> None:
        """Export the remaining values if there is an endpoint, and stop."""
        self.load().close()


def _load_exporter(
    process: str, endpoint: str, interval_s: float
) -> 'MetricsExporter':
    from figspread.telemetry.exporter import MetricsExporter

    return MetricsExporter(process, endpoint=endpoint, interval_s=interval_s)
