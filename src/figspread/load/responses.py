"""Parses responses of an entry, the front process that callers send to.

Responses are event streams or problem documents.
"""

import time
from collections.abc import Iterable, Iterator
from typing import Final

import msgspec

from figspread.load.results import ANSWERED, OutcomeName, Verdict

_DATA: Final = b'data:'
_DONE: Final = b'[DONE]'
_MAX_LINE_BYTES: Final = 1_048_576


class _Problem(msgspec.Struct, frozen=True):
    outcome: OutcomeName
    reason: str = ''
    retry_after_s: float = 0


class _Choice(msgspec.Struct, frozen=True):
    text: str = ''


class _Event(msgspec.Struct, frozen=True):
    choices: tuple[_Choice, ...] = ()
    error: _Problem | None = None


def read_problem(body: bytes, status: int) -> Verdict:
    """Return the verdict that a problem document in `body` states.

    If `body` states no known outcome, the request may have run, so the
    verdict is `UNKNOWN` with `status` in its reason.
    """
    try:
        problem = msgspec.json.decode(body, type=_Problem)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Verdict(OutcomeName.UNKNOWN, 'status_{0}'.format(status))
    return _to_verdict(problem)


class EventReader:
    """Reads a stream of server-sent events and records token arrival times.

    `token_times` has the monotonic time in seconds of each event with text.
    `verdict` is `FAILED` until the stream's end mark or an error event.
    """

    def __init__(self) -> None:
        """Start with no tokens and the verdict of an incomplete stream."""
        self.verdict = Verdict(OutcomeName.FAILED, 'broken_stream')
        self.token_times: list[float] = []

    def read(self, chunks: Iterable[bytes]) -> None:
        """Process all events in `chunks`, which may split lines anywhere."""
        for line in _split_lines(chunks):
            if line.startswith(_DATA):
                self._handle_event(line.removeprefix(_DATA).strip())

    def _handle_event(self, data: bytes) -> None:
        if data == _DONE:
            self.verdict = ANSWERED
            return
        try:
            event = msgspec.json.decode(data, type=_Event)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return
        if event.error is not None:
            self.verdict = _to_verdict(event.error)
        if any(choice.text for choice in event.choices):
            self.token_times.append(time.monotonic())


def _to_verdict(problem: _Problem) -> Verdict:
    return Verdict(problem.outcome, problem.reason, problem.retry_after_s)


def _split_lines(chunks: Iterable[bytes]) -> Iterator[bytes]:
    partial_line = b''
    for chunk in chunks:
        *lines, partial_line = (partial_line + chunk).split(b'\n')
        yield from lines
        if len(partial_line) > _MAX_LINE_BYTES:
            return
