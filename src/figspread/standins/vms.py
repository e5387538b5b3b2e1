"""A stand-in for the platform's VM list, which changes with a lag."""

import threading
import time
from collections.abc import Sequence

import cherrypy
import msgspec

from figspread.http.server import HttpServer, ListenOptions
from figspread.platform.types import Vm
from figspread.platform.vms import VmListing
from figspread.standins.fault_injection import (
    PAGES,
    FaultInjector,
    FaultPages,
)
from figspread.standins.faults import ListFaults


class VmStandIn:
    """Serves the VM list on a listening address; `PUT /vms` replaces it.

    A new list becomes visible `lag_s` seconds after it was set.
    """

    def __init__(
        self,
        listen: ListenOptions,
        *,
        lag_s: float = 0,
        seed: int = 0,
    ) -> None:
        """Prepare an empty list; `seed` determines which calls are refused."""
        self.faults = FaultInjector(ListFaults(), seed=seed)
        self._pages = _Root(self.faults, lag_s)
        self._server = HttpServer(self._pages, listen, PAGES)

    @property
    def url(self) -> str:
        """The base URL of the stand-in."""
        return 'http://127.0.0.1:{0}'.format(self._server.port)

    def start(self) -> None:
        """Start the server."""
        self._server.start()

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop()

    def replace(self, vms: Sequence[Vm]) -> None:
        """Replace the list by `vms`, visible once the lag has passed."""
        self._pages.replace(VmListing(tuple(vms)))


class _Root:
    def __init__(
        self,
        faults: FaultInjector[ListFaults],
        lag_s: float,
    ) -> None:
        self.standin = FaultPages(faults)
        self._faults = faults
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._visible = VmListing(())
        self._pending: list[tuple[float, VmListing]] = []

    def replace(self, listing: VmListing) -> None:
        """Make `listing` visible once the lag has passed."""
        with self._lock:
            self._pending.append((time.monotonic() + self._lag_s, listing))

    @cherrypy.expose
    def vms(self) -> bytes:
        """Return the visible list, or replace it on PUT."""
        if cherrypy.request.method == 'PUT':
            self.replace(_parse_listing())
            return b''
        self._faults.apply_faults('list')
        return msgspec.json.encode(self._get_visible())

    def _get_visible(self) -> VmListing:
        now = time.monotonic()
        with self._lock:
            while self._pending and self._pending[0][0] <= now:
                self._visible = self._pending.pop(0)[1]
            return self._visible


def _parse_listing() -> VmListing:
    try:
        return msgspec.json.decode(cherrypy.request.body.read(), type=VmListing)
    except msgspec.DecodeError as exc:
        raise cherrypy.HTTPError(400, str(exc)) from exc
