"""Parses completions requests and assembles completions responses.

The interfaces are the text and the chat completions of OpenAI's HTTP API.
Engines are always asked to stream; a response that the caller wants in one
piece is assembled from the server-sent events (SSE).
"""

from collections.abc import Iterator
from contextlib import suppress
from enum import Enum
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from figspread.documents import MalformedDocument, decode_json
from figspread.ids import ModelName, RequestId

# Output length assumed for a request that sets no limit; the body that
# the engine is sent doesn't contain it.
DEFAULT_OUTPUT_TOKENS: Final = 256
SSE_DATA_PREFIX: Final = b'data: '
SSE_EVENT_END: Final = b'\n\n'
DONE_PAYLOAD: Final = b'[DONE]'


class CompletionApi(Enum):
    """The two completions interfaces; each value is the URL path."""

    TEXT = '/v1/completions'
    CHAT = '/v1/chat/completions'


class _ChatMessage(msgspec.Struct):
    role: str
    content: str | list[Any] | None = None


class _RequestBody(msgspec.Struct):
    model: str
    prompt: str | list[int] | None = None
    messages: list[_ChatMessage] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    n: int = 1  # noqa: WPS111 - the interface's own name


class Completion(msgspec.Struct, frozen=True):
    """A checked completions request.

    `body` is what the engine is sent and always asks it to stream;
    `is_streamed` tells whether the caller asked for that. `prompt_tokens` is
    exact for a prompt given as token numbers, and 0 for text.
    """

    shape: CompletionApi
    model: ModelName
    prompt: bytes
    output_tokens: int
    is_streamed: bool
    body: bytes
    prompt_tokens: int = 0


def parse_completion(
    shape: CompletionApi, body: bytes
) -> Result[Completion, str]:
    """Parse and check a caller's JSON body.

    An error is a message that tells the caller what is wrong with the body.
    """
    try:
        parsed = decode_json(body, _RequestBody)
        fields = decode_json(body, dict[str, msgspec.Raw])
    except MalformedDocument as exc:
        return Err(str(exc))
    problem = _find_problem(shape, parsed)
    if problem:
        return Err(problem)
    fields['stream'] = msgspec.Raw(b'true')
    return Ok(
        Completion(
            shape=shape,
            model=ModelName(parsed.model),
            prompt=_encode_prompt(parsed),
            prompt_tokens=_count_prompt_tokens(parsed),
            output_tokens=_get_output_limit(parsed),
            is_streamed=parsed.stream,
            body=body if parsed.stream else msgspec.json.encode(fields),
        ),
    )


def _find_problem(shape: CompletionApi, parsed: _RequestBody) -> str:
    if shape is CompletionApi.TEXT and not parsed.prompt:
        return 'prompt: a text or a list of token numbers is needed'
    if shape is CompletionApi.CHAT and not parsed.messages:
        return 'messages: at least one is needed'
    if _get_output_limit(parsed) < 1:
        return 'max_tokens: must be at least 1'
    if parsed.n != 1:
        return 'n: only 1 is served'
    return ''


def _get_output_limit(parsed: _RequestBody) -> int:
    for limit in (parsed.max_completion_tokens, parsed.max_tokens):
        if limit is not None:
            return limit
    return DEFAULT_OUTPUT_TOKENS


def _count_prompt_tokens(parsed: _RequestBody) -> int:
    return len(parsed.prompt) if isinstance(parsed.prompt, list) else 0


def _encode_prompt(parsed: _RequestBody) -> bytes:
    if isinstance(parsed.prompt, str):
        return parsed.prompt.encode()
    if parsed.prompt is not None:
        return msgspec.json.encode(parsed.prompt)
    return b''.join(
        msgspec.json.encode(message.content)
        for message in parsed.messages or ()
    )


class _StreamChoice(msgspec.Struct):
    text: str = ''
    delta: dict[str, Any] = {}
    finish_reason: str | None = None


class _StreamEvent(msgspec.Struct):
    choices: list[_StreamChoice] = []
    created: int = 0
    usage: dict[str, Any] | None = None


def join_events(
    completion: Completion,
    request: RequestId,
    stream: bytes,
) -> Result[bytes, str]:
    """Return the JSON response assembled from an engine's stream of events.

    An error says why one of the engine's events couldn't be decoded.
    """
    try:
        events = [
            decode_json(payload, _StreamEvent)
            for payload in _list_payloads(stream)
        ]
    except MalformedDocument as exc:
        return Err('the engine sent a bad event: {0}'.format(exc))
    return Ok(_encode_response(completion, request, events))


def parse_stream_events(stream: bytes) -> Iterator[dict[str, Any]]:
    """Yield the events of an engine's stream that are JSON objects.

    Events that can't be decoded are skipped.
    """
    for payload in _list_payloads(stream):
        with suppress(MalformedDocument):
            yield decode_json(payload, dict[str, Any])


def _list_payloads(stream: bytes) -> Iterator[bytes]:
    for event in stream.split(SSE_EVENT_END):
        if event.startswith(SSE_DATA_PREFIX) and not event.endswith(
            DONE_PAYLOAD
        ):
            yield event.removeprefix(SSE_DATA_PREFIX)


def _encode_response(
    completion: Completion,
    request: RequestId,
    events: list[_StreamEvent],
) -> bytes:
    choices = [choice for event in events for choice in event.choices]
    usages = [event.usage for event in events if event.usage]
    reasons = [
        choice.finish_reason for choice in choices if choice.finish_reason
    ]
    response = {
        'id': request,
        'created': events[0].created if events else 0,
        'model': completion.model,
        'choices': [
            {
                'index': 0,
                'finish_reason': reasons[-1] if reasons else 'stop',
                'logprobs': None,
                **_build_text_fields(completion.shape, choices),
            },
        ],
        'usage': usages[-1] if usages else None,
        'object': _OBJECT_NAMES[completion.shape],
    }
    return msgspec.json.encode(response)


def _build_text_fields(
    shape: CompletionApi, choices: list[_StreamChoice]
) -> dict[str, Any]:
    match shape:
        case CompletionApi.TEXT:
            return {'text': ''.join(choice.text for choice in choices)}
        case CompletionApi.CHAT:
            text = ''.join(
                choice.delta.get('content') or '' for choice in choices
            )
            return {'message': {'role': 'assistant', 'content': text}}


_OBJECT_NAMES: Final = {
    CompletionApi.TEXT: 'text_completion',
    CompletionApi.CHAT: 'chat.completion',
}
