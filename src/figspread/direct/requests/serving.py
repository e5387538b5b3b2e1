"""Serves callers' requests, from arrival to the final response."""

import asyncio
from functools import partial
from typing import Final

from figspread.direct.adapter import MalformedMessage
from figspread.direct.components import EntryComponents
from figspread.direct.model import CallerRequest
from figspread.direct.requests.attempt_results import (
    CompleteAnswer,
    StreamCompleted,
)
from figspread.direct.requests.attempt_runner import AttemptRunner
from figspread.direct.requests.claims import PlacementRequest
from figspread.direct.requests.estimates import compute_time_limit_s
from figspread.direct.requests.home_regions import find_home_regions
from figspread.direct.requests.part_refusal import (
    PartRefusal,
    find_part_refusal,
)
from figspread.direct.requests.placing import Assignment, Placer
from figspread.direct.requests.repeat_reservations import RepeatReservations
from figspread.direct.requests.request_records import RequestRecords
from figspread.direct.requests.request_state import (
    DEFAULT_RETRY_AFTER_S,
    Refusal,
    RequestState,
    make_fingerprint,
)
from figspread.direct.requests.retry_policy import RetryPolicy
from figspread.direct.requests.running import RunningRequests
from figspread.direct.requests.send_gate import SendGate
from figspread.direct.requests.stop_check import (
    LEAVING_REFUSAL,
    StopCheck,
)
from figspread.direct.requests.streams import StreamSink, StreamState
from figspread.direct.state.admission_queue import AdmissionRefused
from figspread.direct.state.routes import choose_service
from figspread.http1.caller import CallerConnection
from figspread.http1.requests import Request
from figspread.policy.planned_stop import StopSchedule

# Time that a caller is taken to have if it names none, before its route is
# known.
DEFAULT_TIME_LIMIT_S: Final = 1.0
_PLAIN_TEXT_FIELD: Final = (b'content-type', b'text/plain')


