"""State of a direct entry: placements, upstreams, queue, retry budget."""

import asyncio
import os
import random
import select
import tracemalloc
from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from figspread.clock import ManualClock
from figspread.direct.model import Route, Upstream, UpstreamState
from figspread.direct.peers.lag import FETCH_DELAY_S, VersionLag
from figspread.direct.state.admission_queue import (
    AdmissionQueue,
    AdmissionRefused,
    Claim,
)
from figspread.direct.state.health import FAILURE_RATE_HALF_LIFE_S
from figspread.direct.state.placements import (
    PEER_PLACEMENT_TTL_S,
    SILENT_PEER_TTL_S,
    Placement,
    PlacementRegistry,
)
from figspread.direct.state.registry import RELIST_GRACE_S, UpstreamRegistry
from figspread.direct.state.routes import RouteTable
from figspread.ids import (
    AttemptId,
    DataCentreId,
    Fingerprint,
    PeerId,
    PlacementId,
    ServiceName,
    UpstreamId,
)
from figspread.policy.crashes import CRASH_WINDOW_S, InterruptedAttempts
from figspread.policy.engine_choice import choose_engine
from figspread.policy.engine_slowdown import WINDOW_S, EngineSlowdowns
from figspread.policy.engine_time import EngineProfile
from figspread.policy.notices import Incarnation
from figspread.policy.repeats import BudgetTerms, RepeatBudget
from figspread.policy.suspects import SuspectRegistry
from figspread.policy.upstream_load import (
    PlacementRequirements,
    UpstreamLoad,
)
from figspread.telemetry import buffered

ENGINE = UpstreamId('e-1')
RUN = Incarnation(ENGINE, 1)
PEER = PeerId('other')
POOL = ServiceName('pool')


def _ignore_crash(name: UpstreamId) -> None:
    pass


def _make_placement(
    name: str, reading_s: float = 0, gap_s: float = 1
) -> Placement:
    return Placement(PlacementId(name), ENGINE, 100, 10, reading_s, gap_s)


def make_upstream(
    name: str = 'e-1',
    state: UpstreamState = UpstreamState.READY,
    started_ms: int = 1,
) -> Upstream:
    """Return an upstream of `POOL` with 8 slots."""
    return Upstream(
        UpstreamId(name),
        POOL,
        '127.0.0.1:1',
        DataCentreId('a'),
        8,
        state,
        started_ms,
    )


def test_placement_registry_counts_requests_and_prefill_time() -> None:
    """Occupancy follows placements from start to first token to end.

    Counting an end twice, or a prefill that is done, would misplace requests.
    """
    clock = ManualClock()
    changes: list[int] = []
    placed = PlacementRegistry(clock, lambda: changes.append(1))
    placed.start(_make_placement('p', reading_s=2, gap_s=0.2))
    placed.start(_make_placement('q', reading_s=1, gap_s=0.5))
    clock.advance(0.5)
    load = placed.occupancy(ENGINE)
    assert (load.requests, load.decoding, load.kv_tokens) == (2, 0, 200)
    assert load.target_gap_s == 0.2
    assert placed.estimate_prefill_left_s(ENGINE) == 2.5
    placed.record_prefill_end(PlacementId('p'))
    assert placed.occupancy(ENGINE).decoding == 1
    placed.end(PlacementId('p'))
    placed.end(PlacementId('p'))
    placed.end(PlacementId('q'))
    assert placed.count() == 0
    # Waiting requests may be placed after a prefill, too.
    assert len(changes) == 3


def test_placement_registry_drops_lost_and_expired_peer_placements() -> None:
    """A lost peer's placements and expired ones are dropped.

    Placements whose end is never announced would make upstreams look full.
    """
    clock = ManualClock()
    placed = PlacementRegistry(clock, lambda: None)
    placed.start(_make_placement('own'))
    placed.start(_make_placement('theirs'), PEER)
    assert [known.placement for known in placed.list_own()] == ['own']
    placed.drop_peer(PEER)
    assert placed.count() == 1
    placed.start(_make_placement('old'), PEER)
    clock.advance(PEER_PLACEMENT_TTL_S + 1)
    placed.drop_expired()
    assert [known.placement for known in placed.list_own()] == ['own']
    assert placed.count() == 1


def test_placements_of_a_silent_peer_are_kept_for_a_while() -> None:
    """Engines go on with the requests of an entry that has lost power."""
    clock = ManualClock()
    placed = PlacementRegistry(clock, lambda: None)
    placed.start(_make_placement('theirs'), PEER)
    placed.drop_peer(PEER, is_silent=True)
    clock.advance(SILENT_PEER_TTL_S - 0.1)
    placed.drop_expired()
    assert placed.count() == 1
    clock.advance(0.2)
    placed.drop_expired()
    assert not placed.count()


