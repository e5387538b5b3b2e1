"""Exchanges placements, versions, upstreams and suspects between entries."""

import asyncio
from collections.abc import Iterable
from typing import Final

from figspread.background import BackgroundTasks
from figspread.direct.components import EntryComponents
from figspread.direct.peers.fleet_view import FleetView
from figspread.direct.peers.lag import FETCH_DELAY_S
from figspread.direct.peers.peer_links import PeerLinks
from figspread.direct.peers.peer_state import PeerState
from figspread.direct.peers.peer_versions import (
    MINOR_VERSION,
    reads_compact_news,
)
from figspread.direct.peers.permits import Permits
from figspread.direct.peers.placement_news import (
    AnnouncedVersions,
    PendingChanges,
    PlacementChanges,
    decode_compact_news,
    decode_full_news,
    encode_compact_news,
    encode_full_news,
)
from figspread.direct.peers.upstream_news import UpstreamNews
from figspread.direct.state.placements import Placement
from figspread.direct.store.follower import StoreFollower
from figspread.ids import PeerId, PlacementId
from figspread.inner.base import Message
from figspread.inner.codec import encode
from figspread.inner.connection import Connection
from figspread.inner.entry_messages import (
    CompactNews,
    EntryHello,
    EntryNews,
    PermitReply,
    PermitRequest,
    StoreStatus,
    UpstreamRows,
)
from figspread.inner.messages import PROTOCOL_VERSION, ConfigCopy

# Delay before news are sent, so that a burst of placements is one message.
NEWS_BATCH_DELAY_S: Final = 0.006
# A heartbeat carries the sender's configuration version, store revision and
# whether it is leaving, even if no placement has changed.
HEARTBEAT_INTERVAL_S: Final = 0.5