class RequestServer:
    """Serves the requests of all callers' connections to an entry.

    For each request it finds the route, selects an upstream, sends the request
    there, retries elsewhere on failure and responds to the caller.
    """

    def __init__(
        self, components: EntryComponents, placer: Placer, gate: SendGate
    ) -> None:
        """Serve with the shared components of the entry.

        `gate` decides whether a request may go to its upstream.
        """
        self._components = components
        self._clock = components.clock
        self._placer = placer
        self._repeats = RepeatReservations(components)
        self._retries = RetryPolicy(components, self._repeats)
        self._records = RequestRecords(components)
        self.running = RunningRequests(components.clock)
        self._stop_check = StopCheck(components.clock)
        self._runner = AttemptRunner(
            components,
            placer,
            gate,
            self._records,
            self._stop_check,
            self._repeats,
        )
        self.memory_reservations = self._runner.memory_reservations

    def begin_stop(self, schedule: StopSchedule) -> None:
        """Refuse requests that can't end by `schedule`, also those that wait."""
        self._stop_check.schedule = schedule
        self._components.queue.recheck()

    def end_requests(self) -> None:
        """Give each running request its final answer now.

        A stream that has begun is broken off.
        """
        self.running.expire()

    async def serve(self, raw: Request, conn: CallerConnection) -> None:
        """Respond to one request; abort the connection if its stream fails."""
        arrived_s = self._clock.now()
        try:
            request = self._components.codec.decode_request(raw)
        except MalformedMessage as exc:
            await self._send_refusal(conn, None, Refusal(400, str(exc)))
            return
        time_left_s = request.time_limit_s or DEFAULT_TIME_LIMIT_S
        if self._stop_check.schedule is None:
            await self._components.startup.wait(time_left_s)
        match self._admit(request, arrived_s):
            case RequestState() as state:
                await self._serve_admitted(state, conn)
            case Refusal() as refusal:
                await self._send_refusal(conn, request, refusal)

    def _admit(
        self,
        request: CallerRequest,
        arrived_s: float,
    ) -> RequestState | Refusal:
        holder = self._components.holder
        deployment = holder.current
        if deployment is None or not self._components.startup.is_open:
            return Refusal(
                503,
                'no configuration yet',
                self._components.startup.retry_after_s,
            )
        route = holder.routes.find(request.host, request.path)
        if route is None:
            return Refusal(404, 'no route')
        workspace = deployment.keys.get(request.key) if request.key else None
        needs_key = deployment.has_workspaces and not route.allows_anonymous
        if needs_key and workspace is None:
            return Refusal(401, 'unknown key')
        name = choose_service(route, self._components.rng)
        service = deployment.services.get(name) if name else None
        if service is None:
            return Refusal(503, 'no service', DEFAULT_RETRY_AFTER_S)
        state = RequestState(
            request,
            route,
            service,
            workspace,
            make_fingerprint(request),
            arrived_s,
            arrived_s + compute_time_limit_s(request, route),
            StreamState(request.resume_after),
            home_regions=find_home_regions(route, workspace),
        )
        return self._check_servable(state) or state

    def _check_servable(self, state: RequestState) -> Refusal | None:
        """Return the refusal of a valid request that can't be served now."""
        if state.deadline_s <= state.arrived_s:
            return Refusal(503, 'no time left', DEFAULT_RETRY_AFTER_S)
        suspects = self._components.suspects
        if suspects.is_blocked(state.fingerprint):
            retry_after_s = suspects.expires_in_s(state.fingerprint)
            # `it` in the detail is the request.
            return Refusal(503, 'it crashes upstreams', retry_after_s)
        part_refusal = self._find_part_refusal(state)
        if part_refusal is not None:
            return Refusal(503, part_refusal.detail, part_refusal.retry_after_s)
        return self._stop_check.find_refusal(state)

    async def _serve_admitted(
        self, state: RequestState, conn: CallerConnection
    ) -> None:
        self._components.retry_budget.record_first_send(state.service.name)
        answer: Refusal | CompleteAnswer | StreamCompleted
        try:
            async with self.running.limit_time(state):
                answer = await self._try_upstreams(state, conn)
        except TimeoutError:
            answer = self._build_late_answer(state)
        except asyncio.CancelledError:
            self._records.record_cut(state, is_by_caller=not conn.is_ended_here)
            raise
        finally:
            self._repeats.release(state)
        match answer:
            case CompleteAnswer(status=status, fields=fields, body=body):
                await conn.respond(status, fields, body)
                self._records.record_finished(state, 'answered', str(status))
            case StreamCompleted():
                self._records.record_finished(state, 'answered', '200')
            case Refusal() as refusal:
                await self._send_refusal(conn, state.request, refusal, state)

    async def _try_upstreams(
        self,
        state: RequestState,
        sink: StreamSink,
    ) -> Refusal | CompleteAnswer | StreamCompleted:
        while self._clock.now() < state.deadline_s:
            try:
                assignment = await self._place_request(state)
            except AdmissionRefused as exc:
                return state.build_failure_answer(str(exc), exc.retry_after_s)
            try:
                attempt_result = await self._runner.run(state, assignment, sink)
            finally:
                self._placer.release(assignment)
            decision = self._retries.decide(
                state, assignment.upstream.upstream, attempt_result
            )
            if decision is not None:
                return decision
        # The process was paused, so that the timeout is late.
        return state.build_timeout_answer()

    def _build_late_answer(
        self, state: RequestState
    ) -> Refusal | CompleteAnswer:
        if not self.running.is_expired:
            return state.build_timeout_answer()
        return state.build_unfinished_answer(
            'this entry stops before the whole answer', LEAVING_REFUSAL
        )

    def _find_part_refusal(self, state: RequestState) -> PartRefusal | None:
        return find_part_refusal(
            self._components.quarantine, state.request, self._clock
        )

    def _check_waiting(self, state: RequestState) -> None:
        """Raise `AdmissionRefused` if a request must not wait any longer."""
        self._stop_check.check(state)
        refusal = self._find_part_refusal(state)
        if refusal is not None:
            raise AdmissionRefused(refusal.detail, refusal.retry_after_s)

    async def _place_request(self, state: RequestState) -> Assignment:
        self._check_waiting(state)
        request = state.request
        assignment = await self._placer.place(
            PlacementRequest(
                request.request,
                state.route,
                state.service,
                request.prompt_tokens,
                request.output_tokens,
                state.priority,
                state.arrived_s,
                state.deadline_s,
                state.home_regions,
                is_resumed=state.stream.is_resumed,
            ),
            state.tried_upstreams,
            check=partial(self._check_waiting, state),
        )
        self._records.record_placed(state, assignment)
        return assignment

    async def _send_refusal(
        self,
        conn: CallerConnection,
        request: CallerRequest | None,
        refusal: Refusal,
        state: RequestState | None = None,
    ) -> None:
        self._records.record_refused(request, refusal, state)
        if state is not None and state.stream.is_started:
            conn.abort()
            return
        fields = [_PLAIN_TEXT_FIELD]
        if refusal.retry_after_s is not None:
            delay = '{0:.2f}'.format(refusal.retry_after_s)
            fields.append((b'retry-after', delay.encode()))
        await conn.respond(refusal.status, fields, refusal.detail.encode())
