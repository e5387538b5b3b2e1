"""How long a request may take, and how long it is going to."""

from typing import Final

from figspread.direct.model import CallerRequest, Route
from figspread.direct.placing import Place
from figspread.direct.request_state import RequestState
from figspread.policy.engine_time import read_s, write_s

# The final answer leaves this much before the caller's own time is over.
ANSWER_MARGIN_S: Final = 0.02
# A plain call that has given no answer after this part of its time is taken
# to hang, if it may be tried elsewhere.
PATIENCE_SHARE: Final = 0.35
# An engine that has given no token this much later than expected is taken to
# hang. Callers leave after 2 s without an event at the earliest; a stall of
# an engine behind a dead helper lasts 1.5 s.
ENGINE_PATIENCE_S: Final = 1.0
ENGINE_PATIENCE: Final = 2.0
# What a plain call is taken to need where its entry leaves.
LEAVING_PLAIN_S: Final = 0.5


def limit_s(request: CallerRequest, route: Route) -> float:
    """Return within what time the final answer is due."""
    if request.time_limit_s is None:
        return route.timeout_s
    return min(route.timeout_s, request.time_limit_s - ANSWER_MARGIN_S)


def needed_s(state: RequestState) -> float:
    """Return about how long the request takes at a full upstream."""
    engine = state.service.engine
    if engine is None:
        return LEAVING_PLAIN_S
    request = state.request
    writing_s = write_s(engine, request.output_tokens, engine.slots)
    return read_s(engine, request.prompt_tokens) + writing_s


def patience_s(state: RequestState, place: Place) -> float | None:
    """Return how long to wait for a first answer before trying elsewhere."""
    is_last = state.attempts_left <= 1
    if is_last or not state.route.is_repeatable:
        return None
    if state.service.engine is not None:
        return ENGINE_PATIENCE_S + ENGINE_PATIENCE * place.first_token_s
    return PATIENCE_SHARE * (state.ends_s - state.arrived_s)
