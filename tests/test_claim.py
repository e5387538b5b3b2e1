"""What the queue is told of a request."""

import pytest
from bench.giftwrap.deployment import make_configuration
from msgspec import json

from figspread.direct.requests.claims import PlacementRequest, build_claim
from figspread.policy.engine_time import (
    EngineProfile,
    decode_pass_time_s,
    prefill_time_s,
)
from giftwrap.wire import GiftWrapWire

DEPLOYMENT = GiftWrapWire().decode_deployment(
    json.encode(make_configuration(1))
)
ROUTE = DEPLOYMENT.routes[0]
SERVICE = DEPLOYMENT.services[ROUTE.shares[0].service]


def _make_request(prompt_tokens: int, output_tokens: int) -> PlacementRequest:
    return PlacementRequest(
        'r', ROUTE, SERVICE, prompt_tokens, output_tokens, 1, 100, 115
    )


def _get_engine() -> EngineProfile:
    assert SERVICE.engine is not None
    return SERVICE.engine


def test_prompt_that_only_many_engines_read_in_time_is_not_hopeless() -> None:
    """A prompt that one engine can't prefill in time may still be in time.

    With helpers it is, so it may wait for them instead of being refused.
    """
    engine = _get_engine()
    req = _make_request(1_800_000, 460)
    prefill_s = prefill_time_s(engine, req.prompt_tokens)
    assert prefill_s > req.deadline_s - req.arrived_s
    assert build_claim(req, 20).start_deadline_s > req.arrived_s
    assert build_claim(req, 1).start_deadline_s < req.arrived_s


def test_work_is_a_share_of_a_full_engine() -> None:
    """A full engine decodes for its slots, the request among them."""
    engine = _get_engine()
    events = 10
    req = _make_request(0, events * engine.steps_per_pass)
    context = engine.mean_prompt_tokens * engine.slots
    full_pass_s = decode_pass_time_s(engine, engine.slots, context)
    expected_s = events * full_pass_s / engine.slots
    assert build_claim(req, 1).work_s == pytest.approx(expected_s)
