"""Exchanges placements, versions, upstreams and suspects between entries.

Each entry dials every other entry that it knows. It sends news over its own
connections and receives news over theirs. So two entries need not agree on
one connection, and only the side that dialled a lost connection restores it.
"""

import asyncio
from collections.abc import Iterable
from typing import Final

import msgspec
from websockets.asyncio.server import Server, ServerConnection

from figspread.direct.components import EntryComponents
from figspread.direct.follower import StoreFollower
from figspread.direct.lag import FETCH_DELAY_S
from figspread.direct.peer_sender import PeerSender
from figspread.direct.peer_state import PeerState
from figspread.direct.placement_news import (
    AnnouncedVersions,
    PendingChanges,
    PlacementChanges,
    decode_compact_news,
    decode_full_news,
    encode_compact_news,
    encode_full_news,
)
from figspread.direct.placements import Placement, PlacementId
from figspread.ids import CrashId, Fingerprint, PeerId
from figspread.inner.base import Message
from figspread.inner.codec import encode
from figspread.inner.connection import Connection, Timeouts, dial, listen
from figspread.inner.entry_messages import (
    CompactNews,
    EntryHello,
    EntryNews,
    StoreStatus,
    UpstreamRows,
)
from figspread.inner.messages import PROTOCOL_VERSION, ConfigCopy, Suspects

# Delay before news are sent, so that a burst of placements is one message.
NEWS_BATCH_DELAY_S: Final = 0.006
# Interval of heartbeats, and of checks for a silent connection. A heartbeat
# carries the sender's configuration version, store revision and whether it is
# leaving, even if no placement has changed.
HEARTBEAT_INTERVAL_S: Final = 0.5
# Pause before an entry is dialled again, doubling up to the largest.
# Entries of this minor version or a higher one read all messages of this module.
MINOR_VERSION: Final = 1
REDIAL_FIRST_S: Final = 0.5
REDIAL_MAX_S: Final = 2.0
LINK_TIMEOUTS: Final = Timeouts(
    open_s=1, close_s=0.5, heartbeat_s=0.5, silence_s=2
)


