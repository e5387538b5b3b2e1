"""A caller's request from its arrival to its one final answer."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Final

from figspread.direct.admission_queue import Refused
from figspread.direct.attempts import (
    Attempt,
    AttemptEnd,
    Attempts,
    NotExecuted,
    Streamed,
    StreamSink,
    StreamState,
    Whole,
)
from figspread.direct.estimates import limit_s, needed_s, patience_s
from figspread.direct.model import CallerRequest
from figspread.direct.parts import Parts
from figspread.direct.placing import Place, Placer, Wanted
from figspread.direct.request_state import (
    COMEBACK_S,
    Refusal,
    RequestState,
    RetryPolicy,
    make_fingerprint,
)
from figspread.direct.routes import choose_service
from figspread.direct.tickets import Tickets
from figspread.direct.wire import Malformed, Onward
from figspread.http1.caller import CallerConnection, Request
from figspread.policy.engine_time import pass_s
from figspread.policy.work import length_class

# A leaving entry takes what ends before it leaves, at this many times the
# estimate; others are sent to another entry at once.
LEAVING_SAFETY: Final = 1.2
LEAVING_COMEBACK_S: Final = 0.1
_TEXT: Final = (b'content-type', b'text/plain')


class CallerServer:
    """Serves requests: finds the route, places, sends, repeats, answers."""

    def __init__(self, parts: Parts, placer: Placer) -> None:
        """Serve with these parts of the entry."""
        self._parts = parts
        self._clock = parts.clock
        self._placer = placer
        self._attempts = Attempts(parts.wire, parts.pool, parts.clock)
        self._retries = RetryPolicy(parts)
        self._leaves_s = float('inf')
        self._sure_from_s = float('inf')
        self.tickets = Tickets(parts)

    def refuse_beyond(self, leaves_s: float, sure_from_s: float) -> None:
        """Refuse what is likely to last beyond `leaves_s` on the clock.

        What arrives after `sure_from_s` is taken only if its time is over
        before that, however long it takes.
        """
        self._leaves_s = leaves_s
        self._sure_from_s = sure_from_s

    async def serve(self, raw: Request, conn: CallerConnection) -> None:
        """Answer one request; a started stream that fails is broken off."""
        arrived_s = self._clock.now()
        try:
            request = self._parts.wire.decode_request(raw)
        except Malformed as exc:
            await self._refuse(conn, None, Refusal(400, str(exc)))
            return
        match self._admit(request, arrived_s):
            case RequestState() as state:
                await self._run(state, conn)
            case Refusal() as refusal:
                await self._refuse(conn, request, refusal)

    def _admit(
        self,
        request: CallerRequest,
        arrived_s: float,
    ) -> RequestState | Refusal:
        holder = self._parts.holder
        deployment = holder.current
        if deployment is None or not self._parts.registry.is_listed:
            return Refusal(503, 'no configuration yet', COMEBACK_S)
        route = holder.routes.find(request.host, request.path)
        if route is None:
            return Refusal(404, 'no route')
        workspace = deployment.keys.get(request.key) if request.key else None
        needs_key = deployment.has_workspaces and not route.is_open
        if needs_key and workspace is None:
            return Refusal(401, 'unknown key')
        name = choose_service(route, self._parts.rng)
        service = deployment.services.get(name) if name else None
        if service is None:
            return Refusal(503, 'no service', COMEBACK_S)
        state = RequestState(
            request,
            route,
            service,
            workspace,
            make_fingerprint(request),
            arrived_s,
            arrived_s + limit_s(request, route),
            StreamState(request.resume_after),
        )
        return self._find_obstacle(state) or state

    def _find_obstacle(self, state: RequestState) -> Refusal | None:
        """Return why a proper request can't be served now, if it can't."""
        if state.ends_s <= state.arrived_s:
            return Refusal(503, 'no time left', COMEBACK_S)
        suspects = self._parts.suspects
        if suspects.is_given_up(state.fingerprint):
            after_s = suspects.comeback_s(state.fingerprint)
            return Refusal(503, 'it crashes upstreams', after_s)
        ends_s = state.ends_s
        if state.arrived_s < self._sure_from_s:
            ends_s = state.arrived_s + LEAVING_SAFETY * needed_s(state)
        if ends_s > self._leaves_s:
            return Refusal(503, 'this entry is leaving', LEAVING_COMEBACK_S)
        return None

    async def _run(self, state: RequestState, conn: CallerConnection) -> None:
        self._parts.budget.note_first()
        answer: Refusal | Whole | Streamed
        try:
            async with asyncio.timeout(state.ends_s - self._clock.now()):
                answer = await self._try_upstreams(state, conn)
        except TimeoutError:
            answer = state.expire()
        except asyncio.CancelledError:
            self._note_end(state, 'caller_left', '')
            raise
        match answer:
            case Whole(status=status, fields=fields, body=body):
                await conn.respond(status, fields, body)
                self._note_end(state, 'answered', str(status))
            case Streamed():
                self._note_end(state, 'answered', '200')
            case Refusal() as refusal:
                await self._refuse(conn, state.request, refusal, state)

    async def _try_upstreams(
        self,
        state: RequestState,
        sink: StreamSink,
    ) -> Refusal | Whole | Streamed:
        while True:
            try:
                place = await self._place(state)
            except Refused as exc:
                return state.give_up(str(exc), exc.after_s)
            try:
                end = await self._attempt(state, place, sink)
            finally:
                self._placer.leave(place)
            step = self._retries.decide(state, place.upstream.upstream, end)
            if step is not None:
                return step

    async def _place(self, state: RequestState) -> Place:
        request = state.request
        place = await self._placer.place(
            Wanted(
                request.request,
                state.route,
                state.service,
                request.prompt_tokens,
                request.output_tokens,
                state.priority,
                state.arrived_s,
                state.ends_s,
            ),
            state.tried,
        )
        self._parts.log.info(
            'request placed',
            request=request.request,
            upstream=place.upstream.upstream,
            helpers=[helper.upstream for helper in place.helpers],
            there=place.requests_there,
            expected_s=round(place.first_token_s, 3),
            waited_s=round(self._clock.now() - state.arrived_s, 3),
            tokens=[request.prompt_tokens, request.output_tokens],
            attempt=state.sends + 1,
            version=self._parts.holder.version,
        )
        return place

    async def _attempt(
        self,
        state: RequestState,
        place: Place,
        sink: StreamSink,
    ) -> AttemptEnd:
        state.tried.add(place.upstream.upstream)
        holders = [
            (helper, tokens)
            for helper, tokens in zip(
                place.helpers,
                place.held_tokens,
                strict=True,
            )
            if tokens
        ]
        if not holders:
            return await self._send(state, place, {}, sink)
        held = await self.tickets.reserve(holders)
        if held is None:
            return NotExecuted('memory at a helper is not free')
        tickets = {engine.address: order.ticket for engine, order in held}
        renewal = asyncio.create_task(self.tickets.renew(held))
        try:
            return await self._send(state, place, tickets, sink)
        finally:
            renewal.cancel()
            self.tickets.release(held)

    async def _send(
        self,
        state: RequestState,
        place: Place,
        tickets: dict[str, str],
        sink: StreamSink,
    ) -> AttemptEnd:
        workspace = state.workspace
        onward = Onward(
            place.upstream.upstream,
            state.ends_s - self._clock.now(),
            workspace.workspace if workspace else None,
            helpers=tuple(
                (helper.address, tickets.get(helper.address, ''))
                for helper in place.helpers
            ),
            resume_after=state.stream.last_id,
        )

        def note_first() -> None:  # noqa: WPS430
            self._note_first(state, place)

        state.is_sending = True
        end = await self._attempts.make(
            Attempt(
                state.request,
                state.route,
                place.upstream,
                onward,
                state.stream,
                note_first,
                patience_s(state, place),
                self._pause_noter(state, place),
            ),
            sink,
        )
        state.is_sending = False
        return end

    def _pause_noter(
        self,
        state: RequestState,
        place: Place,
    ) -> Callable[[float], None] | None:
        engine = state.service.engine
        if engine is None:
            return None
        return partial(
            self._parts.paces.note_pause,
            place.upstream.upstream,
            expected_s=pass_s(engine, 1, state.request.prompt_tokens),
        )

    def _note_first(self, state: RequestState, place: Place) -> None:
        self._placer.note_first(place)
        if state.first_s is None:
            state.first_s = self._clock.now() - state.arrived_s
            tokens = state.request.prompt_tokens
            self._parts.metrics.note_first_token(
                length_class(tokens).value,
                state.first_s,
            )

    async def _refuse(
        self,
        conn: CallerConnection,
        request: CallerRequest | None,
        refusal: Refusal,
        state: RequestState | None = None,
    ) -> None:
        self._parts.log.info(
            'request refused',
            request=request.request if request else None,
            status=refusal.status,
            detail=refusal.detail,
            after_s=refusal.after_s,
            sends=state.sends if state else 0,
            events=state.stream.events if state else 0,
            version=self._parts.holder.version,
        )
        self._parts.metrics.note_refusal(str(refusal.status))
        if state is not None and state.stream.is_started:
            conn.abort()
            return
        fields = [_TEXT]
        if refusal.after_s is not None:
            after = '{0:.2f}'.format(refusal.after_s)
            fields.append((b'retry-after', after.encode()))
        await conn.respond(refusal.status, fields, refusal.detail.encode())

    def _note_end(self, state: RequestState, outcome: str, status: str) -> None:
        self._parts.metrics.note_outcome(outcome, status)
        self._parts.log.info(
            'request finished',
            request=state.request.request,
            outcome=outcome,
            status=status,
            sends=state.sends,
            events=state.stream.events,
            first_s=state.first_s and round(state.first_s, 3),
            total_s=round(self._clock.now() - state.arrived_s, 3),
        )
