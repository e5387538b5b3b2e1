"""Brings the configuration and the upstreams of entries to the same versions."""

import zlib
from collections.abc import Iterable
from typing import Final

from figspread.direct.adapter import Listing, StoredDocument
from figspread.direct.components import EntryComponents
from figspread.direct.peers.lag import VersionLag
from figspread.direct.store.follower import StoreFollower
from figspread.ids import PeerId
from figspread.inner.base import Message
from figspread.inner.entry_messages import FetchUpstreams, UpstreamRows
from figspread.inner.messages import ConfigCopy, FetchConfig

# Configurations are text that repeats itself; the fastest level already saves
# most of the bytes.
_COMPRESSION_LEVEL: Final = 1
_MS_PER_S: Final = 1000


class PeerState:
    """Asks peers for newer state, applies it, and answers their questions."""

    def __init__(
        self, components: EntryComponents, follower: StoreFollower
    ) -> None:
        """Keep the entry's configuration and upstreams up to date."""
        self._holder = components.holder
        self._registry = components.registry
        self._log = components.log
        self._follower = follower
        self._config_lag = VersionLag(components.clock)
        self._store_lag = VersionLag(components.clock)
        self._compressed: tuple[int, bytes] = (0, b'')

    @property
    def config_number(self) -> int:
        """The version of the configuration in force, 0 without one."""
        return self._holder.version

    @property
    def store_revision(self) -> int:
        """The store revision of the newest known change of the upstreams."""
        return self._registry.changed_revision

    def list_questions(
        self, config_number: int, store_revision: int, delay_s: float
    ) -> Iterable[Message]:
        """Yield what to ask a peer that announces these versions.

        The store may deliver them too; `delay_s` is how long to wait for that.
        """
        self._config_lag.record_announced(config_number)
        self._store_lag.record_announced(store_revision)
        version = self._holder.version
        is_config_due = self._config_lag.is_due(version, delay_s)
        if is_config_due and config_number > version:
            self._config_lag.record_question()
            yield FetchConfig(version, reads_compressed=True)
        revision = self._registry.revision
        is_store_due = self._store_lag.is_due(revision, delay_s)
        if is_store_due and store_revision > revision:
            self._store_lag.record_question()
            yield FetchUpstreams(revision)

    def answer_fetch(self, question: object) -> Message | None:
        """Return the answer to a peer's question, if there is one."""
        match question:
            case FetchConfig(reads_compressed=reads_compressed):
                return self._copy_configuration(reads_compressed)
            case FetchUpstreams(store_revision=revision):
                return self.make_upstream_rows(revision)
        return None

    def make_upstream_rows(self, since: int) -> UpstreamRows:
        """Return the upstreams changed after the revision `since`."""
        return UpstreamRows(
            self._follower.list_changes_since(since),
            self._registry.revision,
            since,
            round(self._registry.grace_s * _MS_PER_S),
        )

    def apply_configuration(self, copy: ConfigCopy, peer: PeerId) -> None:
        """Apply a peer's answer to `FetchConfig`."""
        self._config_lag.record_answer()
        document = copy.document
        if copy.is_compressed:
            try:
                document = zlib.decompress(document)
            except zlib.error as exc:
                self._log.error('configuration invalid', detail=str(exc))
                return
        self._follower.apply_configuration(document, peer)

    def apply_upstreams(self, answer: UpstreamRows, peer: PeerId) -> None:
        """Apply rows that a peer has sent, if none before them is missing."""
        if answer.since > self._registry.revision:
            return
        self._store_lag.record_answer()
        self._registry.extend_grace(answer.grace_ms / _MS_PER_S)
        documents = [
            StoredDocument(
                row.name,
                row.revision,
                row.document,
                row.is_deleted,
            )
            for row in answer.rows
        ]
        self._follower.apply_upstreams(
            Listing(documents, answer.store_revision, is_whole=False),
            peer,
        )

    def _copy_configuration(self, reads_compressed: bool) -> Message | None:
        deployment = self._holder.current
        if deployment is None:
            return None
        if not reads_compressed:
            return ConfigCopy(deployment.version, deployment.source)
        if self._compressed[0] != deployment.version:
            self._compressed = (
                deployment.version,
                zlib.compress(deployment.source, _COMPRESSION_LEVEL),
            )
        return ConfigCopy(
            deployment.version, self._compressed[1], is_compressed=True
        )
