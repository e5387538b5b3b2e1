"""Exchanges evacuations of data centres with the other entries."""

from collections.abc import Iterable
from typing import Final

from figspread.direct.components import EntryComponents
from figspread.direct.peers.peer_links import PeerLinks
from figspread.direct.peers.peer_versions import reads_load_news
from figspread.ids import PeerId
from figspread.inner.base import Message
from figspread.inner.codec import encode
from figspread.inner.entry_messages import EntryHello, EvacuationNews

# Heartbeats until all is sent again, which replaces messages that were lost.
HEARTBEATS_PER_REPEAT: Final = 2


class EvacuationExchange:
    """Sends all known evacuations after each change, and repeatedly."""

    def __init__(self, links: PeerLinks, components: EntryComponents) -> None:
        """Send over `links` what the components' `evacuations` know."""
        self._links = links
        self._is_enabled = components.is_evacuation_enabled
        self._evacuations = components.evacuations
        self._startup = components.startup
        self._heartbeats = 0
        components.evacuations.announcers.append(self)

    def announce_evacuations(self) -> None:
        """Send all that is known to the other entries."""
        frame = encode(EvacuationNews(self._evacuations.list_rows()))
        for sender, hello in self._links.list_senders():
            if reads_load_news(hello):
                sender.post(frame)

    def handle_heartbeat(self) -> None:
        """Send all that is known again, with every second heartbeat."""
        self._heartbeats += 1
        is_due = self._heartbeats % HEARTBEATS_PER_REPEAT == 0
        if is_due and self._evacuations.list_rows():
            self.announce_evacuations()

    def make_greeting(self, hello: EntryHello | None) -> Iterable[Message]:
        """Return all that a new connection has missed.

        An entry that knows nothing yet says nothing, since the peer would take
        it that there are no evacuations.
        """
        is_informed = self._is_enabled and self._startup.has_evacuations
        if is_informed and reads_load_news(hello):
            yield EvacuationNews(self._evacuations.list_rows())

    def greet_late(self, hello: EntryHello) -> None:
        """Send a peer what its greeting lacked if it was not known then."""
        for sender, known in self._links.list_senders():
            if known is hello:
                for message in self.make_greeting(hello):
                    sender.post(encode(message))

    def merge(self, news: EvacuationNews, peer: PeerId) -> None:
        """Apply what a peer has told."""
        if self._is_enabled:
            self._evacuations.merge(news.rows, peer)
            self._startup.record_evacuations()
