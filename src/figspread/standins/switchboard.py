"""Faults and call counters of the platform's stand-ins, with their pages."""

import errno
import random
import threading
import time
from collections import Counter
from typing import Any, Final, Generic, NoReturn, TypeVar

import cherrypy
import msgspec
from result import Err

from figspread.standins.faults import FaultSwitches, ListFaults

PAGES: Final[dict[str, dict[str, Any]]] = {
    '/': {
        'wsgi.ExceptionTrapper.throws': (
            KeyboardInterrupt,
            SystemExit,
            ConnectionResetError,
        ),
        'request.show_tracebacks': False,
    },
}
_Faults = TypeVar('_Faults', bound=ListFaults)


class Switchboard(Generic[_Faults]):
    """The faults that are switched on, and how often each call was made."""

    def __init__(self, faults: _Faults, *, seed: int = 0) -> None:
        """Start with `faults`; `seed` fixes which calls are refused."""
        self._lock = threading.Lock()
        self._rng = random.Random(seed)
        self._calls: Counter[str] = Counter()
        self._switches = FaultSwitches(type(faults)())
        self._switches.set(faults)

    @property
    def faults(self) -> _Faults:
        """The faults in force."""
        return self._switches.current

    @faults.setter
    def faults(self, faults: _Faults) -> None:
        with self._lock:
            self._switches.set(faults)

    def replace(self, raw: bytes) -> str:
        """Take the JSON object `raw` for the faults; return what is wrong."""
        with self._lock:
            changed = self._switches.put(raw)
        return changed.err_value if isinstance(changed, Err) else ''

    def meet(self, call: str) -> _Faults:
        """Count the call, then delay, refuse or drop it as switched."""
        with self._lock:
            self._calls[call] += 1
            faults = self._switches.hit()
            chance = self._rng.random()
        if faults.slow_s:
            time.sleep(faults.slow_s)
        if faults.down:
            drop_connection()
        if chance < faults.refuse_rate:
            cherrypy.response.headers['Retry-After'] = '1'
            raise cherrypy.HTTPError(429, 'too many calls')
        return faults

    def counts(self) -> dict[str, int]:
        """Return the number of calls so far, by their kind."""
        with self._lock:
            return dict(self._calls)


class FaultPages:
    """Pages under `/standin`."""

    def __init__(self, switchboard: Switchboard[Any]) -> None:
        """Serve the switches of `switchboard`."""
        self._switchboard = switchboard

    @cherrypy.expose
    def faults(self) -> bytes:
        """Show the faults, or with PUT replace them all."""
        if cherrypy.request.method == 'PUT':
            wrong = self._switchboard.replace(cherrypy.request.body.read())
            if wrong:
                raise cherrypy.HTTPError(400, wrong)
        return msgspec.json.encode(self._switchboard.faults)

    @cherrypy.expose
    def counts(self) -> bytes:
        """Show the call counters."""
        return msgspec.json.encode(self._switchboard.counts())


def drop_connection() -> NoReturn:
    """End the connection of the running request without an answer."""
    cherrypy.request.throws = (*cherrypy.request.throws, ConnectionResetError)
    raise ConnectionResetError(errno.ECONNRESET, 'dropped by a fault switch')
