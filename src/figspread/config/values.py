"""Validated value types that settings and release notes share."""

import re
from pathlib import Path
from typing import Annotated, Final
from urllib.parse import urlsplit

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from figspread.addresses import PORT_LIMIT, check_address, check_ip_address
from figspread.ids import (
    DataCentreId,
    ModelName,
    NoteId,
    PoolId,
    RegionId,
    ServiceName,
    UpstreamId,
    VmId,
    WorkspaceId,
)

# Upper bound of settings of type `Seconds`: one day.
MAX_DURATION_S: Final = 86_400
_ID_FIELD: Final = Field(pattern='^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$')
_MODEL_FIELD: Final = Field(pattern='^[A-Za-z0-9][A-Za-z0-9._:/-]{0,199}$')
_HOST_PATTERN: Final = re.compile(r'[A-Za-z0-9._-]+|[0-9A-Fa-f:.]+')


class StrictTable(BaseModel):
    """A table that rejects unknown keys and values of another type."""

    model_config = ConfigDict(
        extra='forbid',
        frozen=True,
        strict=True,
        allow_inf_nan=False,
    )


def check_url(url: str) -> str:
    """Return `url` without trailing slashes.

    Raises `ValueError` unless it is an HTTP or HTTPS URL with a host.
    """
    try:
        parts = urlsplit(url)
        has_host = bool(_HOST_PATTERN.fullmatch(parts.hostname or ''))
        is_valid = has_host and parts.port != 0
    except ValueError:
        is_valid = False
    if not is_valid or parts.scheme not in {'http', 'https'}:
        raise ValueError('must be http://HOST:PORT or https://HOST:PORT')
    return url.rstrip('/')


Url = Annotated[str, AfterValidator(check_url)]
Host = Annotated[str, AfterValidator(check_ip_address)]
Address = Annotated[str, AfterValidator(check_address)]
Port = Annotated[int, Field(ge=0, le=PORT_LIMIT)]
Seconds = Annotated[float, Field(gt=0, le=MAX_DURATION_S)]
FilePath = Annotated[Path, Field(strict=False)]

ValidDataCentreId = Annotated[DataCentreId, _ID_FIELD]
ValidModelName = Annotated[ModelName, _MODEL_FIELD]
ValidNoteId = Annotated[NoteId, _ID_FIELD]
ValidPoolId = Annotated[PoolId, _ID_FIELD]
ValidRegionId = Annotated[RegionId, _ID_FIELD]
ValidServiceName = Annotated[ServiceName, _ID_FIELD]
ValidUpstreamId = Annotated[UpstreamId, _ID_FIELD]
ValidVmId = Annotated[VmId, _ID_FIELD]
ValidWorkspaceId = Annotated[WorkspaceId, _ID_FIELD]
