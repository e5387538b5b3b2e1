"""Bounds the connections of callers, and decides which one makes room for another.

A connection costs a descriptor and memory even if nothing is sent on it. A crowd of
clients that open connections and hold requests back must not keep others out: whoever
holds a connection without a whole request for longest loses it first.
"""

import itertools
from collections import OrderedDict
from collections.abc import Callable, Hashable
from enum import Enum
from typing import Final, Generic, TypeVar

# A request that takes longer to arrive than this is taken for held back. Callers send
# theirs at once; a long body takes about this long on a slow link.
HELD_BACK_S: Final = 1.0

_Conn = TypeVar('_Conn', bound=Hashable)


class ConnectionState(Enum):
    """What a connection is used for, and the name of that in logs and metrics."""

    IDLE = 'idle'
    RECEIVING = 'receiving'
    SERVING = 'serving'
    # Its caller makes no room for the answer.
    BLOCKED = 'blocked'
    # It had its last answer, and the caller has not closed it yet.
    CLOSING = 'closing'


# In this order connections are closed: the state, and the least time in it.
_CLOSING_ORDER: Final[tuple[tuple[ConnectionState, float], ...]] = (
    (ConnectionState.CLOSING, 0),
    (ConnectionState.RECEIVING, HELD_BACK_S),
    (ConnectionState.IDLE, 0),
    (ConnectionState.BLOCKED, HELD_BACK_S),
    (ConnectionState.RECEIVING, 0),
)


class ConnectionTable(Generic[_Conn]):
    """The open connections of a process by their state, in order of time.

    ```
    >>> table = ConnectionTable(lambda: 0.0, limit=1)
    >>> table.add('first'), table.add('second')
    (None, 'first')
    ```
    """

    def __init__(self, read_clock: Callable[[], float], limit: int) -> None:
        """Allow `limit` connections; `read_clock` returns seconds."""
        self.limit = limit
        self._read_clock = read_clock
        self._states: dict[_Conn, ConnectionState] = {}
        self._since: dict[ConnectionState, OrderedDict[_Conn, float]] = {
            state: OrderedDict() for state in ConnectionState
        }

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._states)

    def add(self, conn: _Conn) -> _Conn | None:
        """Add a connection, which is idle.

        Return the one to be closed if there are too many, which is no more in the
        table. It is `conn` itself if all others have whole requests.
        """
        self._put(conn, ConnectionState.IDLE)
        if len(self._states) <= self.limit:
            return None
        excess = self._find_excess(conn)
        self.remove(excess)
        return excess

    def move(self, conn: _Conn, state: ConnectionState) -> None:
        """Record the state of a connection, unless it is not in the table."""
        before = self._states.get(conn)
        if before is not None and before is not state:
            self._since[before].pop(conn)
            self._put(conn, state)

    def remove(self, conn: _Conn) -> None:
        """Forget a connection."""
        state = self._states.pop(conn, None)
        if state is not None:
            self._since[state].pop(conn)

    def count(self, state: ConnectionState) -> int:
        """Return how many connections are in a state."""
        return len(self._since[state])

    def list_connections(self) -> tuple[_Conn, ...]:
        """Return all connections."""
        return tuple(self._states)

    def find_age_s(self, conn: _Conn) -> float:
        """Return how long a connection has been in its state."""
        since_s = self._since[self._states[conn]][conn]
        return self._read_clock() - since_s

    def list_older(
        self, state: ConnectionState, age_s: float
    ) -> tuple[_Conn, ...]:
        """Return the connections that have been in a state for so long."""
        until_s = self._read_clock() - age_s
        return tuple(
            itertools.takewhile(
                lambda conn: self._since[state][conn] <= until_s,
                self._since[state],
            )
        )

    def _put(self, conn: _Conn, state: ConnectionState) -> None:
        self._states[conn] = state
        self._since[state][conn] = self._read_clock()

    def _find_excess(self, added: _Conn) -> _Conn:
        now = self._read_clock()
        for state, least_s in _CLOSING_ORDER:
            conn, since_s = next(iter(self._since[state].items()), (added, now))
            if conn != added and now - since_s >= least_s:
                return conn
        return added
