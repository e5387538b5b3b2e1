"""The callers' connections to an entry."""

from collections.abc import Callable

from figspread.http1.caller import CallerConnection


class CallerConnections:
    """Keeps the open connections, and counts what still runs on them."""

    def __init__(self, make: Callable[[], CallerConnection]) -> None:
        """Start without connections; `make` creates each."""
        self._make = make
        self._conns: set[CallerConnection] = set()

    @property
    def unsent_bytes(self) -> int:
        """How many bytes of answers the kernel has not taken yet."""
        return sum(conn.unsent_bytes for conn in self._conns)

    def accept(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        conn = self._make()
        self._conns.add(conn)
        return conn

    def count_busy(self) -> int:
        """Return on how many a request runs, arrives, or has unsent bytes."""
        self._conns = {conn for conn in self._conns if not conn.is_closed}
        return sum(conn.is_busy for conn in self._conns)

    def close(self) -> None:
        """Close all of them, also those on which requests run."""
        for conn in tuple(self._conns):
            conn.close()
