"""The fault switches of all stand-ins, each set as one JSON object."""

from typing import Annotated, Final, Generic, TypeVar

import msgspec
from result import Err, Ok, Result

SLOW_LIMIT_S: Final = 60.0


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all fault switches; `times` bounds how many requests they hit.

    With 0 there is no bound.
    """

    times: int = 0


class ListFaults(Faults, frozen=True, kw_only=True):
    """Faults of the platform's stand-ins; `refuse_rate` is from 0 to 1."""

    down: bool = False
    slow_s: Annotated[float, msgspec.Meta(ge=0, le=SLOW_LIMIT_S)] = 0
    refuse_rate: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0


class ObjectFaults(ListFaults, frozen=True, kw_only=True):
    """Faults of the Object API.

    `lose_write_answers` applies a write and then drops the connection;
    `lose_watch_events` lets watches pass over what changed.
    """

    lose_write_answers: bool = False
    lose_watch_events: bool = False


class EngineFaults(Faults, frozen=True, kw_only=True):
    """What goes wrong on a stand-in engine; all is well by default.

    With `die_on_marker` the engine dies when it is given a prompt with that
    text. `silent` accepts requests and never answers; `silent_after_tokens`
    and `cut_after_tokens` stop or break the stream after that many tokens.
    The next `ignore_cancels` cancels are answered and not obeyed.
    """

    die_on_marker: str = ''
    silent: bool = False
    silent_after_tokens: int | None = None
    cut_after_tokens: int | None = None
    refuse: bool = False
    ignore_cancels: int = 0
    slow_factor: float = 1


class ServiceFaults(Faults, frozen=True, kw_only=True):
    """What goes wrong on a stand-in service; all is well by default.

    `cut_before_run` breaks the connection before the call ran,
    `cut_after_run` in the middle of its answer, `silent` never answers a call
    that ran. `error` runs nothing and answers with status 500.
    """

    silent: bool = False
    cut_before_run: bool = False
    cut_after_run: bool = False
    error: bool = False
    slow_s: float = 0


_Faults = TypeVar('_Faults', bound=Faults)


class FaultSwitches(Generic[_Faults]):
    """The faults in force; the caller serialises access."""

    def __init__(self, healthy: _Faults) -> None:
        """Start with `healthy`, which has all faults off."""
        self.current: _Faults = healthy
        self._healthy = healthy
        self._hits = 0

    def put(self, raw: bytes) -> Result[_Faults, str]:
        """Replace all switches by those in the JSON object `raw`."""
        try:
            faults = msgspec.json.decode(raw, type=type(self._healthy))
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            known = ', '.join(self._healthy.__struct_fields__)
            return Err('{0}; known faults: {1}'.format(exc, known))
        self.set(faults)
        return Ok(faults)

    def set(self, faults: _Faults) -> None:
        """Replace all switches by `faults`."""
        self.current = faults
        self._hits = 0

    def hit(self) -> _Faults:
        """Return the faults that the next request meets."""
        if self.current == self._healthy:
            return self._healthy
        self._hits += 1
        if 0 < self.current.times < self._hits:
            return self._healthy
        return self.current
