"""Tells callers that a part of their prompt crashes upstreams."""

import msgspec

from figspread.clock import Clock
from figspread.direct.model import CallerRequest
from figspread.direct.state.part_quarantine import PartQuarantine
from figspread.policy.quarantine import Refused


class PartRefusal(msgspec.Struct, frozen=True):
    """Why a request is refused for a part, and when it may come back."""

    detail: str
    retry_after_s: float


def find_part_refusal(
    quarantine: PartQuarantine, request: CallerRequest, clock: Clock
) -> PartRefusal | None:
    """Return the refusal of a request with a part that crashes upstreams."""
    verdict = quarantine.judge(request.shared_parts)
    if not isinstance(verdict, Refused):
        return None
    parts = ', '.join(sorted(verdict.quarantine.group))
    return PartRefusal(
        'upstreams crash under a part of the prompt: {0}'.format(parts),
        verdict.until_s - clock.now(),
    )
