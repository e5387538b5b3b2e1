"""Decides whether a request may be sent once more, and counts such sends."""

from enum import Enum

import msgspec

from figspread.direct.components import EntryComponents
from figspread.direct.requests.part_refusal import find_part_refusal
from figspread.direct.requests.request_state import RequestState


class RepeatObstacle(Enum):
    """What forbids to send a request once more."""

    ATTEMPTS = 'attempts'
    SUSPECT = 'suspect'
    PART = 'part'
    BUDGET = 'budget'


class RepeatReservations:
    """Reserves repeats of requests in the entry's budget.

    A request reserves its repeat when the decision to retry is taken, and sends
    it once an upstream has a place for it.
    """

    def __init__(self, components: EntryComponents) -> None:
        """Reserve in the components' retry budget."""
        self._components = components
        self._budget = components.retry_budget

    def reserve(self, state: RequestState) -> bool:
        """Return whether a request may be sent once more."""
        obstacle = self._find_obstacle(state)
        if obstacle is not None:
            self._record_refused(state, obstacle)
        return obstacle is None

    def record_send(self, state: RequestState) -> None:
        """Record that a request is sent now; it may be its first send."""
        if state.has_reserved_repeat:
            state.has_reserved_repeat = False
            self._budget.record_repeat(state.service.name)

    def release(self, state: RequestState) -> None:
        """Return the repeat that an ended request has not sent, if any."""
        if state.has_reserved_repeat:
            state.has_reserved_repeat = False
            self._budget.release(state.service.name)

    def describe_budget(self, state: RequestState) -> dict[str, float]:
        """Return the use of the budget of a request's service, for logs."""
        return msgspec.structs.asdict(self._budget.describe(state.service.name))

    def _find_obstacle(self, state: RequestState) -> RepeatObstacle | None:
        if state.attempts_left <= 0:
            return RepeatObstacle.ATTEMPTS
        if self._components.suspects.is_blocked(state.fingerprint):
            return RepeatObstacle.SUSPECT
        quarantine = self._components.quarantine
        if find_part_refusal(quarantine, state.request, self._components.clock):
            return RepeatObstacle.PART
        if not self._reserve_send(state):
            return RepeatObstacle.BUDGET
        return None

    def _reserve_send(self, state: RequestState) -> bool:
        """Reserve the next send unless it is the first, or has been reserved."""
        if state.reached_upstreams and not state.has_reserved_repeat:
            state.has_reserved_repeat = self._budget.try_reserve(
                state.service.name
            )
            return state.has_reserved_repeat
        return True

    def _record_refused(
        self, state: RequestState, obstacle: RepeatObstacle
    ) -> None:
        self._components.metrics.record_repeat_refused(obstacle.value)
        self._components.log.info(
            'repeat refused',
            request=state.request.request,
            service=state.service.name,
            why=obstacle.value,
            sends=state.sends,
            budget=self.describe_budget(state),
        )
