"""Validated value types that settings and release notes share."""

import re
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Final
from urllib.parse import urlsplit

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

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
PORT_LIMIT: Final = 65_535
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


def check_ip_address(host: str) -> str:
    """Return `host`, or raise `ValueError` if it is not an IP address."""
    try:
        ip_address(host)
    except ValueError:
        raise ValueError('must be an IP address') from None
    return host


def check_address(address: str) -> str:
    """Return `address`, or raise `ValueError` unless it is `ip:port`.

    An IPv6 address must be in brackets.
    """
    host, _, port = address.rpartition(':')
    has_port = port.isascii() and port.isdecimal() and len(port) <= 5
    if not has_port or not 0 < int(port) <= PORT_LIMIT:
        raise ValueError('must be IP:PORT, with a port from 1 to 65535')
    is_bracketed = host.startswith('[') and host.endswith(']')
    if is_bracketed == (':' in host):
        check_ip_address(host.strip('[]'))
        return address
    raise ValueError('must be IP:PORT, with IPv6 addresses in brackets')


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
