"""Dispatches the messages of one connection from an entry."""

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec

from figspread.agent.intake import Intake
from figspread.agent.loop_heartbeat import LoopHeartbeat
from figspread.agent.peer_sync import PeerSync
from figspread.agent.spans import SpanReservations
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

MAX_UNSENT_MESSAGES: Final = 4096
_MS_PER_S: Final = 1000


class SessionContext(msgspec.Struct, frozen=True):
    """The components that sessions dispatch messages to."""

    intake: Intake
    peer_sync: PeerSync
    spans: SpanReservations
    loop_heartbeat: LoopHeartbeat
    trigger_reconcile: Callable[[], None]


class Session:
    """Handles the messages of one connection in order, without blocking.

    Replies are sent by separate tasks, so that a peer that doesn't read can't
    delay the handling of its own messages. The connection is aborted once
    `MAX_UNSENT_MESSAGES` messages wait to be sent.
    """

    def __init__(self, conn: Connection, context: SessionContext) -> None:
        """Serve `conn` after its handshake."""
        self.conn = conn
        self._context = context
        self._unsent_tasks: set[asyncio.Task[bool]] = set()

    async def send(self, message: Message) -> bool:
        """Send `message` and wait until the network has accepted it.

        Returns `False` if the connection is closed.
        """
        return await self.conn.send(message)

    def send_nowait(self, message: Message) -> None:
        """Send `message` without waiting for the network."""
        if len(self._unsent_tasks) >= MAX_UNSENT_MESSAGES:
            self.conn.abort()
            return
        task = asyncio.create_task(self.conn.send(message))
        self._unsent_tasks.add(task)
        task.add_done_callback(self._unsent_tasks.discard)

    async def run(self) -> None:
        """Handle messages until the connection is closed.

        Then abandon the attempts submitted over it, since no caller waits for
        them any more.
        """
        try:
            async for message in self.conn.messages():
                if (
                    self._context.loop_heartbeat.lag_s()
                    > self.conn.timeouts.silence_s
                ):
                    # The event loop was blocked for so long that the peer has
                    # given the connection up; its requests must not run.
                    self.conn.abort()
                    return
                self._handle_message(message)
        finally:
            self._context.intake.handle_disconnect(self)

    def _handle_message(self, message: AnyMessage) -> None:
        match message:
            case Submit():
                self._handle_submit(message)
            case BodyPiece():
                self._context.intake.add_body_piece(message)
            case Credit(attempt, size):
                self._context.intake.add_credit(attempt, size)
            case Cancel(attempt):
                self._context.intake.cancel(attempt)
            case Settle():
                self.send_nowait(self._context.intake.settle(message))
            case Reserve() | Release():
                self._handle_span(message)
            case _:
                self._handle_peer_message(message)

    def _handle_span(self, message: Reserve | Release) -> None:
        match message:
            case Reserve():
                self.send_nowait(self._context.spans.reserve(message))
            case Release(span):
                self._context.spans.release(span)
                self._context.trigger_reconcile()

    def _handle_peer_message(self, message: AnyMessage) -> None:
        peer_sync = self._context.peer_sync
        match message:
            case Heartbeat():
                peer_sync.handle_config_number(message.config_number, self)
            case FetchConfig():
                peer_sync.handle_fetch(message, self)
            case ConfigCopy():
                peer_sync.apply_copy(message)
            case Suspects():
                peer_sync.merge_suspects(message, self)
            case Fault():
                return
            case _:
                self.send_nowait(
                    Fault(FaultCode.UNEXPECTED, type(message).__name__)
                )

    def _handle_submit(self, submit: Submit) -> None:
        self._context.peer_sync.handle_config_number(submit.config_number, self)
        lag_ms = int(self._context.loop_heartbeat.lag_s() * _MS_PER_S)
        reply = self._context.intake.submit(
            msgspec.structs.replace(
                submit,
                time_left_ms=submit.time_left_ms - lag_ms,
            ),
            self,
        )
        if reply is not None:
            self.send_nowait(reply)
