"""The bytes that are sent."""

import uuid
from typing import Final

import msgspec
import numpy as np

from figspread.load.arrivals import NO_PREFIX, PromptCall, ServiceCall
from figspread.load.plan import LoadPlan
from figspread.policy.prompts import BYTES_PER_TOKEN

_PREFIX_STREAM: Final = 2
_PROMPT_STREAM: Final = 3


class Prompts:
    """Makes the bodies of a load run; the same seed gives the same bytes."""

    def __init__(self, plan: LoadPlan) -> None:
        """Prepare the shared beginnings of prompts."""
        self._plan = plan
        self._prefixes = [
            _draw_text(
                plan.prefixes.tokens,
                [plan.seed, _PREFIX_STREAM, number],
            )
            for number in range(plan.prefixes.count)
        ]

    def make_body(self, call: PromptCall) -> bytes:
        """Return the body of a completions request."""
        shared = ''
        if call.prefix != NO_PREFIX:
            shared = self._prefixes[call.prefix]
        length = call.prompt_tokens * BYTES_PER_TOKEN
        own = _draw_text(
            call.prompt_tokens,
            [self._plan.seed, _PROMPT_STREAM, call.number],
        )
        return msgspec.json.encode(
            {
                'model': self._plan.model,
                'prompt': '{0}{1}'.format(shared, own)[:length],
                'max_tokens': self._plan.output_tokens,
                'stream': True,
            }
        )


def make_key(call: ServiceCall, run: uuid.UUID) -> str:
    """Return the `Idempotency-Key` of a call, which no other run uses."""
    return 'load-{0}-{1}-{2}'.format(run.hex, call.service.name, call.number)


def _draw_text(tokens: int, seed: list[int]) -> str:
    rng = np.random.default_rng(seed)
    return rng.bytes(tokens * BYTES_PER_TOKEN // 2).hex()