def test_engines_of_a_silent_peer_take_short_prompts() -> None:
    """Guard against callers who wait beside engines with free slots.

    An entry has lost power while three of its prompts were read, under a burst
    that fills all other engines. Nobody tells of the ends of these reads, so
    that they seemed to take longer and longer.
    """
    clock = ManualClock()
    placed = PlacementRegistry(clock, lambda: None)
    for number in range(3):
        name = PlacementId('theirs.{0}'.format(number))
        placed.start(Placement(name, ENGINE, prefill_s=0.03), PEER)
    placed.owners.record_contact(PEER)
    clock.advance(3)
    engine = EngineProfile()
    home = DataCentreId('a')
    load = placed.build_upstream_load(make_upstream())
    busy = UpstreamLoad(
        UpstreamId('busy'),
        home,
        engine.slots,
        requests=engine.slots,
        decoding_requests=engine.slots,
        target_gap_s=0.25,
    )
    choice = choose_engine(
        [load, busy],
        engine,
        PlacementRequirements(5000, 1500, 0.3, 0.25, home),
        random.Random(1),
    )
    assert choice is not None
    assert choice.upstream == ENGINE
    assert choice.first_token_s < 0.3


def test_prefill_of_a_peer_in_contact_counts_as_overdue() -> None:
    """Guard against prompts sent to an engine that has stalled."""
    clock = ManualClock()
    placed = PlacementRegistry(clock, lambda: None)
    placed.start(_make_placement('theirs', reading_s=1), PEER)
    clock.advance(3)
    placed.owners.record_contact(PEER)
    assert placed.estimate_prefill_left_s(ENGINE) == 2


def test_upstream_registry_ignores_older_revisions() -> None:
    """A record older than the known one is ignored.

    The store and peers deliver records out of order.
    """
    registry = UpstreamRegistry(ManualClock(), _ignore_crash)
    assert registry.put(make_upstream(), 5)
    leaving = make_upstream(state=UpstreamState.LEAVING)
    assert not registry.put(leaving, 4)
    assert registry.list_usable(POOL)
    assert registry.put(leaving, 6)
    assert not registry.list_usable(POOL)


def test_missing_upstreams_stay_usable_after_store_outage() -> None:
    """Records that expired in a store outage stay usable for `RELIST_GRACE_S`.

    Live upstreams need that time to publish themselves again.
    """
    clock = ManualClock()
    registry = UpstreamRegistry(clock, _ignore_crash)
    registry.put(make_upstream('e-1'), 5)
    registry.put(make_upstream('e-2'), 6)
    registry.record_outage_end()
    clock.advance(RELIST_GRACE_S / 2)
    registry.apply_listing([(make_upstream('e-2'), 6)], 6)
    assert len(registry.list_usable(POOL)) == 2
    clock.advance(RELIST_GRACE_S / 2 + 0.1)
    assert registry.drop_missing() == ('e-1',)
    assert [known.upstream for known in registry.list_usable(POOL)] == ['e-2']


def test_missing_upstreams_are_dropped_without_outage() -> None:
    """Without an outage, missing and removed upstreams are dropped at once.

    An older record must not bring a removed one back.
    """
    clock = ManualClock()
    registry = UpstreamRegistry(clock, _ignore_crash)
    registry.put(make_upstream('e-1'), 5)
    registry.apply_listing([], 6)
    assert not registry.upstreams_by_id
    registry.put(make_upstream('e-1'), 7)
    assert registry.remove(UpstreamId('e-1'), 8)
    assert not registry.put(make_upstream('e-1'), 7)


def test_upstream_crash_is_reported_on_restart_and_on_removal() -> None:
    """A restart, a new record, and removal without leaving report a crash.

    An upstream that was leaving before its removal is not reported.
    """
    crashed: list[str] = []
    registry = UpstreamRegistry(ManualClock(), crashed.append)
    registry.put(make_upstream(started_ms=1), 1)
    crashed.clear()
    registry.put(make_upstream(started_ms=1), 2)
    assert not crashed
    registry.put(make_upstream(started_ms=2), 3)
    registry.remove(ENGINE, 4)
    registry.put(make_upstream(state=UpstreamState.LEAVING), 5)
    registry.remove(ENGINE, 6)
    assert crashed == ['e-1', 'e-1', 'e-1']


