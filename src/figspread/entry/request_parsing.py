"""Checks a caller's HTTP request and builds a `CallerRequest` from it."""

import math
from collections.abc import Mapping
from typing import Final

import msgspec
from result import Err, Ok, Result

from figspread.config.fleet import Fleet, ServiceRecord, Workspace
from figspread.entry.caller_request import CallerRequest
from figspread.entry.completion import (
    Completion,
    CompletionApi,
    parse_completion,
)
from figspread.ids import (
    Fingerprint,
    ModelName,
    RequestId,
    ServiceName,
    new_request_id,
)
from figspread.inner.messages import UpstreamKind
from figspread.outcome import NotRun, NotRunReason
from figspread.policy.prompts import (
    digest_prefix,
    estimate_tokens,
    make_fingerprint,
)
from figspread.policy.types import RequestProfile

TIME_LIMIT_HEADER: Final = 'X-Time-Limit-S'
IDEMPOTENCY_KEY_MAX_CHARACTERS: Final = 255
SERVICES_PREFIX: Final = '/v1/services/'

# Lower-case headers that are addressed to the entry or apply to the caller's
# connection only, and so are not sent to a plain service.
_UNFORWARDED_HEADERS: Final = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-time-limit-s',
    )
)


class HttpRequest(msgspec.Struct, frozen=True):
    """An unchecked HTTP request whose body has been read.

    `path` includes the query string.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class TimeLimits(msgspec.Struct, frozen=True):
    """Bounds of a request's time limit, in seconds.

    `default_s` applies to a request without the `X-Time-Limit-S` header,
    and a longer limit than `max_s` is cut to it.
    """

    default_s: float
    max_s: float


def parse_completion_request(
    http_req: HttpRequest,
    shape: CompletionApi,
    workspace: Workspace,
    limits: TimeLimits,
) -> Result[CallerRequest, NotRun]:
    """Check a completions request and return it, or why it is refused."""
    match parse_completion(shape, http_req.body):
        case Err(problem):
            return _refuse_as_bad(problem)
        case Ok(completion):
            return _check_headers(http_req, limits).map(
                lambda checked_headers: _make_engine_request(
                    http_req,
                    completion,
                    workspace,
                    checked_headers,
                ),
            )


def parse_service_request(
    http_req: HttpRequest,
    fleet: Fleet,
    workspace: Workspace,
    limits: TimeLimits,
) -> Result[CallerRequest, NotRun]:
    """Check a plain service's request and return it, or why it is refused.

    The path is `/v1/services/NAME/...`; what follows the name is the path
    that the service gets.
    """
    name, _, service_path = http_req.path.removeprefix(
        SERVICES_PREFIX
    ).partition('/')
    service = ServiceName(name.partition('?')[0])
    record = fleet.services.get(service)
    if record is None:
        return Err(
            NotRun(
                NotRunReason.UNKNOWN_SERVICE,
                0,
                'no plain service has this name',
            ),
        )
    path = '/{0}'.format(service_path)
    return _check_headers(http_req, limits).map(
        lambda checked_headers: CallerRequest(
            request=checked_headers.request,
            workspace=workspace,
            kind=UpstreamKind.SERVICE,
            path=path,
            body=http_req.body,
            work=_make_service_work(http_req, workspace, checked_headers),
            time_limit_s=checked_headers.time_limit_s,
            is_repeatable=is_repeatable(record, http_req.method, path),
            method=http_req.method,
            headers=_select_forwarded_headers(http_req.headers),
            service=service,
            idempotency_key=checked_headers.idempotency_key,
            traceparent=checked_headers.traceparent,
        ),
    )


def is_repeatable(record: ServiceRecord, method: str, path: str) -> bool:
    """Tell whether a request to the service may run more than once.

    The first route with this method and path decides. A route's path that
    ends in `*` matches every path with that prefix; the query string isn't
    compared. A request that no route matches may not be repeated.
    """
    plain_path = path.partition('?')[0]
    for route in record.routes:
        if route.method != method:
            continue
        is_prefix = route.path.endswith('*')
        if is_prefix and plain_path.startswith(route.path[:-1]):
            return route.is_repeatable
        if plain_path == route.path:
            return route.is_repeatable
    return False


class _CheckedHeaders(msgspec.Struct, frozen=True):
    request: RequestId
    time_limit_s: float
    idempotency_key: str
    traceparent: str


def _check_headers(
    http_req: HttpRequest,
    limits: TimeLimits,
) -> Result[_CheckedHeaders, NotRun]:
    limit_text = http_req.headers.get(TIME_LIMIT_HEADER, '')
    time_limit_s = (
        _parse_seconds(limit_text) if limit_text else limits.default_s
    )
    if time_limit_s is None:
        return _refuse_as_bad(
            '{0}: must be a number of seconds above 0'.format(
                TIME_LIMIT_HEADER,
            ),
        )
    key = http_req.headers.get('Idempotency-Key', '')
    if len(key) > IDEMPOTENCY_KEY_MAX_CHARACTERS:
        return _refuse_as_bad('Idempotency-Key: at most 255 characters')
    return Ok(
        _CheckedHeaders(
            request=new_request_id(),
            time_limit_s=min(time_limit_s, limits.max_s),
            idempotency_key=key,
            traceparent=http_req.headers.get('Traceparent', ''),
        ),
    )


def _parse_seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if seconds > 0 and math.isfinite(seconds) else None


def _make_engine_request(
    http_req: HttpRequest,
    completion: Completion,
    workspace: Workspace,
    checked_headers: _CheckedHeaders,
) -> CallerRequest:
    return CallerRequest(
        request=checked_headers.request,
        workspace=workspace,
        kind=UpstreamKind.ENGINE,
        path=completion.shape.value,
        body=completion.body,
        work=_make_engine_work(completion, workspace, checked_headers),
        time_limit_s=checked_headers.time_limit_s,
        is_repeatable=True,
        headers={'Content-Type': 'application/json'},
        completion=completion,
        idempotency_key=checked_headers.idempotency_key,
        traceparent=checked_headers.traceparent,
    )


def _make_engine_work(
    completion: Completion,
    workspace: Workspace,
    checked_headers: _CheckedHeaders,
) -> RequestProfile:
    exact_prompt_tokens = completion.prompt_tokens
    return RequestProfile(
        request=checked_headers.request,
        workspace=workspace.workspace,
        model=completion.model,
        prompt_tokens=exact_prompt_tokens or estimate_tokens(completion.prompt),
        output_tokens=completion.output_tokens,
        prefix=digest_prefix(completion.prompt),
        fingerprint=make_fingerprint(
            workspace=workspace.workspace,
            model=completion.model,
            settings=b'',
            prompt=completion.body,
        ),
    )


def _make_service_work(
    http_req: HttpRequest,
    workspace: Workspace,
    checked_headers: _CheckedHeaders,
) -> RequestProfile:
    return RequestProfile(
        request=checked_headers.request,
        workspace=workspace.workspace,
        model=ModelName(''),
        prompt_tokens=0,
        output_tokens=0,
        fingerprint=Fingerprint(
            make_fingerprint(
                workspace=workspace.workspace,
                model=ModelName(''),
                settings='{0} {1}'.format(
                    http_req.method,
                    http_req.path,
                ).encode(),
                prompt=http_req.body,
            ),
        ),
    )


def _select_forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    return {
        name: text
        for name, text in headers.items()
        if name.lower() not in _UNFORWARDED_HEADERS
    }


def _refuse_as_bad(detail: str) -> Err[NotRun]:
    return Err(NotRun(NotRunReason.BAD_REQUEST, 0, detail))
