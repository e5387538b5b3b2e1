"""What agents pass on between entries: configurations and suspects."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final, Protocol

from result import Ok

from figspread.agent.isolation import SuspectTable
from figspread.clock import Clock
from figspread.config.holder import FleetHolder
from figspread.ids import CrashId
from figspread.inner.base import Message
from figspread.inner.messages import (
    ConfigCopy,
    FetchConfig,
    Submit,
    SuspectRow,
    Suspects,
)

FETCH_PATIENCE_S: Final = 1.0
ROWS_IN_MESSAGE: Final = 500
_NEVER: Final = float('-inf')


class Peer(Protocol):
    """The other side of a connection."""

    def post(self, message: Message) -> None:
        """Send `message` without waiting."""


class PeerSync:
    """Learns from one peer and tells the others.

    One copy of a configuration is asked for at a time, however many peers
    have it; an answer that doesn't come is asked for again elsewhere.
    """

    def __init__(
        self,
        holder: FleetHolder,
        suspects: SuspectTable,
        clock: Clock,
        *,
        tell: Callable[[Message, Peer | None], None],
    ) -> None:
        """Tell news by `tell`, which leaves out the peer it came from."""
        self._holder = holder
        self._suspects = suspects
        self._clock = clock
        self._tell = tell
        self._asked_at = _NEVER

    @property
    def number(self) -> int:
        """The number of the configuration in force here."""
        return self._holder.fleet.number

    def note_number(self, number: int, peer: Peer) -> None:
        """Ask `peer` for its configuration if it is newer."""
        now = self._clock.now()
        if number > self.number and now - self._asked_at >= FETCH_PATIENCE_S:
            self._asked_at = now
            peer.post(FetchConfig(self.number))

    def answer_fetch(self, fetch: FetchConfig, peer: Peer) -> None:
        """Send `peer` the configuration if it is newer than it has."""
        if self.number > fetch.above:
            peer.post(ConfigCopy(self.number, self._holder.document))

    def take_copy(self, copy: ConfigCopy) -> None:
        """Take a newer configuration into force; others are passed over."""
        if isinstance(self._holder.offer(copy.document), Ok):
            self._asked_at = _NEVER

    def take_suspects(self, message: Suspects, peer: Peer) -> None:
        """Take suspects in and pass on those that are news."""
        self._tell_suspects(self._suspects.merge(message.rows), peer)

    def note_crashes(self, submits: Iterable[Submit]) -> None:
        """Count a crash for each attempt that ran when the upstream died."""
        rows = [
            row
            for submit in submits
            if submit.fingerprint
            for row in self._suspects.note_crash(
                submit.fingerprint,
                CrashId(submit.attempt),
            )
        ]
        self._tell_suspects(rows, None)

    def greet(self, peer: Peer) -> None:
        """Tell a new peer all suspects."""
        for rows in _split(self._suspects.rows()):
            peer.post(Suspects(rows))

    def _tell_suspects(
        self,
        news: Sequence[SuspectRow],
        source: Peer | None,
    ) -> None:
        for rows in _split(news):
            self._tell(Suspects(rows), source)


def _split(rows: Sequence[SuspectRow]) -> Iterator[tuple[SuspectRow, ...]]:
    for start in range(0, len(rows), ROWS_IN_MESSAGE):
        yield tuple(rows[start : start + ROWS_IN_MESSAGE])
