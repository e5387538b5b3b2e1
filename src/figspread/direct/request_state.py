"""The state of a request, and the retry decision after each attempt."""

from typing import Final, TypeAlias

import msgspec
import xxhash

from figspread.direct.attempts import (
    AnswerLost,
    AttemptResult,
    CompleteAnswer,
    ConnectFailed,
    NotExecuted,
    NotSent,
    StreamCompleted,
    StreamState,
)
from figspread.direct.components import EntryComponents
from figspread.direct.model import (
    LOGGED_PARTS,
    CallerRequest,
    Route,
    Service,
    Workspace,
)
from figspread.ids import AttemptId, Fingerprint, UpstreamId

# Failed connections after which a request still tries another upstream; one
# more fails it. A dead upstream refuses connections at once, so these cost
# little time.
CONNECT_FAILURE_LIMIT: Final = 4
# Number of rejections that fails a request. A rejected request has not run, so
# it may try another upstream if the retry budget allows; several may reject it
# in a row because this entry can be late to learn which upstreams are full or
# leaving. A failed memory reservation at a helper counts as a rejection.
REJECTED_LIMIT: Final = 3
# Retry-After for refusals with no estimate of the wait.
DEFAULT_RETRY_AFTER_S: Final = 0.5
FIRST_SERVER_ERROR_STATUS: Final = 500


class Refusal(msgspec.Struct, frozen=True):
    """A response made by this entry instead of an upstream.

    `retry_after_s` is sent as the Retry-After header unless it is `None`.
    """

    status: int
    detail: str
    retry_after_s: float | None = None


class RequestState(msgspec.Struct):
    """The progress of a request over all its attempts.

    `arrived_s` and `deadline_s` are clock times. `sends` counts attempts that
    reached an upstream and `rejections` those of them that did not run.
    `may_have_run` is set once an attempt may have run without a usable
    response. `upstream_failure` is the last server error of an upstream, sent
    to the caller if no retry succeeds. `first_output_s` is the time from
    arrival to the first event or complete response, in seconds.
    """

    request: CallerRequest
    route: Route
    service: Service
    workspace: Workspace | None
    fingerprint: Fingerprint
    arrived_s: float
    deadline_s: float
    stream: StreamState
    sends: int = 0
    rejections: int = 0
    connect_failures: int = 0
    is_sending: bool = False
    may_have_run: bool = False
    tried_upstreams: set[UpstreamId] = msgspec.field(default_factory=set)
    upstream_failure: CompleteAnswer | None = None
    first_output_s: float | None = None

    @property
    def attempts_left(self) -> int:
        """How many more attempts the route's `attempts` limit lets run."""
        return self.route.attempts - (self.sends - self.rejections)

    @property
    def priority(self) -> int:
        """The workspace's priority if set, else the route's; 0 is highest."""
        if self.workspace and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def lateness(self) -> str:
        """Which target the response has missed: `first`, `gap` or none.

        The gap matters only for a stream whose first event was on time.
        """
        if self.first_output_s is None:
            return ''
        if self.first_output_s > self.route.target_latency_s:
            return 'first'
        if self.stream.longest_gap_s > self.route.target_gap_s:
            return 'gap'
        return ''

    def build_refusal(
        self, detail: str, retry_after_s: float | None = None
    ) -> Refusal:
        """Return a 502 if the request may have run, else a 503.

        Only the 503 has a Retry-After, by default `DEFAULT_RETRY_AFTER_S`.
        """
        if self.may_have_run or self.stream.is_started:
            return Refusal(502, detail)
        return Refusal(
            503,
            detail,
            DEFAULT_RETRY_AFTER_S if retry_after_s is None else retry_after_s,
        )

    def build_failure_answer(
        self,
        detail: str,
        retry_after_s: float | None = None,
    ) -> Refusal | CompleteAnswer:
        """Return the last server error of an upstream, else a refusal."""
        return self.upstream_failure or self.build_refusal(
            detail, retry_after_s
        )

    def build_timeout_answer(self) -> Refusal | CompleteAnswer:
        """Return the final response to a request that passed its deadline."""
        if self.upstream_failure is not None:
            return self.upstream_failure
        # The 504 means that no complete response arrived in time, the 503 that
        # no attempt was being sent and none may have run.
        if self.may_have_run or self.is_sending:
            return Refusal(504, 'no whole answer in time')
        return Refusal(503, 'no place in time', DEFAULT_RETRY_AFTER_S)


