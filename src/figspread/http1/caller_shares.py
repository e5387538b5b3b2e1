"""What the connections of all callers of a process share."""

import time
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, Final

import msgspec

from figspread.http1.buffers import BufferPool
from figspread.http1.chunk_turns import ChunkTurns
from figspread.http1.connection_table import ConnectionState, ConnectionTable

if TYPE_CHECKING:
    from figspread.http1.caller import CallerConnection


class Closing(Enum):
    """Why a request was refused or a connection closed, before it was served.

    The values are labels of a metric and fields of the log.
    """

    MALFORMED = 'malformed request'
    LATE = 'request late'
    HEAD_TOO_LARGE = 'head too large'
    BODY_TOO_LARGE = 'body too large'
    REQUEST_MEMORY = 'memory of requests'
    ANSWER_MEMORY = 'memory of answers'
    CONNECTION_LIMIT_NEW = 'connection limit, new'
    CONNECTION_LIMIT_IDLE = 'connection limit, idle'
    CONNECTION_LIMIT_RECEIVING = 'connection limit, receiving'
    CONNECTION_LIMIT_BLOCKED = 'connection limit, not reading'
    CONNECTION_LIMIT_CLOSING = 'connection limit, closing'


CLOSINGS_BY_STATUS: Final = {
    400: Closing.MALFORMED,
    408: Closing.LATE,
    413: Closing.BODY_TOO_LARGE,
    431: Closing.HEAD_TOO_LARGE,
    501: Closing.MALFORMED,
    503: Closing.REQUEST_MEMORY,
}
CLOSINGS_BY_STATE: Final = {
    ConnectionState.IDLE: Closing.CONNECTION_LIMIT_IDLE,
    ConnectionState.RECEIVING: Closing.CONNECTION_LIMIT_RECEIVING,
    ConnectionState.SERVING: Closing.CONNECTION_LIMIT_BLOCKED,
    ConnectionState.BLOCKED: Closing.CONNECTION_LIMIT_BLOCKED,
    ConnectionState.CLOSING: Closing.CONNECTION_LIMIT_CLOSING,
}
# Connections where nobody has set a limit.
DEFAULT_CONNECTIONS: Final = 1024


def _ignore_closing(closing: Closing) -> None:
    """Ignore `closing`; the default where the creator has no log."""


def make_connection_table(
    limit: int = DEFAULT_CONNECTIONS,
) -> 'ConnectionTable[CallerConnection]':
    """Return a table for `limit` connections."""
    return ConnectionTable(time.monotonic, limit)


class CallerShares(msgspec.Struct, frozen=True):
    """The limits of all callers together, and who is told of closings.

    What is received of requests counts in `requests`, and what callers have not
    taken of their answers in `answers`. Whoever accepts a connection adds it to
    `connections`.
    """

    requests: BufferPool = msgspec.field(default_factory=BufferPool)
    answers: BufferPool = msgspec.field(default_factory=BufferPool)
    connections: 'ConnectionTable[CallerConnection]' = msgspec.field(
        default_factory=make_connection_table
    )
    turns: ChunkTurns = msgspec.field(default_factory=ChunkTurns)
    report: Callable[[Closing], None] = _ignore_closing
