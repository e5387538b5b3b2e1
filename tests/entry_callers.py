"""Callers of a real entry with agents, and what their requests wait for."""

import json
import threading
import time
from collections.abc import Mapping
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple

from bench.processes import KEY, MODEL, Process, System

TIME_LIMIT_S = 10
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
