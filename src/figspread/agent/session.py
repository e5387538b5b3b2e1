"""One connection from an entry: what it asks and what it is told."""

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec

from figspread.agent.intake import Intake
from figspread.agent.loop_heartbeat import LoopHeartbeat
from figspread.agent.peer_sync import PeerSync
from figspread.agent.spans import Spans
from figspread.inner.base import Message
from figspread.inner.connection import Connection
from figspread.inner.messages import (
    AnyMessage,
    BodyPiece,
    Cancel,
    ConfigCopy,
    Credit,
    Fault,
    FaultCode,
    FetchConfig,
    Heartbeat,
    Release,
    Reserve,
    Settle,
    Submit,
    Suspects,
)

UNSENT_LIMIT: Final = 4096
_MS_PER_S: Final = 1000


class SessionParts(msgspec.Struct, frozen=True):
    """The parts of the agent that sessions hand messages to."""

    intake: Intake
    peer_sync: PeerSync
    spans: Spans
    loop_heartbeat: LoopHeartbeat
    poke: Callable[[], None]


class Session:
    """Handles the messages of one connection, in order, without waiting.

    Answers go out in tasks of their own, so that a peer that doesn't read
    can't hold up what it says; one that leaves too many unread is dropped.
    """

    def __init__(self, conn: Connection, parts: SessionParts) -> None:
        """Serve `conn`, whose handshake is done."""
        self.conn = conn
        self._parts = parts
        self._unsent: set[asyncio.Task[bool]] = set()

    async def send(self, message: Message) -> bool:
        """Send `message` and wait until the network has taken it."""
        return await self.conn.send(message)

    def post(self, message: Message) -> None:
        """Send `message` without waiting."""
        if len(self._unsent) >= UNSENT_LIMIT:
            self.conn.abort()
            return
        task = asyncio.create_task(self.conn.send(message))
        self._unsent.add(task)
        task.add_done_callback(self._unsent.discard)

    async def run(self) -> None:
        """Handle messages until the connection is closed.

        Attempts that came over it are then given up, since nobody waits for
        them.
        """
        try:
            async for message in self.conn.messages():
                if (
                    self._parts.loop_heartbeat.lag_s()
                    > self.conn.timeouts.silence_s
                ):
                    # This process stood still for so long that the peer has
                    # given up; what it asked before is not to be run now.
                    self.conn.abort()
                    return
                self._handle(message)
        finally:
            self._parts.intake.lose(self)

    def _handle(self, message: AnyMessage) -> None:
        match message:
            case Submit():
                self._submit(message)
            case BodyPiece():
                self._parts.intake.add_piece(message)
            case Credit(attempt, size):
                self._parts.intake.give_credit(attempt, size)
            case Cancel(attempt):
                self._parts.intake.cancel(attempt)
            case Settle():
                self.post(self._parts.intake.settle(message))
            case Reserve() | Release():
                self._handle_span(message)
            case _:
                self._handle_peer_news(message)

    def _handle_span(self, message: Reserve | Release) -> None:
        match message:
            case Reserve():
                self.post(self._parts.spans.reserve(message))
            case Release(span):
                self._parts.spans.release(span)
                self._parts.poke()

    def _handle_peer_news(self, message: AnyMessage) -> None:
        peer_sync = self._parts.peer_sync
        match message:
            case Heartbeat():
                peer_sync.note_number(message.config_number, self)
            case FetchConfig():
                peer_sync.answer_fetch(message, self)
            case ConfigCopy():
                peer_sync.take_copy(message)
            case Suspects():
                peer_sync.take_suspects(message, self)
            case Fault():
                return
            case _:
                self.post(Fault(FaultCode.UNEXPECTED, type(message).__name__))

    def _submit(self, submit: Submit) -> None:
        self._parts.peer_sync.note_number(submit.config_number, self)
        late_ms = int(self._parts.loop_heartbeat.lag_s() * _MS_PER_S)
        answer = self._parts.intake.submit(
            msgspec.structs.replace(
                submit,
                time_left_ms=submit.time_left_ms - late_ms,
            ),
            self,
        )
        if answer is not None:
            self.post(answer)
