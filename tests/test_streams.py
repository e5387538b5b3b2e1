"""Tests of the relay of streams, and of what reaches callers of broken ones."""

import asyncio
from pathlib import Path
from typing import Any

import pytest
from bench.giftwrap.caller import Answer
from bench.giftwrap.deployment import make_configuration
from bench.giftwrap.upstream import (
    RESUMED_ANSWERS,
    Fault,
    event_bytes,
    stream_bytes,
)

from figspread.clock import ManualClock
from figspread.direct.requests.streams import (
    RelayOptions,
    StreamRelay,
    StreamState,
)
from figspread.http1.answers import ExchangeError
from figspread.http1.client import (
    Head,
    UpstreamConnection,
)
from figspread.http1.fields import Fields
from tests.giftwrap_fleet import Fleet, run_scenario, wait_until

USAGE = '5000,460'
HEAD = Head(200, [(b'content-length', b'1')])


class Chunks(UpstreamConnection):
    """A connection whose answer consists of given chunks."""

    def __init__(self, *chunks: bytes) -> None:
        super().__init__()
        self._chunks = list(chunks)

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk."""
        return self._chunks.pop(0) if self._chunks else None


class Sink:
    """Records what a caller gets."""

    def __init__(self) -> None:
        self.body = b''

    def start_stream(self, status: int, fields: Fields) -> None:
        """Check the status."""
        assert status == 200

    async def send_chunk(self, piece: bytes) -> None:
        """Record a part of the body."""
        self.body += piece

    def end_stream(self) -> None:
        """Fail, as only the sender of attempts may end the stream."""
        raise AssertionError


BROKEN_ENDS = {
    'an event without an id': b'data: x\n\n',
    'a skipped event': event_bytes(9),
    'an event without an end': b'x' * 1_100_000,
}


@pytest.mark.parametrize('case', BROKEN_ENDS)
def test_events_before_a_broken_one_are_sent(case: str) -> None:
    """Send all events that count as sent, so that a resumed stream lacks none.

    An event that came in one chunk with a broken one was lost once: the next
    attempt went on behind it (ORDER).
    """
    stream, sink = StreamState(), Sink()
    relay = StreamRelay(stream, sink, ManualClock(), RelayOptions(lambda: None))
    events = event_bytes(1) + event_bytes(2)
    conn = Chunks(events + BROKEN_ENDS[case])
    with pytest.raises(ExchangeError):
        asyncio.run(relay.relay(conn, HEAD))
    assert (stream.last_id, stream.events) == (2, 2)
    assert sink.body == events


def test_stream_with_a_broken_event_is_resumed_without_a_gap(
    tmp_path: Path,
) -> None:
    """Resume behind the last event that the caller has."""

    async def scenario(fleet: Fleet) -> list[Answer]:
        fleet.upstreams['e-1'].fault = Fault.BREAKS_EVENTS
        return [
            await fleet.callers[0].call('caption', usage=USAGE)
            for _ in range(6)
        ]

    answers = run_scenario(tmp_path, scenario)
    assert {answer.body for answer in answers} == {stream_bytes(460)}
    assert all(answer.is_complete for answer in answers)


RESUMED_FAULTS = [*RESUMED_ANSWERS, Fault.RESUMES_SHORT]


@pytest.mark.parametrize('fault', RESUMED_FAULTS, ids=lambda one: one.value)
def test_stream_whose_rest_is_no_stream_does_not_end_as_complete(
    fault: Fault, tmp_path: Path
) -> None:
    """Break off a stream, or go on elsewhere, if an engine answers otherwise.

    Callers found an error's text in the middle of their stream, or a stream that
    had ended as if it were complete (ORDER, MIXED).
    """
    whole = stream_bytes(460)

    async def scenario(fleet: Fleet) -> list[Answer]:
        for name in ('e-1', 'e-2'):
            fleet.upstreams[name].fault = fault
        answers = [
            await fleet.callers[0].call('caption', usage=USAGE)
            for _ in range(4)
        ]
        unexpected = 'unhandled exception while serving request'
        assert not fleet.logs[0].events(unexpected)
        return answers

    for answer in run_scenario(tmp_path, scenario):
        assert whole.startswith(answer.body)
        assert answer.is_complete == (answer.body == whole)
        assert answer.status == 200


def test_failure_from_before_a_stream_is_not_its_end(tmp_path: Path) -> None:
    """Break off a stream, though an earlier engine had answered an error."""

    async def scenario(fleet: Fleet) -> list[Answer]:
        fleet.store.put('config', 'main', _make_three_attempts())
        await wait_until(lambda: fleet.entries[0].version == 9)
        fleet.upstreams['e-1'].fault = Fault.ERROR
        fleet.upstreams['e-2'].fault = Fault.TRUNCATED
        answers = [
            await fleet.callers[0].call('caption', usage=USAGE)
            for _ in range(8)
        ]
        unexpected = 'unhandled exception while serving request'
        assert not fleet.logs[0].events(unexpected)
        return answers

    for answer in run_scenario(tmp_path, scenario):
        if answer.status == 200:
            assert stream_bytes(460).startswith(answer.body)
        else:
            assert (answer.status, answer.body) == (500, b'failed')


def _make_three_attempts() -> Any:
    configuration = make_configuration(9)
    for route in configuration['routes']:
        route['attempts'] = 3
    return configuration
