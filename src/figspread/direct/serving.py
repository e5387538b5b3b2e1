"""A caller's request from its arrival to its one final answer."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final, TypeAlias

import msgspec
import xxhash

from figspread.clock import Clock
from figspread.direct.attempts import (
    Attempt,
    AttemptEnd,
    Attempts,
    Lost,
    NotExecuted,
    NotSent,
    StreamSink,
    StreamState,
    Streamed,
    Whole,
)
from figspread.direct.holder import DeploymentHolder
from figspread.direct.model import (
    CallerRequest,
    Route,
    Service,
    Workspace,
)
from figspread.direct.placing import Place, Placer, Wanted
from figspread.direct.registry import Registry
from figspread.direct.routes import choose_service
from figspread.direct.waiting import Refused
from figspread.direct.wire import Malformed, Onward, Wire
from figspread.http1.caller import CallerConnection, Request
from figspread.ids import AttemptId, Fingerprint, UpstreamId
from figspread.inner.messages import SuspectRow
from figspread.policy.crashes import BrokenAttempts
from figspread.policy.engine_time import read_s, write_s
from figspread.policy.repeats import RepeatBudget
from figspread.policy.suspects import Suspects
from figspread.policy.work import length_class
from figspread.telemetry.logs import Log
from figspread.telemetry.metrics import Metrics

# The final answer leaves this much before the caller's own time is over.
ANSWER_MARGIN_S: Final = 0.02
# A plain call that has given no answer after this part of its time is taken
# to hang, if it may be tried elsewhere.
PATIENCE_SHARE: Final = 0.35
# Connections are refused at once by a dead upstream; so often another one is
# chosen before the request is refused.
UNREACHABLE_LIMIT: Final = 4
# When to come back where nothing is known about the wait.
COMEBACK_S: Final = 0.5
SERVER_FAILURE: Final = 500
# A leaving entry takes what ends before it leaves, at this many times the
# estimate; others are sent to another entry at once.
LEAVING_SAFETY: Final = 2.0
LEAVING_PLAIN_S: Final = 0.5
LEAVING_COMEBACK_S: Final = 0.1
_REASONS: Final = {
    400: 'bad_request',
    401: 'unauthorized',
    404: 'no_route',
    502: 'broken_off',
    503: 'not_run',
    504: 'deadline',
}


class Refusal(msgspec.Struct, frozen=True):
    """An answer of this entry's own."""

    status: int
    detail: str
    after_s: float | None = None


class Course(msgspec.Struct):
    """What has become of a request so far."""

    request: CallerRequest
    route: Route
    service: Service
    workspace: Workspace | None
    fingerprint: Fingerprint
    arrived_s: float
    ends_s: float
    stream: StreamState
    sends: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    tried: set[UpstreamId] = msgspec.field(default_factory=set)
    failure: Whole | None = None
    first_s: float | None = None


Step: TypeAlias = Refusal | Whole | Streamed | None


