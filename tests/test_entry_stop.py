"""Requests that are under way when an entry's drain must end."""

import hashlib
import json
import signal
import threading
import time
from collections.abc import Iterator, Mapping
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple

import pytest
from bench.processes import KEY, MODEL, SETTINGS, Process, System

DRAIN_LIMIT_S = 0.5
# Beyond the end of the drain, and below what the calls need.
TIME_LIMIT_S = 10
ANSWER_LIMIT_S = 3
SHORT_DRAIN = SETTINGS.replace(
    'drain_limit_s = 30', 'drain_limit_s = {0}'.format(DRAIN_LIMIT_S)
)
JOBS = '/v1/services/order-desk/jobs'
STATUS = '/v1/services/order-desk/status/1'
COMPLETIONS = '/v1/completions'


class Answer(NamedTuple):
    """What a caller got; the status is 0 if that was no whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    ended_s: float

    @property
    def outcome(self) -> tuple[int, str, str]:
        """The status, and the outcome and the reason of a problem document."""
        problem = json.loads(self.body) if self.body else {}
        return (
            self.status,
            problem.get('outcome', ''),
            problem.get('reason', ''),
        )


class Caller(threading.Thread):
    """Sends one request on a connection that it would keep."""

    def __init__(
        self,
        entry: Process,
        method: str,
        path: str,
        body: str = '',
        **headers: str,
    ) -> None:
        """Prepare the request; `start` sends it."""
        super().__init__(daemon=True)
        self._conn = HTTPConnection(
            '127.0.0.1', entry.port, timeout=2 * TIME_LIMIT_S
        )
        self._call = (method, path, body)
        self._headers = {
            'Authorization': 'Bearer {0}'.format(KEY),
            'X-Time-Limit-S': str(TIME_LIMIT_S),
            **{key.replace('_', '-'): text for key, text in headers.items()},
        }
        self._answer = Answer(0, {}, b'', 0)

    def run(self) -> None:
        """Send the request and read the answer."""
        try:
            self._exchange()
        except (OSError, HTTPException):
            self._answer = Answer(0, {}, b'', time.monotonic())

    def wait(self) -> Answer:
        """Wait for the answer and return it."""
        self.join()
        return self._answer

    def _exchange(self) -> None:
        method, path, body = self._call
        self._conn.request(method, path, body=body, headers=self._headers)
        response = self._conn.getresponse()
        data = response.read()
        self._answer = Answer(
            response.status,
            dict(response.getheaders()),
            data,
            time.monotonic(),
        )


class StoppedEntry(NamedTuple):
    """The answers of an entry that was stopped with requests under way."""

    answers: Mapping[str, Answer]
    drain_end_s: float
    exit_code: int
    exit_s: float


def make_completion(*, is_streamed: bool) -> str:
    """Return a completion that needs more than half of the engine's memory."""
    return json.dumps(
        {
            'model': MODEL,
            'prompt': 'figs',
            'max_tokens': 600,
            'stream': is_streamed,
        }
    )


def start_callers(system: System, entry: Process) -> dict[str, Caller]:
    """Start requests one by one; the first of each upstream runs."""
    callers = {
        'running once': Caller(entry, 'POST', JOBS, 'a'),
        'waiting once': Caller(entry, 'POST', JOBS, 'b'),
        'waiting repeatable': Caller(entry, 'GET', STATUS),
        'waiting with a key': Caller(
            entry, 'POST', JOBS, 'c', Idempotency_Key='key-1'
        ),
        'streaming': Caller(
            entry, 'POST', COMPLETIONS, make_completion(is_streamed=True)
        ),
        'waiting completion': Caller(
            entry, 'POST', COMPLETIONS, make_completion(is_streamed=False)
        ),
    }
    for count, caller in enumerate(callers.values(), start=1):
        caller.start()
        wait_for_callers(system, entry, count)
    return callers


def wait_for_callers(system: System, entry: Process, count: int) -> None:
    """Wait until the entry serves `count` requests and agents have them."""
    system.wait_until(
        lambda: int(system.read_status(entry)['callers']) == count
    )
    system.pause(0.05)


def set_fault(system: System, upstream: Process, **switches: Any) -> None:
    """Set the fault switches of a stand-in."""
    url = 'http://127.0.0.1:{0}/standin/faults'.format(upstream.port)
    system.http.request('PUT', url, body=json.dumps(switches))


@pytest.fixture(scope='module')
def stopped(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[StoppedEntry]:
    """Stop an entry with requests that run or wait beyond its drain."""
    with System(tmp_path_factory.mktemp('stop'), SHORT_DRAIN) as system:
        engine = system.add_engine('engine-a', kv_tokens=1000)
        desk = system.add_service('desk-a')
        system.add_to_release_note('concurrency = 1\n')
        system.apply_release_note(hashlib.sha256(KEY.encode()).hexdigest())
        entry = system.start_entry('entry-a')
        system.wait_ready(entry, upstreams=2)
        set_fault(system, desk.upstream, slow_s=2 * TIME_LIMIT_S)
        set_fault(system, engine.upstream, slow_factor=20)
        callers = start_callers(system, entry)
        entry.send(signal.SIGTERM)
        system.wait_until(
            lambda: system.read_status(entry)['state'] == 'draining'
        )
        drain_end_s = time.monotonic() + DRAIN_LIMIT_S
        callers['late once'] = Caller(entry, 'POST', JOBS, 'd')
        callers['late once'].start()
        exit_code = entry.wait()
        exit_s = time.monotonic()
        yield StoppedEntry(
            {name: caller.wait() for name, caller in callers.items()},
            drain_end_s,
            exit_code,
            exit_s,
        )


@pytest.mark.parametrize(
    ('name', 'expected'),
    [
        ('running once', (504, 'unknown', 'deadline')),
        ('waiting once', (503, 'not_run', 'leaving')),
        ('waiting repeatable', (503, 'not_run', 'leaving')),
        ('waiting with a key', (503, 'not_run', 'leaving')),
        ('waiting completion', (503, 'not_run', 'leaving')),
        ('late once', (503, 'not_run', 'leaving')),
    ],
)
def test_requests_get_true_answers_when_the_drain_ends(
    stopped: StoppedEntry,
    name: str,
    expected: tuple[int, str, str],
) -> None:
    """Guard against stops that keep or cut callers, or call them gone."""
    answer = stopped.answers[name]
    assert answer.outcome == expected
    assert answer.ended_s < stopped.drain_end_s + ANSWER_LIMIT_S
    assert answer.headers['Connection'] == 'close'
    assert ('Retry-After' in answer.headers) == (answer.status == 503)


def test_late_request_that_cannot_end_is_refused_at_once(
    stopped: StoppedEntry,
) -> None:
    """Guard against requests taken while leaving that the end would cut."""
    assert stopped.answers['late once'].ended_s < stopped.drain_end_s


def test_stream_is_broken_off_by_an_error_event_when_the_drain_ends(
    stopped: StoppedEntry,
) -> None:
    """Guard against streams that keep an entry from ending."""
    answer = stopped.answers['streaming']
    events = answer.body.strip().split(b'\n\n')
    assert answer.status == 200
    assert b'"error"' in events[-1]
    assert answer.ended_s < stopped.drain_end_s + ANSWER_LIMIT_S


def test_entry_exits_soon_after_its_drain_must_end(
    stopped: StoppedEntry,
) -> None:
    """Guard against a stop that lasts as long as its longest request."""
    assert stopped.exit_code == 0
    assert stopped.exit_s < stopped.drain_end_s + ANSWER_LIMIT_S
