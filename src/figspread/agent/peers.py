"""Accepts and serves the connections of entries to an agent."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeAlias

import msgspec
from result import Err
from websockets.asyncio.server import Server, ServerConnection

from figspread.agent.parts import AgentDependencies, AgentOptions
from figspread.agent.peer_sync import Peer
from figspread.agent.session import Session, SessionContext
from figspread.inner.base import Message
from figspread.inner.connection import listen
from figspread.inner.handshake import Acceptor, accept_connection
from figspread.inner.heartbeat import keep_alive
from figspread.inner.messages import Heartbeat

MAX_CONNECTIONS: Final = 4096

StartTask: TypeAlias = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]


class PeersContext(msgspec.Struct, frozen=True):
    """What the connections need from their agent.

    `make_acceptor` and `make_heartbeat` return its current state, and
    `start` runs a coroutine as a background task.
    """

    session: SessionContext
    make_acceptor: Callable[[], Acceptor]
    make_heartbeat: Callable[[], Heartbeat]
    start: StartTask


class Peers:
    """Accepts connections and serves each in its own task."""

    def __init__(self, parts: AgentDependencies, options: AgentOptions) -> None:
        """Start without connections; `listen` accepts them."""
        self._parts = parts
        self._options = options
        self._sessions: set[Session] = set()
        self._connection_count = 0
        self._server: Server | None = None
        self._context: PeersContext | None = None

    def __len__(self) -> int:
        """Return the number of open connections after their handshake."""
        return len(self._sessions)

    @property
    def port(self) -> int:
        """The port that the agent listens on, resolved if `port` was 0."""
        if self._server is None:
            return self._options.port
        return int(self._server.sockets[0].getsockname()[1])

    async def listen(self, context: PeersContext) -> None:
        """Accept connections; raises `OSError` if it can't listen."""
        self._context = context
        self._server = await listen(
            self._handle_connection,
            self._options.host,
            self._options.port,
            ssl=self._parts.ssl,
            timeouts=self._options.timeouts,
        )

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def broadcast(self, message: Message, source: Peer | None = None) -> None:
        """Send `message` to all peers except `source`."""
        for session in self._sessions:
            if session is not source:
                session.send_nowait(message)

    async def _handle_connection(self, ws: ServerConnection) -> None:
        if self._context is None or self._connection_count >= MAX_CONNECTIONS:
            return
        self._connection_count += 1
        try:
            await self._serve_peer(ws, self._context)
        finally:
            self._connection_count -= 1

    async def _serve_peer(
        self, ws: ServerConnection, context: PeersContext
    ) -> None:
        accepted = await accept_connection(
            ws,
            context.make_acceptor,
            secret=self._parts.secret,
            timeouts=self._options.timeouts,
            clock=self._parts.clock,
        )
        if isinstance(accepted, Err):
            reason = accepted.err_value.kind.value
            log = self._parts.telemetry.log
            log.warning('peer connection refused', reason=reason)
            return
        conn, hello = accepted.ok_value
        session = Session(conn, context.session)
        self._sessions.add(session)
        heartbeat_task = context.start(keep_alive(conn, context.make_heartbeat))
        context.session.peer_sync.handle_config_number(
            hello.config_number, session
        )
        context.session.peer_sync.send_suspects(session)
        try:
            await session.run()
        finally:
            heartbeat_task.cancel()
            self._remove_session(session)

    def _remove_session(self, session: Session) -> None:
        self._sessions.discard(session)
        metrics = self._parts.telemetry.metrics
        metrics.add_control_bytes(session.conn.control_bytes)
