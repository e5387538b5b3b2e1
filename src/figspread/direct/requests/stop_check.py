"""Refuses requests that can't end before the entry stops."""

from typing import Final

from figspread.clock import Clock
from figspread.direct.requests.estimates import estimate_duration_s
from figspread.direct.requests.request_state import Refusal, RequestState
from figspread.direct.state.admission_queue import AdmissionRefused
from figspread.policy.planned_stop import RETRY_AFTER_S, StopSchedule

LEAVING_REFUSAL: Final = Refusal(503, 'this entry is leaving', RETRY_AFTER_S)


class StopCheck:
    """Asks for each request whether it may still begin at an upstream."""

    def __init__(self, clock: Clock) -> None:
        """Allow all requests until there is a `schedule`."""
        self._clock = clock
        self.schedule: StopSchedule | None = None

    def find_refusal(self, state: RequestState) -> Refusal | None:
        """Return the refusal of a request that can't end in time.

        A stream that has begun goes on for as long as the entry runs.
        """
        if self.schedule is None or state.stream.is_started:
            return None
        may_begin = self.schedule.may_begin(
            self._clock.now(),
            arrived_s=state.arrived_s,
            deadline_s=state.deadline_s,
            duration_s=estimate_duration_s(state),
        )
        return None if may_begin else LEAVING_REFUSAL

    def check(self, state: RequestState) -> None:
        """Raise `AdmissionRefused` if `find_refusal` returns a refusal."""
        refusal = self.find_refusal(state)
        if refusal is not None:
            raise AdmissionRefused(refusal.detail, RETRY_AFTER_S)
