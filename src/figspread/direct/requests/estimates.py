"""Time limits, timeouts and duration estimates of requests."""

from typing import Final

from figspread.direct.model import CallerRequest, Route
from figspread.direct.requests.placing import Assignment
from figspread.direct.requests.request_state import RequestState
from figspread.policy.engine_time import decode_time_s, prefill_time_s

# The final response is sent this long before the caller's own time limit.
ANSWER_MARGIN_S: Final = 0.02
# A plain service's attempt is taken to hang without a response after this share
# of the request's time limit, if the request may be retried elsewhere.
PLAIN_TIMEOUT_SHARE: Final = 0.35
# An engine is taken to hang if its first token takes longer than this base plus
# the factor times the expected time. Callers disconnect after 2 s without an
# event at the earliest; an engine that waits for a dead helper stalls for 1.5 s.
ENGINE_TIMEOUT_BASE_S: Final = 1.0
ENGINE_TIMEOUT_FACTOR: Final = 2.0
# Assumed duration of a plain service's request at an entry that is leaving.
PLAIN_DURATION_S: Final = 0.5


def compute_time_limit_s(request: CallerRequest, route: Route) -> float:
    """Return how many seconds after arrival the final response is due."""
    if request.time_limit_s is None:
        return route.timeout_s
    return min(route.timeout_s, request.time_limit_s - ANSWER_MARGIN_S)


def estimate_duration_s(state: RequestState) -> float:
    """Return the estimated seconds a request takes at a full upstream."""
    engine = state.service.engine
    if engine is None:
        return PLAIN_DURATION_S
    request = state.request
    others = engine.slots - 1
    decode_s = decode_time_s(engine, request.output_tokens, others)
    return prefill_time_s(engine, request.prompt_tokens) + decode_s


def compute_first_output_timeout_s(
    state: RequestState, assignment: Assignment
) -> float | None:
    """Return the seconds to wait for first output before a retry elsewhere.

    Returns `None`, for no limit, if the request can't be retried.
    """
    is_last = state.attempts_left <= 1
    if is_last or not state.route.is_repeatable:
        return None
    if state.service.engine is not None:
        return (
            ENGINE_TIMEOUT_BASE_S
            + ENGINE_TIMEOUT_FACTOR * assignment.first_token_s
        )
    return PLAIN_TIMEOUT_SHARE * (state.deadline_s - state.arrived_s)
