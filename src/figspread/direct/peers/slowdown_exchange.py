"""Exchanges the slowdown factors of engines with the other entries."""

import asyncio
from collections.abc import Iterable
from typing import Final

from figspread.direct.peers.peer_links import PeerLinks
from figspread.direct.peers.peer_versions import reads_load_news
from figspread.direct.state.slowdowns import SlowdownRegistry
from figspread.inner.base import Message
from figspread.inner.codec import encode
from figspread.inner.entry_messages import EntryHello, SlowdownNews
from figspread.policy.notices import Incarnation

# Delay before news are sent, so that engines that slow down together are one
# message.
SLOWDOWN_BATCH_DELAY_S: Final = 0.1


class SlowdownExchange:
    """Sends changed slowdown factors to all entries that read them."""

    def __init__(self, links: PeerLinks, slowdowns: SlowdownRegistry) -> None:
        """Send what `slowdowns` announces over `links`."""
        self._links = links
        self._slowdowns = slowdowns
        self._pending: set[Incarnation] = set()
        slowdowns.subscribe(self)

    def announce_slowdown(self, run: Incarnation) -> None:
        """Send the factor of an incarnation with the next batch."""
        if not self._pending:
            asyncio.get_running_loop().call_later(
                SLOWDOWN_BATCH_DELAY_S, self._flush
            )
        self._pending.add(run)

    def merge(self, news: SlowdownNews, source: str) -> None:
        """Apply a peer's news."""
        for row in news.rows:
            self._slowdowns.merge(row, source)

    def make_greeting(self, hello: EntryHello | None) -> Iterable[Message]:
        """Return the slow engines, for a new connection."""
        rows = tuple(self._slowdowns.list_rows())
        if rows and reads_load_news(hello):
            yield SlowdownNews(rows)

    def greet_late(self, hello: EntryHello) -> None:
        """Send a peer what its greeting lacked if it was not known then."""
        for sender, known in self._links.list_senders():
            if known is hello:
                for message in self.make_greeting(hello):
                    sender.post(encode(message))

    def _flush(self) -> None:
        rows = [self._slowdowns.make_row(run) for run in self._pending]
        self._pending.clear()
        frame = encode(SlowdownNews(tuple(row for row in rows if row)))
        for sender, hello in self._links.list_senders():
            if reads_load_news(hello):
                sender.post(frame)
