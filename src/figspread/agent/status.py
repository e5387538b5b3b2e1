"""The status page of an agent."""

import msgspec

from figspread.inner.messages import Load


class AgentStatus(msgspec.Struct, frozen=True):
    """A snapshot of an agent's state, written out by its operator server."""

    process: str
    upstream: str
    data_centre: str
    state: str
    is_down: bool
    config_number: int
    connections: int
    attempts: int
    load: Load
