"""Tests of the facts from which an entry judges whether engines are cold."""

from collections.abc import Callable

import pytest
from msgspec.structs import replace

from figspread.clock import ManualClock
from figspread.direct.model import (
    ColdStart,
    Deployment,
    Service,
    Upstream,
    UpstreamState,
)
from figspread.direct.state.cold_upstreams import ColdUpstreams
from figspread.direct.state.holder import DeploymentHolder
from figspread.direct.state.registry import UpstreamRegistry
from figspread.direct.state.upstream_notices import UpstreamNotices
from figspread.http1.requests import CallerLimits
from figspread.ids import DataCentreId, ServiceName, UpstreamId
from figspread.inner.codec import decode, encode
from figspread.inner.entry_messages import NoticeRow, UpstreamNoticeRows
from figspread.policy.cold_upstreams import ColdBound, ColdLimit
from figspread.policy.store_version import make_version
from figspread.telemetry.logs import Level, Log
from figspread.telemetry.metrics import Metrics

POOL = ServiceName('pool')
PER_S = 34
ENGINE = Upstream(
    UpstreamId('e-1'),
    POOL,
    '10.0.0.1:80',
    DataCentreId('a'),
    6,
    UpstreamState.READY,
    7,
)
LIMIT = ColdLimit(PER_S, 8.5)


class Entry:
    """What one entry knows, on a manual clock."""

    def __init__(
        self, cold_start: ColdStart | None, *, has_contact: bool = True
    ) -> None:
        """Start with a warm engine whose service has `cold_start`."""
        self.clock = ManualClock(1000)
        self.evacuation_ended_s: float | None = None
        self._log = Log(Level.ERROR, {})
        self._metrics = Metrics('entry')
        self.registry = UpstreamRegistry(self.clock, lambda _: None)
        self.notices = UpstreamNotices(self.clock, self._log)
        holder = DeploymentHolder()
        holder.apply(
            Deployment(
                1,
                (),
                {POOL: Service(POOL, cold_start=cold_start)},
                {},
                CallerLimits(),
                has_workspaces=False,
            )
        )
        self.cold = ColdUpstreams(
            self.clock,
            holder,
            self.registry,
            self.notices,
            ColdBound(1.5, 5),
            lambda _: self.evacuation_ended_s,
        )
        self.read(ENGINE, 1)
        if has_contact:
            self.run(0.1)

    def read(self, upstream: Upstream, revision: int, era: int = 0) -> None:
        """Read a record."""
        self.registry.put(upstream, make_version(era, revision))

    def run(self, seconds: float, *, can_know: bool = True) -> None:
        """Let time pass, with the entry's regular updates."""
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            self.cold.update(self._log, self._metrics, can_know=can_know)

    def find_limit(self) -> ColdLimit | None:
        """Return the limit of the engine."""
        return self.cold.find_limit(
            self.registry.upstreams_by_id[ENGINE.upstream]
        )


def _read_cold_record(entry: Entry) -> None:
    entry.read(replace(ENGINE, cold_s=3), 2)


def _see_broken_connection(entry: Entry) -> None:
    entry.cold.record_restart(ENGINE.upstream)


def _hear_of_broken_connection(entry: Entry) -> None:
    row = NoticeRow(ENGINE.upstream, ENGINE.started_ms, restart_age_ms=100)
    message = decode(encode(UpstreamNoticeRows((row,)))).unwrap()
    assert isinstance(message, UpstreamNoticeRows)
    entry.notices.merge(message.rows[0], 'entry-2')


def _read_older_copy(entry: Entry) -> None:
    entry.read(ENGINE, 1, era=1)


def _end_evacuation(entry: Entry) -> None:
    entry.evacuation_ended_s = entry.clock.now()


def _stop_process(entry: Entry) -> None:
    entry.clock.advance(5)


def _lose_contact(entry: Entry) -> None:
    entry.run(0.1, can_know=False)


FACTS: dict[str, Callable[[Entry], None]] = {
    'its record': _read_cold_record,
    'a broken connection': _see_broken_connection,
    'a connection that broke at a peer': _hear_of_broken_connection,
    'a record from an older copy of the store': _read_older_copy,
    'the end of an evacuation': _end_evacuation,
    'a process that was stopped': _stop_process,
    'the loss of all contact': _lose_contact,
}


@pytest.mark.parametrize('case', FACTS)
def test_fact_limits_the_engine_at_once(case: str) -> None:
    """Guard against requests that are sent before the fact is taken in."""
    entry = Entry(ColdStart(3, PER_S))
    assert entry.find_limit() is None
    FACTS[case](entry)
    assert entry.find_limit() == LIMIT


def test_starting_entry_takes_what_it_has_just_read_for_known() -> None:
    """Guard against an entry that serves nothing until it has contact."""
    entry = Entry(ColdStart(3, PER_S), has_contact=False)
    entry.run(0.3, can_know=False)
    assert entry.find_limit() is None
    entry.run(0.1)
    entry.run(0.1, can_know=False)
    assert entry.find_limit() == LIMIT


@pytest.mark.parametrize('case', FACTS)
def test_limit_ends_some_seconds_later(case: str) -> None:
    """Guard against a limit without end while records are renewed."""
    entry = Entry(ColdStart(3, PER_S))
    FACTS[case](entry)
    for revision in (10, 11, 12):
        entry.run(1.2)
        cold_s = 0.6 if case == 'its record' and revision < 12 else 0
        entry.read(replace(ENGINE, cold_s=cold_s), revision, era=1)
    assert entry.find_limit() is None


@pytest.mark.parametrize('case', FACTS)
def test_service_without_a_cold_start_is_never_limited(case: str) -> None:
    """Guard against permits where the deployment asks for none."""
    entry = Entry(None)
    FACTS[case](entry)
    assert entry.find_limit() is None
    assert not entry.cold.list_limited()
    assert not list(entry.notices.list_rows()) or 'peer' in case


def test_same_record_read_again_is_no_newer_fact() -> None:
    """Guard against listings that bring back a record from before a crash."""
    entry = Entry(ColdStart(3, PER_S))
    entry.cold.record_restart(ENGINE.upstream)
    entry.run(2)
    entry.read(ENGINE, 1)
    assert entry.find_limit() == LIMIT


def test_sign_of_an_earlier_start_says_nothing_of_the_next_one() -> None:
    """Guard against a limit of an engine that has started warm."""
    entry = Entry(ColdStart(3, PER_S))
    entry.cold.record_restart(ENGINE.upstream)
    entry.read(replace(ENGINE, started_ms=8), 2)
    assert entry.find_limit() is None