def test_failing_upstream_is_excluded_until_retry_time() -> None:
    """A failed upstream is excluded for a while, unless all have failed."""
    clock = ManualClock()
    registry = UpstreamRegistry(clock, _ignore_crash)
    registry.put(make_upstream('e-1'), 1)
    registry.put(make_upstream('e-2'), 2)
    registry.health.record_failure(ENGINE)
    assert [known.upstream for known in registry.list_usable(POOL)] == ['e-2']
    registry.health.record_failure(UpstreamId('e-2'))
    assert len(registry.list_usable(POOL)) == 2
    clock.advance(10)
    assert len(registry.list_usable(POOL)) == 2
    registry.health.record_success(ENGINE)
    assert registry.health.consecutive_failures(ENGINE) == 0


def _make_claim(name: str, arrived_s: float, target_start_s: float) -> Claim:
    return Claim(name, 1, arrived_s, target_start_s, 100, 1)


def test_queue_serves_requests_on_time_before_late_ones() -> None:
    """Late requests go last, except those late for so long that they starve."""
    order: list[str] = []

    async def run() -> None:
        clock = ManualClock(10)
        queue = AdmissionQueue(clock)
        free = 0

        def take_slot(name: str) -> str | None:
            nonlocal free
            if not free:
                return None
            free -= 1
            order.append(name)
            return name

        claims = (
            _make_claim('late', 1, 9.5),
            _make_claim('due later', 5, 14),
            _make_claim('due soon', 6, 11),
            _make_claim('late for long', 0, 2),
        )
        tasks = [
            asyncio.create_task(
                queue.wait(claim, partial(take_slot, claim.request), print),
            )
            for claim in claims
        ]
        await asyncio.sleep(0)
        assert queue.estimate_backlog_s(_make_claim('new', 10, 12)) == 2
        free = 4
        queue.notify()
        await asyncio.gather(*tasks)
        assert not len(queue)

    asyncio.run(run())
    assert order == ['late for long', 'due soon', 'due later', 'late']


def test_cancelled_waiter_releases_its_assignment() -> None:
    """A result assigned in the turn of the cancellation is released.

    Otherwise its slot would stay taken.
    """

    async def run() -> list[str]:
        queue = AdmissionQueue(ManualClock())
        released: list[str] = []
        task = asyncio.create_task(
            queue.wait(
                _make_claim('r', 0, 1), lambda: 'place', released.append
            ),
        )
        await asyncio.sleep(0)
        # The queue assigns a result in the same loop turn as the cancellation.
        asyncio.get_running_loop().call_soon(task.cancel)
        with pytest.raises(asyncio.CancelledError):
            await task
        return released

    assert asyncio.run(run()) == ['place']


def test_waiting_request_is_refused_once_it_may_not_be_sent() -> None:
    """End the wait of a request that is quarantined meanwhile, and of no other."""

    async def run() -> tuple[str, int]:
        queue = AdmissionQueue(ManualClock())
        forbidden: set[str] = set()

        def check(name: str) -> None:
            if name in forbidden:
                raise AdmissionRefused('a part crashes upstreams', 60)

        waits = [
            asyncio.create_task(
                queue.wait(
                    _make_claim(name, 0, 1),
                    lambda: None,
                    print,
                    partial(check, name),
                ),
            )
            for name in ('deadly', 'sound')
        ]
        await asyncio.sleep(0)
        forbidden.add('deadly')
        queue.recheck()
        with pytest.raises(AdmissionRefused) as refused:
            await waits[0]
        left = len(queue)
        waits[1].cancel()
        return str(refused.value), left

    assert asyncio.run(run()) == ('a part crashes upstreams', 1)


@given(
    requests=st.integers(0, 200),
    entries=st.integers(1, 30),
    tries=st.integers(0, 200),
)
def test_retries_stay_within_budget(
    requests: int,
    entries: int,
    tries: int,
) -> None:
    """Retries stay within the ratio plus this entry's share of the slack."""
    clock = ManualClock()
    budget = _make_budget(clock, slack=100, entries=entries)
    for _ in range(requests):
        budget.record_first_send(POOL)
    granted = sum(_repeat(budget) for _ in range(tries))
    assert granted <= 0.2 * requests + 100 / entries
    clock.advance(11)
    granted_later = sum(_repeat(budget) for _ in range(tries))
    assert granted_later <= 100 / entries


def test_budget_without_repeats_does_not_grow() -> None:
    """Forget first sends outside the window, also while nothing is repeated."""
    clock = ManualClock()
    budget = _make_budget(clock, slack=0, entries=1)
    tracemalloc.start()
    for _ in range(20_000):
        clock.advance(1)
        budget.record_first_send(POOL)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # Those of 10 s; one deque's block has 64 of them.
    assert used_bytes < 10_000
    assert [_repeat(budget) for _ in range(2)] == [True, False]


