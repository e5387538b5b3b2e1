"""The deployment as a direct entry sees it: routes, services, upstreams."""

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import NewType

import msgspec

from figspread.http1.caller import CallerLimits
from figspread.ids import DataCentreId, ServiceName, UpstreamId, WorkspaceId
from figspread.policy.engine_time import EngineProfile

ApiKey = NewType('ApiKey', str)


class CallKind(Enum):
    """What may be repeated."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


class Share(msgspec.Struct, frozen=True):
    """A service's part of a route's requests."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests for a host and a path prefix go, and within what time.

    `attempts` is the most upstreams that one request may be sent to. A
    stream's `gap_s` is the longest pause between events that is in time.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[Share, ...]
    timeout_s: float
    aim_s: float = 1
    gap_s: float = 1
    attempts: int = 1
    priority: int = 1
    is_open: bool = False
    is_resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.is_resumable
        return self.kind is CallKind.IDEMPOTENT


class Service(msgspec.Struct, frozen=True):
    """A service's own settings; `engine` is `None` for a plain service."""

    name: ServiceName
    connection_limit: int = 64
    engine: EngineProfile | None = None


class Workspace(msgspec.Struct, frozen=True):
    """Who holds a key; `priority` goes before the route's if it is given."""

    workspace: WorkspaceId
    priority: int | None = None


class Deployment(msgspec.Struct, frozen=True):
    """One version of the operator's configuration.

    `source` is the document that it was decoded from, to pass on to peers.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    keys: Mapping[ApiKey, Workspace]
    limits: CallerLimits
    has_workspaces: bool
    source: bytes = b''


class UpstreamState(Enum):
    """What an upstream says of itself."""

    READY = 'ready'
    LEAVING = 'leaving'


class Upstream(msgspec.Struct, frozen=True):
    """An upstream's entry in the platform's store.

    `started_ms` is another one after each start, also under the same id.
    """

    upstream: UpstreamId
    service: ServiceName
    address: str
    data_centre: DataCentreId
    slots: int
    state: UpstreamState
    started_ms: int = 0


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request as decoded; `host` and `path` select its route.

    Token counts are 0 where none were given, `resume_after` is -1 for a
    stream from its start.
    """

    request: str
    host: str
    path: str
    method: bytes
    target: bytes
    fields: Sequence[tuple[bytes, bytes]]
    body: bytes
    key: ApiKey | None = None
    time_limit_s: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    resume_after: int = -1
