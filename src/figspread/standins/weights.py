"""A stand-in for the weight store, which refuses calls over its rate."""

import math
import threading

import cherrypy
import msgspec

from figspread.clock import Clock, MonotonicClock
from figspread.http.server import HttpServer, ListenOptions
from figspread.ids import ModelName
from figspread.platform.weights import RateLimit, TokenBucket, Weights
from figspread.standins.fault_injection import (
    PAGES,
    FaultInjector,
    FaultPages,
)
from figspread.standins.faults import ListFaults


class WeightStandIn:
    """Serves the weight store on a listening address; `PUT` adds weights."""

    def __init__(
        self,
        listen: ListenOptions,
        *,
        limit: RateLimit,
        clock: Clock | None = None,
        seed: int = 0,
    ) -> None:
        """Prepare an empty store; `seed` determines which calls are refused."""
        self.faults = FaultInjector(ListFaults(), seed=seed)
        bucket = TokenBucket(limit, clock or MonotonicClock())
        self._server = HttpServer(_Root(self.faults, bucket), listen, PAGES)

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


class _Root:
    def __init__(
        self,
        faults: FaultInjector[ListFaults],
        bucket: TokenBucket,
    ) -> None:
        self.standin = FaultPages(faults)
        self._faults = faults
        self._bucket = bucket
        self._lock = threading.Lock()
        self._weights: dict[tuple[str, str], Weights] = {}

    @cherrypy.expose
    def weights(self, model: str, version: str) -> bytes:
        """Return where weights are stored, or add them on PUT.

        Calls over the rate limit are refused with 429 and `Retry-After`.
        """
        if cherrypy.request.method == 'PUT':
            return self._add(model, version)
        self._faults.apply_faults('find')
        wait_s = self._bucket.try_take()
        if wait_s:
            retry_after = str(math.ceil(wait_s))
            cherrypy.response.headers['Retry-After'] = retry_after
            raise cherrypy.HTTPError(429, 'over the rate')
        with self._lock:
            stored = self._weights.get((model, version))
        if stored is None:
            raise cherrypy.HTTPError(404, 'no such weights')
        return msgspec.json.encode(stored)

    def _add(self, model: str, version: str) -> bytes:
        try:
            added = msgspec.json.decode(
                cherrypy.request.body.read(),
                type=Weights,
            )
        except msgspec.DecodeError as exc:
            raise cherrypy.HTTPError(400, str(exc)) from exc
        if (added.model, added.version) != (ModelName(model), version):
            raise cherrypy.HTTPError(400, 'model or version differ from path')
        with self._lock:
            self._weights[model, version] = added
        return b''
