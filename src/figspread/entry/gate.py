"""Concurrency limit for callers' requests.

The limit is below the number of server threads, so that a thread is free to
refuse the requests above it.
"""

import threading


class Gate:
    """Counts the requests in flight and admits at most `max_callers`.

    Owned by `EntryApp`; used by the HTTP server's threads.
    """

    def __init__(self, max_callers: int) -> None:
        """Start open, with no request in flight."""
        self._max_callers = max_callers
        self._in_flight = 0
        self._is_closed = False
        self._changed = threading.Condition()

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self._in_flight

    @property
    def is_closed(self) -> bool:
        """Whether new requests are no longer admitted."""
        return self._is_closed

    @property
    def is_full(self) -> bool:
        """Whether no further request would be admitted now."""
        return self._in_flight >= self._max_callers

    def try_enter(self) -> bool:
        """Count a request in; return `False` if full or closed."""
        with self._changed:
            if self._is_closed or self._in_flight >= self._max_callers:
                return False
            self._in_flight += 1
            return True

    def leave(self) -> None:
        """Count a request out; call it once for each admitted request."""
        with self._changed:
            self._in_flight -= 1
            self._changed.notify_all()

    def close(self) -> None:
        """Admit no new requests; those in flight continue."""
        with self._changed:
            self._is_closed = True

    def wait_until_empty(self, timeout_s: float) -> bool:
        """Wait until no request is in flight.

        Return `False` if some still are after `timeout_s` seconds.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self._in_flight == 0,
                timeout_s,
            )
