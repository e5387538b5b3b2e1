"""A caller, which sends a call and retries it at the other entries."""

import time
from collections.abc import Sequence
from http.client import HTTPConnection, HTTPException
from typing import Final, NamedTuple

import msgspec

from bench.faults.answers import Answer, Ending, Verdict, classify_answer
from bench.faults.calls import ENTRY_COUNT, Call, CallKind
from bench.processes import KEY
from figspread.http.client import WholeHeadResponse

TIME_LIMIT_GRACE_S: Final = 1.0
READ_SIZE_BYTES: Final = 65_536
MAX_ATTEMPTS: Final = 30
MAX_RETRY_DELAY_S: Final = 0.5
HOST: Final = '127.0.0.1'
_CONNECTION_ERRORS: Final = (OSError, HTTPException)
_RETRIED_ENDINGS: Final = frozenset(
    (Ending.NOT_RUN, Ending.UNKNOWN, Ending.NO_ANSWER)
)


class CallAttempt(NamedTuple):
    """One attempt at a call, sent to the entry that listens on `port`."""

    port: int
    verdict: Verdict
    body: bytes = b''
    elapsed_s: float = 0


class CallRecord(NamedTuple):
    """A call and all attempts at it, in the order in which they were sent."""

    call: Call
    attempts: Sequence[CallAttempt]


class Caller:
    """Sends one call and retries it until its outcome is known."""

    def __init__(self, call: Call, ports: Sequence[int]) -> None:
        """Send to the entries at `ports`, the first one chosen by the call."""
        self._call = call
        self._ports = ports
        self._deadline = (
            time.monotonic() + 2 * call.time_limit_s + TIME_LIMIT_GRACE_S
        )
        self.attempts: list[CallAttempt] = []

    def may_continue(self) -> bool:
        """Return whether another attempt is allowed and the ending is open."""
        if not self.attempts:
            return True
        ending = self.attempts[-1].verdict.ending
        if ending not in _RETRIED_ENDINGS or len(self.attempts) >= MAX_ATTEMPTS:
            return False
        if time.monotonic() > self._deadline:
            return False
        return ending is Ending.NOT_RUN or self._call.is_repeatable

    def retry_delay_s(self) -> float:
        """Return the delay before the next attempt, in seconds."""
        if not self.attempts:
            return 0
        return min(MAX_RETRY_DELAY_S, self.attempts[-1].verdict.retry_after_s)

    def send_attempt(self) -> None:
        """Send the next attempt; attempts rotate over the entries."""
        port_index = (self._call.entry_index + len(self.attempts)) % ENTRY_COUNT
        self.attempts.append(send_call(self._call, self._ports[port_index]))

    def resend_answered_key(self) -> None:
        """Send an answered idempotency key again and compare the answers.

        A different answer counts as `NOT_WHOLE`.
        """
        original = self.attempts[-1]
        if not self._call.key or original.verdict.ending is not Ending.ANSWERED:
            return
        self.send_attempt()
        repeated = self.attempts[-1]
        is_answered = repeated.verdict.ending is Ending.ANSWERED
        if is_answered and not _is_same_answer(
            self._call, original.body, repeated.body
        ):
            differs = Verdict(
                Ending.NOT_WHOLE, 'a resend got a different answer'
            )
            self.attempts[-1] = repeated._replace(verdict=differs)


def send_call(call: Call, port: int) -> CallAttempt:
    """Send `call` once and return the result.

    The attempt ends `TIME_LIMIT_GRACE_S` after the call's time limit, at the
    latest.
    """
    started = time.monotonic()
    verdict, body = _send_call(
        call, port, started + call.time_limit_s + TIME_LIMIT_GRACE_S
    )
    return CallAttempt(port, verdict, body, time.monotonic() - started)


def _send_call(call: Call, port: int, deadline: float) -> tuple[Verdict, bytes]:
    conn = HTTPConnection(
        HOST,
        port,
        timeout=deadline - time.monotonic(),
    )
    conn.response_class = WholeHeadResponse
    try:
        conn.connect()
    except OSError as exc:
        detail = 'no connection: {0}'.format(exc)
        return Verdict(Ending.NOT_RUN, detail, MAX_RETRY_DELAY_S), b''
    try:
        answer = _exchange(call, conn, deadline)
    except _CONNECTION_ERRORS as exc:
        return Verdict(Ending.NO_ANSWER, repr(exc)), b''
    finally:
        conn.close()
    if answer is None:
        return Verdict(Ending.LEFT), b''
    return classify_answer(call, answer), answer.body


def _exchange(
    call: Call,
    conn: HTTPConnection,
    deadline: float,
) -> Answer | None:
    sock = conn.sock
    conn.request(call.method, call.path, call.body, _list_headers(call))
    resp = conn.getresponse()
    body = bytearray()
    is_cut = False
    try:
        while True:
            sock.settimeout(max(0.001, deadline - time.monotonic()))
            data = resp.read1(READ_SIZE_BYTES)
            if not data:
                break
            body += data
            if 0 < call.disconnect_after_bytes <= len(body):
                return None
    except _CONNECTION_ERRORS:
        is_cut = True
    if resp.length:
        is_cut = True
    return Answer(resp.status, dict(resp.headers), bytes(body), is_cut)


def _is_same_answer(call: Call, original: bytes, repeated: bytes) -> bool:
    """Return whether two answers are equal, byte for byte.

    The id of a completion in one piece is left out of the comparison: it
    names the request, and a resend is a request of its own.
    """
    if call.kind is not CallKind.UNSTREAMED:
        return original == repeated
    original_document, repeated_document = (
        msgspec.json.decode(original),
        msgspec.json.decode(repeated),
    )
    return bool(
        {**original_document, 'id': ''} == {**repeated_document, 'id': ''}
    )


def _list_headers(call: Call) -> dict[str, str]:
    headers = {
        'Authorization': 'Bearer {0}'.format(KEY),
        'Content-Type': 'application/json',
        'X-Time-Limit-S': str(call.time_limit_s),
    }
    if call.key:
        headers['Idempotency-Key'] = call.key
    return headers
