"""What the queue is told of a request."""

import asyncio
from unittest.mock import Mock

import pytest
from bench.giftwrap.deployment import make_configuration
from msgspec import json
from msgspec.structs import replace

from figspread.direct.requests.claims import PlacementRequest, build_claim
from figspread.direct.requests.placing import Assignment, Placer
from figspread.direct.state.admission_queue import AdmissionRefused
from figspread.policy.engine_time import (
    EngineProfile,
    decode_pass_time_s,
    prefill_time_s,
)
from giftwrap.wire import GiftWrapWire
from tests.placing_setup import make_components, make_gate, make_request

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


@pytest.mark.parametrize(
    ('time_left_s', 'is_resumed', 'is_refused'),
    [
        (1, False, True),
        (3, False, False),
        # The rest of its answer may be short.
        (1, True, False),
    ],
)
def test_prompt_whose_answer_would_be_too_late_is_refused_at_once(
    time_left_s: float, is_resumed: bool, is_refused: bool
) -> None:
    """Guard against engines that read for an answer that can't be whole in time.

    The load is callers who come back late, after an entry has lost power: a
    prompt that four engines read in 0.3 s, whose answer takes 1.6 s more by the
    estimate. It delayed the streams at these engines for seconds.
    """
    components = make_components(4)
    announcer = Mock()
    placer = Placer(components, announcer, make_gate(components))
    req = replace(
        make_request(120_000, 100 + time_left_s), is_resumed=is_resumed
    )

    async def place() -> Assignment:
        return await placer.place(req, check=lambda: None)

    if is_refused:
        with pytest.raises(AdmissionRefused):
            asyncio.run(place())
        announcer.announce_start.assert_not_called()
    else:
        assert asyncio.run(place()).helpers


def test_work_is_a_share_of_a_full_engine() -> None:
    """A full engine decodes for its slots, the request among them."""
    engine = _get_engine()
    events = 10
    req = _make_request(0, events * engine.steps_per_pass)
    context = engine.mean_prompt_tokens * engine.slots
    full_pass_s = decode_pass_time_s(engine, engine.slots, context)
    expected_s = events * full_pass_s / engine.slots
    assert build_claim(req, 1).work_s == pytest.approx(expected_s)
