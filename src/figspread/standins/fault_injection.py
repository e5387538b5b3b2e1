"""Fault injection and call counters of the platform's stand-ins."""

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


class FaultInjector(Generic[_Faults]):
    """Injects the active faults into calls and counts calls by kind."""

    def __init__(self, faults: _Faults, *, seed: int = 0) -> None:
        """Start with `faults`; `seed` determines which calls are refused."""
        self._lock = threading.Lock()
        self._rng = random.Random(seed)
        self._calls: Counter[str] = Counter()
        self._switches = FaultSwitches(type(faults)())
        self._switches.replace(faults)

    @property
    def faults(self) -> _Faults:
        """The active faults."""
        return self._switches.current

    @faults.setter
    def faults(self, faults: _Faults) -> None:
        with self._lock:
            self._switches.replace(faults)

    def set_from_json(self, raw_body: bytes) -> str:
        """Replace the faults by a JSON object; return an error message or ''."""
        with self._lock:
            replaced = self._switches.replace_from_json(raw_body)
        return replaced.err_value if isinstance(replaced, Err) else ''

    def apply_faults(self, call: str) -> _Faults:
        """Count a call, then delay, drop or refuse it as the faults say.

        Return the faults that affect this call.
        """
        with self._lock:
            self._calls[call] += 1
            faults = self._switches.select_for_request()
            draw = self._rng.random()
        if faults.slow_s:
            time.sleep(faults.slow_s)
        if faults.down:
            drop_connection()
        if draw < faults.refuse_rate:
            cherrypy.response.headers['Retry-After'] = '1'
            raise cherrypy.HTTPError(429, 'too many calls')
        return faults

    def counts(self) -> dict[str, int]:
        """Return the number of calls so far, by kind."""
        with self._lock:
            return dict(self._calls)


class FaultPages:
    """The pages under `/standin`."""

    def __init__(self, injector: FaultInjector[Any]) -> None:
        """Serve the faults and counters of `injector`."""
        self._injector = injector

    @cherrypy.expose
    def faults(self) -> bytes:
        """Return the faults, or replace them all on PUT."""
        if cherrypy.request.method == 'PUT':
            error = self._injector.set_from_json(cherrypy.request.body.read())
            if error:
                raise cherrypy.HTTPError(400, error)
        return msgspec.json.encode(self._injector.faults)

    @cherrypy.expose
    def counts(self) -> bytes:
        """Return the call counters."""
        return msgspec.json.encode(self._injector.counts())


def drop_connection() -> NoReturn:
    """Close the connection of the current request without a response."""
    cherrypy.request.throws = (*cherrypy.request.throws, ConnectionResetError)
    raise ConnectionResetError(errno.ECONNRESET, 'dropped by a fault switch')