class Peers:
    """Connections to the other entries and the news to send over them."""

    def __init__(
        self, parts: EntryComponents, address: str, follower: StoreFollower
    ) -> None:
        """Prepare; `address` is the `ip:port` where this entry listens."""
        self._clock = parts.clock
        self._hello = EntryHello(
            PROTOCOL_VERSION,
            parts.entry,
            address,
            parts.home_data_centre,
            MINOR_VERSION,
            parts.link_mbps,
        )
        self._placements = parts.placements
        self._suspects = parts.suspects
        self._log = parts.log
        self._state = PeerState(parts, follower)
        self._duty = parts.watch_duty
        self._watch = follower.watch
        self._was_watching = False
        follower.subscribe(self)
        self._dial_tasks: dict[str, asyncio.Task[None]] = {}
        self._outgoing: dict[str, PeerSender] = {}
        self._incoming: dict[PeerId, EntryHello] = {}
        self._pending = PendingChanges()
        self._sent_versions = AnnouncedVersions()
        self._sent_crashes: frozenset[
            tuple[Fingerprint, tuple[CrashId, ...]]
        ] = frozenset()
        self._is_flush_scheduled = False
        self._server: Server | None = None
        self.is_leaving = False

    @property
    def entry_count(self) -> int:
        """The number of connected entries, including this one."""
        incoming = {hello.address for hello in self._incoming.values()}
        return 1 + len(set(self._outgoing) | incoming)

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
        self._pending.add_start(placement)
        self._schedule_flush()

    def announce_prefill_end(self, name: PlacementId) -> None:
        """Send that the prefill of a placement is complete."""
        self._pending.add_prefill_end(name)
        self._schedule_flush()

    def announce_end(self, name: PlacementId) -> None:
        """Send that a placement has ended."""
        self._pending.add_end(name)
        self._schedule_flush()

    async def send_heartbeats(self) -> None:
        """Send heartbeats, and suspects that have changed, forever."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self._send_news(is_heartbeat=True)
            if self._was_watching:
                self._send_status()
            rows = tuple(self._suspects.rows())
            crash_keys = frozenset(
                (row.fingerprint, row.crash_ids) for row in rows
            )
            if crash_keys - self._sent_crashes:
                frame = encode(Suspects(rows))
                for sender in tuple(self._outgoing.values()):
                    sender.post(frame)
            self._sent_crashes = crash_keys

    def update_watch_status(self) -> None:
        """Tell the others at once when this entry begins or ends to watch."""
        is_watching = self._watch.is_current and not self.is_leaving
        if is_watching != self._was_watching:
            self._was_watching = is_watching
            self._send_status()

    def handle_configuration(self) -> None:
        """Announce a configuration that was read from the store."""
        self._send_news(is_heartbeat=True)

    def handle_upstreams(self, since: int) -> None:
        """Send changes read from the store to entries of the data centre."""
        if since:
            frame = encode(self._state.make_upstream_rows(since))
            for hello in self._list_new_peers():
                sender = self._outgoing.get(hello.address)
                if sender is not None and self._is_near(hello):
                    sender.post(frame)

    def _send_status(self) -> None:
        frame = encode(StoreStatus(self._was_watching))
        for hello in self._list_new_peers():
            sender = self._outgoing.get(hello.address)
            if sender is not None and self._is_near(hello):
                sender.post(frame)

    def _is_near(self, hello: EntryHello) -> bool:
        return hello.data_centre == self._hello.data_centre

    def _list_new_peers(self) -> list[EntryHello]:
        return [
            hello
            for hello in self._incoming.values()
            if hello.minor_version >= MINOR_VERSION
        ]

    def _schedule_flush(self) -> None:
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_later(
                NEWS_BATCH_DELAY_S, self._flush_news
            )

    def _flush_news(self) -> None:
        self._is_flush_scheduled = False
        self._send_news(is_heartbeat=False)

    def _send_news(self, *, is_heartbeat: bool) -> None:
        changes = self._pending.pop()
        versions = self._announced_versions()
        news = encode_compact_news(
            changes,
            versions
            if is_heartbeat
            else _drop_unchanged(versions, self._sent_versions),
        )
        self._sent_versions = versions
        compact = encode(news)
        full = encode(encode_full_news(changes, versions))
        compact_readers = {hello.address for hello in self._list_new_peers()}
        for address, sender in tuple(self._outgoing.items()):
            sender.post(compact if address in compact_readers else full)

    def _announced_versions(self) -> AnnouncedVersions:
        return AnnouncedVersions(
            self._state.config_number,
            self._state.store_revision,
            self.is_leaving,
        )

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
        sender = PeerSender(conn)
        # Nothing is awaited between the snapshot and the registration, so that
        # each change is in the snapshot or is sent after it.
        for message in self._make_greeting():
            sender.post(encode(message))
        self._outgoing[address] = sender
        try:
            async for question in conn.messages():
                answer = self._state.answer_fetch(question)
                if answer is not None:
                    sender.post(encode(answer))
        finally:
            self._outgoing.pop(address, None)

    def _make_greeting(self) -> Iterable[Message]:
        yield self._hello
        snapshot = PlacementChanges(started=tuple(self._placements.list_own()))
        yield encode_full_news(snapshot, self._announced_versions())
        rows = tuple(self._suspects.rows())
        if rows:
            yield Suspects(rows)

    async def _handle_connection(self, ws: ServerConnection) -> None:
        conn = Connection(ws, clock=self._clock, timeouts=LINK_TIMEOUTS)
        hello: EntryHello | None = None
        watchdog = asyncio.create_task(_abort_when_silent(conn))
        try:
            async for message in conn.messages():
                if isinstance(message, EntryHello):
                    hello = message
                    self._greet_peer(hello)
                elif hello is not None:
                    await self._handle_message(conn, hello, message)
        finally:
            watchdog.cancel()
            if hello is not None:
                self._incoming.pop(hello.peer, None)
                self._duty.remove_peer(hello.peer)
                self._placements.drop_peer(hello.peer)
                # Logged however the connection ended, also if the peer left.
                self._log.warning('peer entry disconnected', peer=hello.peer)

    def _greet_peer(self, hello: EntryHello) -> None:
        self._incoming[hello.peer] = hello
        self.connect_to((hello.address,))
        self._placements.drop_peer(hello.peer)
        self._duty.add_peer(hello.peer, hello.data_centre, hello.link_mbps)
        if self._was_watching:
            self._send_status()

    async def _handle_message(
        self,
        conn: Connection,
        hello: EntryHello,
        message: object,
    ) -> None:
        peer = hello.peer
        match message:
            case EntryNews() as news:
                self._apply_changes(peer, decode_full_news(news))
                await self._ask_for_newer_state(conn, hello, news)
            case CompactNews() as compact_news:
                self._apply_changes(
                    peer, decode_compact_news(peer, compact_news)
                )
                await self._ask_for_newer_state(conn, hello, compact_news)
            case StoreStatus(is_watching=is_watching):
                self._duty.record_status(peer, is_watching=is_watching)
            case Suspects(rows=rows):
                self._suspects.merge(rows)
            case ConfigCopy() as copy:
                self._state.apply_configuration(copy, peer)
            case UpstreamRows() as answer:
                self._state.apply_upstreams(answer, peer)

    def _apply_changes(self, peer: PeerId, changes: PlacementChanges) -> None:
        for placement in changes.started:
            self._placements.start(placement, peer)
        for name in changes.prefilled:
            self._placements.record_prefill_end(name)
        for name in changes.ended:
            self._placements.end_peer_placement(peer, name)

    async def _ask_for_newer_state(
        self,
        conn: Connection,
        hello: EntryHello,
        news: EntryNews | CompactNews,
    ) -> None:
        # An entry that doesn't watch the store gets changes from its watchers,
        # which are in its data centre.
        relies_on_peers = self._duty.relieved.is_set()
        is_watcher = relies_on_peers and self._is_near(hello)
        delay_s = 0 if is_watcher else FETCH_DELAY_S
        for question in self._state.list_questions(
            news.config_number, news.store_revision, delay_s
        ):
            await conn.send(question)


def _drop_unchanged(
    versions: AnnouncedVersions, sent: AnnouncedVersions
) -> AnnouncedVersions:
    is_same_config = versions.config_number == sent.config_number
    is_same_revision = versions.store_revision == sent.store_revision
    return msgspec.structs.replace(
        versions,
        config_number=0 if is_same_config else versions.config_number,
        store_revision=0 if is_same_revision else versions.store_revision,
    )


async def _abort_when_silent(conn: Connection) -> None:
    while True:
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        silent_s = conn.clock.now() - conn.last_received
        if silent_s > LINK_TIMEOUTS.silence_s:
            conn.abort()
            return
