"""Generates the calls of a fault case: a seeded mix of all kinds."""

import random
from enum import Enum
from typing import Final, NamedTuple

import msgspec

from bench.processes import MODEL
from figspread.entry.completion import CompletionApi, parse_completion
from figspread.standins.engine_text import expected_answer
from figspread.standins.run_record import digest_body

CALL_COUNT: Final = 40
START_WINDOW_S: Final = 3.0
TIME_LIMITS_S: Final = (4.0, 5.0, 6.0)
SHORT_TOKENS: Final = (4, 30)
LONG_TOKENS: Final = (60, 140)
KEYED_SHARE: Final = 0.4
DUPLICATE_SHARE: Final = 0.5
ENTRY_COUNT: Final = 2
SERVICE_PATH: Final = '/v1/services/order-desk'


class CallKind(Enum):
    """The kind of request that a call makes."""

    STREAM = 'a streamed completion'
    UNSTREAMED = 'a completion in one piece'
    REPEATABLE = 'a repeatable call of a service'
    UNREPEATABLE = 'a call of a service that must not be repeated'


KIND_MIX: Final = (
    CallKind.STREAM,
    CallKind.STREAM,
    CallKind.UNSTREAMED,
    CallKind.REPEATABLE,
    CallKind.UNREPEATABLE,
    CallKind.UNREPEATABLE,
)


class Call(NamedTuple):
    """One call; `expected_text` is the text of a complete answer.

    A call with an idempotency key is sent again to the other entry once it
    has been answered. If `disconnect_after_bytes` is not 0, the caller closes
    the connection after that many bytes of the answer.
    """

    number: int
    kind: CallKind
    method: str
    path: str
    body: bytes
    expected_text: str
    entry_index: int
    start_delay_s: float
    time_limit_s: float
    key: str = ''
    disconnect_after_bytes: int = 0

    @property
    def is_completion(self) -> bool:
        """Whether an engine answers the call, not the plain service."""
        return self.kind in {CallKind.STREAM, CallKind.UNSTREAMED}

    @property
    def is_repeatable(self) -> bool:
        """Whether the call may be retried when its outcome is unknown."""
        return bool(self.key) or self.kind is not CallKind.UNREPEATABLE

    @property
    def digest(self) -> str:
        """The digest under which an upstream counts the runs of this body."""
        if self.is_completion:
            parsed = parse_completion(CompletionApi.TEXT, self.body)
            return digest_body(parsed.unwrap().body)
        return digest_body(self.body)


def make_calls(seed: int, *, count: int = CALL_COUNT) -> list[Call]:
    """Return `count` calls, the same ones for the same seed.

    Some are duplicates: the same call with the same idempotency key, sent to
    the other entry at the same time. This is in addition to the repetition
    that `Call` describes.
    """
    rng = random.Random(seed)
    calls: list[Call] = []
    while len(calls) < count:
        call = _make_call(rng, len(calls))
        calls.append(call)
        if call.key and rng.random() < DUPLICATE_SHARE:
            other_entry = (call.entry_index + 1) % ENTRY_COUNT
            calls.append(
                call._replace(number=len(calls), entry_index=other_entry)
            )
    return calls[:count]


def make_completion(
    number: int,
    prompt: str,
    tokens: int,
    *,
    is_streamed: bool = True,
) -> Call:
    """Return a completion call that starts at once at the first entry."""
    body = {
        'model': MODEL,
        'prompt': prompt,
        'max_tokens': tokens,
        'stream': is_streamed,
    }
    return Call(
        number,
        CallKind.STREAM if is_streamed else CallKind.UNSTREAMED,
        'POST',
        CompletionApi.TEXT.value,
        msgspec.json.encode(body),
        expected_answer(prompt, tokens),
        entry_index=0,
        start_delay_s=0,
        time_limit_s=TIME_LIMITS_S[-1],
    )


def _make_call(rng: random.Random, number: int) -> Call:
    kind = rng.choice(KIND_MIX)
    call = _make_call_of_kind(kind, rng, number)
    is_keyed = rng.random() < KEYED_SHARE
    return call._replace(
        entry_index=rng.randrange(ENTRY_COUNT),
        start_delay_s=rng.uniform(0, START_WINDOW_S),
        time_limit_s=rng.choice(TIME_LIMITS_S),
        key='key-{0}'.format(number) if is_keyed else '',
    )


def _make_call_of_kind(kind: CallKind, rng: random.Random, number: int) -> Call:
    text = 'fig pattern {0}-{1}'.format(number, rng.randrange(10**9))
    match kind:
        case CallKind.STREAM | CallKind.UNSTREAMED:
            token_range = rng.choice((SHORT_TOKENS, LONG_TOKENS))
            return make_completion(
                number,
                text * rng.randint(1, 50),
                rng.randint(*token_range),
                is_streamed=kind is CallKind.STREAM,
            )
        case CallKind.REPEATABLE:
            return _make_service_call(number, kind, 'GET', 'status', text)
        case CallKind.UNREPEATABLE:
            return _make_service_call(number, kind, 'POST', 'prints', text)


def _make_service_call(
    number: int,
    kind: CallKind,
    method: str,
    resource: str,
    text: str,
) -> Call:
    return Call(
        number,
        kind,
        method,
        '{0}/{1}/{2}'.format(SERVICE_PATH, resource, number),
        text.encode(),
        text,
        entry_index=0,
        start_delay_s=0,
        time_limit_s=TIME_LIMITS_S[0],
    )
