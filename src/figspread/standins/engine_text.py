"""Completion requests to a stand-in engine and the text of its answers.

A token of an answer is a function of the whole prompt and the token's index
alone, so that every engine continues an answer in the same way after a resume.
A prompt is represented by its size and by its bytes, read as one large number,
modulo a prime; such digests can be joined. The KV handle of a segment has the
digest of the prompt up to the end of the segment, so the last engine of a span
answers as a single engine that could hold the whole prompt would.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

import msgspec
import xxhash
from result import Err, Ok, Result

from figspread.standins.run_record import digest_body

BYTES_PER_TOKEN: Final = 4
DEFAULT_OUTPUT_TOKENS: Final = 16
MAX_OUTPUT_TOKENS: Final = 65_536
_PRIME: Final = (1 << 61) - 1
_BASE: Final = 256
CHAT_PATH: Final = '/v1/chat/completions'


class PromptDigest(msgspec.Struct, frozen=True):
    """The size of a byte string and its value modulo a prime."""

    size: int = 0
    remainder: int = 0

    def join(self, later: 'PromptDigest') -> 'PromptDigest':
        """Return the digest of this text followed by that of `later`."""
        shifted = self.remainder * pow(_BASE, later.size, _PRIME)
        return PromptDigest(
            self.size + later.size,
            (shifted + later.remainder) % _PRIME,
        )


class KvSource(msgspec.Struct, frozen=True):
    """A KV handle and the URL of the engine that holds it."""

    handle: str
    source: str


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class CompletionBody(msgspec.Struct, frozen=True):
    """The fields of a completion request's body that the stand-in reads."""

    model: str = ''
    prompt: str | None = None
    messages: tuple[ChatMessage, ...] = ()
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    prefill_only: bool = False
    kv_context: tuple[KvSource, ...] = ()


class CompletionRequest(msgspec.Struct, frozen=True):
    """A validated completion or chat request, its prompt as UTF-8 bytes."""

    model: str
    prompt: bytes
    body_digest: str
    output_tokens: int
    is_chat: bool
    is_stream: bool
    prefill_only: bool
    kv_context: tuple[KvSource, ...]


def parse_completion(
    path: str, raw_body: bytes
) -> Result[CompletionRequest, str]:
    """Return the request in `raw_body`, or an error message."""
    try:
        body = msgspec.json.decode(raw_body, type=CompletionBody)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return Err(str(exc))
    is_chat = path == CHAT_PATH
    prompt = _join_messages(body.messages) if is_chat else body.prompt
    if not prompt:
        return Err('the prompt is missing or empty')
    tokens = (
        body.max_tokens or body.max_completion_tokens or DEFAULT_OUTPUT_TOKENS
    )
    if not 0 < tokens <= MAX_OUTPUT_TOKENS:
        return Err('max_tokens must be 1 to {0}'.format(MAX_OUTPUT_TOKENS))
    return Ok(
        CompletionRequest(
            model=body.model,
            prompt=prompt.encode('utf-8', 'surrogatepass'),
            body_digest=digest_body(raw_body),
            output_tokens=tokens,
            is_chat=is_chat,
            is_stream=body.stream,
            prefill_only=body.prefill_only,
            kv_context=body.kv_context,
        ),
    )


def digest_prompt(prompt: bytes) -> PromptDigest:
    """Return the digest of `prompt`, for joins with others."""
    return PromptDigest(len(prompt), int.from_bytes(prompt) % _PRIME)


def count_tokens(size: int) -> int:
    """Return how many tokens a prompt of `size` bytes has, rounded up."""
    return -(-size // BYTES_PER_TOKEN)


def token_text(digest: PromptDigest, index: int) -> str:
    """Return the text of token `index` of the answer to a prompt."""
    seed = '{0}:{1}:{2}'.format(digest.size, digest.remainder, index)
    return ' {0}'.format(xxhash.xxh3_64_hexdigest(seed.encode())[:4])


def expected_answer(prompt: str, tokens: int) -> str:
    """Return the expected answer to a completion prompt, `tokens` long."""
    digest = digest_prompt(prompt.encode('utf-8', 'surrogatepass'))
    return ''.join(token_text(digest, index) for index in range(tokens))


class ResponseWriter:
    """Formats the answer to one completion or chat request."""

    def __init__(
        self,
        attempt: str,
        request: CompletionRequest,
        digest: PromptDigest,
    ) -> None:
        """Answer `request`; `digest` covers its prompt with any KV context."""
        self._request = request
        self._digest = digest
        self._common_fields = {
            'id': attempt,
            'object': _object_type(request, streams=request.is_stream),
            'created': 0,
            'model': request.model,
        }

    def write_token(self, index: int) -> bytes:
        """Return the event of token `index`."""
        return to_event(
            self._make_document(self._make_token_fields(index), reason=None)
        )

    def write_closing(self) -> Iterator[bytes]:
        """Yield the closing event, with the usage, and the end mark."""
        empty_fields: Mapping[str, Any] = {'text': ''}
        if self._request.is_chat:
            empty_fields = {'delta': {}}
        closing = self._make_document(empty_fields, reason='length')
        yield to_event({**closing, 'usage': self._count_usage()})
        yield b'data: [DONE]\n\n'

    def write_handle(self, handle: str) -> Iterator[bytes]:
        """Yield the events of a finished prefill-only request."""
        closing = {**self._common_fields, 'choices': [], 'kv_handle': handle}
        yield to_event({**closing, 'usage': self._count_usage()})
        yield b'data: [DONE]\n\n'

    def build_document(self, indexes: Sequence[int]) -> bytes:
        """Return the answer with the tokens `indexes` as a JSON document."""
        text = ''.join(token_text(self._digest, index) for index in indexes)
        choice_fields: Mapping[str, Any] = {'text': text}
        if self._request.is_chat:
            choice_fields = {'message': {'role': 'assistant', 'content': text}}
        closing = self._make_document(choice_fields, reason='length')
        return msgspec.json.encode({**closing, 'usage': self._count_usage()})

    def _make_token_fields(self, index: int) -> Mapping[str, Any]:
        text = token_text(self._digest, index)
        if not self._request.is_chat:
            return {'text': text}
        if index:
            return {'delta': {'content': text}}
        return {'delta': {'role': 'assistant', 'content': text}}

    def _make_document(
        self,
        choice_fields: Mapping[str, Any],
        *,
        reason: str | None,
    ) -> dict[str, Any]:
        choice = {
            'index': 0,
            **choice_fields,
            'logprobs': None,
            'finish_reason': reason,
        }
        return {**self._common_fields, 'choices': [choice]}

    def _count_usage(self) -> Mapping[str, int]:
        prompt = count_tokens(self._digest.size)
        answer = (
            0 if self._request.prefill_only else self._request.output_tokens
        )
        return {
            'prompt_tokens': prompt,
            'completion_tokens': answer,
            'total_tokens': prompt + answer,
        }


def to_event(document: object) -> bytes:
    """Return `document` as a server-sent event."""
    return b'data: %s\n\n' % msgspec.json.encode(document)


def _join_messages(messages: Sequence[ChatMessage]) -> str:
    lines = (
        '{0}: {1}'.format(message.role, message.content) for message in messages
    )
    return '\n'.join(lines)


def _object_type(request: CompletionRequest, *, streams: bool) -> str:
    if not request.is_chat:
        return 'text_completion'
    return 'chat.completion.chunk' if streams else 'chat.completion'
