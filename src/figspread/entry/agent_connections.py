"""Opens an entry's connections to agents and keeps them alive."""

from collections.abc import Callable

from figspread.config.holder import FleetHolder
from figspread.entry.dependencies import EntryDependencies
from figspread.entry.link import LinkContext, OpenResult
from figspread.ids import PeerId
from figspread.inner.connection import Connection, Timeouts
from figspread.inner.handshake import Opener, open_connection
from figspread.inner.heartbeat import keep_alive
from figspread.inner.messages import Heartbeat, Suspects


class AgentConnector:
    """Opens authenticated connections and sends heartbeats on them.

    A heartbeat carries the number of this entry's configuration and whether
    the entry is leaving.
    """

    def __init__(
        self,
        parts: EntryDependencies,
        holder: FleetHolder,
        is_leaving: Callable[[], bool],
    ) -> None:
        """Store the dependencies; nothing is opened."""
        self._parts = parts
        self._holder = holder
        self._is_leaving = is_leaving

    def make_link_context(
        self,
        on_suspects: Callable[[Suspects], None],
    ) -> LinkContext:
        """Return the dependencies that all links share."""
        return LinkContext(
            clock=self._parts.clock,
            rng=self._parts.rng,
            holder=self._holder,
            connect=self._open,
            send_heartbeats=self._send_heartbeats,
            on_suspects=on_suspects,
            list_suspects=self._parts.suspects.rows,
        )

    async def _open(self, address: str) -> OpenResult:
        cfg = self._parts.cfg
        scheme = 'ws' if self._parts.ssl is None else 'wss'
        return await open_connection(
            '{0}://{1}'.format(scheme, address),
            Opener(
                PeerId(cfg.vm),
                cfg.data_centre,
                self._holder.fleet.number,
            ),
            secret=self._parts.secret,
            ssl=self._parts.ssl,
            timeouts=Timeouts(
                heartbeat_s=cfg.heartbeat_s,
                silence_s=cfg.silence_s,
            ),
            clock=self._parts.clock,
        )

    async def _send_heartbeats(self, conn: Connection) -> None:
        try:
            await keep_alive(
                conn,
                lambda: Heartbeat(
                    self._holder.fleet.number,
                    leaving=self._is_leaving(),
                ),
            )
        finally:
            self._parts.metrics.add_control_bytes(conn.control_bytes)
