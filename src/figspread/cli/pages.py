"""HTTP client for the operator pages of entries and agents."""

from typing import Any, Final
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from figspread.http.client import ClientPool
from figspread.inner.messages import Load
from figspread.platform.calls import CallError, HttpCaller, Reply
from figspread.telemetry.trail import Hop

TIMEOUT_S: Final = 5
_NOT_FOUND: Final = 404


class UpstreamRow(msgspec.Struct, frozen=True):
    """Status of one upstream as reported by an entry."""

    upstream: str
    state: str = ''
    config_number: int = 0
    load: Load = Load()


class EntryStatus(msgspec.Struct, frozen=True):
    """Contents of the page `/operator/status` of an entry.

    Unknown fields are ignored. `is_watcher` tells whether this entry is one
    of those that watch the store for their data centre.
    """

    process: str = ''
    data_centre: str = ''
    state: str = ''
    config_number: int = 0
    is_watcher: bool = False
    callers: int = 0
    upstreams: tuple[UpstreamRow, ...] = ()


class AgentStatus(msgspec.Struct, frozen=True):
    """Contents of the page `/operator/status` of an agent."""

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
    """Client for the operator pages of one process; calls are time-limited."""

    def __init__(self, base_url: str, pool: ClientPool) -> None:
        """Call the pages below `base_url`."""
        self._caller = HttpCaller(base_url, timeout_s=TIMEOUT_S, pool=pool)

    def read_status(self) -> Result[EntryStatus, str]:
        """Return the status of an entry and of its upstreams."""
        page = _extract_body(self._caller.call('GET', '/operator/status'))
        return page.and_then(lambda raw: _decode(raw, EntryStatus))

    def read_agent_status(self) -> Result[AgentStatus, str]:
        """Return the status of an agent and of its upstream."""
        page = _extract_body(self._caller.call('GET', '/operator/status'))
        return page.and_then(lambda raw: _decode(raw, AgentStatus))

    def read_hops(self, request: str) -> Result[tuple[Hop, ...], str]:
        """Return the events of `request`; none if the process has none."""
        path = '/operator/requests/{0}'.format(quote(request, safe=''))
        reply = self._caller.call('GET', path)
        if isinstance(reply, Ok) and reply.ok_value.status == _NOT_FOUND:
            return Ok(())
        page = _extract_body(reply).and_then(lambda raw: _decode(raw, _HopPage))
        return page.map(lambda found: found.hops)

    def drain(self) -> Result[Any, str]:
        """Tell the entry to drain: running requests go on, new ones don't."""
        page = _extract_body(self._caller.call('POST', '/operator/drain'))
        return page.and_then(lambda raw: _decode(raw, Any))


def _extract_body(reply: Result[Reply, CallError]) -> Result[bytes, str]:
    match reply:
        case Ok(Reply(status=200 | 202, body=body)):
            return Ok(body)
        case Ok(Reply(status=status)):
            return Err('answered with status {0}'.format(status))
        case Err(fault):
            return Err('does not answer: {0}'.format(fault.detail))
    raise AssertionError(reply)


def _decode(raw: bytes, page_type: Any) -> Result[Any, str]:
    try:
        return Ok(msgspec.json.decode(raw, type=page_type))
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Err('sent an invalid page: {0}'.format(exc))
