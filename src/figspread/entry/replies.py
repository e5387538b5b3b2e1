"""Builds HTTP replies to callers in CherryPy's response object."""

from typing import Any, Final

import cherrypy
import msgspec
from result import Err, Ok

from figspread.entry.caller_request import (
    CallerRequest,
    ResponseEvents,
    ResponsePiece,
    ResponseStarted,
)
from figspread.entry.completion import join_events
from figspread.entry.held_bytes import HeldBytes
from figspread.entry.problem import build_problem, build_problem_headers
from figspread.http.connections import CONNECTION_KEY
from figspread.http.server import REQUEST_KEY
from figspread.ids import RequestId, new_request_id
from figspread.outcome import (
    Answered,
    Failed,
    FailedReason,
    Outcome,
)

_JSON: Final = 'application/json'


def list_page_settings() -> dict[str, dict[str, Any]]:
    """Return CherryPy's settings for the callers' pages.

    CherryPy must not read request bodies: the pages do, within their limits.
    """
    return {
        '/': {
            'request.process_request_body': False,
            'request.show_tracebacks': False,
            'request.error_response': _reply_internal_error,
            'response.stream': False,
            'tools.encode.on': False,
            'tools.trailing_slash.on': False,
        },
    }


def _reply_internal_error() -> None:
    """Reply to an unhandled exception with a 500 that has no traceback."""
    failed = Failed(FailedReason.UPSTREAM_ERROR, 'a fault of the entry')
    problem = build_problem(failed, new_request_id())
    cherrypy.response.status = 500
    cherrypy.response.headers.update(build_problem_headers(problem))
    cherrypy.response.body = [msgspec.json.encode(problem)]


def set_response_head(req: CallerRequest, started: ResponseStarted) -> None:
    """Set status and headers of a streamed response."""
    response = cherrypy.response
    response.status = started.status
    response.headers.pop('Content-Type', None)
    response.headers.update(started.headers)
    response.headers['X-Request-Id'] = req.request


def reply_completion(
    req: CallerRequest, events: ResponseEvents, held: HeldBytes
) -> bytes:
    """Return a completion in one piece, for a caller that doesn't stream.

    Reads `events` to their end; their bytes count in `held`. Returns a problem
    document instead if there is no room for them, the outcome isn't `Answered`
    or the engine's events can't be decoded.
    """
    chunks: list[bytes] = []
    outcome: Outcome | None = None
    for event in events:
        match event:
            case ResponsePiece(chunk):
                if not held.try_hold_piece(len(chunk)):
                    events.close()
                    return reply_problem(_TOO_LARGE, request=req.request)
                chunks.append(chunk)
            case ResponseStarted():
                continue
            case final_outcome:
                outcome = final_outcome
    if not isinstance(outcome, Answered) or req.completion is None:
        return reply_problem(outcome or _NO_OUTCOME, request=req.request)
    match join_events(req.completion, req.request, b''.join(chunks)):
        case Ok(reply):
            cherrypy.response.headers['X-Request-Id'] = req.request
            return _reply_encoded_json(reply)
        case Err(problem):
            failure = Failed(FailedReason.BROKEN_STREAM, problem)
            return reply_problem(failure, request=req.request)


_TOO_LARGE: Final = Failed(
    FailedReason.BROKEN_STREAM, 'the answer is too large for one piece'
)
_NO_OUTCOME: Final = Failed(FailedReason.BROKEN_STREAM, 'the answer has no end')


def reply_json(content: object) -> bytes:
    """Encode `content` as JSON and set the content type."""
    return _reply_encoded_json(msgspec.json.encode(content))


def _reply_encoded_json(content: bytes) -> bytes:
    cherrypy.response.headers['Content-Type'] = _JSON
    return content


def reply_problem(
    outcome: Outcome,
    *,
    request: RequestId | None = None,
    status: int | None = None,
) -> bytes:
    """Return the problem document for `outcome` and set the headers.

    `request` is a new id if none is given; `status` overrides the outcome's
    own HTTP status.
    """
    problem = build_problem(outcome, request or new_request_id())
    cherrypy.response.status = status or problem.status
    cherrypy.response.headers.update(build_problem_headers(problem))
    return msgspec.json.encode(problem)


def close_after_reply() -> None:
    """Have the server close the connection after the reply.

    What the caller still sends is discarded for a while, so that it can receive
    the reply.
    """
    environ = cherrypy.request.wsgi_environ
    environ[REQUEST_KEY].close_connection = True
    environ[CONNECTION_KEY].must_linger = True
