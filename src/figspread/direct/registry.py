"""Which upstreams there are, by the store, by peers and by experience."""

from collections.abc import Callable, Iterable, Mapping
from typing import Final

from figspread.clock import Clock
from figspread.direct.health import HealthRegistry
from figspread.direct.model import Upstream, UpstreamState
from figspread.ids import ServiceName, UpstreamId

# After an outage of the store live upstreams are listed again within this
# time; what is missing then is gone.
RELIST_S: Final = 2.2


class Registry:
    """The upstreams by id, each in the state that was told last.

    A listing is taken as a whole. Entries that an outage of the store has
    let lapse stay usable for `RELIST_S` after its return. `note_crash` is
    called with an upstream that has started anew, or is gone without having
    said that it leaves.
    """

    def __init__(
        self,
        clock: Clock,
        note_crash: Callable[[UpstreamId], None],
    ) -> None:
        """Start with none."""
        self._clock = clock
        self._known: dict[UpstreamId, Upstream] = {}
        self._revisions: dict[UpstreamId, int] = {}
        self._missing: dict[UpstreamId, float] = {}
        self.health = HealthRegistry(clock)
        self._outage_end = float('-inf')
        self.revision = 0
        self._note_crash = note_crash
        self.is_listed = False

    @property
    def known(self) -> Mapping[UpstreamId, Upstream]:
        """All upstreams, those that are leaving too."""
        return self._known

    def take_listing(
        self,
        listed: Iterable[tuple[Upstream, int]],
    ) -> None:
        """Replace what is known by a listing of the store."""
        rows = list(listed)
        names = {upstream.upstream for upstream, _ in rows}
        until = self._outage_end + RELIST_S
        for missing in set(self._known) - names:
            self._missing.setdefault(missing, until)
        for upstream, revision in rows:
            self.put(upstream, revision)
        self.is_listed = True
        self.drop_missing()

    def note_revision(self, revision: int) -> None:
        """Note how new the listing is."""
        self.revision = max(self.revision, revision)

    def note_outage_end(self) -> None:
        """Note that the store answers again: lapsed entries may be back."""
        self._outage_end = self._clock.now()

    def put(self, upstream: Upstream, revision: int) -> bool:
        """Take an entry unless a newer one is known; tell whether it was."""
        name = upstream.upstream
        if revision < self._revisions.get(name, 0):
            return False
        self._missing.pop(name, None)
        known = self._known.get(name)
        if known is None or known.started_ms != upstream.started_ms:
            self.health.forget(name)
            self._note_crash(name)
        self._known[name] = upstream
        self._revisions[name] = revision
        return known != upstream

    def remove(self, name: UpstreamId, revision: int) -> bool:
        """Drop an upstream that the store has no entry of any more."""
        if revision < self._revisions.get(name, 0):
            return False
        self._revisions[name] = revision
        if name not in self._known:
            return False
        self._missing.setdefault(name, self._outage_end + RELIST_S)
        return bool(self.drop_missing())

    def drop_missing(self) -> tuple[UpstreamId, ...]:
        """Drop what has been missing for long enough; return it."""
        now = self._clock.now()
        due = tuple(
            name for name, until in self._missing.items() if until <= now
        )
        for name in due:
            self._missing.pop(name)
            known = self._known.pop(name, None)
            if known and known.state is UpstreamState.READY:
                self._note_crash(name)
        return due

    def usable(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams of `service` that take new work."""
        ready = [
            upstream
            for upstream in self._known.values()
            if upstream.service == service
            and upstream.state is UpstreamState.READY
        ]
        sound = [
            upstream
            for upstream in ready
            if self.health.is_sound(upstream.upstream)
        ]
        return sound or ready
