"""Runs one attempt: its turn, its permit, its memory at helpers, the sending."""

import asyncio
from functools import partial

from figspread.direct.adapter import ForwardedAttempt
from figspread.direct.components import EntryComponents
from figspread.direct.requests.attempt_results import (
    AttemptResult,
    NotExecuted,
    NotSent,
)
from figspread.direct.requests.attempts import (
    Attempt,
    AttemptSender,
)
from figspread.direct.requests.estimates import compute_first_output_timeout_s
from figspread.direct.requests.home_regions import is_at_home
from figspread.direct.requests.placing import (
    TURN_MARGIN_S,
    Assignment,
    Placer,
)
from figspread.direct.requests.repeat_reservations import RepeatReservations
from figspread.direct.requests.request_records import RequestRecords
from figspread.direct.requests.request_state import RequestState
from figspread.direct.requests.reservations import MemoryReservations
from figspread.direct.requests.send_gate import SendGate, SendPermit
from figspread.direct.requests.speed_recorder import (
    MeasuredAttempt,
    SpeedRecorder,
)
from figspread.direct.requests.stop_check import StopCheck
from figspread.direct.requests.streams import StreamSink
from figspread.policy.quarantine import OnTrial, Refused


class AttemptRunner:
    """Runs attempts at the upstreams that requests are assigned to."""

    def __init__(
        self,
        components: EntryComponents,
        placer: Placer,
        gate: SendGate,
        records: RequestRecords,
        stop_check: StopCheck,
        repeats: RepeatReservations,
    ) -> None:
        """Send what `gate` and `stop_check` allow, and write to `records`.

        Sends beyond the first of a request are counted by `repeats`.
        """
        self._components = components
        self._clock = components.clock
        self._placer = placer
        self._gate = gate
        self._records = records
        self._stop_check = stop_check
        self._repeats = repeats
        self._attempt_sender = AttemptSender(
            components.codec,
            components.pool,
            components.clock,
            components.notices,
            components.crash_probe.confirm_alive,
        )
        self.memory_reservations = MemoryReservations(components)

    async def run(
        self,
        state: RequestState,
        assignment: Assignment,
        sink: StreamSink,
    ) -> AttemptResult:
        """Send one attempt if the upstream takes it; return the result."""
        attempt_result = await self._run_in_turn(state, assignment, sink)
        is_unsent = isinstance(attempt_result, NotSent)
        if is_unsent and self._gate.is_evacuated(assignment.engines):
            self._components.evacuations.metrics.record_redirected()
        return attempt_result

    async def _run_in_turn(
        self,
        state: RequestState,
        assignment: Assignment,
        sink: StreamSink,
    ) -> AttemptResult:
        await self._wait_for_turn(assignment)
        permit = None
        if is_at_home(self._components, state.home_regions, assignment.engines):
            permit = await self._gate.acquire(assignment.upstream)
        # Checked before memory at helpers is reserved, and once more just
        # before the request is sent.
        is_evacuated = self._gate.is_evacuated(assignment.helpers)
        is_too_late = not self._stop_check.allows_send(state)
        if permit is None or is_evacuated or is_too_late:
            return NotSent('the upstream takes no request now')
        return await self._run_attempt(state, assignment, permit, sink)

    async def _wait_for_turn(self, assignment: Assignment) -> None:
        """Wait until the helpers have finished the prefills before this one.

        The wait ends early if an engine is evacuated.
        """
        if assignment.prefills_before:
            await self._components.turns.wait(
                assignment.prefills_before,
                assignment.turn_s + TURN_MARGIN_S,
                partial(self._gate.is_evacuated, assignment.engines),
            )

    async def _run_attempt(
        self,
        state: RequestState,
        assignment: Assignment,
        permit: SendPermit,
        sink: StreamSink,
    ) -> AttemptResult:
        """Send one attempt with its memory at helpers reserved meanwhile."""
        state.tried_upstreams.add(assignment.upstream.upstream)
        storing_helpers = [
            (helper, tokens)
            for helper, tokens in zip(
                assignment.helpers,
                assignment.held_tokens,
                strict=True,
            )
            if tokens
        ]
        if not storing_helpers:
            return await self._send_attempt(state, assignment, permit, {}, sink)
        reservations = await self.memory_reservations.reserve(storing_helpers)
        if reservations is None:
            return NotExecuted('memory at a helper is not free')
        tickets = {
            engine.address: order.ticket for engine, order in reservations
        }
        renewal = asyncio.create_task(
            self.memory_reservations.renew(reservations)
        )
        try:
            return await self._send_attempt(
                state, assignment, permit, tickets, sink
            )
        finally:
            renewal.cancel()
            self.memory_reservations.release(reservations)

    async def _send_attempt(
        self,
        state: RequestState,
        assignment: Assignment,
        permit: SendPermit,
        tickets: dict[str, str],
        sink: StreamSink,
    ) -> AttemptResult:
        speed = self._make_speed_recorder(state, assignment)
        upstream_id = assignment.upstream.upstream

        def prepare() -> ForwardedAttempt | None:  # noqa: WPS430
            is_late = self._clock.now() >= state.deadline_s
            if is_late or not self._gate.allows_send(
                assignment.upstream, permit
            ):
                return None
            if self._gate.is_evacuated(assignment.helpers):
                return None
            if not self._stop_check.allows_send(state):
                return None
            if not self._may_send_parts(state):
                return None
            speed.record_send()
            self._repeats.record_send(state)
            state.reached_upstreams.add(upstream_id)
            state.is_sending = True
            return self._build_onward(state, assignment, tickets)

        output = _OutputRecord(self._components, state)

        def record_first_output() -> None:  # noqa: WPS430
            output.begin()
            speed.record_first_output()
            self._record_first_output(state, assignment)

        try:
            attempt_result = await self._attempt_sender.send(
                Attempt(
                    state.request,
                    state.route,
                    assignment.upstream,
                    prepare,
                    state.stream,
                    record_first_output,
                    compute_first_output_timeout_s(state, assignment),
                    speed.record_gap,
                    is_repeat=upstream_id in state.reached_upstreams,
                ),
                sink,
            )
        finally:
            output.end()
        state.is_sending = False
        return attempt_result

    def _may_send_parts(self, state: RequestState) -> bool:
        quarantine = self._components.quarantine
        match quarantine.judge(state.request.shared_parts):
            case Refused():
                return False
            case OnTrial() as trial:
                quarantine.begin_trial(trial, state.request.request)
        return True

    def _build_onward(
        self,
        state: RequestState,
        assignment: Assignment,
        tickets: dict[str, str],
    ) -> ForwardedAttempt:
        workspace = state.workspace
        return ForwardedAttempt(
            assignment.upstream.upstream,
            state.deadline_s - self._clock.now(),
            workspace.workspace if workspace else None,
            helpers=tuple(
                (helper.address, tickets.get(helper.address, ''))
                for helper in assignment.helpers
            ),
            resume_after=state.stream.last_id,
        )

    def _make_speed_recorder(
        self, state: RequestState, assignment: Assignment
    ) -> SpeedRecorder:
        return SpeedRecorder(
            self._components.placements,
            self._components.slowdowns,
            self._clock,
            MeasuredAttempt(
                state.service.engine,
                assignment.upstream,
                assignment.helpers,
                state.request.prompt_tokens,
                is_resumed=state.stream.events > 0,
            ),
        )

    def _record_first_output(
        self, state: RequestState, assignment: Assignment
    ) -> None:
        state.output_began_s = self._clock.now()
        self._placer.record_first_output(assignment)
        if state.first_output_s is None:
            state.first_output_s = self._clock.now() - state.arrived_s
            self._records.record_first_output(state)


class _OutputRecord:
    """Tells whether the answer to an attempt is arriving."""

    def __init__(
        self, components: EntryComponents, state: RequestState
    ) -> None:
        self._support = components.quarantine.support
        self._parts = state.request.shared_parts
        self._has_begun = False

    def begin(self) -> None:
        """Record the first output; further calls do nothing."""
        if not self._has_begun:
            self._has_begun = True
            self._support.begin_output(self._parts)

    def end(self) -> None:
        """Record that nothing more arrives."""
        if self._has_begun:
            self._support.end_output(self._parts)