def _make_budget(
    clock: ManualClock, *, slack: float, entries: int
) -> RepeatBudget:
    budget = RepeatBudget(
        clock, BudgetTerms(ratio=0.2, slack=slack, window_s=10)
    )
    budget.record_first_process()
    budget.record_entries(entries)
    return budget


def _repeat(budget: RepeatBudget) -> bool:
    is_allowed = budget.try_reserve(POOL)
    if is_allowed:
        budget.record_repeat(POOL)
    return is_allowed


def test_only_recently_broken_attempts_are_suspects() -> None:
    """Attempts that broke longer ago than `CRASH_WINDOW_S` aren't suspects."""
    clock = ManualClock()
    broken = InterruptedAttempts(clock)
    broken.record(ENGINE, 1, Fingerprint('old'), AttemptId('1'))
    clock.advance(CRASH_WINDOW_S + 0.1)
    broken.record(ENGINE, 1, Fingerprint('new'), AttemptId('2'))
    crashed_attempts = broken.pop_crashed(ENGINE)
    assert [(row.fingerprint, row.attempt) for row in crashed_attempts] == [
        ('new', '2')
    ]
    assert not broken.pop_crashed(ENGINE)


def test_one_crash_counts_once() -> None:
    """A crash counts once for a request.

    It counts so even if it broke several attempts of equal requests, or if
    another entry reports it too.
    """
    clock = ManualClock()
    tables = [SuspectRegistry(clock) for _ in range(2)]
    for table in tables:
        broken = InterruptedAttempts(clock)
        for number in range(4):
            attempt = AttemptId(str(number))
            broken.record(ENGINE, 1, Fingerprint('alike'), attempt)
        for row in broken.pop_crashed(ENGINE):
            table.record_crash(row.fingerprint, row.crash)
    tables[0].merge(tables[1].rows())
    assert tables[0].crashes(Fingerprint('alike')) == 1


def test_second_crash_of_same_upstream_id_counts() -> None:
    """A second crash counts, though the upstream restarted with the same id."""
    clock = ManualClock()
    broken = InterruptedAttempts(clock)
    suspects = SuspectRegistry(clock)
    for started_ms in (1, 2):
        broken.record(ENGINE, started_ms, Fingerprint('x'), AttemptId('a'))
        for row in broken.pop_crashed(ENGINE):
            suspects.record_crash(row.fingerprint, row.crash)
    assert suspects.is_blocked(Fingerprint('x'))


def test_success_before_crash_is_known_clears_request() -> None:
    """A request that succeeds before the crash is known is no suspect."""
    broken = InterruptedAttempts(ManualClock())
    broken.record(ENGINE, 1, Fingerprint('good'), AttemptId('1'))
    broken.record(ENGINE, 1, Fingerprint('other'), AttemptId('2'))
    broken.discard(Fingerprint('good'))
    crashed_attempts = broken.pop_crashed(ENGINE)
    assert [row.fingerprint for row in crashed_attempts] == ['other']


def _make_route(host: str, prefix: str) -> Route:
    return Route('{0}{1}'.format(host, prefix), host, prefix, None, (), 1)  # type: ignore[arg-type]


ROUTE_CASES = {
    'longest prefix': ('a.example', '/x/y/z', 'a.example/x/y/'),
    'shorter prefix': ('a.example', '/x/z', 'a.example/x/'),
    'port and case of the host': ('A.example:80', '/x/', 'a.example/x/'),
    'other host': ('b.example', '/x/', None),
    'name that only begins alike': ('a.example', '/xy/', None),
    'prefix without its slash': ('a.example', '/x', None),
}


@pytest.mark.parametrize('case', ROUTE_CASES)
def test_route_lookup(case: str) -> None:
    """The host and the longest prefix of whole directories select a route."""
    host, path, expected = ROUTE_CASES[case]
    table = RouteTable(
        [_make_route('a.example', '/x/'), _make_route('a.example', '/x/y/')]
    )
    route = table.find(host, path)
    found = route.name if route else None
    assert found == expected


