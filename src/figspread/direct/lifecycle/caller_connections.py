"""The callers' connections to an entry."""

from collections.abc import Callable

from figspread.http1.caller import CallerConnection
from figspread.http1.caller_shares import make_connection_table
from figspread.http1.connection_table import ConnectionTable


class CallerConnections:
    """Keeps the connections of a listener, and counts what still runs on them."""

    def __init__(
        self,
        make: Callable[[], CallerConnection],
        table: ConnectionTable[CallerConnection] | None = None,
    ) -> None:
        """Start without connections; `make` creates each.

        Those that `table` has no room for are closed.
        """
        self._make = make
        # An empty table is false.
        self._table = make_connection_table() if table is None else table
        self._is_closed = False

    @property
    def unsent_bytes(self) -> int:
        """How many bytes of answers the kernel has not taken yet."""
        return sum(conn.unsent_bytes for conn in self._table.list_connections())

    def accept(self) -> CallerConnection:
        """Return the protocol of a new connection, a closed one after `close`."""
        conn = self._make()
        excess = self._table.add(conn)
        if excess is not None:
            excess.evict()
        if self._is_closed:
            conn.close()
        return conn

    def count_busy(self) -> int:
        """Return on how many a request runs, arrives, or has unsent bytes."""
        return sum(conn.is_busy for conn in self._table.list_connections())

    def count_open(self) -> int:
        """Return how many are open."""
        return len(self._table)

    def close(self) -> None:
        """Close all of them, also those on which requests run."""
        self._is_closed = True
        for conn in self._table.list_connections():
            conn.close()
