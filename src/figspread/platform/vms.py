"""An HTTP client of the platform's VM list."""

from collections.abc import Sequence
from typing import Final

import msgspec
from result import Err, Ok, Result

from figspread.documents import MalformedDocument, decode_json
from figspread.http.client import ClientPool
from figspread.platform.calls import HttpCaller, convert_failure
from figspread.platform.types import Unavailable, Vm

_OK: Final = 200


class VmListing(msgspec.Struct, frozen=True):
    """The body of a VM list reply."""

    vms: tuple[Vm, ...]


class HttpVmList:
    """The platform's VM list over HTTP."""

    def __init__(
        self,
        base_url: str,
        *,
        timeout_s: float,
        pool: ClientPool,
    ) -> None:
        """Set up a client of the VM list at `base_url`."""
        self._caller = HttpCaller(base_url, timeout_s=timeout_s, pool=pool)

    def read(self) -> Result[Sequence[Vm], Unavailable]:
        """Return the VMs that the platform currently reports."""
        reply = self._caller.call('GET', '/vms')
        if isinstance(reply, Ok) and reply.ok_value.status == _OK:
            return _decode_vms(reply.ok_value.body)
        return Err(convert_failure(reply))


def _decode_vms(body: bytes) -> Result[Sequence[Vm], Unavailable]:
    try:
        listing = decode_json(body, VmListing)
    except MalformedDocument as exc:
        return Err(Unavailable('the reply is not a VM list: {0}'.format(exc)))
    return Ok(listing.vms)
