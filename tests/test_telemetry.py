"""Tests of logs, metrics, traces and request trails."""

import io
import json
import subprocess
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from figspread.ids import RequestId
from figspread.telemetry.instruments import InstrumentKind, InstrumentSpec
from figspread.telemetry.logs import Level, Log, open_log
from figspread.telemetry.metrics import TOKEN_GAP_SAMPLE, Metrics
from figspread.telemetry.traces import Tracer, make_tracer
from figspread.telemetry.trail import HOPS_PER_REQUEST_LIMIT, Trail

PARENT = '00-{0}-{1}-01'.format('a' * 32, 'b' * 16)


class MessageRecorder:
    """Logger that records the messages written to it."""

    def __init__(self) -> None:
        """Start empty."""
        self.messages: list[dict[str, Any]] = []

    def write(
        self,
        dictionary: dict[str, Any],
        _serializer: object = None,
    ) -> None:
        """Record the message."""
        self.messages.append(dictionary)


def test_log_lines_are_json_with_bound_fields() -> None:
    """A message has the fields of `bind` and of the call."""
    stream = io.StringIO()
    log = open_log('info', 'entry-1', stream).bind(request='req-1')
    log.info('admitted', tokens=5)
    log.debug('unseen')
    # Eliot buffers messages until the first destination is added, so those of
    # other tests come first.
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    own = [line for line in lines if line.get('process') == 'entry-1']
    assert [line['message_type'] for line in own] == ['admitted']
    message = own[0]
    assert message['level'] == 'info'
    assert (message['process'], message['request']) == ('entry-1', 'req-1')
    assert message['tokens'] == 5


@pytest.mark.parametrize(
    ('level', 'expected'),
    [
        (Level.DEBUG, ['debug', 'info', 'warning', 'error']),
        (Level.INFO, ['info', 'warning', 'error']),
        (Level.WARNING, ['warning', 'error']),
        (Level.ERROR, ['error']),
    ],
)
def test_only_messages_of_level_are_written(
    level: Level, expected: list[str]
) -> None:
    """Only messages of at least the level are written."""
    logger = MessageRecorder()
    log = Log(level, {}, logger=logger)
    for write in (log.debug, log.info, log.warning, log.error):
        write('event')
    assert [message['level'] for message in logger.messages] == expected


def test_metrics_render_as_prometheus_text() -> None:
    """Each instrument appears with its labels."""
    metrics = Metrics('entry-1')
    metrics.record_first_token('1k-4k', 0.2)
    metrics.record_token_gap(0.004)
    metrics.record_refusal('overload')
    metrics.record_outcome('answered')
    metrics.record_retry('not_run')
    metrics.add_control_bytes(120)
    metrics.set_queue_length(3)
    metrics.set_running(2)
    metrics.set_config_number(7)
    text = metrics.render().decode()
    metrics.close()
    for expected in (
        'figspread_time_to_first_token_seconds_count{length_class="1k-4k"',
        'figspread_time_between_tokens_seconds_count',
        'figspread_refusals_total{reason="overload"',
        'figspread_outcomes_total{outcome="answered"',
        'figspread_retries_total{reason="not_run"',
        'figspread_control_bytes_total',
        'figspread_queue_length',
        'figspread_running',
        'figspread_config_number',
    ):
        assert expected in text


def test_values_recorded_before_the_exporter_is_loaded_are_kept() -> None:
    """Guard against counts that are lost while an entry starts."""
    metrics = Metrics('entry-1')
    metrics.record_retry('not_run')
    metrics.record_retry('not_run')
    metrics.load()
    metrics.record_retry('not_run')
    late = metrics.make_instrument(
        InstrumentSpec(InstrumentKind.GAUGE, 'figspread_late', 'Late.')
    )
    late.record(4)
    text = metrics.render().decode()
    assert 'figspread_retries_total{reason="not_run"} 3.0' in text
    assert 'figspread_late 4.0' in text


def test_entry_starts_without_the_exporter() -> None:
    """Guard against callers who wait for imports that don't serve them.

    After all entries have lost power, every caller waits until one has started.
    """
    program = (
        'import sys, figspread.direct.lifecycle.app;'
        "print([m for m in sys.modules if m.startswith('opentelemetry')])"
    )
    imported = subprocess.run(
        [sys.executable, '-c', program],
        check=True,
        capture_output=True,
        text=True,
    )
    assert imported.stdout.strip() == '[]'


