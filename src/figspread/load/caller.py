"""Sends the requests of a load run and determines their outcomes."""

import itertools
import threading
import time
import uuid
from collections import deque
from collections.abc import Mapping
from typing import Final

import msgspec
import urllib3

from figspread.http.client import ClientPool
from figspread.load.arrivals import Arrival, PromptCall, ServiceCall
from figspread.load.plan import LoadPlan
from figspread.load.prompts import PromptBodyBuilder, make_idempotency_key
from figspread.load.responses import EventReader, read_problem
from figspread.load.results import (
    ANSWERED,
    CallResult,
    OutcomeName,
    Verdict,
)

CONNECT_TIMEOUT_S: Final = 5.0
# Added to a request's time limit to get the read timeout.
READ_MARGIN_S: Final = 10.0
MAX_RETRY_DELAY_S: Final = 60.0
CHUNK_BYTES: Final = 65_536
MAX_PROBLEM_BYTES: Final = 65_536
_MIN_ERROR_STATUS: Final = 400

_CONNECT_FAILED: Final = Verdict(OutcomeName.NOT_RUN, 'no_connection')
_CONNECTION_LOST: Final = Verdict(OutcomeName.UNKNOWN, 'connection_lost')


class LoadTarget(msgspec.Struct, frozen=True):
    """The base URL that requests go to and the API key of each workspace."""

    url: str
    keys: Mapping[str, str]


class _Reply(msgspec.Struct, frozen=True):
    verdict: Verdict
    token_times: tuple[float, ...] = ()


class LoadClient:
    """Sends requests over a connection pool; safe to use from many threads."""

    def __init__(
        self,
        plan: LoadPlan,
        target: LoadTarget,
        is_stopped: threading.Event,
    ) -> None:
        """Send to `target`; `is_stopped` ends the wait before a retry."""
        self._plan = plan
        self._target = target
        self._is_stopped = is_stopped
        self._body_builder = PromptBodyBuilder(plan)
        self._run_id = uuid.uuid4()
        self._pool = ClientPool(
            maxsize=plan.threads,
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S,
                read=plan.time_limit_s + READ_MARGIN_S,
            ),
        )

    def send_request(
        self,
        arrival: Arrival,
        planned_at: float,
    ) -> CallResult:
        """Send `arrival` and return its result.

        `planned_at` is the monotonic time in seconds at which it was due. A
        refused request is retried after the delay that the refusal states, at
        most `comebacks` times as the plan sets.
        """
        late_s = time.monotonic() - planned_at
        reply = self._send(arrival)
        retries = 0
        while retries < self._plan.comebacks and self._wait_for_retry(
            reply.verdict
        ):
            retries += 1
            reply = self._send(arrival)
        return _to_result(
            arrival,
            reply,
            planned_at=planned_at,
            late_s=late_s,
            retries=retries,
        )

    def _wait_for_retry(self, verdict: Verdict) -> bool:
        if verdict.outcome is not OutcomeName.NOT_RUN:
            return False
        if not 0 < verdict.retry_after_s <= MAX_RETRY_DELAY_S:
            return False
        return not self._is_stopped.wait(verdict.retry_after_s)

    def _send(self, arrival: Arrival) -> _Reply:
        headers = {
            'Authorization': 'Bearer {0}'.format(
                self._target.keys[arrival.workspace],
            ),
            'Content-Type': 'application/json',
            'X-Time-Limit-S': str(self._plan.time_limit_s),
        }
        try:
            match arrival:
                case PromptCall():
                    return self._send_prompt(arrival, headers)
                case ServiceCall():
                    return self._send_service_call(arrival, headers)
        except urllib3.exceptions.NewConnectionError:
            return _Reply(_CONNECT_FAILED)
        except urllib3.exceptions.ConnectTimeoutError:
            return _Reply(_CONNECT_FAILED)
        except (urllib3.exceptions.HTTPError, OSError):
            return _Reply(_CONNECTION_LOST)

    def _send_prompt(
        self,
        arrival: PromptCall,
        headers: dict[str, str],
    ) -> _Reply:
        response = self._pool.request(
            'POST',
            '{0}/v1/completions'.format(self._target.url),
            body=self._body_builder.build_body(arrival),
            headers=headers,
            preload_content=False,
        )
        if response.status >= _MIN_ERROR_STATUS:
            return _Reply(_read_problem(response))
        reader = EventReader()
        try:
            reader.read(response.stream(CHUNK_BYTES))
        except (urllib3.exceptions.HTTPError, OSError):
            response.close()
        response.release_conn()
        return _Reply(reader.verdict, tuple(reader.token_times))

    def _send_service_call(
        self,
        arrival: ServiceCall,
        headers: dict[str, str],
    ) -> _Reply:
        headers['Idempotency-Key'] = make_idempotency_key(arrival, self._run_id)
        response = self._pool.request(
            arrival.service.method,
            '{0}/v1/services/{1}{2}'.format(
                self._target.url,
                arrival.service.name,
                arrival.service.path,
            ),
            body=arrival.service.body.encode(),
            headers=headers,
            preload_content=False,
        )
        if response.status >= _MIN_ERROR_STATUS:
            return _Reply(_read_problem(response))
        # Read to the end, which raises if the response is cut off.
        deque(response.stream(CHUNK_BYTES), maxlen=0)
        response.release_conn()
        return _Reply(ANSWERED)


def _read_problem(response: urllib3.BaseHTTPResponse) -> Verdict:
    body = response.read(MAX_PROBLEM_BYTES)
    response.close()
    return read_problem(body, response.status)


def _to_result(
    arrival: Arrival,
    reply: _Reply,
    *,
    planned_at: float,
    late_s: float,
    retries: int,
) -> CallResult:
    received_at = reply.token_times
    result = CallResult(
        workspace=arrival.workspace,
        length=None,
        verdict=reply.verdict,
        late_s=max(0, late_s),
        first_token_s=received_at[0] - planned_at if received_at else None,
        whole_s=time.monotonic() - planned_at,
        gaps_s=tuple(
            later - earlier
            for earlier, later in itertools.pairwise(received_at)
        ),
        comebacks=retries,
    )
    match arrival:
        case PromptCall(length=length, prompt_tokens=tokens):
            return msgspec.structs.replace(
                result,
                length=length,
                prompt_tokens=tokens,
            )
        case ServiceCall(service=service):
            return msgspec.structs.replace(result, service=service.name)
