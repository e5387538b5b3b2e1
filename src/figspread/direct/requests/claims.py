"""What the admission queue needs to know of requests."""

from collections.abc import Collection
from typing import Final

import msgspec

from figspread.direct.model import Route, Service, Upstream
from figspread.direct.state.admission_queue import Claim
from figspread.ids import RegionId
from figspread.policy.engine_choice import max_parts
from figspread.policy.engine_time import (
    EngineProfile,
    decode_time_s,
    prefill_time_s,
)

# Service time that is assumed for each request of a plain service.
PLAIN_SERVICE_TIME_S: Final = 0.03
# Share of the estimated output that a whole answer has at least: half of all
# answers are longer than estimated, and few are shorter than half of that.
MIN_OUTPUT_SHARE: Final = 0.5


class PlacementRequest(msgspec.Struct, frozen=True):
    """What the placer needs to know of a request.

    `arrived_s` and `deadline_s` are clock times. Only upstreams in
    `home_regions` may run it, all if that is `None`. The answer of one that
    `is_resumed` has begun.
    """

    request: str
    route: Route
    service: Service
    prompt_tokens: int
    output_tokens: int
    priority: int
    arrived_s: float
    deadline_s: float
    home_regions: frozenset[RegionId] | None = None
    is_resumed: bool = False

    @property
    def first_token_due_s(self) -> float:
        """The clock time after which the whole answer would be too late."""
        engine = self.service.engine
        if engine is None or self.is_resumed:
            return self.deadline_s
        min_tokens = round(self.output_tokens * MIN_OUTPUT_SHARE)
        return self.deadline_s - decode_time_s(engine, min_tokens, 0)


def count_servers(req: PlacementRequest, usable: Collection[Upstream]) -> int:
    """Return how many requests the upstreams work on at the same time."""
    if req.service.engine is None:
        return sum(upstream.slots for upstream in usable)
    return len(usable)


def build_claim(req: PlacementRequest, upstreams: int) -> Claim:
    """Return what the queue needs to know of a request.

    A long prompt must start early enough to be prefilled by as many of the
    `upstreams` engines as may help with it.
    """
    engine = req.service.engine
    work_s = PLAIN_SERVICE_TIME_S
    min_latency_s = PLAIN_SERVICE_TIME_S
    if engine is not None:
        parts = max_parts(engine, req.prompt_tokens, upstreams)
        prefill_s = prefill_time_s(engine, req.prompt_tokens)
        min_latency_s = prefill_s / parts
        work_s = prefill_s + _estimate_decode_s(engine, req.output_tokens)
    return Claim(
        req.request,
        req.priority,
        req.arrived_s,
        req.arrived_s + req.route.target_latency_s - min_latency_s,
        req.first_token_due_s - min_latency_s,
        work_s,
    )


def _estimate_decode_s(engine: EngineProfile, output_tokens: int) -> float:
    # The engine decodes for all its slots at once, so one request's share of
    # its time at full load is the decode time divided by the slots.
    others = engine.slots - 1
    return decode_time_s(engine, output_tokens, others) / engine.slots
