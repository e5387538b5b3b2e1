"""Validation models for the sections of a release note.

Each section maps its model to the record that the fleet stores.
"""

from collections.abc import Mapping
from typing import Annotated, Any, Final, Literal, Self

import msgspec
from pydantic import AfterValidator, Field, model_validator

from figspread.config.fleet import (
    NO_LIMIT,
    DataCentre,
    EngineRecord,
    Pool,
    PoolRole,
    ServiceRecord,
    ServiceUpstream,
    Workspace,
)
from figspread.config.values import (
    Address,
    StrictTable,
    Url,
    ValidDataCentreId,
    ValidModelName,
    ValidPoolId,
    ValidRegionId,
    ValidServiceName,
    ValidUpstreamId,
    ValidWorkspaceId,
)

# Upper bound of all token counts and token rates, and of the request limits
# of a workspace.
TOKENS_LIMIT: Final = 1_000_000_000_000
# Maximum number of routes of a plain service.
ROUTES_LIMIT: Final = 1000

Tokens = Annotated[int, Field(gt=0, le=TOKENS_LIMIT)]
Limit = Annotated[float, Field(ge=NO_LIMIT, le=TOKENS_LIMIT)]
KeyHash = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
Method = Literal['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']


def _check_route_path(path: str) -> str:
    if not path.startswith('/') or '*' in path[:-1]:
        raise ValueError(
            'must be a path that starts with /, with * only at its end',
        )
    return path


class DataCentreRow(StrictTable):
    """A data centre and the region it belongs to."""

    id: ValidDataCentreId
    region: ValidRegionId


class PoolRow(StrictTable):
    """A pool of engines that serve the same models."""

    id: ValidPoolId
    models: list[ValidModelName] = Field(min_length=1)
    role: PoolRole = Field(PoolRole.GENERAL, strict=False)


class EngineRow(StrictTable):
    """A model engine and the address of its agent."""

    id: ValidUpstreamId
    pool: ValidPoolId
    data_centre: ValidDataCentreId
    agent: Address
    url: Url
    kv_tokens: Tokens
    prefill_tokens_per_s: float = Field(gt=0, le=TOKENS_LIMIT)
    checks_fencing: bool = False


class RouteRow(StrictTable):
    """Calls of a plain service and whether they may be sent again."""

    method: Method
    path: Annotated[str, AfterValidator(_check_route_path)]
    is_repeatable: bool


class ServiceRow(StrictTable):
    """A plain service and its routes."""

    id: ValidServiceName
    routes: list[RouteRow] = Field([], max_length=ROUTES_LIMIT)

    @model_validator(mode='after')
    def _check_routes(self) -> Self:
        method_paths = {(route.method, route.path) for route in self.routes}
        if len(method_paths) < len(self.routes):
            raise ValueError('has two routes with the same method and path')
        return self


class ServiceUpstreamRow(StrictTable):
    """A process of a plain service and the address of its agent."""

    id: ValidUpstreamId
    service: ValidServiceName
    data_centre: ValidDataCentreId
    agent: Address
    url: Url
    concurrency: int = Field(8, gt=0, le=100_000)


class WorkspaceRow(StrictTable):
    """A workspace with its API key hashes, weight and limits."""

    id: ValidWorkspaceId
    key_hashes: list[KeyHash]
    weight: float = Field(1, gt=0, le=1_000_000)
    requests_per_s: Limit = NO_LIMIT
    tokens_per_s: Limit = NO_LIMIT
    concurrent_requests: int = Field(NO_LIMIT, ge=0, le=TOKENS_LIMIT)


class Section(msgspec.Struct, frozen=True):
    """A section of a release note and how its rows are stored.

    `name` is the key of the section in a note and the field in `Fleet`;
    `id_field` is the field of `record` that holds the `id` of a row.
    `references` maps a field of the row to the section in which its value must
    be an id.
    """

    name: str
    id_field: str
    row: type[StrictTable]
    record: type[msgspec.Struct]
    references: Mapping[str, str] = {}

    def to_record(self, row: StrictTable) -> msgspec.Struct:
        """Return the record of a validated row."""
        values = row.model_dump(mode='json')
        values[self.id_field] = values.pop('id')
        return msgspec.convert(values, self.record)

    def to_note_values(self, record: msgspec.Struct) -> dict[str, Any]:
        """Return the values of a record in the form that a note has."""
        # The JSON round trip turns tuples into lists, as in a parsed note.
        encoded = msgspec.json.encode(record)
        values = msgspec.json.decode(encoded, type=dict[str, Any])
        return {'id': values.pop(self.id_field), **values}


SECTIONS: Final = (
    Section('data_centres', 'data_centre', DataCentreRow, DataCentre),
    Section('pools', 'pool', PoolRow, Pool),
    Section(
        'engines',
        'upstream',
        EngineRow,
        EngineRecord,
        {'pool': 'pools', 'data_centre': 'data_centres'},
    ),
    Section('services', 'service', ServiceRow, ServiceRecord),
    Section(
        'service_upstreams',
        'upstream',
        ServiceUpstreamRow,
        ServiceUpstream,
        {'service': 'services', 'data_centre': 'data_centres'},
    ),
    Section('workspaces', 'workspace', WorkspaceRow, Workspace),
)
