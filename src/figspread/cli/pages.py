"""Reading the operator's pages of entries."""

from typing import Any, Final
from urllib.parse import quote

import msgspec
import urllib3
from result import Err, Ok, Result

from figspread.inner.messages import Load
from figspread.platform.calls import CallError, HttpCaller, Reply
from figspread.telemetry.trail import Hop

TIMEOUT_S: Final = 5
_NOT_FOUND: Final = 404


class UpstreamRow(msgspec.Struct, frozen=True):
    """An upstream as an entry sees it."""

    upstream: str
    state: str = ''
    config_number: int = 0
    load: Load = Load()


class EntryStatus(msgspec.Struct, frozen=True):
    """What the page `/operator/status` says; unknown fields are left out.

    `is_watcher` tells whether this process is one of those that watch the
    store for their data centre.
    """

    process: str = ''
    data_centre: str = ''
    state: str = ''
    config_number: int = 0
    is_watcher: bool = False
    callers: int = 0
    upstreams: tuple[UpstreamRow, ...] = ()


class AgentStatus(msgspec.Struct, frozen=True):
    """What the page `/operator/status` of an agent says."""

    process: str = ''
    upstream: str = ''
    data_centre: str = ''
    state: str = ''
    is_down: bool = False
    config_number: int = 0
    connections: int = 0
    attempts: int = 0
    load: Load = Load()


class _HopPage(msgspec.Struct, frozen=True):
    hops: tuple[Hop, ...]


class OperatorPages:
    """The operator's pages of a process; each call ends in bounded time."""

    def __init__(self, base_url: str, pool: urllib3.PoolManager) -> None:
        """Read pages below `base_url`."""
        self._caller = HttpCaller(base_url, timeout_s=TIMEOUT_S, pool=pool)

    def read_status(self) -> Result[EntryStatus, str]:
        """Return what the entry says of itself and its upstreams."""
        page = _take_body(self._caller.call('GET', '/operator/status'))
        return page.and_then(lambda raw: _decode(raw, EntryStatus))

    def read_agent_status(self) -> Result[AgentStatus, str]:
        """Return what an agent says of itself and its upstream."""
        page = _take_body(self._caller.call('GET', '/operator/status'))
        return page.and_then(lambda raw: _decode(raw, AgentStatus))

    def read_hops(self, request: str) -> Result[tuple[Hop, ...], str]:
        """Return what the process knows of `request`, perhaps nothing."""
        path = '/operator/requests/{0}'.format(quote(request, safe=''))
        reply = self._caller.call('GET', path)
        if isinstance(reply, Ok) and reply.ok_value.status == _NOT_FOUND:
            return Ok(())
        page = _take_body(reply).and_then(lambda raw: _decode(raw, _HopPage))
        return page.map(lambda found: found.hops)

    def drain(self) -> Result[Any, str]:
        """Tell the entry to leave; its running requests go on."""
        page = _take_body(self._caller.call('POST', '/operator/drain'))
        return page.and_then(lambda raw: _decode(raw, Any))


def _take_body(reply: Result[Reply, CallError]) -> Result[bytes, str]:
    match reply:
        case Ok(Reply(status=200 | 202, body=body)):
            return Ok(body)
        case Ok(Reply(status=status)):
            return Err('answers with status {0}'.format(status))
        case Err(fault):
            return Err('does not answer: {0}'.format(fault.detail))
    raise AssertionError(reply)


def _decode(raw: bytes, shape: Any) -> Result[Any, str]:
    try:
        return Ok(msgspec.json.decode(raw, type=shape))
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Err('gives no such page: {0}'.format(exc))
