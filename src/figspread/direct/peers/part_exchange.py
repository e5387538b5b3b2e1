"""Exchanges news of parts that crash upstreams with the other entries."""

from collections.abc import Iterable

from figspread.direct.peers.peer_links import PeerLinks
from figspread.direct.peers.peer_versions import reads_part_news
from figspread.direct.state.part_quarantine import PartQuarantine
from figspread.inner.base import Message
from figspread.inner.codec import encode
from figspread.inner.entry_messages import EntryHello, PartNews


class PartExchange:
    """Sends news of parts at once to all entries that read them."""

    def __init__(self, links: PeerLinks, quarantine: PartQuarantine) -> None:
        """Send what `quarantine` announces over `links`."""
        self._links = links
        self._quarantine = quarantine
        quarantine.announcers.append(self)

    def announce_parts(self, news: PartNews) -> None:
        """Send news of this entry to the other entries."""
        frame = encode(news)
        for sender, hello in self._links.list_senders():
            if reads_part_news(hello):
                sender.post(frame)

    def make_greeting(self, hello: EntryHello | None) -> Iterable[Message]:
        """Return all that a new connection has missed."""
        if not reads_part_news(hello):
            return ()
        return self._quarantine.make_snapshot()

    def greet_late(self, hello: EntryHello) -> None:
        """Send a peer what its greeting lacked if it was not known then."""
        for sender, known in self._links.list_senders():
            if known is hello:
                for message in self.make_greeting(hello):
                    sender.post(encode(message))
