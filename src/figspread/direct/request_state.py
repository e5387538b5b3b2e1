"""What has become of a request, and what follows from an attempt's end."""

from typing import Final, TypeAlias

import msgspec
import xxhash

from figspread.direct.attempts import (
    AttemptEnd,
    Lost,
    NotExecuted,
    NotSent,
    Streamed,
    StreamState,
    Whole,
)
from figspread.direct.model import (
    CallerRequest,
    Route,
    Service,
    Workspace,
)
from figspread.direct.parts import Parts
from figspread.ids import AttemptId, Fingerprint, UpstreamId

# Connections are refused at once by a dead upstream; so often another one is
# chosen before the request is refused.
UNREACHABLE_LIMIT: Final = 4
# A rejected request has not run, so another upstream is chosen; so often the
# knowledge of who is full or leaving is behind by more than one.
REJECTED_LIMIT: Final = 3
# When to come back where nothing is known about the wait.
COMEBACK_S: Final = 0.5
SERVER_FAILURE: Final = 500


class Refusal(msgspec.Struct, frozen=True):
    """An answer of this entry's own."""

    status: int
    detail: str
    after_s: float | None = None


class RequestState(msgspec.Struct):
    """What has become of a request so far; times are on the clock."""

    request: CallerRequest
    route: Route
    service: Service
    workspace: Workspace | None
    fingerprint: Fingerprint
    arrived_s: float
    ends_s: float
    stream: StreamState
    sends: int = 0
    rejected: int = 0
    unreachable: int = 0
    is_sending: bool = False
    may_have_run: bool = False
    tried: set[UpstreamId] = msgspec.field(default_factory=set)
    failure: Whole | None = None
    first_s: float | None = None

    @property
    def attempts_left(self) -> int:
        """How many sends may still run, by the route's attempts."""
        return self.route.attempts - (self.sends - self.rejected)

    @property
    def priority(self) -> int:
        """The workspace's priority, or else the route's; 0 goes first."""
        if self.workspace and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    def refuse(self, detail: str, after_s: float | None = None) -> Refusal:
        """Return the final answer where no whole one can be had."""
        if self.may_have_run or self.stream.is_started:
            return Refusal(502, detail)
        return Refusal(503, detail, COMEBACK_S if after_s is None else after_s)

    def give_up(
        self,
        detail: str,
        after_s: float | None = None,
    ) -> Refusal | Whole:
        """Return an upstream's own failure, if there is one, or a refusal."""
        return self.failure or self.refuse(detail, after_s)

    def expire(self) -> Refusal | Whole:
        """Return the final answer when the time is over."""
        if self.failure is not None:
            return self.failure
        if self.may_have_run or self.is_sending:
            return Refusal(504, 'no whole answer in time')
        return Refusal(503, 'no place in time', COMEBACK_S)


Step: TypeAlias = Refusal | Whole | Streamed | None


class RetryPolicy:
    """Decides what follows from the end of an attempt."""

    def __init__(self, parts: Parts) -> None:
        """Decide with the entry's registry, budget and suspects."""
        self._parts = parts

    def decide(
        self, state: RequestState, name: UpstreamId, end: AttemptEnd
    ) -> Step:
        """Return the final answer, or `None` to try another upstream."""
        if not isinstance(end, NotSent):
            state.sends += 1
        match end:
            case Whole():
                return self._decide_answer(state, name, end)
            case Streamed():
                self._note_success(state, name)
                return end
            case NotSent():
                return self._decide_unreachable(state, name, end)
            case NotExecuted(detail=detail, at_fault=at_fault):
                culprit = self._find_upstream(at_fault) or name
                self._note_failure(state, culprit, detail)
                return self._decide_rejected(state, detail)
            case Lost():
                return self._decide_lost(state, name, end)

    def _decide_answer(
        self,
        state: RequestState,
        name: UpstreamId,
        end: Whole,
    ) -> Step:
        if end.status < SERVER_FAILURE:
            self._note_success(state, name)
            return end
        state.may_have_run = True
        self._parts.registry.health.note_error(name)
        if not state.route.is_repeatable or not self._may_repeat(state):
            return end
        state.failure = end
        self._log_repeat(state, 'status {0}'.format(end.status))
        return None

    def _decide_unreachable(
        self,
        state: RequestState,
        name: UpstreamId,
        end: NotSent,
    ) -> Step:
        state.unreachable += 1
        self._note_failure(state, name, end.detail)
        if end.is_refused:
            self._parts.crashes.note_crash(name)
        if state.unreachable > UNREACHABLE_LIMIT:
            return state.give_up('no upstream answers')
        return None

    def _decide_rejected(self, state: RequestState, detail: str) -> Step:
        state.rejected += 1
        if state.rejected >= REJECTED_LIMIT:
            return state.give_up(detail)
        return self._go_on(state, detail)

    def _decide_lost(
        self, state: RequestState, name: UpstreamId, end: Lost
    ) -> Step:
        state.may_have_run = True
        if end.is_broken_off:
            known = self._parts.registry.known.get(name)
            self._parts.crashes.note_broken_off(
                name,
                known.started_ms if known else 0,
                state.fingerprint,
                AttemptId(
                    '{0}/{1}'.format(state.request.request, state.sends),
                ),
            )
        self._note_failure(state, name, end.detail)
        if not state.route.is_repeatable:
            return Refusal(502, end.detail)
        return self._go_on(state, end.detail)

    def _go_on(self, state: RequestState, detail: str) -> Step:
        if self._may_repeat(state):
            self._log_repeat(state, detail)
            return None
        return state.give_up(detail)

    def _may_repeat(self, state: RequestState) -> bool:
        if state.attempts_left <= 0:
            return False
        if self._parts.suspects.is_given_up(state.fingerprint):
            return False
        return self._parts.budget.take()

    def _find_upstream(self, id_or_address: str) -> UpstreamId | None:
        for name, known in self._parts.registry.known.items():
            if id_or_address in {name, known.address}:
                return name
        return None

    def _note_success(self, state: RequestState, name: UpstreamId) -> None:
        self._parts.registry.health.note_success(name)
        self._parts.crashes.note_success(
            state.fingerprint,
            state.request.request,
            name,
        )

    def _note_failure(
        self,
        state: RequestState,
        name: UpstreamId,
        detail: str,
    ) -> None:
        self._parts.registry.health.note_failure(name)
        self._parts.log.warning(
            'attempt failed',
            request=state.request.request,
            upstream=name,
            detail=detail,
            failures=self._parts.registry.health.failures(name),
            events=state.stream.events,
        )

    def _log_repeat(self, state: RequestState, detail: str) -> None:
        self._parts.metrics.note_retry(detail)
        self._parts.log.info(
            'request retried',
            request=state.request.request,
            detail=detail,
            sends=state.sends,
            last_event=state.stream.last_id,
        )


def make_fingerprint(request: CallerRequest) -> Fingerprint:
    """Return what a request has in common with its repeats."""
    digest = xxhash.xxh3_128()
    for part in (request.target, (request.key or '').encode(), request.body):
        digest.update(part)
        digest.update(b'\0')
    return Fingerprint(digest.hexdigest())
