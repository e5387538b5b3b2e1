"""Exchanges placements, versions, upstreams and suspects between entries.

Each entry dials every other entry that it knows. It sends news over its own
connections and receives news over theirs. So two entries need not agree on
one connection, and only the side that dialled a lost connection restores it.
"""

import asyncio
from collections.abc import Iterable
from typing import Final

from websockets.asyncio.server import Server, ServerConnection

from figspread.direct.adapter import Listing, StoredDocument
from figspread.direct.components import EntryComponents
from figspread.direct.follower import StoreFollower
from figspread.direct.lag import VersionLag
from figspread.direct.placements import Placement, PlacementId
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

# Delay before news are sent, so that a burst of placements is one message.
NEWS_BATCH_DELAY_S: Final = 0.006
# Interval of heartbeats, and of checks for a silent connection. A heartbeat
# carries the sender's configuration version, store revision and whether it is
# leaving, even if no placement has changed.
HEARTBEAT_INTERVAL_S: Final = 0.5
# Pause before an entry is dialled again, doubling up to the largest.
REDIAL_FIRST_S: Final = 0.5
REDIAL_MAX_S: Final = 2.0
LINK_TIMEOUTS: Final = Timeouts(
    open_s=1, close_s=0.5, heartbeat_s=0.5, silence_s=2
)
_MS_PER_S: Final = 1000


