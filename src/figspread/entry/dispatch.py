"""Dispatches admitted requests: selects upstreams, relays and retries."""

import random
import time
from collections.abc import Callable, Generator, Sequence
from typing import Final

import msgspec

from figspread.clock import Clock, Deadline
from figspread.entry.caller_request import (
    CallerRequest,
    IsCallerGone,
    ResponseEvents,
    ResponsePiece,
    ResponseStarted,
)
from figspread.entry.directory import Directory
from figspread.entry.drain import build_refusal
from figspread.entry.links import Links
from figspread.entry.lost_attempt import LostAttempt, resolve_lost_attempt
from figspread.entry.relay import POLL_INTERVAL_S, Relay
from figspread.entry.retry_state import RetryState, Step
from figspread.entry.submission import build_submit
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
from figspread.policy.suspects import SuspectRegistry as SuspectTable
from figspread.policy.types import Candidate, Router
from figspread.telemetry.metrics import Metrics
from figspread.telemetry.traces import Tracer
from figspread.telemetry.trail import Trail

# Bounds the retries of one request after its first attempt.
MAX_RETRIES: Final = 8
# Shortest base delay before upstreams are tried again; jitter may halve it.
MIN_RETRY_WAIT_S: Final = 0.1


class DispatchContext(msgspec.Struct, frozen=True):
    """Dependencies of a `Dispatcher`, supplied by the entry that owns it.

    `home` is the entry's data centre, `budget` bounds retries, `suspects`
    counts the upstream crashes attributed to each request fingerprint, and
    `pause` sleeps for the given number of seconds.
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
    """Runs admitted requests, each on the thread that serves its caller.

    An attempt is one submission of the request to one upstream. Refused
    attempts move on to the next upstream; failed ones are retried if the
    request allows it and the retry budget is not spent.
    """

    def __init__(self, context: DispatchContext) -> None:
        """Store the dependencies; nothing is started."""
        self._context = context

    def run(
        self,
        req: CallerRequest,
        deadline: Deadline,
        is_caller_gone: IsCallerGone,
    ) -> ResponseEvents:
        """Yield the answer as it arrives, followed by the outcome.

        Closing the generator cancels the running attempt at its upstream.
        """
        yield (yield from self._run_until_final(req, deadline, is_caller_gone))

    def _run_until_final(
        self,
        req: CallerRequest,
        deadline: Deadline,
        is_caller_gone: IsCallerGone,
    ) -> Generator[ResponseStarted | ResponsePiece | Outcome, None, Outcome]:
        retry_state = RetryState(req)
        self._context.budget.record_first_try(req.workspace.workspace)
        while True:
            final = self._find_final_outcome(req, retry_state, deadline)
            if final is not None:
                return final
            upstream = self._select_upstream(req, retry_state)
            if upstream is None:
                refusal = retry_state.build_refusal()
                if not self._can_wait_for_upstream(
                    req, retry_state, deadline, refusal
                ):
                    return retry_state.resolve_outcome(refusal)
                self._wait_before_retry(refusal, deadline, is_caller_gone)
                retry_state.reset_refusals()
                continue
            relay = Relay(
                req=req,
                retry_state=retry_state,
                deadline=deadline,
                is_caller_gone=is_caller_gone,
                grant_credit=_ignore_credit,
            )
            outcome = yield from self._try_upstream(upstream, relay)
            match retry_state.record_outcome(outcome):
                case Step.END:
                    self._clear_suspicion(req, retry_state, outcome)
                    return retry_state.resolve_outcome(outcome)
                case Step.RETRY if not self._spend_retry(req, retry_state):
                    return _mark_retries_spent(outcome)

    def _find_final_outcome(
        self,
        req: CallerRequest,
        retry_state: RetryState,
        deadline: Deadline,
    ) -> Outcome | None:
        """Return the outcome if no further attempt is allowed, or `None`.

        None is allowed after the deadline, or if the request is suspected of
        too many upstream crashes.
        """
        if deadline.is_past():
            return retry_state.resolve_outcome(build_refusal(deadline))
        fingerprint = req.work.fingerprint
        if not self._context.suspects.is_blocked(fingerprint):
            return None
        retry_after_s = self._context.suspects.expires_in_s(fingerprint)
        if retry_state.may_have_run:
            return Failed(
                FailedReason.CRASHES_UPSTREAMS,
                'the request has brought upstreams down',
                retry_after_s,
            )
        return NotRun(
            NotRunReason.SUSPECT,
            retry_after_s,
            'the request has brought upstreams down',
        )

    def _select_upstream(
        self,
        req: CallerRequest,
        retry_state: RetryState,
    ) -> UpstreamId | None:
        """Return the best upstream that has not been tried, or `None`."""
        candidates = [
            candidate
            for candidate in self._context.directory.list_candidates(req)
            if candidate.upstream not in retry_state.tried_upstreams
        ]
        ranked = self._rank(req, candidates)
        if self._is_suspect(req):
            # All entries send a suspected request to the same upstream, which
            # runs one suspect at a time, so that two copies of the request
            # can't crash two upstreams at once.
            if retry_state.has_overload_refusal:
                return None
            ranked = order_upstreams(req.work.fingerprint, ranked)
        return ranked[0] if ranked else None

    def _is_suspect(self, req: CallerRequest) -> bool:
        return self._context.suspects.crashes(req.work.fingerprint) > 0

    def _rank(
        self,
        req: CallerRequest,
        candidates: Sequence[Candidate],
    ) -> Sequence[UpstreamId]:
        return self._context.router.rank(
            req.work,
            candidates,
            home=self._context.home,
        )

    def _try_upstream(
        self,
        upstream: UpstreamId,
        relay: Relay,
    ) -> Generator[ResponseStarted | ResponsePiece, None, Outcome]:
        attempt = new_attempt_id()
        req = relay.req
        relay.retry_state.tried_upstreams.add(upstream)
        relay.retry_state.attempt_count += 1
        record_hop = self._context.trail.add_hop
        record_hop(req.request, 'sent', '{0} to {1}'.format(attempt, upstream))
        with self._context.tracer.start('attempt', req.traceparent) as span:
            span.set_attribute('upstream', upstream)
            traced_relay = msgspec.structs.replace(
                relay,
                req=msgspec.structs.replace(
                    req,
                    traceparent=span.traceparent,
                ),
            )
            outcome = yield from self._run_exchange(
                attempt, upstream, traced_relay
            )
        outcome = self._resolve_lost_attempt(outcome, attempt, upstream, relay)
        self._record_failed_attempt(attempt, outcome, relay)
        record_hop(
            req.request, 'attempt ended', '{0} {1}'.format(attempt, outcome)
        )
        return outcome

    def _resolve_lost_attempt(
        self,
        outcome: Outcome,
        attempt: AttemptId,
        upstream: UpstreamId,
        relay: Relay,
    ) -> Outcome:
        """Ask the agent for the outcome of a non-repeatable lost attempt.

        Returns `outcome` unchanged if the connection was not lost after the
        attempt was sent, if the request may be retried, or if the response
        has started.
        """
        lost = relay.retry_state.lost_connection
        relay.retry_state.lost_connection = None
        if lost is None or not lost.was_sent or relay.req.is_repeatable:
            return outcome
        if relay.retry_state.has_response_started:
            return outcome
        record_hop = self._context.trail.add_hop
        record_hop(relay.req.request, 'connection lost', attempt)
        return resolve_lost_attempt(
            self._context.links,
            LostAttempt(upstream, attempt, lost.boot),
            relay.deadline,
        )

    def _record_failed_attempt(
        self,
        attempt: AttemptId,
        outcome: Outcome,
        relay: Relay,
    ) -> None:
        """Record a failed attempt, and a crash if the upstream died.

        The crash is counted immediately because the agent's own report of
        it may arrive later.
        """
        match outcome:
            case Failed(reason=FailedReason.UPSTREAM_DIED):
                is_crash = True
            case Unknown(reason=UnknownReason.UPSTREAM_DIED):
                is_crash = True
            case Failed() | Unknown():
                is_crash = False
            case _:
                return
        relay.retry_state.failed_attempts.append(attempt)
        if is_crash:
            fingerprint = relay.req.work.fingerprint
            crash = CrashId(attempt)
            self._broadcast_suspects(
                self._context.suspects.record_crash(fingerprint, crash)
            )

    def _broadcast_suspects(self, rows: Sequence[SuspectRow]) -> None:
        if rows:
            self._context.links.broadcast(Suspects(tuple(rows)))

    def _run_exchange(
        self,
        attempt: AttemptId,
        upstream: UpstreamId,
        relay: Relay,
    ) -> Generator[ResponseStarted | ResponsePiece, None, Outcome]:
        links, directory = self._context.links, self._context.directory
        work = relay.req.work
        crashes = self._context.suspects.crashes(work.fingerprint)
        directory.record_sent(attempt, upstream, work)
        submit = build_submit(attempt, relay, crashes=crashes)
        exchange = links.submit(upstream, submit)
        relay_with_credit = msgspec.structs.replace(
            relay,
            grant_credit=lambda size: links.grant_credit(
                upstream,
                attempt,
                size,
            ),
        )
        try:
            return (yield from relay_with_credit.run(exchange))
        finally:
            links.cancel(upstream, attempt)
            directory.record_finished(attempt)

    def _can_wait_for_upstream(
        self,
        req: CallerRequest,
        retry_state: RetryState,
        deadline: Deadline,
        refusal: NotRun,
    ) -> bool:
        """Tell whether to wait until an upstream may accept the request.

        A request that has not run doesn't wait: its caller gets the refusal.
        """
        # The retry limit doesn't apply to a suspected request, which may wait
        # for many others because an upstream runs one suspect at a time.
        is_within_limit = (
            retry_state.attempt_count <= MAX_RETRIES or self._is_suspect(req)
        )
        return (
            retry_state.may_have_run
            and is_within_limit
            and deadline.left_s() > refusal.retry_after_s
        )

    def _wait_before_retry(
        self,
        refusal: NotRun,
        deadline: Deadline,
        is_caller_gone: IsCallerGone,
    ) -> None:
        """Wait for a jittered delay, or less if the caller disconnects."""
        base_s = max(refusal.retry_after_s, MIN_RETRY_WAIT_S)
        wait_s = base_s * (1 + self._context.rng.random()) / 2
        until = Deadline(self._context.clock, min(wait_s, deadline.left_s()))
        while not until.is_past() and not is_caller_gone():
            if deadline.is_past():
                return
            self._context.pause(min(until.left_s(), POLL_INTERVAL_S))

    def _spend_retry(self, req: CallerRequest, retry_state: RetryState) -> bool:
        """Take a retry from the budget; return whether it is allowed."""
        if retry_state.attempt_count > MAX_RETRIES:
            return False
        if not self._context.budget.take_retry(req.workspace.workspace):
            return False
        self._context.metrics.record_retry(req.kind.value)
        return True

    def _clear_suspicion(
        self,
        req: CallerRequest,
        retry_state: RetryState,
        outcome: Outcome,
    ) -> None:
        if isinstance(outcome, Answered):
            fingerprint = req.work.fingerprint
            crashes = map(CrashId, retry_state.failed_attempts)
            self._broadcast_suspects(
                self._context.suspects.forgive(fingerprint, crashes)
            )


def _mark_retries_spent(outcome: Outcome) -> Outcome:
    """Return a failed outcome as `RETRIES_SPENT`, any other unchanged."""
    match outcome:
        case Failed():
            return Failed(FailedReason.RETRIES_SPENT, outcome.detail, 1)
        case _:
            return outcome


def _ignore_credit(_size: int) -> None:
    """Do nothing: credit is only granted for a submitted attempt."""
