"""Decides after each attempt whether to retry a request or to respond."""

from typing import Final, TypeAlias

from figspread.direct.components import EntryComponents
from figspread.direct.model import LOGGED_PARTS, Upstream, UpstreamState
from figspread.direct.requests.attempt_results import (
    AnswerLost,
    AttemptResult,
    CompleteAnswer,
    ConnectFailed,
    NotExecuted,
    NotSent,
    StreamCompleted,
)
from figspread.direct.requests.part_refusal import (
    PartRefusal,
    find_part_refusal,
)
from figspread.direct.requests.repeat_reservations import RepeatReservations
from figspread.direct.requests.request_state import Refusal, RequestState
from figspread.ids import AttemptId, UpstreamId

# Failed connections after which a request still tries another upstream; one
# more fails it. A dead upstream refuses connections at once, so these cost
# little time.
CONNECT_FAILURE_LIMIT: Final = 4
# Number of rejections that fails a request. A rejected request has not run, so
# it may try another upstream if the retry budget allows; several may reject it
# in a row because this entry can be late to learn which upstreams are full or
# leaving. A failed memory reservation at a helper counts as a rejection.
REJECTED_LIMIT: Final = 3
FIRST_ERROR_STATUS: Final = 400
FIRST_SERVER_ERROR_STATUS: Final = 500


RetryDecision: TypeAlias = Refusal | CompleteAnswer | StreamCompleted | None


