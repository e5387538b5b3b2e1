"""From an admitted request to its outcome: choose, ask, relay, retry."""

import random
import time
from collections.abc import Callable, Generator, Sequence
from typing import Final

import msgspec

from figspread.clock import Clock, Deadline
from figspread.entry.call import (
    CallerRequest,
    Events,
    IsGone,
    Piece,
    Started,
)
from figspread.entry.directory import Directory
from figspread.entry.links import Links
from figspread.entry.relay import POLL_S, Relay
from figspread.entry.retry_state import RetryState, Step
from figspread.entry.settlement import LostAttempt, settle
from figspread.entry.submission import make_submit
from figspread.ids import (
    AttemptId,
    CrashId,
    DataCentreId,
    UpstreamId,
    new_attempt_id,
)
from figspread.inner.messages import SuspectRow, Suspects
from figspread.outcome import (
    Answered,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from figspread.policy.rendezvous import order_upstreams
from figspread.policy.retry import RetryBudget
from figspread.policy.suspects import Suspects as SuspectTable
from figspread.policy.types import Candidate, Router
from figspread.telemetry.metrics import Metrics
from figspread.telemetry.traces import Tracer
from figspread.telemetry.trail import Trail

MOST_RETRIES: Final = 8
LEAST_WAIT_S: Final = 0.1


class DispatchNeeds(msgspec.Struct, frozen=True):
    """What a dispatcher is given by the entry that owns it.

    `pause` waits for so many seconds.
    """

    home: DataCentreId
    clock: Clock
    rng: random.Random
    links: Links
    directory: Directory
    router: Router
    budget: RetryBudget
    suspects: SuspectTable
    trail: Trail
    metrics: Metrics
    tracer: Tracer
    pause: Callable[[float], object] = time.sleep


class Dispatcher:
    """Runs requests; each on its caller's thread."""

    def __init__(self, needs: DispatchNeeds) -> None:
        """Keep what is needed; nothing is started."""
        self._needs = needs

    def run(
        self,
        req: CallerRequest,
        deadline: Deadline,
        is_gone: IsGone,
    ) -> Events:
        """Yield the answer as it comes, and last of all the outcome.

        Closing the generator gives the request up at its upstream.
        """
        yield (yield from self._run_attempts(req, deadline, is_gone))

    def _run_attempts(
        self,
        req: CallerRequest,
        deadline: Deadline,
        is_gone: IsGone,
    ) -> Generator[Started | Piece | Outcome, None, Outcome]:
        retry_state = RetryState(req)
        self._needs.budget.note_first_try(req.workspace.workspace)
        while True:
            ended = self._find_end(req, retry_state, deadline)
            if ended is not None:
                return ended
            upstream = self._choose(req, retry_state)
            if upstream is None:
                refusal = retry_state.refuse()
                if not self._can_wait(req, retry_state, deadline, refusal):
                    return retry_state.settle(refusal)
                self._wait(refusal, deadline, is_gone)
                retry_state.start_over()
                continue
            relay = Relay(
                req=req,
                retry_state=retry_state,
                deadline=deadline,
                is_gone=is_gone,
                give_credit=_ignore_credit,
            )
            outcome = yield from self._attempt(upstream, relay)
            match retry_state.judge(outcome):
                case Step.END:
                    self._learn(req, retry_state, outcome)
                    return retry_state.settle(outcome)
                case Step.RETRY if not self._take_retry(req, retry_state):
                    return _give_up(outcome)

    def _find_end(
        self,
        req: CallerRequest,
        retry_state: RetryState,
        deadline: Deadline,
    ) -> Outcome | None:
        if deadline.is_past():
            late = NotRun(NotRunReason.DEADLINE, detail='its time is over')
            return retry_state.settle(late)
        fingerprint = req.work.fingerprint
        if not self._needs.suspects.is_given_up(fingerprint):
            return None
        come_back_s = self._needs.suspects.comeback_s(fingerprint)
        if retry_state.may_have_run:
            return Failed(
                FailedReason.CRASHES_UPSTREAMS,
                'the request has brought upstreams down',
                come_back_s,
            )
        return NotRun(
            NotRunReason.SUSPECT,
            come_back_s,
            'the request has brought upstreams down',
        )

    def _choose(
        self,
        req: CallerRequest,
        retry_state: RetryState,
    ) -> UpstreamId | None:
        candidates = [
            candidate
            for candidate in self._needs.directory.list_candidates(req)
            if candidate.upstream not in retry_state.tried
        ]
        ranked = self._rank(req, candidates)
        if self._is_suspect(req):
            # All entries try it on the same upstream, which runs one suspect
            # at a time, so that two copies can't bring two down at once.
            if retry_state.is_put_off:
                return None
            ranked = order_upstreams(req.work.fingerprint, ranked)
        return ranked[0] if ranked else None

    def _is_suspect(self, req: CallerRequest) -> bool:
        return self._needs.suspects.crashes(req.work.fingerprint) > 0

    def _rank(
        self,
        req: CallerRequest,
        candidates: Sequence[Candidate],
    ) -> Sequence[UpstreamId]:
        return self._needs.router.rank(
            req.work,
            candidates,
            home=self._needs.home,
        )

    def _attempt(
        self,
        upstream: UpstreamId,
        relay: Relay,
    ) -> Generator[Started | Piece, None, Outcome]:
        attempt = new_attempt_id()
        req = relay.req
        relay.retry_state.tried.add(upstream)
        relay.retry_state.attempts += 1
        note = self._needs.trail.note
        note(req.request, 'sent', '{0} to {1}'.format(attempt, upstream))
        with self._needs.tracer.start('attempt', req.traceparent) as span:
            span.set_field('upstream', upstream)
            traced = msgspec.structs.replace(
                relay,
                req=msgspec.structs.replace(
                    req,
                    traceparent=span.traceparent,
                ),
            )
            outcome = yield from self._exchange(attempt, upstream, traced)
        outcome = self._settle(outcome, attempt, upstream, relay)
        self._note_broken(attempt, outcome, relay)
        note(req.request, 'attempt ended', '{0} {1}'.format(attempt, outcome))
        return outcome

    def _settle(
        self,
        outcome: Outcome,
        attempt: AttemptId,
        upstream: UpstreamId,
        relay: Relay,
    ) -> Outcome:
        """Have the agent say what it knows where a retry must not find out."""
        lost = relay.retry_state.lost
        relay.retry_state.lost = None
        if lost is None or not lost.was_sent or relay.req.is_repeatable:
            return outcome
        if relay.retry_state.is_started:
            return outcome
        note = self._needs.trail.note
        note(relay.req.request, 'connection lost', attempt)
        return settle(
            self._needs.links,
            LostAttempt(upstream, attempt, lost.boot),
            relay.deadline,
        )

    def _note_broken(
        self,
        attempt: AttemptId,
        outcome: Outcome,
        relay: Relay,
    ) -> None:
        """Count a crash at once: the agent's news of it may come later."""
        match outcome:
            case Failed(reason=FailedReason.UPSTREAM_DIED):
                is_crash = True
            case Unknown(reason=UnknownReason.UPSTREAM_DIED):
                is_crash = True
            case Failed() | Unknown():
                is_crash = False
            case _:
                return
        relay.retry_state.broken.append(attempt)
        if is_crash:
            fingerprint = relay.req.work.fingerprint
            crash = CrashId(attempt)
            self._tell(self._needs.suspects.note_crash(fingerprint, crash))

    def _tell(self, rows: Sequence[SuspectRow]) -> None:
        if rows:
            self._needs.links.tell_all(Suspects(tuple(rows)))

    def _exchange(
        self,
        attempt: AttemptId,
        upstream: UpstreamId,
        relay: Relay,
    ) -> Generator[Started | Piece, None, Outcome]:
        links, directory = self._needs.links, self._needs.directory
        work = relay.req.work
        crashes = self._needs.suspects.crashes(work.fingerprint)
        directory.note_sent(attempt, upstream, work)
        submit = make_submit(attempt, relay, crashes=crashes)
        exchange = links.submit(upstream, submit)
        credited = msgspec.structs.replace(
            relay,
            give_credit=lambda size: links.give_credit(
                upstream,
                attempt,
                size,
            ),
        )
        try:
            return (yield from credited.run(exchange))
        finally:
            links.cancel(upstream, attempt)
            directory.note_ended(attempt)

    def _can_wait(
        self,
        req: CallerRequest,
        retry_state: RetryState,
        deadline: Deadline,
        refusal: NotRun,
    ) -> bool:
        # A suspect may have to wait for many others before its turn.
        is_within = retry_state.attempts <= MOST_RETRIES or self._is_suspect(
            req
        )
        return (
            retry_state.may_have_run
            and is_within
            and deadline.left_s() > refusal.retry_after_s
        )

    def _wait(
        self,
        refusal: NotRun,
        deadline: Deadline,
        is_gone: IsGone,
    ) -> None:
        asked_s = max(refusal.retry_after_s, LEAST_WAIT_S)
        wait_s = asked_s * (1 + self._needs.rng.random()) / 2
        until = Deadline(self._needs.clock, min(wait_s, deadline.left_s()))
        while not until.is_past() and not is_gone():
            self._needs.pause(min(until.left_s(), POLL_S))

    def _take_retry(self, req: CallerRequest, retry_state: RetryState) -> bool:
        if retry_state.attempts > MOST_RETRIES:
            return False
        self._needs.metrics.note_retry(req.kind.value)
        return self._needs.budget.take_retry(req.workspace.workspace)

    def _learn(
        self,
        req: CallerRequest,
        retry_state: RetryState,
        outcome: Outcome,
    ) -> None:
        if isinstance(outcome, Answered):
            fingerprint = req.work.fingerprint
            crashes = map(CrashId, retry_state.broken)
            self._tell(self._needs.suspects.clear(fingerprint, crashes))


def _give_up(outcome: Outcome) -> Outcome:
    match outcome:
        case Failed():
            return Failed(FailedReason.RETRIES_SPENT, outcome.detail, 1)
        case _:
            return outcome


def _ignore_credit(_size: int) -> None:
    """Stand for an attempt that has not been sent."""
