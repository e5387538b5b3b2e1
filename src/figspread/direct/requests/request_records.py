"""The log lines and metrics of a request, from its placement to its end."""

from figspread.direct.components import EntryComponents
from figspread.direct.model import LOGGED_PARTS, CallerRequest
from figspread.direct.requests.placing import Assignment
from figspread.direct.requests.request_state import Refusal, RequestState
from figspread.policy.prompts import length_class


class RequestRecords:
    """Records what an entry decides about requests."""

    def __init__(self, components: EntryComponents) -> None:
        """Write to the entry's log and metrics."""
        self._clock = components.clock
        self._holder = components.holder
        self._log = components.log
        self._metrics = components.metrics
        self._notices = components.notices
        self._cold = components.cold

    def record_placed(
        self, state: RequestState, assignment: Assignment
    ) -> None:
        """Record the upstream that a request is assigned to.

        `there` is the number of requests at the upstream before this one,
        `expected_s` the expected time to the first token, and `tokens` the
        tokens of the prompt and of the output. `rate_limit` is what the
        upstream has stated, in requests a second, and `cold` whether the
        limit of a cold upstream applies.
        """
        request = state.request
        rate_limit = self._notices.find_limit(assignment.upstream)
        if rate_limit is not None:
            kind = 'repeat' if state.sends else 'first'
            self._metrics.record_limited_send(kind)
        self._log.info(
            'request placed',
            request=request.request,
            upstream=assignment.upstream.upstream,
            data_centre=assignment.upstream.data_centre,
            address=assignment.upstream.address,
            helpers=[helper.upstream for helper in assignment.helpers],
            there=assignment.requests_at_upstream,
            expected_s=round(assignment.first_token_s, 3),
            waited_s=self._elapsed_s(state),
            tokens=[request.prompt_tokens, request.output_tokens],
            attempt=state.sends + 1,
            rate_limit=rate_limit,
            cold=self._cold.is_limited(assignment.upstream),
            version=self._holder.version,
        )

    def record_first_output(self, state: RequestState) -> None:
        """Record the time of the first event or complete response."""
        if state.first_output_s is not None:
            self._metrics.record_first_token(
                length_class(state.request.prompt_tokens).value,
                state.first_output_s,
            )

    def record_refused(
        self,
        request: CallerRequest | None,
        refusal: Refusal,
        state: RequestState | None,
    ) -> None:
        """Record a response of the entry's own.

        `request` is `None` if it can't be decoded, `state` if it was refused
        before it had one.
        """
        self._metrics.record_refusal(str(refusal.status))
        self._log.info(
            'request refused',
            request=request.request if request else None,
            status=refusal.status,
            detail=refusal.detail,
            after_s=refusal.retry_after_s,
            sends=state.sends if state else 0,
            events=state.stream.events if state else 0,
            total_s=self._elapsed_s(state) if state else 0,
            version=self._holder.version,
        )

    def record_cut(self, state: RequestState, *, is_by_caller: bool) -> None:
        """Record a request whose connection ended before its answer."""
        outcome = 'caller_left' if is_by_caller else 'cut_by_entry'
        self.record_finished(state, outcome, '')

    def record_finished(
        self, state: RequestState, outcome: str, status: str
    ) -> None:
        """Record the end of a request that was answered or given up."""
        self._metrics.record_outcome(outcome, status)
        self._log.info(
            'request finished',
            request=state.request.request,
            outcome=outcome,
            status=status,
            phase=state.phase.value,
            sends=state.sends,
            events=state.stream.events,
            first_s=state.first_output_s and round(state.first_output_s, 3),
            gap_s=round(state.stream.longest_gap_s, 3),
            late=state.lateness,
            parts=state.request.shared_parts[:LOGGED_PARTS],
            total_s=self._elapsed_s(state),
        )

    def _elapsed_s(self, state: RequestState) -> float:
        return round(self._clock.now() - state.arrived_s, 3)