class RetryPolicy:
    """Decides after each attempt whether to retry or to respond.

    It also records the result in the health of upstreams, the crash tracker,
    the log and the metrics.
    """

    def __init__(
        self, components: EntryComponents, repeats: RepeatReservations
    ) -> None:
        """Decide by the entry's registry, and retry what `repeats` allows."""
        self._components = components
        self._repeats = repeats

    def decide(
        self,
        state: RequestState,
        upstream_id: UpstreamId,
        attempt_result: AttemptResult,
    ) -> RetryDecision:
        """Return the final response, or `None` to try another upstream."""
        if not isinstance(attempt_result, ConnectFailed | NotSent):
            state.sends += 1
        match attempt_result:
            case CompleteAnswer():
                return self._decide_answer(state, upstream_id, attempt_result)
            case StreamCompleted():
                self._record_success(state, upstream_id)
                self._record_answered(state)
                return attempt_result
            case ConnectFailed():
                return self._decide_connect_failed(
                    state, upstream_id, attempt_result
                )
            case NotSent():
                self._record_turned_elsewhere(state, upstream_id)
                return None
            case NotExecuted() as rejection:
                return self._decide_rejected(state, upstream_id, rejection)
            case AnswerLost():
                return self._decide_lost(state, upstream_id, attempt_result)

    def _decide_answer(
        self,
        state: RequestState,
        upstream_id: UpstreamId,
        attempt_result: CompleteAnswer,
    ) -> RetryDecision:
        if attempt_result.status < FIRST_SERVER_ERROR_STATUS:
            self._record_success(state, upstream_id)
            if attempt_result.status < FIRST_ERROR_STATUS:
                self._record_answered(state)
            return attempt_result
        state.may_have_run = True
        self._components.registry.health.record_error(upstream_id)
        if not state.route.is_repeatable or not self._repeats.reserve(state):
            return attempt_result
        state.upstream_failure = attempt_result
        self._record_retry(state, 'status {0}'.format(attempt_result.status))
        return None

    def _decide_connect_failed(
        self,
        state: RequestState,
        upstream_id: UpstreamId,
        attempt_result: ConnectFailed,
    ) -> RetryDecision:
        state.connect_failures += 1
        self._record_failure(state, upstream_id, attempt_result.detail)
        if attempt_result.is_refused:
            self._components.cold.record_restart(upstream_id)
            self._components.crashes.record_crash(upstream_id)
        if state.connect_failures > CONNECT_FAILURE_LIMIT:
            return state.build_failure_answer('no upstream answers')
        return None

    def _decide_rejected(
        self,
        state: RequestState,
        upstream_id: UpstreamId,
        rejection: NotExecuted,
    ) -> RetryDecision:
        culprit = self._find_upstream(rejection.at_fault) or upstream_id
        is_full = (
            rejection.is_overloaded
            and culprit == upstream_id
            and self._components.full_upstreams.record_rejection(upstream_id)
        )
        health = self._components.registry.health
        if is_full:
            health.record_error(culprit)
        else:
            health.record_failure(culprit)
        self._log_failure(state, culprit, rejection.detail)
        state.rejections += 1
        if state.rejections >= REJECTED_LIMIT:
            return state.build_failure_answer(rejection.detail)
        return self._retry_or_fail(state, rejection.detail)

    def _decide_lost(
        self,
        state: RequestState,
        upstream_id: UpstreamId,
        attempt_result: AnswerLost,
    ) -> RetryDecision:
        state.may_have_run = True
        known = self._components.registry.upstreams_by_id.get(upstream_id)
        # An upstream that is leaving may have answered and then exited.
        may_have_left = attempt_result.may_be_whole and _is_leaving(
            self._components, known
        )
        if attempt_result.is_connection_lost and not may_have_left:
            self._components.cold.record_restart(upstream_id)
            self._components.crashes.record_broken_attempt(
                upstream_id,
                known.started_ms if known else 0,
                state.fingerprint,
                AttemptId(
                    '{0}/{1}'.format(state.request.request, state.sends),
                ),
                state.request.shared_parts,
            )
            if known is not None:
                self._components.crash_probe.start(known)
        self._record_failure(state, upstream_id, attempt_result.detail)
        if not state.route.is_repeatable:
            return Refusal(502, attempt_result.detail)
        return self._retry_or_fail(state, attempt_result.detail)

    def _retry_or_fail(self, state: RequestState, detail: str) -> RetryDecision:
        refusal = self._find_part_refusal(state)
        if refusal is not None:
            return state.build_failure_answer(
                refusal.detail, refusal.retry_after_s
            )
        if self._repeats.reserve(state):
            self._record_retry(state, detail)
            return None
        return state.build_failure_answer(detail)

    def _find_part_refusal(self, state: RequestState) -> PartRefusal | None:
        return find_part_refusal(
            self._components.quarantine, state.request, self._components.clock
        )

    def _find_upstream(self, id_or_address: str) -> UpstreamId | None:
        for (
            upstream_id,
            known,
        ) in self._components.registry.upstreams_by_id.items():
            if id_or_address in {upstream_id, known.address}:
                return upstream_id
        return None

    def _record_success(
        self, state: RequestState, upstream_id: UpstreamId
    ) -> None:
        self._components.registry.health.record_success(upstream_id)
        self._components.crashes.record_success(
            state.fingerprint,
            state.request.request,
            upstream_id,
        )

    def _record_answered(self, state: RequestState) -> None:
        """Record that the parts of the prompt have not crashed the upstream."""
        parts = state.request.shared_parts
        if parts:
            self._components.quarantine.record_answered(
                parts, state.output_began_s
            )

    def _record_failure(
        self,
        state: RequestState,
        upstream_id: UpstreamId,
        detail: str,
    ) -> None:
        self._components.registry.health.record_failure(upstream_id)
        self._log_failure(state, upstream_id, detail)

    def _log_failure(
        self, state: RequestState, upstream_id: UpstreamId, detail: str
    ) -> None:
        self._components.log.warning(
            'attempt failed',
            request=state.request.request,
            upstream=upstream_id,
            detail=detail,
            failures=self._components.registry.health.consecutive_failures(
                upstream_id
            ),
            events=state.stream.events,
            parts=state.request.shared_parts[:LOGGED_PARTS],
        )

    def _record_turned_elsewhere(
        self, state: RequestState, upstream_id: UpstreamId
    ) -> None:
        known = self._components.registry.upstreams_by_id.get(upstream_id)
        rate_limit = known and self._components.notices.find_limit(known)
        is_cold = known and self._components.cold.is_limited(known)
        reason = 'limit' if rate_limit else 'state'
        self._components.metrics.record_turned_elsewhere(
            'cold' if is_cold else reason
        )
        self._components.log.info(
            'request turned elsewhere',
            request=state.request.request,
            upstream=upstream_id,
            rate_limit=rate_limit,
            cold=bool(is_cold),
        )

    def _record_retry(self, state: RequestState, detail: str) -> None:
        self._components.metrics.record_retry(detail)
        self._components.log.info(
            'request retried',
            request=state.request.request,
            detail=detail,
            sends=state.sends,
            last_event=state.stream.last_id,
            service=state.service.name,
            budget=self._repeats.describe_budget(state),
        )


def _is_leaving(components: EntryComponents, known: Upstream | None) -> bool:
    """Return whether an upstream that is listed has announced its end."""
    if known is None:
        return False
    terms = components.notices.find(known)
    has_stated = terms.leaving_since_s is not None
    return has_stated or known.state is UpstreamState.LEAVING
