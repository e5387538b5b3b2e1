"""Generated fleet configurations with the proportions of the target."""

import hashlib
from typing import Final

from figspread.config.fleet import (
    DataCentre,
    EngineRecord,
    Fleet,
    Pool,
    Workspace,
)
from figspread.ids import (
    DataCentreId,
    ModelName,
    PoolId,
    RegionId,
    UpstreamId,
    WorkspaceId,
)

MODELS: Final = 34
REGIONS: Final = 5
DATA_CENTRES: Final = 14
ENGINES: Final = 2200
WORKSPACES: Final = 540


def make_fleet(
    engines: int = ENGINES,
    workspaces: int = WORKSPACES,
    *,
    number: int = 1,
    agent: str = '',
) -> Fleet:
    """Return a configuration with that `number`, engines and workspaces.

    If `agent` is given, it is the agent address of all engines.
    """
    centres = _list_data_centres()
    return Fleet(
        number=number,
        data_centres={
            centre: DataCentre(
                centre,
                RegionId('region-{0}'.format(position % REGIONS)),
            )
            for position, centre in enumerate(centres)
        },
        pools={
            PoolId('pool-{0}'.format(index)): Pool(
                PoolId('pool-{0}'.format(index)),
                (ModelName('model-{0}'.format(index)),),
            )
            for index in range(MODELS)
        },
        engines=dict(
            _make_engine(index, centres, agent) for index in range(engines)
        ),
        workspaces={
            WorkspaceId('workspace-{0}'.format(index)): _make_workspace(index)
            for index in range(workspaces)
        },
    )


def _list_data_centres() -> list[DataCentreId]:
    return [
        DataCentreId('dc-{0}'.format(index)) for index in range(DATA_CENTRES)
    ]


def make_key(index: int) -> str:
    """Return the API key of the workspace with that index."""
    return 'key-of-workspace-{0}'.format(index)


def _make_engine(
    index: int,
    centres: list[DataCentreId],
    agent: str,
) -> tuple[UpstreamId, EngineRecord]:
    address = '10.{0}.{1}.{2}'.format(index % 14, index // 250, index % 250)
    upstream = UpstreamId('vm-{0:06d}'.format(index * 7919 % 1_000_003))
    return upstream, EngineRecord(
        upstream,
        PoolId('pool-{0}'.format(index % MODELS)),
        centres[index // MODELS % DATA_CENTRES],
        agent or '{0}:7100'.format(address),
        'http://{0}:8000'.format(address),
        1_048_576,
        20_000,
    )


def _make_workspace(index: int) -> Workspace:
    digest = hashlib.sha256(make_key(index).encode()).hexdigest()
    return Workspace(
        WorkspaceId('workspace-{0}'.format(index)),
        (digest,),
        requests_per_s=20,
        tokens_per_s=10_000,
    )
