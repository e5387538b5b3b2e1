"""Receives requests whole before a thread serves them.

A thread that waits for a caller's bytes is lost to others, and a crowd of callers that
hold bodies back takes all of them. So one thread receives from all connections, and
passes on a request once it is whole.
"""

import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final

from figspread.clock import Clock, MonotonicClock
from figspread.http.connections import ReceivedConnection
from figspread.http.intake import RequestIntake
from figspread.http.receive_options import ReceiveOptions
from figspread.http1.connection_table import ConnectionState

# Longest time between two checks for what is late.
CHECK_INTERVAL_S: Final = 0.5
# Connections accepted before others get their turn.
ACCEPTS: Final = 32
# Pause after a connection that could not be accepted, as there is no descriptor.
ACCEPT_PAUSE_S: Final = 0.05
# How long requests that have begun may arrive once the server stops.
FINISH_TIMEOUT_S: Final = 1.0
_WAKE: Final = b'w'
_WAKES: Final = 1024


class Receiver:
    """Accepts connections and receives from them, in one thread.

    `dispatch` is called with a connection that has a whole request. Its thread
    hands the connection back by `take_back`, open or closed.
    """

    def __init__(
        self,
        options: ReceiveOptions,
        make: Callable[[socket.socket, Any], ReceivedConnection],
        dispatch: Callable[[ReceivedConnection], None],
        clock: Clock | None = None,
    ) -> None:
        """Start without connections; `make` creates each."""
        self._options = options
        self._make = make
        self._clock = clock or MonotonicClock()
        self._selector = selectors.DefaultSelector()
        self._intake = RequestIntake(
            options, self._selector, dispatch, self._clock
        )
        self._returned: deque[ReceivedConnection] = deque()
        # Written to by other threads, so that `select` returns.
        self._wake_ends = socket.socketpair()
        for end in self._wake_ends:
            end.setblocking(False)
        self._selector.register(self._wake_ends[1], selectors.EVENT_READ)
        self._checked_s = self._clock.now()
        self._is_stopping = threading.Event()
        self._is_finished = threading.Event()

    @property
    def has_room(self) -> bool:
        """Whether a connection may be kept for further requests."""
        return len(self._intake.table) < self._intake.table.limit

    def run(self, listener: socket.socket) -> None:
        """Accept connections from `listener` until `stop` is called."""
        listener.setblocking(False)
        self._selector.register(listener, selectors.EVENT_READ)
        while not self._is_stopping.is_set():
            self._run_once(listener, CHECK_INTERVAL_S)
        self._finish(listener)

    def stop(self) -> None:
        """Pass on what has arrived, close the rest, and return after that."""
        self._is_stopping.set()
        self._wake()
        self._is_finished.wait(2 * FINISH_TIMEOUT_S)

    def take_back(self, conn: ReceivedConnection) -> None:
        """Take back a connection from its thread."""
        if self._is_finished.is_set():
            conn.close_here()
            return
        self._returned.append(conn)
        self._wake()

    def _run_once(self, listener: socket.socket, timeout_s: float) -> int:
        """Receive what has arrived, or wait for it for a while.

        Return the number of sockets that were ready.
        """
        ready = self._selector.select(timeout_s)
        for key, _ in ready:
            if key.fileobj is listener:
                self._accept(listener)
            elif key.data is None:
                with suppress(BlockingIOError):
                    self._wake_ends[1].recv(_WAKES)
            elif key.data.is_received_here:
                self._intake.receive(key.data)
        while self._returned:
            self._intake.resume(self._returned.popleft())
        now = self._clock.now()
        if now - self._checked_s >= CHECK_INTERVAL_S:
            self._checked_s = now
            self._intake.close_late()
            self._options.tick()
        return len(ready)

    def _accept(self, listener: socket.socket) -> None:
        for _ in range(ACCEPTS):
            try:
                sock, address = listener.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                self._options.report('accept failed: {0}'.format(exc.strerror))
                # It would be ready again at once.
                time.sleep(ACCEPT_PAUSE_S)
                return
            sock.setblocking(False)
            self._intake.add(self._make(sock, address))

    def _finish(self, listener: socket.socket) -> None:
        """Receive what callers have sent, refuse the rest, and close."""
        until_s = self._clock.now() + FINISH_TIMEOUT_S
        table = self._intake.table
        while self._clock.now() < until_s:
            is_quiet = not self._run_once(listener, 0)
            if is_quiet and not table.count(ConnectionState.RECEIVING):
                break
        self._selector.unregister(listener)
        self._intake.refuse_begun()
        self._is_finished.set()
        self._intake.close_all()
        while self._returned:
            self._returned.popleft().close_here()
        self._selector.close()
        for end in self._wake_ends:
            end.close()

    def _wake(self) -> None:
        # A full buffer wakes it, too; a closed socket means that it has ended.
        with suppress(OSError):
            self._wake_ends[0].send(_WAKE)
