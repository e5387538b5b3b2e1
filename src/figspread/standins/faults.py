"""The fault switches of all stand-ins, set as one JSON object each."""

from typing import Annotated, Final, Generic, TypeVar

import msgspec
from result import Err, Ok, Result

MAX_DELAY_S: Final = 60.0


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all fault switches.

    `times` limits how many requests they affect; 0 means no limit.
    """

    times: int = 0


class ListFaults(Faults, frozen=True, kw_only=True):
    """Faults of the platform's stand-ins.

    `down` drops connections, `slow_s` delays calls, in seconds, and
    `refuse_rate` is the fraction of calls that are refused, from 0 to 1.
    """

    down: bool = False
    slow_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_DELAY_S)] = 0
    refuse_rate: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0


class ObjectFaults(ListFaults, frozen=True, kw_only=True):
    """Faults of the Object API.

    `lose_write_answers` applies a write and then drops the connection;
    `lose_watch_events` leaves changed objects out of watch responses.
    """

    lose_write_answers: bool = False
    lose_watch_events: bool = False


class EngineFaults(Faults, frozen=True, kw_only=True):
    """Faults of a stand-in engine; none by default.

    With `die_on_marker` the engine dies when a prompt contains that text.
    `silent` accepts requests and sends nothing until they are cancelled or the
    engine stops, then answers with status 500. `silent_after_tokens` stalls
    the stream after that many tokens, `cut_after_tokens` breaks it. `refuse`
    refuses requests. The next `ignore_cancels` cancels are acknowledged but
    not carried out. `slow_factor` multiplies the duration of each step.
    """

    die_on_marker: str = ''
    silent: bool = False
    silent_after_tokens: int | None = None
    cut_after_tokens: int | None = None
    refuse: bool = False
    ignore_cancels: int = 0
    slow_factor: float = 1


class ServiceFaults(Faults, frozen=True, kw_only=True):
    """Faults of a stand-in service; none by default.

    `cut_before_run` breaks the connection before the call runs,
    `cut_after_run` in the middle of its response, `cut_in_head` within the head
    of its response. `silent` runs calls and never answers them. `error` runs
    nothing and answers with status 500.
    `slow_s` delays the response of a call that ran, in seconds.
    """

    silent: bool = False
    cut_before_run: bool = False
    cut_after_run: bool = False
    cut_in_head: bool = False
    error: bool = False
    slow_s: float = 0


_Faults = TypeVar('_Faults', bound=Faults)


class FaultSwitches(Generic[_Faults]):
    """The active faults; callers must serialise access."""

    def __init__(self, no_faults: _Faults) -> None:
        """Start with `no_faults`, in which all faults are off."""
        self.current: _Faults = no_faults
        self._no_faults = no_faults
        self._hits = 0

    def replace_from_json(self, raw_body: bytes) -> Result[_Faults, str]:
        """Replace all switches by those in a JSON object; return them.

        Return an error message that lists the known switches if `raw_body` is
        invalid.
        """
        try:
            faults = msgspec.json.decode(raw_body, type=type(self._no_faults))
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            known = ', '.join(self._no_faults.__struct_fields__)
            return Err('{0}; known faults: {1}'.format(exc, known))
        self.replace(faults)
        return Ok(faults)

    def replace(self, faults: _Faults) -> None:
        """Replace all switches by `faults` and restart the count for `times`."""
        self.current = faults
        self._hits = 0

    def select_for_request(self) -> _Faults:
        """Count a request and return the faults that affect it."""
        if self.current == self._no_faults:
            return self._no_faults
        self._hits += 1
        if 0 < self.current.times < self._hits:
            return self._no_faults
        return self.current
