"""Propagates configurations and suspects between entries."""

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

FETCH_TIMEOUT_S: Final = 1.0
MAX_ROWS_PER_MESSAGE: Final = 500
_NEVER: Final = float('-inf')


class Peer(Protocol):
    """The process at the other end of a connection."""

    def send_nowait(self, message: Message) -> None:
        """Send `message` without waiting for the network."""


class PeerSync:
    """Applies updates from one peer and forwards them to the others.

    Only one fetch of a configuration is in flight, however many peers offer
    it. If no copy arrives within `FETCH_TIMEOUT_S` seconds, the next peer
    that announces a newer one is asked.
    """

    def __init__(
        self,
        holder: FleetHolder,
        suspects: SuspectTable,
        clock: Clock,
        *,
        broadcast: Callable[[Message, Peer | None], None],
    ) -> None:
        """Send updates with `broadcast`, which skips the peer passed to it."""
        self._holder = holder
        self._suspects = suspects
        self._clock = clock
        self._broadcast = broadcast
        self._fetch_sent_at = _NEVER

    @property
    def config_number(self) -> int:
        """The number of the configuration that the agent has applied."""
        return self._holder.fleet.number

    def handle_config_number(self, number: int, peer: Peer) -> None:
        """Fetch the configuration of `peer` if its `number` is newer."""
        now = self._clock.now()
        if (
            number > self.config_number
            and now - self._fetch_sent_at >= FETCH_TIMEOUT_S
        ):
            self._fetch_sent_at = now
            peer.send_nowait(FetchConfig(self.config_number))

    def handle_fetch(self, fetch: FetchConfig, peer: Peer) -> None:
        """Send `peer` the applied configuration if it is newer than its own."""
        if self.config_number > fetch.above:
            peer.send_nowait(
                ConfigCopy(self.config_number, self._holder.document)
            )

    def apply_copy(self, copy: ConfigCopy) -> None:
        """Apply a copied configuration; ignore one that is old or invalid."""
        if isinstance(self._holder.apply_if_newer(copy.document), Ok):
            self._fetch_sent_at = _NEVER

    def merge_suspects(self, message: Suspects, peer: Peer) -> None:
        """Merge a peer's suspects and forward the rows that changed."""
        self._broadcast_suspects(self._suspects.merge(message.rows), peer)

    def record_crashes(self, submits: Iterable[Submit]) -> None:
        """Record a crash for each attempt that ran when the upstream died."""
        rows = [
            row
            for submit in submits
            if submit.fingerprint
            for row in self._suspects.record_crash(
                submit.fingerprint,
                CrashId(submit.attempt),
            )
        ]
        self._broadcast_suspects(rows, None)

    def send_suspects(self, peer: Peer) -> None:
        """Send all known suspects to a newly connected peer."""
        for rows in _split_rows(self._suspects.rows()):
            peer.send_nowait(Suspects(rows))

    def _broadcast_suspects(
        self,
        changed_rows: Sequence[SuspectRow],
        source: Peer | None,
    ) -> None:
        for rows in _split_rows(changed_rows):
            self._broadcast(Suspects(rows), source)


def _split_rows(rows: Sequence[SuspectRow]) -> Iterator[tuple[SuspectRow, ...]]:
    for start in range(0, len(rows), MAX_ROWS_PER_MESSAGE):
        yield tuple(rows[start : start + MAX_ROWS_PER_MESSAGE])
