"""The configuration of the fleet: immutable records with a version number."""

from collections.abc import Mapping
from enum import Enum
from typing import Final

import msgspec

from figspread.ids import (
    DataCentreId,
    ModelName,
    NoteId,
    PoolId,
    RegionId,
    ServiceName,
    UpstreamId,
    WorkspaceId,
)

# Value of a workspace limit that is not enforced.
NO_LIMIT: Final = 0


class PoolRole(Enum):
    """What the engines of a pool are used for."""

    GENERAL = 'general'
    LONG_PROMPTS = 'long_prompts'


class Pool(msgspec.Struct, frozen=True):
    """A group of engines that serve the same models."""

    pool: PoolId
    models: tuple[ModelName, ...]
    role: PoolRole = PoolRole.GENERAL


class EngineRecord(msgspec.Struct, frozen=True):
    """A model engine; `agent` is the `ip:port` of its agent."""

    upstream: UpstreamId
    pool: PoolId
    data_centre: DataCentreId
    agent: str
    url: str
    kv_tokens: int
    prefill_tokens_per_s: float
    checks_fencing: bool = False


class Route(msgspec.Struct, frozen=True):
    """A kind of call to a plain service, by method and path.

    `path` may end in `*`, which matches any rest. `is_repeatable` says whether
    such a call may be sent again after a failure.
    """

    method: str
    path: str
    is_repeatable: bool


class ServiceRecord(msgspec.Struct, frozen=True):
    """A plain service: an HTTP service that is not a model engine.

    Calls that match no route are not repeatable.
    """

    service: ServiceName
    routes: tuple[Route, ...] = ()


class ServiceUpstream(msgspec.Struct, frozen=True):
    """A process that runs a plain service; `agent` is its agent's `ip:port`."""

    upstream: UpstreamId
    service: ServiceName
    data_centre: DataCentreId
    agent: str
    url: str
    concurrency: int = 8


class Workspace(msgspec.Struct, frozen=True):
    """A workspace with its weight and its limits across all entries.

    `key_hashes` are the SHA-256 digests of its API keys in lower-case
    hexadecimal. A limit of `NO_LIMIT` is not enforced.
    """

    workspace: WorkspaceId
    key_hashes: tuple[str, ...]
    weight: float = 1
    requests_per_s: float = NO_LIMIT
    tokens_per_s: float = NO_LIMIT
    concurrent_requests: int = NO_LIMIT


class DataCentre(msgspec.Struct, frozen=True):
    """A data centre and the region it belongs to."""

    data_centre: DataCentreId
    region: RegionId


class Fleet(msgspec.Struct, frozen=True):
    """The whole configuration: all records, by id.

    Release notes add, change and withdraw these records. `number` is the
    version of the configuration and `note` the id of the release note that
    produced it.
    """

    number: int = 0
    note: NoteId = NoteId('')
    data_centres: Mapping[DataCentreId, DataCentre] = {}
    pools: Mapping[PoolId, Pool] = {}
    engines: Mapping[UpstreamId, EngineRecord] = {}
    services: Mapping[ServiceName, ServiceRecord] = {}
    service_upstreams: Mapping[UpstreamId, ServiceUpstream] = {}
    workspaces: Mapping[WorkspaceId, Workspace] = {}

    def models(self) -> frozenset[ModelName]:
        """Return the models that at least one pool serves."""
        return frozenset(
            model for pool in self.pools.values() for model in pool.models
        )

    def engines_for_model(self, model: ModelName) -> tuple[EngineRecord, ...]:
        """Return the engines whose pool serves `model`."""
        return tuple(
            engine
            for engine in self.engines.values()
            if model in self.pools[engine.pool].models
        )


EMPTY_FLEET: Final = Fleet()
