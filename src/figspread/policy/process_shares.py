"""Divides the memory and the descriptors of an entry among their uses.

What clients send can fill the share of its use, whatever their number, and the rest is
left for upstreams, the store, peers and health checks.
"""

from typing import Final

import msgspec

# Memory of a process where it is not known, in bytes.
DEFAULT_MEMORY_BYTES: Final = 300_000_000
# Descriptors of a process where they are not known.
DEFAULT_DESCRIPTORS: Final = 4096
# Parts of the memory, as its divisors. Together they are less than two thirds: the
# program itself, its tables and the copies of single messages need the rest.
REQUESTS_DIVISOR: Final = 3
ANSWERS_DIVISOR: Final = 10
STORE_DIVISOR: Final = 20
CONNECTIONS_DIVISOR: Final = 8
# What a connection may cost beside the bytes that are counted: its objects and task, and
# the first bytes that it keeps.
CONNECTION_BYTES: Final = 32_768
# A request is kept for further attempts while a copy of it is sent.
REQUEST_COPIES: Final = 2
# Descriptors that are no connections: files, pipes and the event loop's own.
FILE_DESCRIPTORS: Final = 200
# Parts of the other descriptors. A request needs a connection to an upstream, so these
# get as many as callers, and half as many more stay idle for further requests.
CALLERS_DIVISOR: Final = 3
IDLE_UPSTREAMS_DIVISOR: Final = 6
# Connections accepted before others get their turn, as a part of the limit.
ACCEPTS_DIVISOR: Final = 16
MAX_ACCEPTS: Final = 32


class ProcessShares(msgspec.Struct, frozen=True):
    """What each use may have, in bytes or in connections.

    `request_bytes` is for requests of callers, `answer_bytes` for answers of
    upstreams until callers have them, and `store_bytes` for answers of the store.
    `accepts` is the number of connections that are accepted at a time.
    """

    request_bytes: int
    answer_bytes: int
    store_bytes: int
    callers: int
    idle_upstreams: int
    accepts: int

    @property
    def longest_body_bytes(self) -> int:
        """The longest body for which there is memory if nothing else is kept."""
        return self.request_bytes // REQUEST_COPIES


def plan_shares(memory_bytes: int, descriptors: int) -> ProcessShares:
    """Return the shares of a process; 0 stands for what is not known.

    ```
    >>> plan_shares(300_000_000, 4100).callers
    1144
    ```
    """
    memory_bytes = memory_bytes or DEFAULT_MEMORY_BYTES
    sockets = max(0, (descriptors or DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS)
    callers = min(
        sockets // CALLERS_DIVISOR,
        memory_bytes // CONNECTIONS_DIVISOR // CONNECTION_BYTES,
    )
    return ProcessShares(
        request_bytes=memory_bytes // REQUESTS_DIVISOR,
        answer_bytes=memory_bytes // ANSWERS_DIVISOR,
        store_bytes=memory_bytes // STORE_DIVISOR,
        callers=max(1, callers),
        idle_upstreams=sockets // IDLE_UPSTREAMS_DIVISOR,
        accepts=min(MAX_ACCEPTS, max(1, callers // ACCEPTS_DIVISOR)),
    )
