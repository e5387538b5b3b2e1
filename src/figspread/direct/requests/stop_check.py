"""Refuses requests that can't end before the entry stops."""

from typing import Final

from figspread.clock import Clock
from figspread.direct.requests.estimates import estimate_duration_s
from figspread.direct.requests.request_state import Refusal, RequestState
from figspread.direct.state.admission_queue import AdmissionRefused
from figspread.policy.planned_stop import RETRY_AFTER_S, StopSchedule

LEAVING_REFUSAL: Final = Refusal(503, 'this entry is leaving', RETRY_AFTER_S)


class StopCheck:
    """Asks for each request whether it can end before the entry stops."""

    def __init__(self, clock: Clock) -> None:
        """Allow all requests until there is a `schedule`."""
        self._clock = clock
        self.schedule: StopSchedule | None = None

    def find_refusal(self, state: RequestState) -> Refusal | None:
        """Return the refusal of a request that arrives too late."""
        if self.schedule is None:
            return None
        may_admit = self.schedule.may_admit(
            self._clock.now(),
            deadline_s=state.deadline_s,
            duration_s=estimate_duration_s(state),
        )
        return None if may_admit else LEAVING_REFUSAL

    def allows_send(self, state: RequestState) -> bool:
        """Return whether an admitted request may be sent now.

        A stream that has begun goes on for as long as the entry runs.
        """
        if self.schedule is None or state.stream.is_started:
            return True
        return self.schedule.may_send(
            self._clock.now(),
            deadline_s=state.deadline_s,
            duration_s=estimate_duration_s(state),
        )

    def check(self, state: RequestState) -> None:
        """Raise `AdmissionRefused` if a request must not wait any longer."""
        if not self.allows_send(state):
            raise AdmissionRefused(LEAVING_REFUSAL.detail, RETRY_AFTER_S)
