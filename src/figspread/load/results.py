"""The result of one request of a load run."""

from enum import Enum

import msgspec

from figspread.policy.types import LengthClass


class OutcomeName(Enum):
    """The outcomes as they are named in responses to callers."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class Verdict(msgspec.Struct, frozen=True):
    """An outcome with its reason.

    `retry_after_s` is the delay that a refusal asks for, or 0.
    """

    outcome: OutcomeName
    reason: str = ''
    retry_after_s: float = 0


ANSWERED = Verdict(OutcomeName.ANSWERED)


class CallResult(msgspec.Struct, frozen=True):
    """The outcome of one request and its latencies, in seconds.

    Latencies count from the planned arrival, so that they include delays of
    the load tool itself. `gaps_s` are the inter-token times and `comebacks`
    the number of retries. `length` is `None` for a plain service's call.
    """

    workspace: str
    length: LengthClass | None
    verdict: Verdict
    prompt_tokens: int = 0
    service: str = ''
    late_s: float = 0
    first_token_s: float | None = None
    whole_s: float = 0
    gaps_s: tuple[float, ...] = ()
    comebacks: int = 0