@pytest.mark.parametrize(
    ('calls', 'recorded'),
    [(1, 1), (TOKEN_GAP_SAMPLE, 1), (2 * TOKEN_GAP_SAMPLE + 1, 3)],
)
def test_token_gaps_are_sampled(calls: int, recorded: int) -> None:
    """The first call and then one in `TOKEN_GAP_SAMPLE` is recorded."""
    metrics = Metrics('entry-1')
    for _ in range(calls):
        metrics.record_token_gap(0.004)
    expected = 'figspread_time_between_tokens_seconds_count {0}.0'
    assert expected.format(recorded) in metrics.render().decode()


def test_metrics_objects_are_independent() -> None:
    """Each object has its own registry; a shared one would mix values."""
    first, second = Metrics('entry-1'), Metrics('entry-2')
    first.record_retry('not_run')
    assert b'not_run' in first.render()
    assert b'not_run' not in second.render()


def test_spans_continue_the_trace_of_traceparent() -> None:
    """A span continues the caller's trace and propagates its own id."""
    exporter = InMemorySpanExporter()
    tracer = Tracer('entry-1', processor=SimpleSpanProcessor(exporter))
    with tracer.start('dispatch', PARENT) as outer:
        with tracer.start('attempt', outer.traceparent) as inner:
            inner.set_attribute('attempt', 'att-1')
            inner.add_event('sent')
    tracer.close()
    attempt, dispatch = exporter.get_finished_spans()
    assert attempt.context and dispatch.context and dispatch.parent
    assert '{0:032x}'.format(attempt.context.trace_id) == 'a' * 32
    assert '{0:016x}'.format(dispatch.parent.span_id) == 'b' * 16
    assert attempt.parent and attempt.parent.span_id == dispatch.context.span_id
    assert attempt.attributes == {'attempt': 'att-1'}


@pytest.mark.parametrize('given_parent', ['', 'rubbish', '00-0-0-00'])
def test_invalid_traceparent_starts_a_new_trace(given_parent: str) -> None:
    """Callers may send any text as `traceparent`."""
    exporter = InMemorySpanExporter()
    tracer = Tracer('entry-1', processor=SimpleSpanProcessor(exporter))
    with tracer.start('dispatch', given_parent) as span:
        assert span.traceparent.startswith('00-')
    assert exporter.get_finished_spans()[0].parent is None


def test_tracer_without_endpoint_propagates_traceparent() -> None:
    """The next hop gets the caller's `traceparent` unchanged."""
    with make_tracer('entry-1').start('dispatch', PARENT) as span:
        span.set_attribute('attempt', 'att-1')
        span.add_event('sent')
    assert span.traceparent == PARENT


def test_trail_lists_hops_in_order() -> None:
    """The events of a request are listed oldest first; long texts are cut."""
    times = iter(range(10))
    trail = Trail('entry-1', now_ms=lambda: next(times))
    trail.add_hop(RequestId('req-1'), 'admitted', 'workspace studio')
    trail.add_hop(RequestId('req-2'), 'admitted')
    trail.add_hop(RequestId('req-1'), 'answered', 'x' * 1000)
    hops = trail.list_hops(RequestId('req-1'))
    assert [(hop.at_ms, hop.event) for hop in hops] == [
        (0, 'admitted'),
        (2, 'answered'),
    ]
    assert len(hops[1].detail) < 1000
    assert not trail.list_hops(RequestId('req-3'))


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 5), max_size=200), st.integers(1, 100))
def test_trail_is_bounded(requests: list[int], limit: int) -> None:
    """The limits hold for any order of events, and the count is exact."""
    trail = Trail(now_ms=int, limit=limit)
    for number in requests:
        request = RequestId(str(number))
        trail.add_hop(request, 'event')
        kept = [trail.list_hops(RequestId(str(known))) for known in range(6)]
        assert sum(map(len, kept)) == trail.count_hops()
        assert trail.count_hops() <= limit
        assert len(trail.list_hops(request)) <= HOPS_PER_REQUEST_LIMIT


def test_trail_is_thread_safe() -> None:
    """Concurrent `add_hop` calls lose no hop and count none twice."""
    trail = Trail(now_ms=int)
    start = threading.Barrier(4)

    def add_many_hops(thread: int) -> None:
        start.wait()
        for number in range(500):
            trail.add_hop(RequestId('{0}-{1}'.format(thread, number)), 'event')

    with ThreadPoolExecutor(4) as pool:
        list(pool.map(add_many_hops, range(4)))
    assert trail.count_hops() == 2000
