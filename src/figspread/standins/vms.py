"""A stand-in for the platform's VM list, with a lag."""

import threading
import time
from collections.abc import Sequence

import cherrypy
import msgspec

from figspread.http.server import HttpServer, ListenOptions
from figspread.platform.types import Vm
from figspread.platform.vms import VmListing
from figspread.standins.faults import ListFaults
from figspread.standins.switchboard import (
    PAGES,
    FaultPages,
    Switchboard,
)


class VmStandIn:
    """The VM list on a listening address; `PUT /vms` replaces it.

    A new list is shown `lag_s` seconds after it was set.
    """

    def __init__(
        self,
        listen: ListenOptions,
        *,
        lag_s: float = 0,
        seed: int = 0,
    ) -> None:
        """Prepare an empty list; `seed` fixes which calls are refused."""
        self.faults = Switchboard(ListFaults(), seed=seed)
        self._pages = _Root(self.faults, lag_s)
        self._server = HttpServer(self._pages, listen, PAGES)

    @property
    def url(self) -> str:
        """Where the stand-in is reached."""
        return 'http://127.0.0.1:{0}'.format(self._server.port)

    def start(self) -> None:
        """Start to serve."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def replace(self, vms: Sequence[Vm]) -> None:
        """Report `vms` once the lag has passed."""
        self._pages.replace(VmListing(tuple(vms)))


class _Root:
    def __init__(
        self,
        faults: Switchboard[ListFaults],
        lag_s: float,
    ) -> None:
        self.standin = FaultPages(faults)
        self._faults = faults
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._shown = VmListing(())
        self._coming: list[tuple[float, VmListing]] = []

    def replace(self, listing: VmListing) -> None:
        """Show `listing` once the lag has passed."""
        with self._lock:
            self._coming.append((time.monotonic() + self._lag_s, listing))

    @cherrypy.expose
    def vms(self) -> bytes:
        """Show the list, or with PUT replace it."""
        if cherrypy.request.method == 'PUT':
            self.replace(_read_listing())
            return b''
        self._faults.meet('list')
        return msgspec.json.encode(self._visible())

    def _visible(self) -> VmListing:
        now = time.monotonic()
        with self._lock:
            while self._coming and self._coming[0][0] <= now:
                self._shown = self._coming.pop(0)[1]
            return self._shown


def _read_listing() -> VmListing:
    try:
        return msgspec.json.decode(cherrypy.request.body.read(), type=VmListing)
    except msgspec.DecodeError as exc:
        raise cherrypy.HTTPError(400, str(exc)) from exc