class CallerServer:
    """Serves requests: finds the route, places, sends, repeats, answers."""

    def __init__(
        self,
        *,
        clock: Clock,
        wire: Wire,
        holder: DeploymentHolder,
        registry: Registry,
        placer: Placer,
        attempts: Attempts,
        budget: RepeatBudget,
        suspects: Suspects,
        broken: BrokenAttempts,
        log: Log,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Serve with these parts of the entry."""
        self._clock = clock
        self._wire = wire
        self._holder = holder
        self._registry = registry
        self._placer = placer
        self._attempts = attempts
        self._budget = budget
        self._suspects = suspects
        self._broken = broken
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._leaves_s = float('inf')
        self.tell_suspects: Callable[[Sequence[SuspectRow]], None] | None
        self.tell_suspects = None

    def refuse_beyond(self, leaves_s: float) -> None:
        """Refuse what may last beyond `leaves_s` on the clock."""
        self._leaves_s = leaves_s

    async def serve(self, raw: Request, conn: CallerConnection) -> None:
        """Answer one request; a started stream that fails is broken off."""
        arrived_s = self._clock.now()
        try:
            request = self._wire.decode_request(raw)
        except Malformed as exc:
            await self._refuse(conn, None, Refusal(400, str(exc)))
            return
        match self._admit(request, arrived_s):
            case Course() as course:
                await self._run(course, conn)
            case Refusal() as refusal:
                await self._refuse(conn, request, refusal)

    def _admit(
        self,
        request: CallerRequest,
        arrived_s: float,
    ) -> Course | Refusal:
        deployment = self._holder.current
        if deployment is None or not self._registry.is_listed:
            return Refusal(503, 'no configuration yet', COMEBACK_S)
        route = self._holder.routes.find(request.host, request.path)
        if route is None:
            return Refusal(404, 'no route')
        workspace = deployment.keys.get(request.key) if request.key else None
        needs_key = deployment.has_workspaces and not route.is_open
        if needs_key and workspace is None:
            return Refusal(401, 'unknown key')
        name = choose_service(route, self._rng)
        service = deployment.services.get(name) if name else None
        if service is None:
            return Refusal(503, 'no service', COMEBACK_S)
        limit_s = route.timeout_s
        if request.time_limit_s is not None:
            limit_s = min(limit_s, request.time_limit_s - ANSWER_MARGIN_S)
        if limit_s <= 0:
            return Refusal(503, 'no time left', COMEBACK_S)
        if self._is_too_long_for_leaving(service, request, arrived_s):
            return Refusal(503, 'this entry is leaving', LEAVING_COMEBACK_S)
        fingerprint = _fingerprint(request)
        if self._suspects.is_given_up(fingerprint):
            after_s = self._suspects.comeback_s(fingerprint)
            return Refusal(503, 'crashes upstreams', after_s)
        return Course(
            request,
            route,
            service,
            workspace,
            fingerprint,
            arrived_s,
            arrived_s + limit_s,
            StreamState(request.resume_after),
        )

    def _is_too_long_for_leaving(
        self,
        service: Service,
        request: CallerRequest,
        now: float,
    ) -> bool:
        if self._leaves_s == float('inf'):
            return False
        needed_s = LEAVING_PLAIN_S
        engine = service.engine
        if engine is not None:
            needed_s = read_s(engine, request.prompt_tokens) + write_s(
                engine,
                request.output_tokens,
                engine.slots,
            )
        return now + LEAVING_SAFETY * needed_s > self._leaves_s

    async def _run(self, course: Course, conn: CallerConnection) -> None:
        self._budget.note_first()
        left_s = course.ends_s - self._clock.now()
        try:
            async with asyncio.timeout(left_s):
                step = await self._try_upstreams(course, conn)
        except TimeoutError:
            step = _late(course)
        except asyncio.CancelledError:
            self._log_end(course, 'caller_left', '')
            raise
        match step:
            case Whole(status=status, fields=fields, body=body):
                await conn.respond(status, fields, body)
                self._log_end(course, 'answered', str(status))
            case Streamed():
                self._log_end(course, 'answered', '200')
            case Refusal() as refusal:
                await self._refuse(conn, course.request, refusal, course)

    async def _try_upstreams(
        self,
        course: Course,
        sink: StreamSink,
    ) -> Refusal | Whole | Streamed:
        while True:
            try:
                place = await self._place(course)
            except Refused as exc:
                return self._give_up(course, str(exc), exc.after_s)
            try:
                end = await self._attempt(course, place, sink)
            finally:
                self._placer.leave(place)
            step = self._judge(course, place, end)
            if step is not None:
                return step

    async def _place(self, course: Course) -> Place:
        priority = course.route.priority
        if course.workspace and course.workspace.priority is not None:
            priority = course.workspace.priority
        request = course.request
        place = await self._placer.place(
            Wanted(
                request.request,
                course.route,
                course.service,
                request.prompt_tokens,
                request.output_tokens,
                priority,
                course.arrived_s,
                course.ends_s,
            ),
            course.tried,
        )
        self._log.info(
            'placed',
            request=request.request,
            upstream=place.upstream.upstream,
            helpers=[helper.upstream for helper in place.helpers],
            there=place.requests_there,
            expected_s=round(place.first_token_s, 3),
            waited_s=round(self._clock.now() - course.arrived_s, 3),
            tokens=[request.prompt_tokens, request.output_tokens],
            attempt=course.sends + 1,
            version=self._holder.version,
        )
        return place

    async def _attempt(
        self,
        course: Course,
        place: Place,
        sink: StreamSink,
    ) -> AttemptEnd:
        workspace = course.workspace
        left_s = course.ends_s - self._clock.now()
        course.tried.add(place.upstream.upstream)
        onward = Onward(
            place.upstream.upstream,
            left_s,
            workspace.workspace if workspace else None,
            helpers=tuple(helper.address for helper in place.helpers),
            resume_after=course.stream.last_id,
        )

        def note_first() -> None:  # noqa: WPS430
            self._note_first(course, place)

        return await self._attempts.make(
            Attempt(
                course.request,
                course.route,
                place.upstream,
                onward,
                course.stream,
                note_first,
                self._patience_s(course, place),
            ),
            sink,
        )

    def _patience_s(self, course: Course, place: Place) -> float | None:
        if not course.route.is_repeatable:
            return None
        if course.sends + 1 >= course.route.attempts:
            return None
        if course.service.engine is None:
            return PATIENCE_SHARE * (course.ends_s - course.arrived_s)
        return None

    def _note_first(self, course: Course, place: Place) -> None:
        self._placer.note_first(place)
        if course.first_s is None:
            course.first_s = self._clock.now() - course.arrived_s
            tokens = course.request.prompt_tokens
            self._metrics.note_first_token(
                length_class(tokens).value,
                course.first_s,
            )

    def _judge(self, course: Course, place: Place, end: AttemptEnd) -> Step:
        name = place.upstream.upstream
        if not isinstance(end, NotSent):
            course.sends += 1
        match end:
            case Whole():
                self._registry.note_success(name)
                return self._judge_answer(course, end)
            case Streamed():
                self._registry.note_success(name)
                return end
            case NotSent(detail=detail):
                course.unreachable += 1
                self._note_failure(course, name, detail, is_dead=True)
                if course.unreachable > UNREACHABLE_LIMIT:
                    return self._give_up(course, 'no upstream answers', None)
                return None
            case NotExecuted(detail=detail):
                self._note_failure(course, name, detail, is_dead=False)
                return self._go_on(course, 'upstream full')
            case Lost(detail=detail):
                course.may_have_run = True
                self._broken.note(
                    name,
                    course.fingerprint,
                    AttemptId(course.request.request),
                )
                self._note_failure(course, name, detail, is_dead=False)
                if not course.route.is_repeatable:
                    return Refusal(502, detail)
                return self._go_on(course, detail)

    def _judge_answer(self, course: Course, end: Whole) -> Step:
        if end.status < SERVER_FAILURE or not course.route.is_repeatable:
            return end
        if not self._may_repeat(course):
            return end
        course.failure = end
        self._log_repeat(course, 'status {0}'.format(end.status))
        return None

    def _go_on(self, course: Course, detail: str) -> Refusal | None:
        if self._may_repeat(course):
            self._log_repeat(course, detail)
            return None
        return _refuse_last(course, detail, None)

    def _may_repeat(self, course: Course) -> bool:
        if course.sends >= course.route.attempts:
            return False
        if self._suspects.is_given_up(course.fingerprint):
            return False
        return self._budget.take()

    def _give_up(
        self,
        course: Course,
        detail: str,
        after_s: float | None,
    ) -> Refusal | Whole:
        if course.failure is not None:
            return course.failure
        return _refuse_last(course, detail, after_s)

    def _note_failure(
        self,
        course: Course,
        name: UpstreamId,
        detail: str,
        *,
        is_dead: bool,
    ) -> None:
        self._registry.note_failure(name)
        self._log.warning(
            'attempt failed',
            request=course.request.request,
            upstream=name,
            detail=detail,
            failures=self._registry.failures(name),
        )
        if is_dead:
            for fingerprint, attempt in self._broken.take_crashed(name):
                rows = self._suspects.note_crash(fingerprint, attempt)
                self._log.warning(
                    'suspected of a crash',
                    request=attempt,
                    upstream=name,
                    crashes=self._suspects.crashes(fingerprint),
                )
                if self.tell_suspects is not None:
                    self.tell_suspects(rows)

    def _log_repeat(self, course: Course, detail: str) -> None:
        self._metrics.note_retry(detail)
        self._log.info(
            'repeated',
            request=course.request.request,
            detail=detail,
            sends=course.sends,
            last_event=course.stream.last_id,
        )

    async def _refuse(
        self,
        conn: CallerConnection,
        request: CallerRequest | None,
        refusal: Refusal,
        course: Course | None = None,
    ) -> None:
        reason = _REASONS.get(refusal.status, str(refusal.status))
        self._log.info(
            'refused',
            request=request.request if request else None,
            status=refusal.status,
            detail=refusal.detail,
            after_s=refusal.after_s,
            sends=course.sends if course else 0,
            events=course.stream.events if course else 0,
            version=self._holder.version,
        )
        self._metrics.note_refusal(reason)
        if course is not None and course.stream.is_started:
            conn.abort()
            return
        fields = [(b'content-type', b'text/plain')]
        if refusal.after_s is not None:
            after = '{0:.2f}'.format(refusal.after_s)
            fields.append((b'retry-after', after.encode()))
        await conn.respond(refusal.status, fields, refusal.detail.encode())

    def _log_end(self, course: Course, outcome: str, status: str) -> None:
        self._metrics.note_outcome(outcome, status)
        self._log.info(
            'ended',
            request=course.request.request,
            outcome=outcome,
            status=status,
            sends=course.sends,
            events=course.stream.events,
            first_s=course.first_s and round(course.first_s, 3),
            total_s=round(self._clock.now() - course.arrived_s, 3),
        )


def _late(course: Course) -> Refusal | Whole:
    if course.failure is not None:
        return course.failure
    if course.sends or course.may_have_run or course.tried:
        return Refusal(504, 'no whole answer in time')
    return Refusal(503, 'no place in time', COMEBACK_S)


def _refuse_last(
    course: Course,
    detail: str,
    after_s: float | None,
) -> Refusal:
    if course.may_have_run or course.stream.is_started:
        return Refusal(502, detail)
    return Refusal(503, detail, COMEBACK_S if after_s is None else after_s)


def _fingerprint(request: CallerRequest) -> Fingerprint:
    digest = xxhash.xxh3_128()
    for part in (request.target, (request.key or '').encode(), request.body):
        digest.update(part)
        digest.update(b'\0')
    return Fingerprint(digest.hexdigest())
