"""The HTTP interface for callers: routing, authentication and replies."""

import itertools
from collections.abc import Callable, Mapping
from functools import partial
from types import MappingProxyType
from typing import Any, Final

import cherrypy
import msgspec
from result import Err, Ok, Result

from figspread.clock import Clock
from figspread.config.fleet import Workspace
from figspread.config.holder import FleetHolder
from figspread.entry.auth import ApiKeyIndex
from figspread.entry.body import BodyFault, read_body
from figspread.entry.caller_request import (
    CallerRequest,
    RequestRunner,
    ResponsePiece,
    ResponseStarted,
)
from figspread.entry.completion import CompletionApi
from figspread.entry.directory import list_model_names
from figspread.entry.drain import LEAVING, DrainEnd, RequestDeadline
from figspread.entry.gate import Gate
from figspread.entry.held_bytes import ByteBudget, HeldBytes
from figspread.entry.replies import (
    close_after_reply,
    reply_completion,
    reply_json,
    reply_problem,
    set_response_head,
)
from figspread.entry.request_parsing import (
    SERVICES_PREFIX,
    HttpRequest,
    TimeLimits,
    parse_completion_request,
    parse_service_request,
)
from figspread.entry.stream import AnswerStream
from figspread.http.connections import CONNECTION_KEY
from figspread.http.server import SOCKET_KEY, is_caller_disconnected
from figspread.outcome import NotRun, NotRunReason

BODY_TIME_LIMIT_S: Final = 30

_BODY_REASONS: Final[Mapping[BodyFault, NotRunReason]] = MappingProxyType(
    {
        BodyFault.TOO_LARGE: NotRunReason.TOO_LARGE,
    }
)


class PagesContext(msgspec.Struct, frozen=True):
    """Dependencies of `CallerPages`, passed in by `EntryApp`.

    `run` is the first handler of the request chain. `bodies` and `answers` bound what
    all requests hold.
    """

    clock: Clock
    holder: FleetHolder
    gate: Gate
    drain_end: DrainEnd
    limits: TimeLimits
    body_limit_bytes: int
    bodies: ByteBudget
    answers: ByteBudget
    is_ready: Callable[[], bool]
    run: RequestRunner


