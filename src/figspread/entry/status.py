"""The status document that an entry shows to operators."""

from collections.abc import Iterable, Sequence

import msgspec

from figspread.entry.link import Link
from figspread.ids import UpstreamId
from figspread.inner.messages import Load


class UpstreamStatus(msgspec.Struct, frozen=True):
    """State of the link to an upstream's agent, and what the agent reported.

    `config_number` and `load` are the last that the agent sent.
    """

    upstream: UpstreamId
    state: str
    config_number: int
    load: Load


class EntryStatus(msgspec.Struct, frozen=True):
    """Current state of an entry; `callers` counts requests in flight."""

    process: str
    data_centre: str
    state: str
    config_number: int
    is_watcher: bool
    callers: int
    upstreams: Sequence[UpstreamStatus]


def list_upstream_status(links: Iterable[Link]) -> Sequence[UpstreamStatus]:
    """Return the status of each link's upstream, sorted by upstream."""
    return [
        UpstreamStatus(
            link.upstream,
            link.state.value,
            link.config_number,
            link.load,
        )
        for link in sorted(links, key=lambda agent_link: agent_link.upstream)
    ]
