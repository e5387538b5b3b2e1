"""Exchanges what entries know of upstreams, beside their records and load."""

from collections.abc import Iterable

from figspread.direct.components import EntryComponents
from figspread.direct.peers.evacuation_exchange import EvacuationExchange
from figspread.direct.peers.part_exchange import PartExchange
from figspread.direct.peers.peer_links import PeerLinks
from figspread.direct.peers.peer_versions import reads_notices
from figspread.direct.peers.slowdown_exchange import SlowdownExchange
from figspread.direct.peers.suspect_news import SuspectNews
from figspread.ids import PeerId
from figspread.inner.base import Message
from figspread.inner.codec import encode
from figspread.inner.entry_messages import (
    EntryHello,
    EvacuationNews,
    NoticeRow,
    PartNews,
    SlowdownNews,
    UpstreamNoticeRows,
)
from figspread.inner.messages import Suspects


class UpstreamNews:
    """Notices, evacuations, slowdowns, and what crashes upstreams."""

    def __init__(self, links: PeerLinks, components: EntryComponents) -> None:
        """Send changes over `links`."""
        self._links = links
        self._notices = components.notices
        self._notices.subscribe(self)
        self._quarantine = components.quarantine
        self._suspects = components.suspects
        self._suspect_news = SuspectNews(components.suspects)
        self._evacuations = EvacuationExchange(links, components)
        self._parts = PartExchange(links, components.quarantine)
        self._slowdowns = SlowdownExchange(links, components.slowdowns)

    def announce_notice(self, row: NoticeRow) -> None:
        """Send what an upstream has stated to the other entries."""
        frame = encode(UpstreamNoticeRows((row,)))
        for sender, hello in self._links.list_senders():
            if reads_notices(hello):
                sender.post(frame)

    def handle_heartbeat(self) -> None:
        """Send evacuations, and suspects that have changed."""
        self._evacuations.handle_heartbeat()
        changed = self._suspect_news.pop_changes()
        if changed:
            frame = encode(Suspects(tuple(changed)))
            for sender, _ in self._links.list_senders():
                sender.post(frame)

    def make_first_greeting(
        self, hello: EntryHello | None
    ) -> Iterable[Message]:
        """Return what a peer has to know before it serves requests."""
        yield from self._evacuations.make_greeting(hello)
        yield from self._parts.make_greeting(hello)

    def make_greeting(self, hello: EntryHello | None) -> Iterable[Message]:
        """Return the rest of what a new connection has missed."""
        rows = tuple(self._suspects.rows())
        if rows:
            yield Suspects(rows)
        yield from self._slowdowns.make_greeting(hello)
        if reads_notices(hello):
            yield UpstreamNoticeRows(tuple(self._notices.list_rows()))

    def greet_late(self, hello: EntryHello) -> None:
        """Send a peer what its greeting lacked if it was not known then."""
        self._evacuations.greet_late(hello)
        self._parts.greet_late(hello)
        self._slowdowns.greet_late(hello)
        for sender, known in self._links.list_senders():
            if known is hello and reads_notices(hello):
                rows = tuple(self._notices.list_rows())
                sender.post(encode(UpstreamNoticeRows(rows)))

    def merge(self, peer: PeerId, message: Message) -> None:
        """Apply a peer's news; other messages are ignored."""
        match message:
            case UpstreamNoticeRows(rows=rows):
                for row in rows:
                    self._notices.merge(row, peer)
            case PartNews() as news:
                self._quarantine.merge(news, peer)
            case EvacuationNews() as evacuations:
                self._evacuations.merge(evacuations, peer)
            case SlowdownNews() as slowdowns:
                self._slowdowns.merge(slowdowns, peer)
            case Suspects(rows=suspects):
                self._suspects.merge(suspects)
