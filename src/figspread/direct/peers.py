"""News between entries: placements, versions, upstreams, suspects.

Each entry dials every other one that it knows and sends over its own
connection; what it hears comes over theirs. So no two of them have to agree
on one connection, and a connection that was lost has one side that mends it.
"""

import asyncio
from collections.abc import Iterable
from typing import Final

from websockets.asyncio.server import Server, ServerConnection

from figspread.direct.follow import Follower
from figspread.direct.lag import Lag
from figspread.direct.parts import Parts
from figspread.direct.placements import Placement, PlacementId
from figspread.direct.wire import Listing, StoredDocument
from figspread.ids import CrashId, Fingerprint, PeerId
from figspread.inner.base import Message
from figspread.inner.connection import Connection, Timeouts, dial, listen
from figspread.inner.entry_messages import (
    EntryHello,
    EntryNews,
    FetchUpstreams,
    PlacementRow,
    StoredRow,
    UpstreamRows,
)
from figspread.inner.messages import (
    PROTOCOL_VERSION,
    ConfigCopy,
    FetchConfig,
    Suspects,
)

# News wait this long for more, so that a burst of placements is one message.
NEWS_S: Final = 0.006
# An entry with no news says so, which shows that it lives.
HEARTBEAT_S: Final = 0.5
REDIAL_S: Final = 0.5
REDIAL_LONGEST_S: Final = 2.0
TIMEOUTS: Final = Timeouts(open_s=1, close_s=0.5, heartbeat_s=0.5, silence_s=2)
_MS_PER_S: Final = 1000


