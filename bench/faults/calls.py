"""The calls of a case: a seeded mix of all kinds."""

import random
from enum import Enum
from typing import Final, NamedTuple

import msgspec

from bench.processes import MODEL
from figspread.entry.completion import CompletionApi, parse_completion
from figspread.standins.engine_text import answer_text
from figspread.standins.runs import digest_body

CALLS: Final = 40
SPREAD_S: Final = 3.0
TIME_LIMITS_S: Final = (4.0, 5.0, 6.0)
SHORT_TOKENS: Final = (4, 30)
LONG_TOKENS: Final = (60, 140)
KEYED_SHARE: Final = 0.4
TWIN_SHARE: Final = 0.5
ENTRIES: Final = 2
SERVICE_PATH: Final = '/v1/services/order-desk'


class Kind(Enum):
    """What is asked for."""

    STREAM = 'a streamed completion'
    WHOLE = 'a completion in one piece'
    REPEATABLE = 'a repeatable call of a service'
    ONCE = 'a call of a service that must not be repeated'


KINDS: Final = (
    Kind.STREAM,
    Kind.STREAM,
    Kind.WHOLE,
    Kind.REPEATABLE,
    Kind.ONCE,
    Kind.ONCE,
)


class Call(NamedTuple):
    """One call; `expected` is the text that a whole answer has.

    With a key it is sent again to the other entry once it has been answered.
    A caller with `leaves_after` goes away after that many bytes.
    """

    number: int
    kind: Kind
    method: str
    path: str
    body: bytes
    expected: str
    entry: int
    starts_s: float
    time_limit_s: float
    key: str = ''
    leaves_after: int = 0

    @property
    def is_completion(self) -> bool:
        """Whether an engine answers it."""
        return self.kind in {Kind.STREAM, Kind.WHOLE}

    @property
    def may_repeat(self) -> bool:
        """Whether it may be sent again after its fate was lost."""
        return bool(self.key) or self.kind is not Kind.ONCE

    @property
    def digest(self) -> str:
        """The name of its body in an upstream's record of runs."""
        if self.is_completion:
            parsed = parse_completion(CompletionApi.TEXT, self.body)
            return digest_body(parsed.unwrap().body)
        return digest_body(self.body)


def make_calls(seed: int, *, count: int = CALLS) -> list[Call]:
    """Return `count` calls; some are twins: one key at both entries at once.

    The same seed gives the same calls.
    """
    rng = random.Random(seed)
    calls: list[Call] = []
    while len(calls) < count:
        call = _make_call(rng, len(calls))
        calls.append(call)
        if call.key and rng.random() < TWIN_SHARE:
            other = (call.entry + 1) % ENTRIES
            calls.append(call._replace(number=len(calls), entry=other))
    return calls[:count]


def make_completion(
    number: int,
    prompt: str,
    tokens: int,
    *,
    is_streamed: bool = True,
) -> Call:
    """Return a completion that starts at once at the first entry."""
    body = {
        'model': MODEL,
        'prompt': prompt,
        'max_tokens': tokens,
        'stream': is_streamed,
    }
    return Call(
        number,
        Kind.STREAM if is_streamed else Kind.WHOLE,
        'POST',
        CompletionApi.TEXT.value,
        msgspec.json.encode(body),
        answer_text(prompt, tokens),
        entry=0,
        starts_s=0,
        time_limit_s=TIME_LIMITS_S[-1],
    )


def _make_call(rng: random.Random, number: int) -> Call:
    kind = rng.choice(KINDS)
    call = _ask_for(kind, rng, number)
    is_keyed = rng.random() < KEYED_SHARE
    return call._replace(
        entry=rng.randrange(ENTRIES),
        starts_s=rng.uniform(0, SPREAD_S),
        time_limit_s=rng.choice(TIME_LIMITS_S),
        key='key-{0}'.format(number) if is_keyed else '',
    )


def _ask_for(kind: Kind, rng: random.Random, number: int) -> Call:
    name = 'fig pattern {0}-{1}'.format(number, rng.randrange(10**9))
    match kind:
        case Kind.STREAM | Kind.WHOLE:
            span = rng.choice((SHORT_TOKENS, LONG_TOKENS))
            return make_completion(
                number,
                name * rng.randint(1, 50),
                rng.randint(*span),
                is_streamed=kind is Kind.STREAM,
            )
        case Kind.REPEATABLE:
            return _make_service_call(number, kind, 'GET', 'status', name)
        case Kind.ONCE:
            return _make_service_call(number, kind, 'POST', 'prints', name)


def _make_service_call(
    number: int,
    kind: Kind,
    method: str,
    place: str,
    text: str,
) -> Call:
    return Call(
        number,
        kind,
        method,
        '{0}/{1}/{2}'.format(SERVICE_PATH, place, number),
        text.encode(),
        text,
        entry=0,
        starts_s=0,
        time_limit_s=TIME_LIMITS_S[0],
    )
