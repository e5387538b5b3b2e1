"""A validated caller request and the events that answer it."""

from collections.abc import Callable, Generator, Mapping
from typing import TypeAlias

import msgspec

from figspread.clock import Deadline
from figspread.config.fleet import Workspace
from figspread.entry.completion import Completion
from figspread.ids import RequestId, ServiceName
from figspread.inner.messages import UpstreamKind
from figspread.outcome import Outcome
from figspread.policy.types import RequestProfile


class CallerRequest(msgspec.Struct, frozen=True):
    """A validated request, with its time limit and whether it is repeatable.

    `completion` is set for engines only, `service` for plain services only.
    `is_repeatable` permits running the request more than once.
    """

    request: RequestId
    workspace: Workspace
    kind: UpstreamKind
    path: str
    body: bytes
    work: RequestProfile
    time_limit_s: float
    is_repeatable: bool
    method: str = 'POST'
    headers: Mapping[str, str] = {}
    completion: Completion | None = None
    service: ServiceName = ServiceName('')
    idempotency_key: str = ''
    traceparent: str = ''


class ResponseStarted(msgspec.Struct, frozen=True):
    """Status and headers of the answer; sent before any `ResponsePiece`."""

    status: int
    headers: Mapping[str, str]


class ResponsePiece(msgspec.Struct, frozen=True):
    """A part of the answer, which holds `tokens` tokens of an engine."""

    data: bytes
    tokens: int = 0


# The answer as it arrives, followed by the outcome.
ResponseEvents: TypeAlias = Generator[
    ResponseStarted | ResponsePiece | Outcome, None, None
]
# Tells whether the caller has disconnected.
IsCallerGone: TypeAlias = Callable[[], bool]
# A step of the request path, such as admission or dispatch.
RequestRunner: TypeAlias = Callable[
    [CallerRequest, Deadline, IsCallerGone], ResponseEvents
]