class Peers:
    """The news to send to the other entries, and what is done with theirs."""

    def __init__(
        self,
        components: EntryComponents,
        address: str,
        follower: StoreFollower,
        tasks: BackgroundTasks,
    ) -> None:
        """Prepare; `address` is the `ip:port` where this entry listens.

        Connections are kept up by `tasks`.
        """
        self._home = components.home_data_centre
        self._links = PeerLinks(
            EntryHello(
                PROTOCOL_VERSION,
                components.entry,
                address,
                components.home_data_centre,
                MINOR_VERSION,
                components.link_mbps,
            ),
            self,
            tasks,
            components.clock,
            components.log,
        )
        self.view = FleetView(components.entry, self._links, components.clock)
        self._upstream_news = UpstreamNews(self._links, components)
        self.permits = Permits(
            self.view,
            components.notices,
            components.clock,
            components.rng,
            components.cold,
        )
        self._placements = components.placements
        self._state = PeerState(components, follower)
        self._duty = components.watch_duty
        self._startup = components.startup
        self._watch = follower.watch
        self._was_watching = False
        follower.subscribe(self)
        self._pending = PendingChanges()
        self._sent_versions = AnnouncedVersions()
        self._is_flush_scheduled = False
        self._is_leaving = False

    @property
    def entry_count(self) -> int:
        """The number of connected entries, including this one."""
        return 1 + self._links.count

    async def start(self) -> None:
        """Listen for other entries."""
        await self._links.start()

    async def stop(self) -> None:
        """Stop connecting to other entries and listening for them."""
        await self._links.stop()

    def connect_to(self, addresses: Iterable[str]) -> None:
        """Connect to these entries, and reconnect after each loss."""
        self._links.connect_to(addresses)

    def connect_to_listed(self, addresses: Iterable[str]) -> None:
        """Connect to all entries that the store lists."""
        self._links.connect_to(addresses)
        self.view.record_list()

    def announce_leaving(self) -> None:
        """Tell the other entries that this one is leaving."""
        self._is_leaving = True
        self.view.is_leaving = True
        self._send_news(is_heartbeat=True)

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

    def hurry(self) -> None:
        """Send pending changes in this round of the event loop."""
        asyncio.get_running_loop().call_soon(self._flush_news)

    async def send_heartbeats(self) -> None:
        """Send heartbeats and news of upstreams, forever."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self._send_news(is_heartbeat=True)
            self.permits.update()
            self._upstream_news.handle_heartbeat()
            if self._was_watching:
                self._send_status()

    def update_watch_status(self) -> None:
        """Tell the others at once when this entry begins or ends to watch."""
        is_watching = self._watch.is_current and not self._is_leaving
        if is_watching != self._was_watching:
            self._was_watching = is_watching
            self._send_status()

    def handle_configuration(self) -> None:
        """Announce a configuration that was read from the store."""
        self._send_news(is_heartbeat=True)

    def handle_upstreams(self, since: int) -> None:
        """Send changes read from the store to entries of the data centre."""
        if since:
            self._send_near(self._state.make_upstream_rows(since))

    def make_greeting(self, hello: EntryHello | None) -> Iterable[Message]:
        """Return all that a new connection has missed."""
        # These come first, as the peer may serve requests after the next one.
        yield from self._upstream_news.make_first_greeting(hello)
        snapshot = PlacementChanges(started=tuple(self._placements.list_own()))
        yield encode_full_news(snapshot, self._announced_versions())
        yield from self._upstream_news.make_greeting(hello)

    def answer_question(self, message: Message) -> Message | None:
        """Return newer state if `message` asks for it."""
        if isinstance(message, PermitReply):
            self.permits.handle_reply(message)
            return None
        return self._state.answer_fetch(message)

    def handle_hello(self, hello: EntryHello) -> None:
        """Forget what the peer has told before; its greeting follows."""
        self._placements.drop_peer(hello.peer)
        self._duty.add_peer(hello.peer, hello.data_centre, hello.link_mbps)
        if self._was_watching:
            self._send_status()
        # The greeting lacked these if this hello was not known yet.
        self._upstream_news.greet_late(hello)

    async def handle_message(
        self,
        conn: Connection,
        hello: EntryHello,
        message: Message,
    ) -> None:
        """Apply a peer's news, or its answer to a question."""
        peer = hello.peer
        self._placements.owners.record_contact(peer)
        match message:
            case EntryNews() as news:
                self._record_leaving(peer, news)
                self._startup.record_peer(news.config_number)
                self._apply_changes(peer, decode_full_news(news))
                await self._ask_for_newer_state(conn, hello, news)
            case CompactNews() as compact_news:
                self._record_leaving(peer, compact_news)
                self._apply_changes(
                    peer, decode_compact_news(peer, compact_news)
                )
                await self._ask_for_newer_state(conn, hello, compact_news)
            case StoreStatus(is_watching=is_watching):
                self._duty.record_status(peer, is_watching=is_watching)
            case ConfigCopy() as copy:
                self._state.apply_configuration(copy, peer)
            case UpstreamRows() as answer:
                self._state.apply_upstreams(answer, peer)
            case PermitRequest() as question:
                await conn.send(self.permits.answer(peer, question))
            case _:
                self._upstream_news.merge(peer, message)

    def handle_loss(self, hello: EntryHello, *, is_silent: bool) -> None:
        """Drop a lost peer's placements; keep those of a silent one a while."""
        self.view.record_loss(hello.peer, hello.address)
        self._duty.remove_peer(hello.peer)
        self._placements.drop_peer(hello.peer, is_silent=is_silent)

    def _send_status(self) -> None:
        self._send_near(StoreStatus(self._was_watching))

    def _send_near(self, message: Message) -> None:
        frame = encode(message)
        for sender, hello in self._links.list_senders():
            if reads_compact_news(hello) and self._is_near(hello):
                sender.post(frame)

    def _is_near(self, hello: EntryHello | None) -> bool:
        return hello is not None and hello.data_centre == self._home

    def _schedule_flush(self) -> None:
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_later(
                NEWS_BATCH_DELAY_S, self._flush_news
            )

    def _flush_news(self) -> None:
        self._is_flush_scheduled = False
        if self._pending:
            self._send_news(is_heartbeat=False)

    def _send_news(self, *, is_heartbeat: bool) -> None:
        changes = self._pending.pop()
        versions = self._announced_versions()
        news = encode_compact_news(
            changes,
            versions
            if is_heartbeat
            else versions.drop_unchanged(self._sent_versions),
        )
        self._sent_versions = versions
        compact = encode(news)
        full: bytes | None = None
        for sender, hello in self._links.list_senders():
            if reads_compact_news(hello):
                sender.post(compact)
                continue
            if full is None:
                full = encode(encode_full_news(changes, versions))
            sender.post(full)

    def _announced_versions(self) -> AnnouncedVersions:
        return AnnouncedVersions(
            self._state.config_number,
            self._state.store_revision,
            self._is_leaving,
        )

    def _record_leaving(
        self, peer: PeerId, news: EntryNews | CompactNews
    ) -> None:
        if news.leaving:
            self.view.record_leaving(peer)

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
        is_urgent = is_watcher or not self._startup.is_open
        delay_s = 0 if is_urgent else FETCH_DELAY_S
        for question in self._state.list_questions(
            news.config_number, news.store_revision, delay_s
        ):
            await conn.send(question)
