"""The connections of an agent, from the listening socket to their end."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeAlias

import msgspec
from result import Err
from websockets.asyncio.server import Server, ServerConnection

from figspread.agent.parts import AgentOptions, AgentParts
from figspread.agent.peer_sync import Peer
from figspread.agent.session import Session, SessionParts
from figspread.inner.base import Message
from figspread.inner.connection import listen
from figspread.inner.handshake import Acceptor, accept
from figspread.inner.heartbeat import keep_alive
from figspread.inner.messages import Heartbeat

CONNECTIONS_LIMIT: Final = 4096

Start: TypeAlias = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]


class PeersNeeds(msgspec.Struct, frozen=True):
    """What connections are told about their agent."""

    session: SessionParts
    make_acceptor: Callable[[], Acceptor]
    make_heartbeat: Callable[[], Heartbeat]
    start: Start


class Peers:
    """Accepts connections and serves each in a task of its own."""

    def __init__(self, parts: AgentParts, options: AgentOptions) -> None:
        """Start without connections; `listen` takes some."""
        self._parts = parts
        self._options = options
        self._sessions: set[Session] = set()
        self._open = 0
        self._server: Server | None = None
        self._needs: PeersNeeds | None = None

    def __len__(self) -> int:
        """Return how many connections are open."""
        return len(self._sessions)

    @property
    def port(self) -> int:
        """The port that is listened on, also when it was 0."""
        if self._server is None:
            return self._options.port
        return int(self._server.sockets[0].getsockname()[1])

    async def listen(self, needs: PeersNeeds) -> None:
        """Take connections; raises `OSError` on a bad address."""
        self._needs = needs
        self._server = await listen(
            self._attend,
            self._options.host,
            self._options.port,
            ssl=self._parts.ssl,
            timeouts=self._options.timeouts,
        )

    async def close(self) -> None:
        """Close all connections and take no more."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def tell(self, message: Message, source: Peer | None = None) -> None:
        """Send `message` to all peers but the one that it came from."""
        for session in self._sessions:
            if session is not source:
                session.post(message)

    async def _attend(self, ws: ServerConnection) -> None:
        if self._needs is None or self._open >= CONNECTIONS_LIMIT:
            return
        self._open += 1
        try:
            await self._serve(ws, self._needs)
        finally:
            self._open -= 1

    async def _serve(self, ws: ServerConnection, needs: PeersNeeds) -> None:
        opened = await accept(
            ws,
            needs.make_acceptor,
            secret=self._parts.secret,
            timeouts=self._options.timeouts,
            clock=self._parts.clock,
        )
        if isinstance(opened, Err):
            reason = opened.err_value.kind.value
            log = self._parts.journal.log
            log.warning('peer connection refused', reason=reason)
            return
        conn, hello = opened.ok_value
        session = Session(conn, needs.session)
        self._sessions.add(session)
        keeping = needs.start(keep_alive(conn, needs.make_heartbeat))
        needs.session.peer_sync.note_number(hello.config_number, session)
        needs.session.peer_sync.greet(session)
        try:
            await session.run()
        finally:
            keeping.cancel()
            self._forget(session)

    def _forget(self, session: Session) -> None:
        self._sessions.discard(session)
        metrics = self._parts.journal.metrics
        metrics.add_control_bytes(session.conn.control_bytes)