def test_log_buffer_is_bounded_and_reports_dropped_lines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Lines beyond the buffer are dropped, and their number is logged."""
    written: list[bytes] = []

    def write(_descriptor: int, octets: bytes) -> int:
        written.append(bytes(octets))
        return len(octets)

    monkeypatch.setattr(os, 'write', write)
    monkeypatch.setattr(buffered, 'BUFFER_LIMIT_LINES', 2)
    monkeypatch.setattr(buffered, 'FLUSH_INTERVAL_S', 1000)
    lines = buffered.BufferedLines(1)
    for number in range(5):
        lines.write(b'%d\n' % number)
    monkeypatch.setattr(buffered, 'FLUSH_INTERVAL_S', 0)
    lines.close()
    assert b''.join(written).splitlines()[:2] == [b'0', b'1']
    assert b'"count": 3' in b''.join(written)


def test_log_lines_are_written_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """No write ends within a line or exceeds what a pipe takes at once.

    A line longer than that is a write of its own.
    """
    written: list[bytes] = []

    def write(_descriptor: int, octets: bytes) -> int:
        written.append(bytes(octets))
        return len(octets)

    monkeypatch.setattr(os, 'write', write)
    monkeypatch.setattr(buffered, 'FLUSH_INTERVAL_S', 1000)
    lines = buffered.BufferedLines(1)
    rows = [b'%d' % number * 300 + b'\n' for number in range(50)]
    rows.insert(20, b'x' * select.PIPE_BUF + b'\n')
    for row in rows:
        lines.write(row)
    monkeypatch.setattr(buffered, 'FLUSH_INTERVAL_S', 0)
    lines.close()
    assert b''.join(written) == b''.join(rows)
    assert all(octets.endswith(b'\n') for octets in written)
    assert all(
        len(octets) <= select.PIPE_BUF or octets.count(b'\n') == 1
        for octets in written
    )


def test_upstream_removed_long_after_outage_is_dropped_at_once() -> None:
    """The grace time after an outage does not apply to later removals."""
    clock = ManualClock()
    registry = UpstreamRegistry(clock, _ignore_crash)
    registry.put(make_upstream(), 5)
    registry.record_outage_end()
    clock.advance(RELIST_GRACE_S + 1)
    assert registry.remove(ENGINE, 6)
    assert not registry.list_usable(POOL)


def test_lag_is_due_though_another_peer_is_behind() -> None:
    """A peer with an older version does not reset the delay."""
    clock = ManualClock()
    lag = VersionLag(clock)
    lag.record_announced(9)
    assert not lag.is_due(7)
    clock.advance(FETCH_DELAY_S / 2)
    lag.record_announced(7)
    assert not lag.is_due(7)
    clock.advance(FETCH_DELAY_S / 2)
    assert lag.is_due(7)
    assert not lag.is_due(9)


def test_lag_is_due_at_once_without_any_version() -> None:
    """An entry without any version fetches it without the delay."""
    lag = VersionLag(ManualClock())
    lag.record_announced(9)
    assert lag.is_due(0)


def test_engine_pace_follows_shortest_recent_gap() -> None:
    """The pace is the shortest gap of two windows, as a ratio of the expected.

    Longer gaps include the prefill of other requests.
    """
    clock = ManualClock()
    paces = EngineSlowdowns(clock, random.Random(1))
    assert paces.local_of(RUN) == 1
    for pause_s in (0.3, 0.1, 0.5):
        paces.record_gap(RUN, pause_s, 0.04)
    assert paces.local_of(RUN) == 2.5
    paces.record_gap(RUN, 0.041, 0.04)
    assert paces.local_of(RUN) == 1
    clock.advance(WINDOW_S)
    paces.record_gap(RUN, 0.16, 0.04)
    assert paces.local_of(RUN) == 1
    clock.advance(WINDOW_S)
    assert paces.local_of(RUN) == 4
    clock.advance(2 * WINDOW_S)
    assert paces.local_of(RUN) == 1


def test_failing_share_rises_and_decays() -> None:
    """The share rises with errors, falls with success and decays with time.

    An excluded upstream gives no new results that could lower it.
    """
    clock = ManualClock()
    registry = UpstreamRegistry(clock, _ignore_crash)
    registry.put(make_upstream(), 1)
    for _ in range(20):
        registry.health.record_error(ENGINE)
    assert registry.health.failure_rate(ENGINE) > 0.9
    assert registry.list_usable(POOL)
    registry.health.record_success(ENGINE)
    assert 0.5 < registry.health.failure_rate(ENGINE) < 0.8
    clock.advance(5 * FAILURE_RATE_HALF_LIFE_S)
    assert registry.health.failure_rate(ENGINE) < 0.05


def test_old_interrupted_attempts_are_forgotten() -> None:
    """Upstreams that never crash keep no attempts for ever."""
    clock = ManualClock()
    interrupted = InterruptedAttempts(clock)
    for number in range(100):
        interrupted.record(
            UpstreamId('e-{0}'.format(number)),
            1,
            Fingerprint(str(number)),
            AttemptId(str(number)),
        )
        clock.advance(1)
    assert len(interrupted) <= CRASH_WINDOW_S + 1
