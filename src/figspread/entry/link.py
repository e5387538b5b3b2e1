"""The connection from this entry to one agent, opened again when it goes."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterator, Sequence
from enum import Enum
from typing import Any, Final, TypeAlias

import msgspec
from result import Err, Ok, Result

from figspread.clock import Clock
from figspread.config.holder import FleetHolder
from figspread.entry.exchange import ConnectionLost, Exchange
from figspread.entry.fetching import Fetching
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

RETRY_FIRST_S: Final = 0.1
RETRY_LAST_S: Final = 5
ROWS_IN_MESSAGE: Final = 500


OpenResult: TypeAlias = Result[tuple[Connection, Welcome], OpenFault]


class LinkState(Enum):
    """Whether an agent can be asked over its link."""

    CLOSED = 'closed'
    OPEN = 'open'
    LEAVING = 'leaving'


class LinkNeeds(msgspec.Struct, frozen=True):
    """What a link is given by the entry that owns it.

    `open` makes a connection to the address, `keep` sends its heartbeats and
    ends when the other side has been silent for too long. An agent is told
    all that `list_suspects` gives when it is connected. All links of an entry
    share one `fetching`.
    """

    clock: Clock
    rng: random.Random
    holder: FleetHolder
    open: Callable[[str], Awaitable[OpenResult]]
    keep: Callable[[Connection], Coroutine[Any, Any, None]]
    on_suspects: Callable[[Suspects], None]
    list_suspects: Callable[[], Sequence[SuspectRow]] = tuple
    fetching: Fetching = msgspec.field(default_factory=Fetching)


class Link:
    """One agent's connection; all of it runs on the entry's event loop."""

    def __init__(
        self,
        upstream: UpstreamId,
        address: str,
        needs: LinkNeeds,
    ) -> None:
        """Start closed; `run` opens the connection."""
        self.upstream = upstream
        self.address = address
        self.state = LinkState.CLOSED
        self.load = Load()
        self.load_at = needs.clock.now()
        self.agent_number = 0
        self._needs = needs
        self._conn: Connection | None = None
        self._pending = PendingOperations()
        self._boot = ''
        self._tasks: set[asyncio.Task[object]] = set()

    async def run(self) -> None:
        """Keep the connection open until cancelled."""
        delay_s = RETRY_FIRST_S
        while True:
            match await self._needs.open(self.address):
                case Ok((conn, welcome)):
                    delay_s = RETRY_FIRST_S
                    await self._serve(conn, welcome)
                case Err(_):
                    delay_s = min(delay_s * 2, RETRY_LAST_S)
            await asyncio.sleep(delay_s * self._needs.rng.random())

    def submit(self, submit: Submit, exchange: Exchange) -> None:
        """Send an attempt; a closed link loses it before anything is sent."""
        if self._conn is None:
            exchange.put_event(
                ConnectionLost(was_sent=False, detail='no connection')
            )
            return
        self._pending.add_attempt(submit, exchange)
        if submit.body_size > INLINE_BODY_BYTES:
            self._pending.store_body(submit)
            submit = msgspec.structs.replace(submit, body=b'')
        self.post(submit)

    def cancel(self, attempt: AttemptId) -> None:
        """Give an attempt up; nothing more of it is heard here."""
        if self._pending.remove_attempt(attempt):
            self.post(Cancel(attempt))

    def ask(self, query: AgentQuery, replies: ReplyQueue) -> None:
        """Ask the agent; nothing comes if the link is closed."""
        if self._conn is not None:
            self._pending.add_query(query, replies)
            self.post(query)

    def post(self, message: Message) -> None:
        """Send a message without waiting for it to be sent."""
        if self._conn is not None:
            self._start(self._conn.send(message))

    async def _serve(self, conn: Connection, welcome: Welcome) -> None:
        self._conn = conn
        self._boot = welcome.boot
        self._note_leaving(is_leaving=welcome.leaving)
        self._note_number(welcome.config_number)
        for suspects in _split(self._needs.list_suspects()):
            self.post(suspects)
        renewal = asyncio.create_task(self._needs.keep(conn))
        try:
            async for message in conn.messages():
                self._take(message)
        finally:
            renewal.cancel()
            await self._drop(conn)

    def _take(self, message: AnyMessage) -> None:
        match message:
            case Chunk() | Head() | Finished():
                self._pending.deliver_event(message.attempt, message)
            case Accepted():
                self._pending.deliver_event(message.attempt, message)
                self._send_body(message.attempt)
            case Heartbeat():
                self._take_heartbeat(message)
            case FetchConfig():
                self._answer_fetch(message)
            case ConfigCopy():
                self._needs.fetching.take(message, self._needs.holder)
            case Reserved() | Settled():
                self._pending.deliver_reply(message)
            case Suspects():
                self._needs.on_suspects(message)

    def _send_body(self, attempt: AttemptId) -> None:
        body = self._pending.pop_body(attempt)
        if body is not None:
            self._start(self._send_pieces(attempt, body))

    async def _send_pieces(self, attempt: AttemptId, body: bytes) -> None:
        starts = range(0, len(body), BODY_PIECE_BYTES)
        for seq, start in enumerate(starts):
            if self._conn is None or not self._pending.has_attempt(attempt):
                return
            piece = body[start : start + BODY_PIECE_BYTES]
            await self._conn.send(BodyPiece(attempt, seq, piece))

    def _take_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._note_leaving(is_leaving=heartbeat.leaving)
        self._note_number(heartbeat.config_number)
        if heartbeat.load is not None:
            self.load = heartbeat.load
            self.load_at = self._needs.clock.now()

    def _note_number(self, number: int) -> None:
        self.agent_number = number
        known = self._needs.holder.fleet.number
        if number > known and self._needs.fetching.may_ask(
            self._needs.clock.now(),
        ):
            self.post(FetchConfig(known))

    def _answer_fetch(self, fetch: FetchConfig) -> None:
        holder = self._needs.holder
        number = holder.fleet.number
        if number > fetch.above:
            self.post(ConfigCopy(number, holder.document))

    def _note_leaving(self, *, is_leaving: bool) -> None:
        self.state = LinkState.LEAVING if is_leaving else LinkState.OPEN

    async def _drop(self, conn: Connection) -> None:
        self._conn = None
        self.state = LinkState.CLOSED
        self._pending.fail_all_attempts(self._boot)
        await conn.close()

    def _start(self, work: Coroutine[Any, Any, object]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _split(rows: Sequence[SuspectRow]) -> Iterator[Suspects]:
    for start in range(0, len(rows), ROWS_IN_MESSAGE):
        yield Suspects(tuple(rows[start : start + ROWS_IN_MESSAGE]))
