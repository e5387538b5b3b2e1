"""Types of the deployment that a direct entry serves."""

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Final, NewType

import msgspec

from figspread.http1.requests import CallerLimits
from figspread.ids import (
    DataCentreId,
    PromptPartId,
    RegionId,
    ServiceName,
    UpstreamId,
    WorkspaceId,
)
from figspread.policy.engine_time import EngineProfile

ApiKey = NewType('ApiKey', str)
# Parts of a prompt that a log line names, so that its length stays bounded.
LOGGED_PARTS: Final = 8


class CallKind(Enum):
    """Whether a call may be sent again after it may have run.

    An `IDEMPOTENT` call may, a `ONCE` call may not, and a `STREAM` may only
    if its route is resumable.
    """

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


class RouteShare(msgspec.Struct, frozen=True):
    """A service that gets requests of a route, in proportion to `weight`."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Services and time limits of requests for a host and a path prefix.

    `timeout_s` limits a whole request. `target_latency_s` is the target
    latency, of a stream's first event or a whole answer. `target_gap_s` is the
    longest pause between a stream's events that is within target. `attempts`
    is the largest number of upstreams that may run one request. Priority 0 is
    served first. An `allows_anonymous` route needs no API key. Only upstreams in
    `home_regions` may run its requests, if there are any.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[RouteShare, ...]
    timeout_s: float
    target_latency_s: float = 1
    target_gap_s: float = 1
    attempts: int = 1
    priority: int = 1
    allows_anonymous: bool = False
    is_resumable: bool = False
    home_regions: frozenset[RegionId] = frozenset()

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.is_resumable
        return self.kind is CallKind.IDEMPOTENT


class ColdStart(msgspec.Struct, frozen=True):
    """How upstreams of a service begin after a start during traffic.

    An upstream is cold for `duration_s`, and may become so again at any moment.
    While it is, it tolerates `requests_per_s` from all entries together and
    crashes well above that.
    """

    duration_s: float
    requests_per_s: float


class Service(msgspec.Struct, frozen=True):
    """Settings of a service; `engine` is `None` for a plain service.

    `cold_start` is `None` if its upstreams take all requests at once.
    """

    name: ServiceName
    engine: EngineProfile | None = None
    cold_start: ColdStart | None = None


class Workspace(msgspec.Struct, frozen=True):
    """The owner of an API key; its `priority` overrides the route's.

    Only upstreams in `home_regions` may run its requests, if there are any.
    """

    workspace: WorkspaceId
    priority: int | None = None
    home_regions: frozenset[RegionId] = frozenset()


class Deployment(msgspec.Struct, frozen=True):
    """One version of the operator's configuration.

    `source` is the document that it was decoded from, which is sent to peers.
    `has_workspaces` tells whether requests need an API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    keys: Mapping[ApiKey, Workspace]
    limits: CallerLimits
    has_workspaces: bool
    source: bytes = b''


class UpstreamState(Enum):
    """The state that an upstream reports in the store."""

    READY = 'ready'
    LEAVING = 'leaving'


class Upstream(msgspec.Struct, frozen=True):
    """An upstream's record in the platform's store.

    `address` is `host:port`, `slots` the requests that it runs at once.
    `started_ms` differs after each start, also under the same id.
    `cold_s` is how many seconds it stayed cold when it wrote the record.
    """

    upstream: UpstreamId
    service: ServiceName
    address: str
    data_centre: DataCentreId
    slots: int
    state: UpstreamState
    started_ms: int = 0
    cold_s: float = 0


class CallerRequest(msgspec.Struct, frozen=True):
    """A decoded request of a caller; `host` and `path` select its route.

    Token counts are 0 where the caller gave none. `resume_after` is the id of
    the last event that the caller has, or -1 for a stream from its start.
    `shared_parts` are the parts of the prompt, in order, that other requests
    may have too.
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
    shared_parts: tuple[PromptPartId, ...] = ()
