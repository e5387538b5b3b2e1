"""The connection from an entry to one agent, reopened when it is lost."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterator, Sequence
from enum import Enum
from typing import Any, Final, TypeAlias

import msgspec
from result import Err, Ok, Result

from figspread.clock import Clock
from figspread.config.holder import FleetHolder
from figspread.entry.config_fetch import ConfigFetch
from figspread.entry.exchange import ConnectionLost, Exchange
from figspread.entry.pending import AgentQuery, PendingOperations, ReplyQueue
from figspread.ids import AttemptId, UpstreamId
from figspread.inner.base import Message
from figspread.inner.connection import Connection
from figspread.inner.handshake import OpenFault
from figspread.inner.messages import (
    BODY_PIECE_BYTES,
    INLINE_BODY_BYTES,
    Accepted,
    AnyMessage,
    BodyPiece,
    Cancel,
    Chunk,
    ConfigCopy,
    FetchConfig,
    Finished,
    Head,
    Heartbeat,
    Load,
    Reserved,
    Settled,
    Submit,
    SuspectRow,
    Suspects,
    Welcome,
)

# Reconnect delays double between these bounds. The pause itself is drawn between
# 0 and the delay (full jitter), so it may be below the lower bound.
MIN_RECONNECT_DELAY_S: Final = 0.1
MAX_RECONNECT_DELAY_S: Final = 5
# Bounds the size of one `Suspects` message sent after connecting.
SUSPECT_ROWS_PER_MESSAGE: Final = 500


OpenResult: TypeAlias = Result[tuple[Connection, Welcome], OpenFault]


class LinkState(Enum):
    """Whether an agent is connected and accepts new attempts."""

    CLOSED = 'closed'
    OPEN = 'open'
    LEAVING = 'leaving'


class LinkContext(msgspec.Struct, frozen=True):
    """Dependencies of a `Link`, supplied by the entry that owns it.

    `connect` connects to an `ip:port` address. `send_heartbeats` sends
    heartbeats on a connection and drops it when the peer has been silent for
    too long. `on_suspects` is called with the suspects that an agent reports;
    those of `list_suspects` are sent to each agent on connecting. All links of
    an entry share one `config_fetch`.
    """

    clock: Clock
    rng: random.Random
    holder: FleetHolder
    connect: Callable[[str], Awaitable[OpenResult]]
    send_heartbeats: Callable[[Connection], Coroutine[Any, Any, None]]
    on_suspects: Callable[[Suspects], None]
    list_suspects: Callable[[], Sequence[SuspectRow]] = tuple
    config_fetch: ConfigFetch = msgspec.field(default_factory=ConfigFetch)


class Link:
    """The connection to one agent; all methods run on the event loop.

    `load` is the agent's last load report and `load_received_at` the clock's
    time when it arrived. `config_number` is the agent's configuration number.
    `pending` is what the entry awaits from the agent. A withdrawn link submits
    nothing more.
    """

    def __init__(
        self,
        upstream: UpstreamId,
        address: str,
        context: LinkContext,
    ) -> None:
        """Start disconnected; `run` opens the connection."""
        self.upstream = upstream
        self.address = address
        self.state = LinkState.CLOSED
        self.load = Load()
        self.load_received_at = context.clock.now()
        self.config_number = 0
        self.pending = PendingOperations()
        self.is_withdrawn = False
        self._context = context
        self._conn: Connection | None = None
        self._boot = ''
        self._tasks: set[asyncio.Task[object]] = set()

    async def run(self) -> None:
        """Keep the connection open until cancelled; reconnect with backoff."""
        delay_s = MIN_RECONNECT_DELAY_S
        while True:
            match await self._context.connect(self.address):
                case Ok((conn, welcome)):
                    delay_s = MIN_RECONNECT_DELAY_S
                    await self._serve_connection(conn, welcome)
                case Err(_):
                    delay_s = min(delay_s * 2, MAX_RECONNECT_DELAY_S)
            await asyncio.sleep(delay_s * self._context.rng.random())

    def submit(self, submit: Submit, exchange: Exchange) -> None:
        """Send an attempt and deliver its events into `exchange`.

        Without a connection the attempt ends as lost before it was sent. A
        body above `INLINE_BODY_BYTES` follows when the agent has accepted.
        """
        if self._conn is None or self.is_withdrawn:
            exchange.put_event(
                ConnectionLost(was_sent=False, detail='no connection')
            )
            return
        self.pending.add_attempt(submit, exchange)
        if submit.body_size > INLINE_BODY_BYTES:
            self.pending.store_body(submit)
            submit = msgspec.structs.replace(submit, body=b'')
        self.send_nowait(submit)

    def cancel(self, attempt: AttemptId) -> None:
        """Cancel an attempt; its later events are dropped."""
        if self.pending.remove_attempt(attempt):
            self.send_nowait(Cancel(attempt))

    def send_query(self, query: AgentQuery, replies: ReplyQueue) -> None:
        """Send a query; no reply is delivered if the link is closed."""
        if self._conn is not None:
            self.pending.add_query(query, replies)
            self.send_nowait(query)

    def send_nowait(self, message: Message) -> None:
        """Schedule a message to be sent; drop it if the link is closed."""
        if self._conn is not None:
            self._start_task(self._conn.send(message))

    async def _serve_connection(
        self, conn: Connection, welcome: Welcome
    ) -> None:
        self._conn = conn
        self._boot = welcome.boot
        self.state = _get_state(is_leaving=welcome.leaving)
        self._handle_config_number(welcome.config_number)
        for suspects in _build_suspect_messages(self._context.list_suspects()):
            self.send_nowait(suspects)
        heartbeats = asyncio.create_task(self._context.send_heartbeats(conn))
        try:
            async for message in conn.messages():
                self._handle_message(message)
        finally:
            heartbeats.cancel()
            await self._handle_disconnect(conn)

    def _handle_message(self, message: AnyMessage) -> None:
        match message:
            case Chunk() | Head() | Finished():
                self.pending.deliver_event(message.attempt, message)
            case Accepted():
                self.pending.deliver_event(message.attempt, message)
                self._send_body(message.attempt)
            case Heartbeat():
                self._handle_heartbeat(message)
            case FetchConfig():
                self._send_newer_config(message)
            case ConfigCopy():
                self._context.config_fetch.apply_copy(
                    message, self._context.holder
                )
            case Reserved() | Settled():
                self.pending.deliver_reply(message)
            case Suspects():
                self._context.on_suspects(message)

    def _send_body(self, attempt: AttemptId) -> None:
        body = self.pending.pop_body(attempt)
        if body is not None:
            self._start_task(self._send_body_pieces(attempt, body))

    async def _send_body_pieces(self, attempt: AttemptId, body: bytes) -> None:
        starts = range(0, len(body), BODY_PIECE_BYTES)
        for seq, start in enumerate(starts):
            if self._conn is None or not self.pending.has_attempt(attempt):
                return
            piece = body[start : start + BODY_PIECE_BYTES]
            await self._conn.send(BodyPiece(attempt, seq, piece))

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.state = _get_state(is_leaving=heartbeat.leaving)
        self._handle_config_number(heartbeat.config_number)
        if heartbeat.load is not None:
            self.load = heartbeat.load
            self.load_received_at = self._context.clock.now()

    def _handle_config_number(self, number: int) -> None:
        """Record the agent's configuration number.

        Requests its configuration if that is newer and no request is in flight.
        """
        self.config_number = number
        own_number = self._context.holder.fleet.number
        if number > own_number and self._context.config_fetch.try_start(
            self._context.clock.now(),
        ):
            self.send_nowait(FetchConfig(own_number))

    def _send_newer_config(self, fetch: FetchConfig) -> None:
        holder = self._context.holder
        number = holder.fleet.number
        if number > fetch.above:
            self.send_nowait(ConfigCopy(number, holder.document))

    async def _handle_disconnect(self, conn: Connection) -> None:
        self._conn = None
        self.state = LinkState.CLOSED
        self.pending.fail_all_attempts(self._boot)
        await conn.close()

    def _start_task(self, work: Coroutine[Any, Any, object]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _get_state(*, is_leaving: bool) -> LinkState:
    return LinkState.LEAVING if is_leaving else LinkState.OPEN


def _build_suspect_messages(rows: Sequence[SuspectRow]) -> Iterator[Suspects]:
    for start in range(0, len(rows), SUSPECT_ROWS_PER_MESSAGE):
        yield Suspects(tuple(rows[start : start + SUSPECT_ROWS_PER_MESSAGE]))