class Peers:
    """The other entries: who they are, what they said, what to tell them."""

    def __init__(self, parts: Parts, address: str, follower: Follower) -> None:
        """Prepare; `address` is where this entry listens for others."""
        self._clock = parts.clock
        self._hello = EntryHello(PROTOCOL_VERSION, parts.entry, address)
        self._placed = parts.placed
        self._holder = parts.holder
        self._registry = parts.registry
        self._suspects = parts.suspects
        self._log = parts.log
        self._follower = follower
        self._addresses: dict[str, asyncio.Task[None]] = {}
        self._links: dict[str, Connection] = {}
        self._heard: dict[PeerId, str] = {}
        self._started: list[PlacementRow] = []
        self._read: list[str] = []
        self._ended: list[str] = []
        self._told: frozenset[tuple[Fingerprint, tuple[CrashId, ...]]] = (
            frozenset()
        )
        self._flush_due = False
        self._config_lag = Lag(parts.clock)
        self._store_lag = Lag(parts.clock)
        self._server: Server | None = None
        self.is_leaving = False

    @property
    def entries(self) -> int:
        """How many entries there are, this one included."""
        return 1 + len(set(self._links) | set(self._heard.values()))

    async def start(self) -> None:
        """Listen for other entries."""
        host, _, port = self._hello.address.rpartition(':')
        self._server = await listen(
            self._attend,
            host,
            int(port),
            timeouts=TIMEOUTS,
        )

    async def stop(self) -> None:
        """Stop dialling and listening."""
        for task in self._addresses.values():
            task.cancel()
        if self._server is not None:
            self._server.close()

    def add(self, addresses: Iterable[str]) -> None:
        """Dial these entries from now on."""
        for address in addresses:
            if address != self._hello.address and (
                address not in self._addresses
            ):
                self._addresses[address] = asyncio.create_task(
                    self._keep_dialled(address),
                )

    def tell_start(self, placement: Placement) -> None:
        """Tell of a new placement."""
        self._started.append(
            _to_row(placement),
        )
        self._flush_soon()

    def tell_first(self, name: PlacementId) -> None:
        """Tell that a prompt has been read."""
        self._read.append(name)
        self._flush_soon()

    def tell_end(self, name: PlacementId) -> None:
        """Tell that a placement has ended."""
        self._ended.append(name)
        self._flush_soon()

    async def beat(self) -> None:
        """Send heartbeats for ever, and ask for what is newer elsewhere."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self._tell_all(self._news())
            rows = tuple(self._suspects.rows())
            crashes = frozenset(
                (row.fingerprint, row.crash_ids) for row in rows
            )
            if crashes - self._told:
                await self._tell_all(Suspects(rows))
            self._told = crashes

    def _flush_soon(self) -> None:
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_later(NEWS_S, self._flush)

    def _flush(self) -> None:
        self._flush_due = False
        asyncio.create_task(self._tell_all(self._news()))

    def _news(self) -> EntryNews:
        news = EntryNews(
            tuple(self._started),
            tuple(self._read),
            tuple(self._ended),
            self._holder.version,
            self._registry.revision,
            self.is_leaving,
        )
        self._started.clear()
        self._read.clear()
        self._ended.clear()
        return news

    async def _tell_all(self, message: Message) -> None:
        for conn in tuple(self._links.values()):
            await _send_bounded(conn, message)

    async def _keep_dialled(self, address: str) -> None:
        pause_s = REDIAL_S
        uri = 'ws://{0}'.format(address)
        while True:
            dialled = await dial(
                uri,
                ssl=None,
                timeouts=TIMEOUTS,
                clock=self._clock,
            )
            if dialled.is_ok():
                conn = dialled.unwrap()
                pause_s = REDIAL_S
                self._log.info('peer entry connected', address=address)
                await self._use_link(address, conn)
                self._log.warning('peer entry connection lost', address=address)
            await asyncio.sleep(pause_s)
            pause_s = min(REDIAL_LONGEST_S, pause_s * 2)

    async def _use_link(self, address: str, conn: Connection) -> None:
        await conn.send(self._hello)
        await conn.send(self._snapshot())
        rows = tuple(self._suspects.rows())
        if rows:
            await conn.send(Suspects(rows))
        self._links[address] = conn
        try:
            async for message in conn.messages():
                await self._answer(conn, message)
        finally:
            self._links.pop(address, None)

    def _snapshot(self) -> EntryNews:
        return EntryNews(
            started=tuple(
                _to_row(placement) for placement in self._placed.own()
            ),
            config_number=self._holder.version,
            store_revision=self._registry.revision,
            leaving=self.is_leaving,
        )

    async def _attend(self, ws: ServerConnection) -> None:
        conn = Connection(ws, clock=self._clock, timeouts=TIMEOUTS)
        hello: EntryHello | None = None
        watchdog = asyncio.create_task(_close_when_silent(conn))
        try:
            async for message in conn.messages():
                if isinstance(message, EntryHello):
                    hello = message
                    self._heard[hello.peer] = hello.address
                    self.add((hello.address,))
                    self._placed.drop_peer(hello.peer)
                elif hello is not None:
                    await self._hear(conn, hello.peer, message)
        finally:
            watchdog.cancel()
            if hello is not None:
                self._heard.pop(hello.peer, None)
                self._placed.drop_peer(hello.peer)
                self._log.warning('peer entry timed out', peer=hello.peer)

    async def _hear(
        self,
        conn: Connection,
        peer: PeerId,
        message: object,
    ) -> None:
        match message:
            case EntryNews() as news:
                self._take_news(peer, news)
                await self._catch_up(conn, news)
            case Suspects(rows=rows):
                self._suspects.merge(rows)
            case ConfigCopy(document=document):
                self._follower.take_document(document, peer)
            case UpstreamRows(rows=rows, store_revision=revision):
                self._take_rows(peer, rows, revision)

    def _take_news(self, peer: PeerId, news: EntryNews) -> None:
        for row in news.started:
            self._placed.start(_to_placement(row), peer)
        for name in news.read:
            self._placed.note_first(PlacementId(name))
        for name in news.ended:
            self._placed.end_of_peer(peer, PlacementId(name))

    async def _catch_up(self, conn: Connection, news: EntryNews) -> None:
        self._config_lag.hear(news.config_number)
        self._store_lag.hear(news.store_revision)
        version = self._holder.version
        is_config_due = self._config_lag.is_due(version)
        if is_config_due and news.config_number > version:
            await conn.send(FetchConfig(version))
        revision = self._registry.revision
        is_store_due = self._store_lag.is_due(revision)
        if is_store_due and news.store_revision > revision:
            await conn.send(FetchUpstreams(revision))

    def _take_rows(
        self,
        peer: PeerId,
        rows: tuple[StoredRow, ...],
        revision: int,
    ) -> None:
        documents = [
            StoredDocument(
                row.name,
                row.revision,
                row.document,
                row.is_deleted,
            )
            for row in rows
        ]
        self._follower.take_rows(
            Listing(documents, revision, is_whole=False),
            peer,
        )
        self._registry.is_listed = True

    async def _answer(self, conn: Connection, message: object) -> None:
        match message:
            case FetchConfig():
                deployment = self._holder.current
                if deployment is not None:
                    await conn.send(
                        ConfigCopy(deployment.version, deployment.source),
                    )
            case FetchUpstreams(store_revision=revision):
                await conn.send(
                    UpstreamRows(
                        self._follower.rows_since(revision),
                        self._registry.revision,
                    ),
                )


def _to_row(placement: Placement) -> PlacementRow:
    has_gap = placement.gap_s < float('inf')
    return PlacementRow(
        placement.placement,
        placement.upstream,
        placement.kv_tokens,
        placement.output_tokens,
        round(placement.reading_s * _MS_PER_S),
        round(placement.gap_s * _MS_PER_S) if has_gap else 0,
        placement.is_helping,
    )


def _to_placement(row: PlacementRow) -> Placement:
    return Placement(
        PlacementId(row.placement),
        row.upstream,
        row.kv_tokens,
        row.output_tokens,
        row.reading_ms / _MS_PER_S,
        row.gap_ms / _MS_PER_S or float('inf'),
        row.is_helping,
    )


async def _send_bounded(conn: Connection, message: Message) -> None:
    try:
        async with asyncio.timeout(TIMEOUTS.silence_s):
            await conn.send(message)
    except TimeoutError:
        conn.abort()


async def _close_when_silent(conn: Connection) -> None:
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        silent_s = conn.clock.now() - conn.last_heard
        if silent_s > TIMEOUTS.silence_s:
            conn.abort()
            return
