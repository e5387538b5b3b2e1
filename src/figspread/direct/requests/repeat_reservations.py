"""Decides whether a request may be sent once more."""

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
    """Takes repeats of requests from the entry's budget."""

    def __init__(self, components: EntryComponents) -> None:
        """Take from the components' retry budget."""
        self._components = components
        self._budget = components.retry_budget

    def reserve(self, state: RequestState) -> bool:
        """Return whether a request may be sent once more."""
        obstacle = self._find_obstacle(state)
        if obstacle is not None:
            self._record_refused(state, obstacle)
        return obstacle is None

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
        if not self._budget.try_spend(state.service.name):
            return RepeatObstacle.BUDGET
        return None

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
