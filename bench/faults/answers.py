"""Classifies HTTP answers: complete, refused, failed or cut off."""

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Any, Final, NamedTuple

import msgspec

from bench.faults.calls import Call, CallKind

OK: Final = 200
_EVENT_PREFIX: Final = b'data: '
_END_MARK: Final = b'[DONE]'


class Ending(Enum):
    """What a caller knows about its request after one attempt.

    `NO_ANSWER` means that the connection broke or stayed silent before any
    outcome arrived, `NOT_WHOLE` that a wrong or truncated answer was
    presented as complete. The other values are the outcomes that entries
    report, and `LEFT` for a caller that disconnected on purpose.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    LEFT = 'left'
    NO_ANSWER = 'no_answer'
    NOT_WHOLE = 'not_whole'


class Answer(NamedTuple):
    """An HTTP answer; `is_cut` means that the connection broke too early."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    is_cut: bool


class Verdict(NamedTuple):
    """The ending of an attempt, its reason and the advised retry delay."""

    ending: Ending
    reason: str = ''
    retry_after_s: float = 0


def classify_answer(call: Call, answer: Answer) -> Verdict:
    """Return the verdict on `answer`, given what `call` should receive."""
    if 'X-Outcome' in answer.headers:
        return _classify_problem(answer)
    if answer.status != OK:
        return Verdict(Ending.NOT_WHOLE, 'status {0}'.format(answer.status))
    match call.kind:
        case CallKind.STREAM:
            return _classify_stream(call, answer)
        case CallKind.UNSTREAMED if answer.is_cut:
            return Verdict(Ending.NO_ANSWER, 'cut')
        case CallKind.UNSTREAMED:
            return _compare_text(call, _read_text(_decode_json(answer.body)))
        case _:
            return _classify_echo(call, answer)


def _classify_problem(answer: Answer) -> Verdict:
    if answer.is_cut:
        return Verdict(Ending.NO_ANSWER, 'a problem document was cut off')
    return _parse_problem(_decode_json(answer.body))


def _parse_problem(problem: Any) -> Verdict:
    return Verdict(
        Ending(problem['outcome']),
        problem['reason'],
        problem.get('retry_after_s') or 0,
    )


def _classify_stream(call: Call, answer: Answer) -> Verdict:
    text = ''
    for event in _list_events(answer.body):
        if event == _END_MARK:
            return _compare_text(call, text)
        document = _decode_json(event)
        problem = document.get('error')
        if problem:
            return _parse_problem(problem)
        text += _read_text(document)
    return Verdict(Ending.NO_ANSWER, 'the stream has no end mark')


def _classify_echo(call: Call, answer: Answer) -> Verdict:
    if answer.is_cut:
        # Once the head of a service's answer has been sent, the entry can
        # mark the answer as incomplete only by closing the connection.
        is_unrepeatable = call.kind is CallKind.UNREPEATABLE
        return Verdict(
            Ending.UNKNOWN if is_unrepeatable else Ending.FAILED, 'cut'
        )
    return _compare_text(call, _decode_json(answer.body)['body'])


def _compare_text(call: Call, text: str) -> Verdict:
    if text == call.expected_text:
        return Verdict(Ending.ANSWERED)
    return Verdict(
        Ending.NOT_WHOLE,
        'got {0} of {1} characters'.format(len(text), len(call.expected_text)),
    )


def _list_events(body: bytes) -> Iterator[bytes]:
    for event in body.split(b'\n\n')[:-1]:
        if event.startswith(_EVENT_PREFIX):
            yield event.removeprefix(_EVENT_PREFIX)


def _read_text(document: Any) -> str:
    return ''.join(choice['text'] for choice in document['choices'])


def _decode_json(body: bytes) -> Any:
    return msgspec.json.decode(body)
