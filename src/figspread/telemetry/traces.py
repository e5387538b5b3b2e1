"""Traces with a span per hop, propagated as W3C `traceparent`."""

from types import TracebackType
from typing import Final, Self

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
    OTLPSpanExporter,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

EXPORT_TIMEOUT_S: Final = 5
_HEADER: Final = 'traceparent'
_PROPAGATOR: Final = TraceContextTextMapPropagator()


class Span:
    """Trace span of one hop of a request.

    `traceparent` is sent with the request to the next hop. A span ends once,
    by `end` or at the end of a `with` block.
    """

    def __init__(self, inner: trace.Span | None, traceparent: str) -> None:
        """Wrap `inner`; `None` makes a span that only propagates its parent."""
        self.traceparent = traceparent
        self._inner = inner

    def set_attribute(self, name: str, field: str | float) -> None:
        """Set an attribute of the span."""
        if self._inner is not None:
            self._inner.set_attribute(name, field)

    def add_event(self, event: str) -> None:
        """Add an event with the current time."""
        if self._inner is not None:
            self._inner.add_event(event)

    def end(self) -> None:
        """End the span now; a second call does nothing."""
        if self._inner is not None:
            self._inner.end()
            self._inner = None

    def __enter__(self) -> Self:
        """Return the span itself."""
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _exc: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        """End the span."""
        self.end()


class Tracer:
    """Starts spans; without a `processor` they only propagate their parent.

    ```
    >>> with Tracer('entry-1').start('dispatch', '') as span:
    ...     span.traceparent
    ''
    ```
    """

    def __init__(
        self,
        process: str,
        *,
        processor: SpanProcessor | None = None,
    ) -> None:
        """Pass finished spans to `processor`; `process` is the service name."""
        self._provider: TracerProvider | None = None
        if processor is not None:
            self._provider = TracerProvider(
                resource=Resource({'service.name': process}),
                shutdown_on_exit=False,
            )
            self._provider.add_span_processor(processor)

    def start(self, name: str, traceparent: str) -> Span:
        """Start a span below `traceparent`, or a new trace if it is empty."""
        if self._provider is None:
            return Span(None, traceparent)
        parent = _PROPAGATOR.extract({_HEADER: traceparent})
        inner = self._provider.get_tracer('figspread').start_span(name, parent)
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, trace.set_span_in_context(inner))
        return Span(inner, carrier.get(_HEADER, ''))

    def close(self) -> None:
        """Export the remaining spans and stop."""
        if self._provider is not None:
            self._provider.shutdown()


def make_tracer(process: str, *, endpoint: str = '') -> Tracer:
    """Return a tracer that exports by OTLP to `endpoint`, if it is set."""
    if not endpoint:
        return Tracer(process)
    exporter = OTLPSpanExporter(
        endpoint='{0}/v1/traces'.format(endpoint),
        timeout=EXPORT_TIMEOUT_S,
    )
    return Tracer(process, processor=BatchSpanProcessor(exporter))
