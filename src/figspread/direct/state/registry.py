"""The known upstreams, from the store, from peers and from own attempts."""

from collections.abc import Callable, Iterable, Mapping
from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.direct.model import Upstream, UpstreamState
from figspread.direct.state.health import HealthRegistry
from figspread.ids import DataCentreId, ServiceName, UpstreamId
from figspread.policy.store_version import find_era

# Grace period after a store outage. Live upstreams are listed again within
# this time; an upstream that is still missing then is gone.
RELIST_GRACE_S: Final = 2.2
# How long an upstream that was removed stays gone when a store that went back
# lists it again. The store drops the records of upstreams that don't renew them
# within this time.
REMOVED_TTL_S: Final = 6.0


class Reading(msgspec.Struct, frozen=True):
    """When the newest record of an upstream was read.

    `is_copied` marks one that the store has brought back from an older copy, so
    that it may say what held long before.
    """

    read_s: float
    is_copied: bool


class _Removal(msgspec.Struct, frozen=True):
    started_ms: int
    era: int
    removed_s: float


class UpstreamRegistry:
    """Upstreams by id, each in its newest known state.

    `revision` is the store revision up to which it is complete, and
    `changed_revision` that of its newest change.

    A listing replaces all upstreams. Upstreams whose records expired during
    a store outage stay usable for `RELIST_GRACE_S` after the outage ends. The
    same holds for records that a store has lost by going back to a copy; what
    such a copy says of upstreams that have left since does not hold.
    `record_crash` is called with an upstream that has started or restarted,
    or that is gone without having announced that it is leaving. `is_evacuated`
    tells whether no requests may be sent to a data centre.
    """

    def __init__(
        self,
        clock: Clock,
        record_crash: Callable[[UpstreamId], None],
        is_evacuated: Callable[[DataCentreId], bool] = lambda _: False,
    ) -> None:
        """Start without upstreams."""
        self._is_evacuated = is_evacuated
        self._clock = clock
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._revisions: dict[UpstreamId, int] = {}
        self._missing_until: dict[UpstreamId, float] = {}
        self._removed: dict[UpstreamId, _Removal] = {}
        self._held: dict[UpstreamId, tuple[Upstream, int]] = {}
        self.health = HealthRegistry(clock)
        self._outage_end = float('-inf')
        self.revision = 0
        self.changed_revision = 0
        self._record_crash = record_crash
        self.is_listed = False
        self.readings: dict[UpstreamId, Reading] = {}

    @property
    def upstreams_by_id(self) -> Mapping[UpstreamId, Upstream]:
        """All upstreams, including those that are leaving."""
        return self._upstreams

    def apply_listing(
        self,
        listed: Iterable[tuple[Upstream, int]],
        revision: int,
    ) -> tuple[UpstreamId, ...]:
        """Replace the known upstreams with the store's listing at `revision`.

        Return the upstreams that are dropped now.
        """
        rows = list(listed)
        names = {upstream.upstream for upstream, _ in rows}
        until = self._outage_end + RELIST_GRACE_S
        for name in set(self._upstreams) - names:
            if self._revisions[name] > revision:
                # A peer has told of it since the listing was read.
                continue
            self._missing_until.setdefault(name, until)
            self._revisions[name] = revision
            self.changed_revision = max(self.changed_revision, revision)
        for upstream, changed in rows:
            self.put(upstream, changed)
        return self.drop_missing()

    def record_revision(self, revision: int) -> None:
        """Record the store revision up to which the registry is complete."""
        self.revision = max(self.revision, revision)
        self.is_listed = True

    def record_outage_end(self) -> None:
        """Record the end of a store outage, which starts the grace period."""
        self._outage_end = self._clock.now()

    @property
    def grace_s(self) -> float:
        """The seconds left of the grace period after a store outage."""
        left_s = self._outage_end + RELIST_GRACE_S - self._clock.now()
        return max(0, left_s)

    def extend_grace(self, grace_s: float) -> None:
        """Apply the grace period of an entry that has noticed an outage."""
        outage_end = self._clock.now() + grace_s - RELIST_GRACE_S
        self._outage_end = max(self._outage_end, outage_end)

    def put(self, upstream: Upstream, revision: int) -> bool:
        """Store an upstream unless a newer revision is known.

        Return whether the upstream has changed.
        """
        name = upstream.upstream
        if revision < self._revisions.get(name, 0):
            return False
        self.changed_revision = max(self.changed_revision, revision)
        self._missing_until.pop(name, None)
        self._held.pop(name, None)
        known = self._upstreams.get(name)
        if self._is_outdated(upstream, revision):
            if known is None:
                self._held[name] = (upstream, revision)
                return False
            upstream = known
        else:
            self._record_reading(name, revision)
        if known is None or known.started_ms != upstream.started_ms:
            self.health.reset(name)
            self._record_crash(name)
        self._upstreams[name] = upstream
        self._revisions[name] = revision
        return known != upstream

    def remove(self, name: UpstreamId, revision: int) -> bool:
        """Drop an upstream deleted from the store, at once or after the grace.

        Return whether any upstream was dropped now.
        """
        if revision < self._revisions.get(name, 0):
            return False
        self.changed_revision = max(self.changed_revision, revision)
        self._revisions[name] = revision
        self._held.pop(name, None)
        if name not in self._upstreams:
            return False
        self._missing_until.setdefault(name, self._outage_end + RELIST_GRACE_S)
        return bool(self.drop_missing())

    def drop_missing(self) -> tuple[UpstreamId, ...]:
        """Drop and return the upstreams whose grace period is over."""
        now = self._clock.now()
        self._release_held(now)
        expired = tuple(
            name for name, until in self._missing_until.items() if until <= now
        )
        for name in expired:
            self._missing_until.pop(name)
            known = self._upstreams.pop(name, None)
            self.readings.pop(name, None)
            if known:
                self._removed[name] = _Removal(
                    known.started_ms, find_era(self._revisions[name]), now
                )
            if known and known.state is UpstreamState.READY:
                self._record_crash(name)
        return expired

    def _record_reading(self, name: UpstreamId, revision: int) -> None:
        known_revision = self._revisions.get(name, -1)
        if revision > known_revision:
            is_copied = name in self._upstreams and find_era(
                revision
            ) > find_era(known_revision)
            self.readings[name] = Reading(self._clock.now(), is_copied)

    def _is_outdated(self, upstream: Upstream, revision: int) -> bool:
        """Return whether a record is from before what is known of it.

        It is of a newer era, but the copy that this era began with is older.
        """
        name = upstream.upstream
        known = self._upstreams.get(name)
        if known is not None:
            is_newer_era = find_era(revision) > find_era(self._revisions[name])
            return (
                is_newer_era
                and known.started_ms == upstream.started_ms
                and known.state is UpstreamState.LEAVING
            )
        removal = self._removed.get(name)
        return (
            removal is not None
            and removal.started_ms == upstream.started_ms
            and find_era(revision) > removal.era
            and self._clock.now() < removal.removed_s + REMOVED_TTL_S
        )

    def _release_held(self, now: float) -> None:
        for name, removal in tuple(self._removed.items()):
            if now >= removal.removed_s + REMOVED_TTL_S:
                self._removed.pop(name)
                if name in self._held:
                    self.put(*self._held.pop(name))

    def list_ready(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams of `service` that may get requests.

        They are not leaving, and their data centres are not evacuated.
        """
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service
            and upstream.state is UpstreamState.READY
            and not self._is_evacuated(upstream.data_centre)
        ]

    def prefer_healthy(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return those that are not left out for failures, else all."""
        healthy = [
            upstream
            for upstream in upstreams
            if self.health.is_usable(upstream.upstream)
        ]
        return healthy or upstreams

    def list_usable(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams of `service` that accept new requests.

        If all of them are left out for failures, all are returned.
        """
        return self.prefer_healthy(self.list_ready(service))
