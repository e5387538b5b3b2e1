"""Receives requests on connections, and refuses those that can't be received."""

import selectors
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Final

from figspread.clock import Clock
from figspread.http.connections import ReceivedConnection
from figspread.http.receive_options import ReceiveFault, ReceiveOptions
from figspread.http.request_heads import (
    HeadFacts,
    drop_expectation,
    find_head_end,
    read_facts,
)
from figspread.http1.buffers import BufferPool
from figspread.http1.connection_table import ConnectionState, ConnectionTable

# How long a caller that got its last answer may go on to send.
LINGER_S: Final = 2.0
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestIntake:
    """The connections of a server, and the state of each.

    All methods are called by one thread. `dispatch` is called with a connection that
    has a whole request; it comes back by `resume`.
    """

    def __init__(
        self,
        options: ReceiveOptions,
        selector: selectors.BaseSelector,
        dispatch: Callable[[ReceivedConnection], None],
        clock: Clock,
    ) -> None:
        """Start without connections; `selector` tells of input on them."""
        self._options = options
        self._selector = selector
        self._dispatch = dispatch
        self._pool = BufferPool(options.receiving_bytes)
        self.table = ConnectionTable[ReceivedConnection](
            clock.now, options.connections
        )

    def add(self, conn: ReceivedConnection) -> None:
        """Receive from a new connection; another one may be closed for it."""
        conn.share = self._pool.open_share(
            partial(self._refuse, conn, ReceiveFault.NO_ROOM)
        )
        self._selector.register(conn.socket, selectors.EVENT_READ, conn)
        excess = self.table.add(conn)
        if excess is None:
            return
        kind = 'new' if excess is conn else excess.state.value
        self._options.report('connection limit, {0}'.format(kind))
        if excess.has_begun:
            excess.try_send(self._options.build_refusal(ReceiveFault.FULL))
        self._close(excess)

    def receive(self, conn: ReceivedConnection) -> None:
        """Take what has arrived on a connection."""
        try:
            octets = conn.socket.recv(self._pool.read_bytes)
        except BlockingIOError:
            return
        except OSError:
            self._close(conn)
            return
        if conn.is_ended:
            if not octets:
                self._close(conn)
        elif octets:
            self._move(conn, ConnectionState.RECEIVING)
            conn.append(octets)
            self._advance(conn)
        elif conn.has_body_begun:
            self._refuse(conn, ReceiveFault.CUT)
        else:
            self._close(conn)

    def resume(self, conn: ReceivedConnection) -> None:
        """Receive the next request, or what follows the last one."""
        conn.release()
        if conn.is_closed:
            self.table.remove(conn)
            conn.share.close()
            return
        try:
            conn.socket.setblocking(False)
        except OSError:
            # A stop has shut it down.
            self._close(conn)
            return
        self._selector.register(conn.socket, selectors.EVENT_READ, conn)
        conn.receive_next()
        if conn.is_ended:
            self._linger(conn)
            return
        self._move(conn, ConnectionState.IDLE)
        if conn.received:
            self._move(conn, ConnectionState.RECEIVING)
            self._advance(conn)

    def close_late(self) -> None:
        """Refuse requests that take too long, and close what is idle."""
        options = self._options
        ended = self.table.list_older(ConnectionState.CLOSING, LINGER_S)
        idle = self.table.list_older(
            ConnectionState.IDLE, options.idle_timeout_s
        )
        for conn in (*ended, *idle):
            self._close(conn)
        late = self.table.list_older(
            ConnectionState.RECEIVING,
            min(options.head_timeout_s, options.body_timeout_s),
        )
        for conn in late:
            age_s = self.table.find_age_s(conn)
            if not conn.has_body_begun or age_s >= options.body_timeout_s:
                self._refuse(conn, ReceiveFault.LATE)

    def refuse_begun(self) -> None:
        """Refuse the requests that have arrived in part, as the server leaves."""
        for conn in self.table.list_older(ConnectionState.RECEIVING, 0):
            self._refuse(conn, ReceiveFault.LEAVING)

    def close_all(self) -> None:
        """Close the connections that no thread uses."""
        for conn in self.table.list_connections():
            if conn.is_received_here:
                self._close(conn)

    def _advance(self, conn: ReceivedConnection) -> None:
        """Dispatch a request that is whole, or wait for more of it."""
        is_accepted = conn.has_body_begun or self._parse_head(conn)
        length = conn.body_length
        if not is_accepted or conn.body_size < length:
            conn.count()
            return
        if length:
            conn.held = self._options.hold(length)
            if conn.held is None:
                self._refuse(conn, ReceiveFault.NO_ROOM)
                return
        self._pass_on(conn)

    def _parse_head(self, conn: ReceivedConnection) -> bool:
        """Return whether the head is complete and its request accepted so far."""
        end = find_head_end(conn.received, conn.searched_bytes)
        conn.searched_bytes = len(conn.received)
        if end is None and len(conn.received) <= self._options.head_bytes:
            return False
        head = bytes(conn.received[:end])
        if end is None or not self._options.body_bytes:
            # The server rejects a head that is too large.
            conn.begin_body(len(head), head, 0)
            return True
        facts = read_facts(head)
        fault = self._find_fault(facts)
        if fault is not None:
            self._refuse(conn, fault)
            return False
        conn.begin_body(len(head), drop_expectation(head), facts.length)
        if facts.is_expecting:
            conn.try_send(_CONTINUE)
        return True

    def _find_fault(self, facts: HeadFacts) -> ReceiveFault | None:
        if facts.has_coding and not facts.length:
            return ReceiveFault.NO_LENGTH
        if facts.length > self._options.body_bytes:
            return ReceiveFault.TOO_LARGE
        return self._options.find_fault() if facts.length else None

    def _pass_on(self, conn: ReceivedConnection) -> None:
        self._selector.unregister(conn.socket)
        self._move(conn, ConnectionState.SERVING)
        conn.share.resize(0)
        conn.prepare_request(is_whole=self._options.body_bytes > 0)
        self._dispatch(conn)

    def _refuse(self, conn: ReceivedConnection, fault: ReceiveFault) -> None:
        self._options.report(fault.value)
        conn.drop()
        conn.try_send(self._options.build_refusal(fault))
        self._linger(conn)

    def _linger(self, conn: ReceivedConnection) -> None:
        """Discard what the caller still sends, so that it gets its answer."""
        conn.end()
        self._move(conn, ConnectionState.CLOSING)

    def _close(self, conn: ReceivedConnection) -> None:
        with suppress(KeyError, ValueError):
            self._selector.unregister(conn.socket)
        self.table.remove(conn)
        conn.share.close()
        conn.drop()
        conn.close_here()

    def _move(self, conn: ReceivedConnection, state: ConnectionState) -> None:
        conn.state = state
        self.table.move(conn, state)