class CallerPages:
    """Serves callers' requests in the HTTP server's threads.

    A response is complete, or it tells the caller how the request ended.
    """

    def __init__(self, context: PagesContext) -> None:
        """Store the context and build the table of handlers."""
        self._context = context
        self._key_index = ApiKeyIndex()
        self._handlers: Final = {
            ('GET', '/healthz'): self._reply_health,
            ('GET', '/readyz'): self._reply_readiness,
            ('GET', '/v1/models'): self._reply_models,
            ('POST', CompletionApi.TEXT.value): self._serve_completion,
            ('POST', CompletionApi.CHAT.value): self._serve_completion,
        }

    @cherrypy.expose
    def default(self, /, *_segments: str, **_query: str) -> Any:
        """Serve a request for any path; CherryPy calls this for all."""
        method = cherrypy.request.method
        path = cherrypy.request.wsgi_environ['REQUEST_URI']
        plain_path = path.partition('?')[0]
        if plain_path.startswith(SERVICES_PREFIX):
            return self._serve_within_limit(self._parse_service_request)
        serve_page = self._handlers.get((method, plain_path))
        if serve_page is not None:
            return serve_page()
        return reply_problem(
            NotRun(NotRunReason.BAD_REQUEST, 0, 'there is no such page'),
            status=404,
        )

    def _reply_health(self) -> bytes:
        return reply_json({'status': 'up'})

    def _reply_readiness(self) -> bytes:
        is_ready = self._context.is_ready()
        if not is_ready:
            cherrypy.response.status = 503
        return reply_json(
            {
                'ready': is_ready,
                'config_number': self._context.holder.fleet.number,
            }
        )

    def _reply_models(self) -> bytes:
        workspace = self._find_workspace()
        if workspace is None:
            return reply_problem(_UNAUTHORIZED)
        return reply_json(
            {
                'object': 'list',
                'data': [
                    {'id': name, 'object': 'model', 'owned_by': 'figspread'}
                    for name in list_model_names(self._context.holder.fleet)
                ],
            }
        )

    def _serve_completion(self) -> Any:
        return self._serve_within_limit(self._parse_completion)

    def _serve_within_limit(
        self,
        parse: Callable[
            [HttpRequest, Workspace], Result[CallerRequest, NotRun]
        ],
    ) -> Any:
        if not self._context.gate.try_enter():
            close_after_reply()
            return reply_problem(
                LEAVING if self._context.gate.is_closed else AT_CAPACITY
            )
        held = HeldBytes(self._context.answers)
        leave_gate = _CallOnce(partial(self._leave_gate, held))
        # A caller that reads slowly keeps its place, like its thread.
        conn = cherrypy.request.wsgi_environ[CONNECTION_KEY]
        conn.after_answer.append(leave_gate)
        return self._check_and_serve(parse, held, leave_gate)

    def _leave_gate(self, held: HeldBytes) -> None:
        held.release()
        self._context.gate.leave()

    def _check_and_serve(
        self,
        parse: Callable[
            [HttpRequest, Workspace], Result[CallerRequest, NotRun]
        ],
        held: HeldBytes,
        leave_gate: Callable[[], None],
    ) -> Any:
        workspace = self._find_workspace()
        if workspace is None:
            close_after_reply()
            return reply_problem(_UNAUTHORIZED)
        body = self._read_body()
        if isinstance(body, BodyFault):
            close_after_reply()
            return reply_problem(self._make_body_refusal(body))
        match parse(_make_http_request(body), workspace):
            case Ok(req):
                return self._run_request(req, held, leave_gate)
            case Err(refusal):
                return reply_problem(refusal)

    def _run_request(
        self,
        req: CallerRequest,
        held: HeldBytes,
        leave_gate: Callable[[], None],
    ) -> Any:
        environ = cherrypy.request.wsgi_environ
        drain_end = self._context.drain_end
        if not drain_end.has_time_for(req.time_limit_s):
            close_after_reply()
            return reply_problem(LEAVING, request=req.request)
        deadline = RequestDeadline(
            self._context.clock, req.time_limit_s, drain_end
        )
        events = self._context.run(
            req,
            deadline,
            lambda: is_caller_disconnected(environ),
        )
        match next(events):
            case ResponseStarted() as started if _is_streamed(req):
                cherrypy.response.stream = True
                set_response_head(req, started)
                return AnswerStream(
                    req,
                    events,
                    environ[SOCKET_KEY],
                    leave_gate,
                )
            case ResponseStarted():
                return reply_completion(req, events, held)
            case ResponsePiece():
                raise AssertionError(
                    'response piece received before the response head'
                )
            case outcome:
                events.close()
                return reply_problem(outcome, request=req.request)

    def _parse_completion(
        self,
        http_req: HttpRequest,
        workspace: Workspace,
    ) -> Result[CallerRequest, NotRun]:
        shape = CompletionApi(http_req.path.partition('?')[0])
        parsed = parse_completion_request(
            http_req, shape, workspace, self._context.limits
        )
        return parsed.and_then(self._check_model)

    def _check_model(self, req: CallerRequest) -> Result[CallerRequest, NotRun]:
        if req.work.model in self._context.holder.fleet.models():
            return Ok(req)
        detail = 'no pool serves the model {0}'.format(req.work.model)
        return Err(NotRun(NotRunReason.UNKNOWN_MODEL, 0, detail))

    def _parse_service_request(
        self,
        http_req: HttpRequest,
        workspace: Workspace,
    ) -> Result[CallerRequest, NotRun]:
        return parse_service_request(
            http_req,
            self._context.holder.fleet,
            workspace,
            self._context.limits,
        )

    def _find_workspace(self) -> Workspace | None:
        return self._key_index.find_workspace(
            self._context.holder.fleet,
            cherrypy.request.headers.get('Authorization', ''),
        )

    def _read_body(self) -> bytes | BodyFault:
        headers = cherrypy.request.headers
        conn = cherrypy.request.wsgi_environ[CONNECTION_KEY]
        length = headers.get('Content-Length')
        if length is None and 'Transfer-Encoding' not in headers:
            length = '0'
        return read_body(
            cherrypy.request.rfile,
            length=length,
            limit=self._context.body_limit_bytes,
            deadline=RequestDeadline(
                self._context.clock, BODY_TIME_LIMIT_S, self._context.drain_end
            ),
            held=conn.held or HeldBytes(self._context.bodies),
        )

    def _make_body_refusal(self, fault: BodyFault) -> NotRun:
        if self._context.drain_end.is_past():
            return LEAVING
        if fault is BodyFault.NO_ROOM:
            return NotRun(NotRunReason.OVERLOAD, 1, fault.value)
        reason = _BODY_REASONS.get(fault, NotRunReason.BAD_REQUEST)
        return NotRun(reason, 0, fault.value)


class _CallOnce:
    """Calls `callback` on the first call only.

    Counting with `itertools.count` makes this safe for several threads.
    """

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback = callback
        self._calls = itertools.count()

    def __call__(self) -> None:
        if next(self._calls) == 0:
            self._callback()


_UNAUTHORIZED: Final = NotRun(
    NotRunReason.UNAUTHORIZED,
    0,
    'an API key of a workspace is needed',
)
AT_CAPACITY: Final = NotRun(
    NotRunReason.OVERLOAD,
    1,
    'this entry serves as many callers as it can',
)


def _is_streamed(req: CallerRequest) -> bool:
    return req.completion is None or req.completion.is_streamed


def _make_http_request(body: bytes) -> HttpRequest:
    req = cherrypy.request
    return HttpRequest(
        method=req.method,
        path=req.wsgi_environ['REQUEST_URI'],
        headers=dict(req.headers),
        body=body,
    )
