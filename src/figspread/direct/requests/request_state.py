"""The progress of a request over all its attempts."""

from enum import Enum
from typing import Final

import msgspec
import xxhash

from figspread.direct.model import (
    CallerRequest,
    Route,
    Service,
    Workspace,
)
from figspread.direct.requests.attempt_results import CompleteAnswer
from figspread.direct.requests.streams import StreamState
from figspread.ids import Fingerprint, RegionId, UpstreamId

# Retry-After for refusals with no estimate of the wait.
DEFAULT_RETRY_AFTER_S: Final = 0.5


class RequestPhase(Enum):
    """What an admitted request without a final answer does now."""

    WAITING = 'waiting'
    SENT = 'sent'
    STREAMING = 'streaming'


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
    `output_began_s` is the clock time of the first output of the last attempt.
    `has_reserved_repeat` means that the retry budget allows one more send.
    `tried_upstreams` were chosen for an attempt, and `reached_upstreams` were
    sent the request.
    Only upstreams in `home_regions` may run it, all if that is `None`.
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
    has_reserved_repeat: bool = False
    may_have_run: bool = False
    tried_upstreams: set[UpstreamId] = msgspec.field(default_factory=set)
    reached_upstreams: set[UpstreamId] = msgspec.field(default_factory=set)
    upstream_failure: CompleteAnswer | None = None
    first_output_s: float | None = None
    output_began_s: float = 0
    home_regions: frozenset[RegionId] | None = None

    @property
    def attempts_left(self) -> int:
        """How many more attempts the route's `attempts` limit lets run."""
        return self.route.attempts - (self.sends - self.rejections)

    @property
    def phase(self) -> RequestPhase:
        """What the request does now."""
        if self.stream.is_started:
            return RequestPhase.STREAMING
        return RequestPhase.SENT if self.is_sending else RequestPhase.WAITING

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
        return self._find_upstream_failure() or self.build_refusal(
            detail, retry_after_s
        )

    def build_timeout_answer(self) -> Refusal | CompleteAnswer:
        """Return the final response to a request that passed its deadline."""
        return self.build_unfinished_answer(
            'no whole answer in time',
            Refusal(503, 'no place in time', DEFAULT_RETRY_AFTER_S),
        )

    def build_unfinished_answer(
        self, lost_detail: str, not_run: Refusal
    ) -> Refusal | CompleteAnswer:
        """Return the final response to a request that ends before its answer.

        It is `not_run` only if the request certainly has not run.
        """
        failure = self._find_upstream_failure()
        if failure is not None:
            return failure
        # The 504 means that no complete response arrived in time, the 503 that
        # no attempt was being sent and none may have run.
        if self.may_have_run or self.is_sending:
            return Refusal(504, lost_detail)
        return not_run

    def _find_upstream_failure(self) -> CompleteAnswer | None:
        # A stream that has begun can only be broken off.
        return None if self.stream.is_started else self.upstream_failure


def make_fingerprint(request: CallerRequest) -> Fingerprint:
    """Return a hash of target, key and body, equal for repeated requests."""
    digest = xxhash.xxh3_128()
    for part in (request.target, (request.key or '').encode(), request.body):
        digest.update(part)
        digest.update(b'\0')
    return Fingerprint(digest.hexdigest())