RetryDecision: TypeAlias = Refusal | CompleteAnswer | StreamCompleted | None


class RetryPolicy:
    """Decides after each attempt whether to retry or to respond.

    It also records the result in the health of upstreams, the crash tracker,
    the log and the metrics.
    """

    def __init__(self, components: EntryComponents) -> None:
        """Decide by the entry's registry, retry budget and crash suspects."""
        self._components = components

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
                return attempt_result
            case ConnectFailed():
                return self._decide_connect_failed(
                    state, upstream_id, attempt_result
                )
            case NotSent():
                self._record_turned_elsewhere(state, upstream_id)
                return None
            case NotExecuted(detail=detail, at_fault=at_fault):
                failed_upstream = self._find_upstream(at_fault) or upstream_id
                self._record_failure(state, failed_upstream, detail)
                return self._decide_rejected(state, detail)
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
            return attempt_result
        state.may_have_run = True
        self._components.registry.health.record_error(upstream_id)
        if not state.route.is_repeatable or not self._reserve_retry(state):
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
            self._components.crashes.record_crash(upstream_id)
        if state.connect_failures > CONNECT_FAILURE_LIMIT:
            return state.build_failure_answer('no upstream answers')
        return None

    def _decide_rejected(
        self, state: RequestState, detail: str
    ) -> RetryDecision:
        state.rejections += 1
        if state.rejections >= REJECTED_LIMIT:
            return state.build_failure_answer(detail)
        return self._retry_or_fail(state, detail)

    def _decide_lost(
        self,
        state: RequestState,
        upstream_id: UpstreamId,
        attempt_result: AnswerLost,
    ) -> RetryDecision:
        state.may_have_run = True
        if attempt_result.is_connection_lost:
            known = self._components.registry.upstreams_by_id.get(upstream_id)
            self._components.crashes.record_broken_attempt(
                upstream_id,
                known.started_ms if known else 0,
                state.fingerprint,
                AttemptId(
                    '{0}/{1}'.format(state.request.request, state.sends),
                ),
            )
        self._record_failure(state, upstream_id, attempt_result.detail)
        if not state.route.is_repeatable:
            return Refusal(502, attempt_result.detail)
        return self._retry_or_fail(state, attempt_result.detail)

    def _retry_or_fail(self, state: RequestState, detail: str) -> RetryDecision:
        if self._reserve_retry(state):
            self._record_retry(state, detail)
            return None
        return state.build_failure_answer(detail)

    def _reserve_retry(self, state: RequestState) -> bool:
        """Take a retry from the budget; return whether one is allowed."""
        if state.attempts_left <= 0:
            return False
        if self._components.suspects.is_blocked(state.fingerprint):
            return False
        return self._components.retry_budget.try_spend()

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

    def _record_failure(
        self,
        state: RequestState,
        upstream_id: UpstreamId,
        detail: str,
    ) -> None:
        self._components.registry.health.record_failure(upstream_id)
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
        self._components.metrics.record_turned_elsewhere(
            'limit' if rate_limit else 'state'
        )
        self._components.log.info(
            'request turned elsewhere',
            request=state.request.request,
            upstream=upstream_id,
            rate_limit=rate_limit,
        )

    def _record_retry(self, state: RequestState, detail: str) -> None:
        self._components.metrics.record_retry(detail)
        self._components.log.info(
            'request retried',
            request=state.request.request,
            detail=detail,
            sends=state.sends,
            last_event=state.stream.last_id,
        )


def make_fingerprint(request: CallerRequest) -> Fingerprint:
    """Return a hash of target, key and body, equal for repeated requests."""
    digest = xxhash.xxh3_128()
    for part in (request.target, (request.key or '').encode(), request.body):
        digest.update(part)
        digest.update(b'\0')
    return Fingerprint(digest.hexdigest())
