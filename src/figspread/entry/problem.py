"""Maps outcomes to HTTP statuses and `application/problem+json` bodies."""

import math
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

import msgspec

from figspread.ids import RequestId
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

PROBLEM_TYPE: Final = 'application/problem+json'

_NOT_RUN_STATUSES: Final[Mapping[NotRunReason, HTTPStatus]] = MappingProxyType(
    {
        NotRunReason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
        NotRunReason.UNAUTHORIZED: HTTPStatus.UNAUTHORIZED,
        NotRunReason.UNKNOWN_MODEL: HTTPStatus.NOT_FOUND,
        NotRunReason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
        NotRunReason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        NotRunReason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
        NotRunReason.LIMIT: HTTPStatus.TOO_MANY_REQUESTS,
        NotRunReason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    }
)
_FAILED_STATUSES: Final[Mapping[FailedReason, HTTPStatus]] = MappingProxyType(
    {
        FailedReason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
        FailedReason.CRASHES_UPSTREAMS: HTTPStatus.UNPROCESSABLE_ENTITY,
    }
)
_UNKNOWN_STATUSES: Final[Mapping[UnknownReason, HTTPStatus]] = MappingProxyType(
    {
        UnknownReason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
        UnknownReason.IN_PROGRESS: HTTPStatus.CONFLICT,
    }
)


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of an error response, as defined by RFC 9457.

    `retry_after_s` is in seconds; 0 means that no time is suggested.
    """

    title: str
    status: int
    outcome: str
    reason: str
    request_id: RequestId
    detail: str = ''
    retry_after_s: float = 0


def build_problem(outcome: Outcome, request: RequestId) -> Problem:
    """Return the problem document that reports `outcome` to the caller.

    A reason without a status of its own gets 503 for `NotRun` and 502 for
    `Failed` and `Unknown`. Raises `AssertionError` for `Answered`, which
    isn't an error.
    """
    match outcome:
        case NotRun():
            status = _NOT_RUN_STATUSES.get(
                outcome.reason,
                HTTPStatus.SERVICE_UNAVAILABLE,
            )
            return _make_problem('not_run', status, outcome, request)
        case Failed():
            status = _FAILED_STATUSES.get(
                outcome.reason, HTTPStatus.BAD_GATEWAY
            )
            return _make_problem('failed', status, outcome, request)
        case Unknown():
            status = _UNKNOWN_STATUSES.get(
                outcome.reason, HTTPStatus.BAD_GATEWAY
            )
            return _make_problem('unknown', status, outcome, request)
        case Answered():
            raise AssertionError('Answered has no problem document')


def build_problem_headers(problem: Problem) -> dict[str, str]:
    """Return the response headers for `problem`.

    `Retry-After` is rounded up to whole seconds.
    """
    headers = {
        'Content-Type': PROBLEM_TYPE,
        'X-Request-Id': problem.request_id,
        'X-Outcome': problem.outcome,
    }
    if problem.retry_after_s > 0:
        headers['Retry-After'] = str(math.ceil(problem.retry_after_s))
    return headers


def _make_problem(
    name: str,
    status: HTTPStatus,
    outcome: NotRun | Failed | Unknown,
    request: RequestId,
) -> Problem:
    return Problem(
        title=status.phrase,
        status=status.value,
        outcome=name,
        reason=outcome.reason.value,
        request_id=request,
        detail=outcome.detail,
        retry_after_s=round(outcome.retry_after_s, 3),
    )
