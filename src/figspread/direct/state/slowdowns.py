"""Keeps how slow engines are, by own measurements and peers' news."""

import random
from collections.abc import Callable, Collection, Iterable
from typing import Final, Protocol

import msgspec

from figspread.clock import Clock
from figspread.direct.model import Upstream
from figspread.direct.state.upstream_notices import identify_run
from figspread.inner.entry_messages import SlowdownRow
from figspread.policy.engine_slowdown import (
    SLOWDOWN_THRESHOLD,
    EngineSlowdowns,
    Measurement,
)
from figspread.policy.notices import Incarnation
from figspread.policy.upstream_load import UpstreamLoad
from figspread.telemetry.logs import Log

# Sources of changes, for the log, besides peers.
OWN_MEASUREMENT: Final = 'measurement'
DECAY: Final = 'decay'
# A change of a factor in this ratio or more is announced.
ANNOUNCED_CHANGE: Final = 1.25
# A factor that is still measured is announced again after this time, so that it
# doesn't decay at the entries that have no requests at the engine.
RENEWAL_S: Final = 2.0
# How long an incarnation that is not listed stays known: news of it may arrive
# before its record.
UNLISTED_TTL_S: Final = 5.0
_MS_PER_S: Final = 1000


class SlowdownListener(Protocol):
    """Is told of each change that other entries have to know."""

    def announce_slowdown(self, run: Incarnation) -> None:
        """Send the factor of an incarnation to the other entries."""


class _Announced(msgspec.Struct, frozen=True):
    factor: float
    announced_s: float


class SlowdownRegistry:
    """The slowdown factors of engines, with what entries were told of them."""

    def __init__(self, clock: Clock, rng: random.Random, log: Log) -> None:
        """Start with all engines at their published speed."""
        self._clock = clock
        self._log = log
        self._table = EngineSlowdowns(clock, rng)
        self._announced: dict[Incarnation, _Announced] = {}
        self._slow: set[Incarnation] = set()
        self._listeners: list[SlowdownListener] = []

    @property
    def slow_count(self) -> int:
        """The number of engines that were slow at the last change."""
        return len(self._slow)

    def subscribe(self, listener: SlowdownListener) -> None:
        """Tell `listener` of changes that own measurements have brought."""
        self._listeners.append(listener)

    def apply(
        self, load: UpstreamLoad, run: Incarnation, *, is_short: bool
    ) -> UpstreamLoad:
        """Return the load of an engine with its slowdown factors.

        A factor that has not been measured for a while is believed less by one
        short prompt at a time, which tries the engine again.
        """
        if not self._table.knows(run):
            return load
        may_try = is_short and not load.requests and not load.prefill_backlog_s
        confirmed = (
            self._table.confirmed_of(run)
            if may_try
            else self._table.held_of(run)
        )
        return msgspec.structs.replace(
            load,
            slowdown=max(confirmed, self._table.local_of(run)),
            confirmed_slowdown=confirmed,
        )

    def measure(
        self,
        upstream: Upstream,
        record: Callable[[EngineSlowdowns, Incarnation], None],
    ) -> None:
        """Record a measurement with `record`, and announce what it changes."""
        run = identify_run(upstream)
        before = self._table.find_measurement(run)
        record(self._table, run)
        measured = self._table.find_measurement(run)
        if measured is None or measured == before:
            return
        self._log_change(run, OWN_MEASUREMENT)
        if self._is_news(run, measured):
            self._announced[run] = _Announced(
                measured.factor, self._clock.now()
            )
            for listener in self._listeners:
                listener.announce_slowdown(run)

    def merge(self, row: SlowdownRow, source: str) -> None:
        """Record what a peer has measured, unless newer facts are known."""
        run = Incarnation(row.upstream, row.started_ms)
        now = self._clock.now()
        age_s = max(0, row.age_ms) / _MS_PER_S
        # Own measurements are compared with this also if the row is outdated,
        # as the other entries may have taken it over.
        self._announced[run] = _Announced(row.factor, now)
        self._table.merge(run, Measurement(now - age_s, max(1, row.factor)))
        self._log_change(run, source)

    def make_row(self, run: Incarnation) -> SlowdownRow | None:
        """Return what is known of an incarnation, for a peer."""
        measured = self._table.find_measurement(run)
        if measured is None:
            return None
        age_s = max(0, self._clock.now() - measured.measured_s)
        return SlowdownRow(
            run.upstream,
            run.started_ms,
            round(measured.factor, 3),
            round(age_s * _MS_PER_S),
        )

    def list_rows(self) -> Iterable[SlowdownRow]:
        """Yield all slow engines, for a peer that has just connected."""
        for run in self._table.list_runs():
            row = self.make_row(run)
            if row is not None and self._table.confirmed_of(run) > 1:
                yield row

    def update(self, upstreams: Collection[Upstream]) -> None:
        """Log decayed factors, and forget incarnations that are not listed."""
        for run in tuple(self._slow):
            self._log_change(run, DECAY)
        current = {identify_run(upstream) for upstream in upstreams}
        for run in self._table.list_runs():
            if run not in current and self._is_old(run):
                self._table.drop(run)
                self._announced.pop(run, None)
                self._slow.discard(run)

    def _is_old(self, run: Incarnation) -> bool:
        measured = self._table.find_measurement(run)
        since_s = self._clock.now() - UNLISTED_TTL_S
        return measured is None or measured.measured_s < since_s

    def _is_news(self, run: Incarnation, measured: Measurement) -> bool:
        announced = self._announced.get(run, _Announced(1, 0))
        is_slow = measured.factor > SLOWDOWN_THRESHOLD
        if is_slow != (announced.factor > SLOWDOWN_THRESHOLD):
            return True
        if not is_slow:
            return False
        ratio = measured.factor / announced.factor
        is_due = self._clock.now() - announced.announced_s >= RENEWAL_S
        return is_due or max(ratio, 1 / ratio) >= ANNOUNCED_CHANGE

    def _log_change(self, run: Incarnation, source: str) -> None:
        factor = self._table.confirmed_of(run)
        measured = self._table.find_measurement(run)
        is_slow = factor > 1
        if measured is None or is_slow == (run in self._slow):
            return
        if is_slow:
            self._slow.add(run)
        else:
            self._slow.discard(run)
        self._log.info(
            'engine slow' if is_slow else 'engine recovered',
            upstream=run.upstream,
            started_ms=run.started_ms,
            factor=round(factor, 2),
            source=source,
            age_s=round(self._clock.now() - measured.measured_s, 3),
        )
