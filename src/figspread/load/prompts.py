"""Builds the request bodies and idempotency keys of a load run."""

import uuid
from typing import Final

import msgspec
import numpy as np

from figspread.load.arrivals import NO_PREFIX, PromptCall, ServiceCall
from figspread.load.plan import LoadPlan
from figspread.policy.prompts import BYTES_PER_TOKEN

# Random streams beside those in `arrivals`.
_PREFIX_STREAM: Final = 2
_PROMPT_STREAM: Final = 3


class PromptBodyBuilder:
    """Builds prompt bodies; the same plan and call give the same bytes."""

    def __init__(self, plan: LoadPlan) -> None:
        """Generate the prefixes that prompts share."""
        self._plan = plan
        self._prefixes = [
            _generate_text(
                plan.prefixes.tokens,
                [plan.seed, _PREFIX_STREAM, number],
            )
            for number in range(plan.prefixes.count)
        ]

    def build_body(self, call: PromptCall) -> bytes:
        """Return the JSON body of a streaming completion request."""
        shared_prefix = ''
        if call.prefix != NO_PREFIX:
            shared_prefix = self._prefixes[call.prefix]
        length_bytes = call.prompt_tokens * BYTES_PER_TOKEN
        unique_text = _generate_text(
            call.prompt_tokens,
            [self._plan.seed, _PROMPT_STREAM, call.number],
        )
        return msgspec.json.encode(
            {
                'model': self._plan.model,
                'prompt': '{0}{1}'.format(shared_prefix, unique_text)[
                    :length_bytes
                ],
                'max_tokens': self._plan.output_tokens,
                'stream': True,
            }
        )


def make_idempotency_key(call: ServiceCall, run_id: uuid.UUID) -> str:
    """Return the `Idempotency-Key` of a call, unique to the run `run_id`."""
    return 'load-{0}-{1}-{2}'.format(run_id.hex, call.service.name, call.number)


def _generate_text(tokens: int, seed: list[int]) -> str:
    rng = np.random.default_rng(seed)
    return rng.bytes(tokens * BYTES_PER_TOKEN // 2).hex()