class Peers:
    """Connections to the other entries and the news to send over them."""

    def __init__(
        self, parts: EntryComponents, address: str, follower: StoreFollower
    ) -> None:
        """Prepare; `address` is the `ip:port` where this entry listens."""
        self._clock = parts.clock
        self._hello = EntryHello(PROTOCOL_VERSION, parts.entry, address)
        self._placements = parts.placements
        self._holder = parts.holder
        self._registry = parts.registry
        self._suspects = parts.suspects
        self._log = parts.log
        self._follower = follower
        self._dial_tasks: dict[str, asyncio.Task[None]] = {}
        self._outgoing: dict[str, Connection] = {}
        self._incoming: dict[PeerId, str] = {}
        self._pending_started: list[PlacementRow] = []
        self._pending_prefilled: list[str] = []
        self._pending_ended: list[str] = []
        self._sent_crashes: frozenset[
            tuple[Fingerprint, tuple[CrashId, ...]]
        ] = frozenset()
        self._is_flush_scheduled = False
        self._config_lag = VersionLag(parts.clock)
        self._store_lag = VersionLag(parts.clock)
        self._server: Server | None = None
        self.is_leaving = False

    @property
    def entry_count(self) -> int:
        """The number of connected entries, including this one."""
        return 1 + len(set(self._outgoing) | set(self._incoming.values()))

    async def start(self) -> None:
        """Listen for other entries."""
        host, _, port = self._hello.address.rpartition(':')
        self._server = await listen(
            self._handle_connection,
            host,
            int(port),
            timeouts=LINK_TIMEOUTS,
        )

    async def stop(self) -> None:
        """Stop connecting to other entries and listening for them."""
        for task in self._dial_tasks.values():
            task.cancel()
        if self._server is not None:
            self._server.close()

    def connect_to(self, addresses: Iterable[str]) -> None:
        """Connect to these entries, and reconnect after each loss."""
        for address in addresses:
            if address != self._hello.address and (
                address not in self._dial_tasks
            ):
                self._dial_tasks[address] = asyncio.create_task(
                    self._stay_connected(address),
                )

    def announce_start(self, placement: Placement) -> None:
        """Send a new placement to the other entries."""
        self._pending_started.append(
            _encode_placement(placement),
        )
        self._schedule_flush()

    def announce_prefill_end(self, name: PlacementId) -> None:
        """Send that the prefill of a placement is complete."""
        self._pending_prefilled.append(name)
        self._schedule_flush()

    def announce_end(self, name: PlacementId) -> None:
        """Send that a placement has ended."""
        self._pending_ended.append(name)
        self._schedule_flush()

    async def send_heartbeats(self) -> None:
        """Send heartbeats, and suspects that have changed, forever."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            await self._broadcast(self._take_pending_news())
            rows = tuple(self._suspects.rows())
            crash_keys = frozenset(
                (row.fingerprint, row.crash_ids) for row in rows
            )
            if crash_keys - self._sent_crashes:
                await self._broadcast(Suspects(rows))
            self._sent_crashes = crash_keys

    def _schedule_flush(self) -> None:
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_later(
                NEWS_BATCH_DELAY_S, self._flush_news
            )

    def _flush_news(self) -> None:
        self._is_flush_scheduled = False
        asyncio.create_task(self._broadcast(self._take_pending_news()))

    def _take_pending_news(self) -> EntryNews:
        news = EntryNews(
            tuple(self._pending_started),
            tuple(self._pending_prefilled),
            tuple(self._pending_ended),
            self._holder.version,
            self._registry.revision,
            self.is_leaving,
        )
        self._pending_started.clear()
        self._pending_prefilled.clear()
        self._pending_ended.clear()
        return news

    async def _broadcast(self, message: Message) -> None:
        for conn in tuple(self._outgoing.values()):
            await _send_or_abort(conn, message)

    async def _stay_connected(self, address: str) -> None:
        pause_s = REDIAL_FIRST_S
        uri = 'ws://{0}'.format(address)
        while True:
            dial_result = await dial(
                uri,
                ssl=None,
                timeouts=LINK_TIMEOUTS,
                clock=self._clock,
            )
            if dial_result.is_ok():
                conn = dial_result.unwrap()
                pause_s = REDIAL_FIRST_S
                self._log.info('peer entry connected', address=address)
                await self._serve_outgoing(address, conn)
                self._log.warning('peer entry connection lost', address=address)
            await asyncio.sleep(pause_s)
            pause_s = min(REDIAL_MAX_S, pause_s * 2)

    async def _serve_outgoing(self, address: str, conn: Connection) -> None:
        await conn.send(self._hello)
        await conn.send(self._make_snapshot())
        rows = tuple(self._suspects.rows())
        if rows:
            await conn.send(Suspects(rows))
        self._outgoing[address] = conn
        try:
            async for message in conn.messages():
                await self._answer_fetch(conn, message)
        finally:
            self._outgoing.pop(address, None)

    def _make_snapshot(self) -> EntryNews:
        return EntryNews(
            started=tuple(
                _encode_placement(placement)
                for placement in self._placements.list_own()
            ),
            config_number=self._holder.version,
            store_revision=self._registry.revision,
            leaving=self.is_leaving,
        )

    async def _handle_connection(self, ws: ServerConnection) -> None:
        conn = Connection(ws, clock=self._clock, timeouts=LINK_TIMEOUTS)
        hello: EntryHello | None = None
        watchdog = asyncio.create_task(_abort_when_silent(conn))
        try:
            async for message in conn.messages():
                if isinstance(message, EntryHello):
                    hello = message
                    self._incoming[hello.peer] = hello.address
                    self.connect_to((hello.address,))
                    self._placements.drop_peer(hello.peer)
                elif hello is not None:
                    await self._handle_message(conn, hello.peer, message)
        finally:
            watchdog.cancel()
            if hello is not None:
                self._incoming.pop(hello.peer, None)
                self._placements.drop_peer(hello.peer)
                # Logged however the connection ended, also if the peer left.
                self._log.warning('peer entry disconnected', peer=hello.peer)

    async def _handle_message(
        self,
        conn: Connection,
        peer: PeerId,
        message: object,
    ) -> None:
        match message:
            case EntryNews() as news:
                self._apply_news(peer, news)
                await self._fetch_newer_state(conn, news)
            case Suspects(rows=rows):
                self._suspects.merge(rows)
            case ConfigCopy(document=document):
                self._follower.apply_configuration(document, peer)
            case UpstreamRows(rows=rows, store_revision=revision):
                self._apply_upstream_rows(peer, rows, revision)

    def _apply_news(self, peer: PeerId, news: EntryNews) -> None:
        for row in news.started:
            self._placements.start(_decode_placement(row), peer)
        for name in news.read:
            self._placements.record_prefill_end(PlacementId(name))
        for name in news.ended:
            self._placements.end_peer_placement(peer, PlacementId(name))

    async def _fetch_newer_state(
        self, conn: Connection, news: EntryNews
    ) -> None:
        self._config_lag.record_announced(news.config_number)
        self._store_lag.record_announced(news.store_revision)
        version = self._holder.version
        is_config_due = self._config_lag.is_due(version)
        if is_config_due and news.config_number > version:
            await conn.send(FetchConfig(version))
        revision = self._registry.revision
        is_store_due = self._store_lag.is_due(revision)
        if is_store_due and news.store_revision > revision:
            await conn.send(FetchUpstreams(revision))

    def _apply_upstream_rows(
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
        self._follower.apply_upstreams(
            Listing(documents, revision, is_whole=False),
            peer,
        )
        self._registry.is_listed = True

    async def _answer_fetch(self, conn: Connection, message: object) -> None:
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
                        self._follower.list_changes_since(revision),
                        self._registry.revision,
                    ),
                )


def _encode_placement(placement: Placement) -> PlacementRow:
    has_gap = placement.target_gap_s < float('inf')
    return PlacementRow(
        placement.placement,
        placement.upstream,
        placement.kv_tokens,
        placement.output_tokens,
        round(placement.prefill_s * _MS_PER_S),
        round(placement.target_gap_s * _MS_PER_S) if has_gap else 0,
        placement.is_helper,
    )


def _decode_placement(row: PlacementRow) -> Placement:
    return Placement(
        PlacementId(row.placement),
        row.upstream,
        row.kv_tokens,
        row.output_tokens,
        row.reading_ms / _MS_PER_S,
        row.gap_ms / _MS_PER_S or float('inf'),
        row.is_helping,
    )


async def _send_or_abort(conn: Connection, message: Message) -> None:
    try:
        async with asyncio.timeout(LINK_TIMEOUTS.silence_s):
            await conn.send(message)
    except TimeoutError:
        conn.abort()


async def _abort_when_silent(conn: Connection) -> None:
    while True:
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        silent_s = conn.clock.now() - conn.last_received
        if silent_s > LINK_TIMEOUTS.silence_s:
            conn.abort()
            return
