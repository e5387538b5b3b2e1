"""What an entry keeps: placements, upstreams, waiting requests, budgets."""

import asyncio
import os
from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from figspread.clock import ManualClock
from figspread.direct.admission_queue import AdmissionQueue, Claim
from figspread.direct.health import FORGET_HALF_S
from figspread.direct.lag import BEHIND_S, Lag
from figspread.direct.model import Route, Upstream, UpstreamState
from figspread.direct.placements import (
    FORGET_S,
    Placement,
    PlacementId,
    PlacementRegistry,
)
from figspread.direct.registry import RELIST_S, Registry
from figspread.direct.routes import RouteTable
from figspread.ids import (
    AttemptId,
    DataCentreId,
    Fingerprint,
    PeerId,
    ServiceName,
    UpstreamId,
)
from figspread.policy.crashes import CRASH_WINDOW_S, BrokenAttempts
from figspread.policy.engine_pace import WINDOW_S, EnginePaces
from figspread.policy.repeats import RepeatBudget
from figspread.policy.suspects import Suspects
from figspread.telemetry import buffered

ENGINE = UpstreamId('e-1')
PEER = PeerId('other')
POOL = ServiceName('pool')


def _ignore(name: UpstreamId) -> None:
    pass


def _placement(name: str, reading_s: float = 0, gap_s: float = 1) -> Placement:
    return Placement(PlacementId(name), ENGINE, 100, 10, reading_s, gap_s)


def make_upstream(
    name: str = 'e-1',
    state: UpstreamState = UpstreamState.READY,
    started_ms: int = 1,
) -> Upstream:
    """Make upstream."""
    return Upstream(
        UpstreamId(name),
        POOL,
        '127.0.0.1:1',
        DataCentreId('a'),
        8,
        state,
        started_ms,
    )


def test_book_counts_what_is_placed_and_read() -> None:
    """Registry of placements counts what is placed and read."""
    clock = ManualClock()
    ended: list[int] = []
    placed = PlacementRegistry(clock, lambda: ended.append(1))
    placed.start(_placement('p', reading_s=2, gap_s=0.2))
    placed.start(_placement('q', reading_s=1, gap_s=0.5))
    clock.advance(0.5)
    there = placed.occupancy(ENGINE)
    assert (there.requests, there.writers, there.kv_tokens) == (2, 0, 200)
    assert there.gap_s == 0.2
    assert placed.reading_left_s(ENGINE) == 2.5
    placed.note_first(PlacementId('p'))
    assert placed.occupancy(ENGINE).writers == 1
    placed.end(PlacementId('p'))
    placed.end(PlacementId('p'))
    placed.end(PlacementId('q'))
    assert placed.count() == 0
    assert len(ended) == 2


def test_book_forgets_what_a_peer_has_lost() -> None:
    """Registry of placements forgets what a peer has lost."""
    clock = ManualClock()
    placed = PlacementRegistry(clock, lambda: None)
    placed.start(_placement('own'))
    placed.start(_placement('theirs'), PEER)
    assert [known.placement for known in placed.own()] == ['own']
    placed.drop_peer(PEER)
    assert placed.count() == 1
    placed.start(_placement('old'), PEER)
    clock.advance(FORGET_S + 1)
    placed.drop_old()
    assert [known.placement for known in placed.own()] == ['own']
    assert placed.count() == 1


def test_registry_takes_only_newer_entries() -> None:
    """Registry takes only newer entries."""
    registry = Registry(ManualClock(), _ignore)
    assert registry.put(make_upstream(), 5)
    leaving = make_upstream(state=UpstreamState.LEAVING)
    assert not registry.put(leaving, 4)
    assert registry.usable(POOL)
    assert registry.put(leaving, 6)
    assert not registry.usable(POOL)


def test_lapsed_entries_are_waited_for_after_an_outage() -> None:
    """Lapsed entries are waited for after an outage."""
    clock = ManualClock()
    registry = Registry(clock, _ignore)
    registry.put(make_upstream('e-1'), 5)
    registry.put(make_upstream('e-2'), 6)
    registry.note_outage_end()
    clock.advance(RELIST_S / 2)
    registry.take_listing([(make_upstream('e-2'), 6)])
    assert len(registry.usable(POOL)) == 2
    clock.advance(RELIST_S / 2 + 0.1)
    assert registry.drop_missing() == ('e-1',)
    assert [known.upstream for known in registry.usable(POOL)] == ['e-2']


def test_entries_missing_without_an_outage_are_gone() -> None:
    """Entries missing without an outage are gone."""
    clock = ManualClock()
    registry = Registry(clock, _ignore)
    registry.put(make_upstream('e-1'), 5)
    registry.take_listing([])
    assert not registry.known
    registry.put(make_upstream('e-1'), 7)
    assert registry.remove(UpstreamId('e-1'), 8)
    assert not registry.put(make_upstream('e-1'), 7)


def test_crash_is_told_of_a_new_start_and_of_a_loss() -> None:
    """Crash is told of a new start and of a loss."""
    crashed: list[str] = []
    registry = Registry(ManualClock(), crashed.append)
    registry.put(make_upstream(started_ms=1), 1)
    crashed.clear()
    registry.put(make_upstream(started_ms=1), 2)
    assert not crashed
    registry.put(make_upstream(started_ms=2), 3)
    registry.remove(ENGINE, 4)
    registry.put(make_upstream(state=UpstreamState.LEAVING), 5)
    registry.remove(ENGINE, 6)
    assert crashed == ['e-1', 'e-1', 'e-1']


def test_failing_upstream_is_left_out_for_a_while() -> None:
    """Failing upstream is left out for a while."""
    clock = ManualClock()
    registry = Registry(clock, _ignore)
    registry.put(make_upstream('e-1'), 1)
    registry.put(make_upstream('e-2'), 2)
    registry.health.note_failure(ENGINE)
    assert [known.upstream for known in registry.usable(POOL)] == ['e-2']
    registry.health.note_failure(UpstreamId('e-2'))
    assert len(registry.usable(POOL)) == 2
    clock.advance(10)
    assert len(registry.usable(POOL)) == 2
    registry.health.note_success(ENGINE)
    assert registry.health.failures(ENGINE) == 0


def _claim(name: str, arrived_s: float, latest_s: float) -> Claim:
    return Claim(name, 1, arrived_s, latest_s, 100, 1)


def test_waiting_room_gives_places_to_those_on_time_first() -> None:
    """Waiting room gives places to those on time first."""
    order: list[str] = []

    async def run() -> None:
        clock = ManualClock(10)
        queue = AdmissionQueue(clock)
        free = 0

        def take(name: str) -> str | None:
            nonlocal free
            if not free:
                return None
            free -= 1
            order.append(name)
            return name

        claims = (
            _claim('late', 1, 9.5),
            _claim('due later', 5, 14),
            _claim('due soon', 6, 11),
            _claim('late for long', 0, 2),
        )
        tasks = [
            asyncio.create_task(
                queue.wait(claim, partial(take, claim.request), print),
            )
            for claim in claims
        ]
        await asyncio.sleep(0)
        assert queue.work_ahead_s(_claim('new', 10, 12)) == 2
        free = 4
        queue.notify()
        await asyncio.gather(*tasks)
        assert not len(queue)

    asyncio.run(run())
    assert order == ['late for long', 'due soon', 'due later', 'late']


def test_cancelled_waiter_gives_its_place_back() -> None:
    """Cancelled waiter gives its place back."""

    async def run() -> list[str]:
        queue = AdmissionQueue(ManualClock())
        given_back: list[str] = []
        task = asyncio.create_task(
            queue.wait(_claim('r', 0, 1), lambda: 'place', given_back.append),
        )
        await asyncio.sleep(0)
        # The place is taken in the same turn in which the waiter is ended.
        asyncio.get_running_loop().call_soon(task.cancel)
        with pytest.raises(asyncio.CancelledError):
            await task
        return given_back

    assert asyncio.run(run()) == ['place']


@given(
    requests=st.integers(0, 200),
    entries=st.integers(1, 30),
    tries=st.integers(0, 200),
)
def test_repeats_stay_within_the_share(
    requests: int,
    entries: int,
    tries: int,
) -> None:
    """Repeats stay within the share."""
    clock = ManualClock()
    budget = RepeatBudget(clock, ratio=0.2, slack=100, window_s=10)
    budget.entries = entries
    for _ in range(requests):
        budget.note_first()
    taken = sum(budget.take() for _ in range(tries))
    assert taken <= 0.2 * requests + 100 / entries
    clock.advance(11)
    again = sum(budget.take() for _ in range(tries))
    assert again <= 100 / entries


def test_only_what_broke_off_lately_is_suspected() -> None:
    """Only what broke off lately is suspected."""
    clock = ManualClock()
    broken = BrokenAttempts(clock)
    broken.note(ENGINE, 1, Fingerprint('old'), AttemptId('1'))
    clock.advance(CRASH_WINDOW_S + 0.1)
    broken.note(ENGINE, 1, Fingerprint('new'), AttemptId('2'))
    taken = broken.take_crashed(ENGINE)
    assert [(one.fingerprint, one.attempt) for one in taken] == [('new', '2')]
    assert not broken.take_crashed(ENGINE)


def test_one_crash_counts_once() -> None:
    """One crash counts once.

    However many calls that look alike it broke off, and whoever tells of it.
    """
    clock = ManualClock()
    tables = [Suspects(clock) for _ in range(2)]
    for table in tables:
        broken = BrokenAttempts(clock)
        for number in range(4):
            attempt = AttemptId(str(number))
            broken.note(ENGINE, 1, Fingerprint('alike'), attempt)
        for one in broken.take_crashed(ENGINE):
            table.note_crash(one.fingerprint, one.crash)
    tables[0].merge(tables[1].rows())
    assert tables[0].crashes(Fingerprint('alike')) == 1


def test_next_crash_of_an_upstream_counts_too() -> None:
    """Next crash of an upstream counts too, also under the same id."""
    clock = ManualClock()
    broken = BrokenAttempts(clock)
    suspects = Suspects(clock)
    for started_ms in (1, 2):
        broken.note(ENGINE, started_ms, Fingerprint('x'), AttemptId('a'))
        for one in broken.take_crashed(ENGINE):
            suspects.note_crash(one.fingerprint, one.crash)
    assert suspects.is_given_up(Fingerprint('x'))


def test_good_answer_before_the_crash_is_known_clears() -> None:
    """Good answer before the crash is known clears what broke off."""
    broken = BrokenAttempts(ManualClock())
    broken.note(ENGINE, 1, Fingerprint('good'), AttemptId('1'))
    broken.note(ENGINE, 1, Fingerprint('other'), AttemptId('2'))
    broken.forget(Fingerprint('good'))
    taken = broken.take_crashed(ENGINE)
    assert [one.fingerprint for one in taken] == ['other']


def _route(host: str, prefix: str) -> Route:
    return Route('{0}{1}'.format(host, prefix), host, prefix, None, (), 1)  # type: ignore[arg-type]


ROUTES = {
    'longest prefix': ('a.example', '/x/y/z', 'a.example/x/y/'),
    'shorter prefix': ('a.example', '/x/z', 'a.example/x/'),
    'port and case of the host': ('A.example:80', '/x/', 'a.example/x/'),
    'other host': ('b.example', '/x/', None),
    'name that only begins alike': ('a.example', '/xy/', None),
    'prefix without its slash': ('a.example', '/x', None),
}


@pytest.mark.parametrize('case', ROUTES)
def test_route(case: str) -> None:
    """Route."""
    host, path, expected = ROUTES[case]
    table = RouteTable(
        [_route('a.example', '/x/'), _route('a.example', '/x/y/')]
    )
    route = table.find(host, path)
    found = route.name if route else None
    assert found == expected


def test_log_lines_are_bounded_and_the_loss_is_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Log lines are bounded and the loss is told."""
    written: list[bytes] = []

    def write(_descriptor: int, octets: bytes) -> int:
        written.append(bytes(octets))
        return len(octets)

    monkeypatch.setattr(os, 'write', write)
    monkeypatch.setattr(buffered, 'LINES', 2)
    monkeypatch.setattr(buffered, 'FLUSH_S', 1000)
    lines = buffered.BufferedLines(1)
    for number in range(5):
        lines.write(b'%d\n' % number)
    monkeypatch.setattr(buffered, 'FLUSH_S', 0)
    lines.close()
    assert b''.join(written).splitlines()[:2] == [b'0', b'1']
    assert b'"count": 3' in b''.join(written)


def test_upstream_that_leaves_long_after_an_outage_is_gone_at_once() -> None:
    """Upstream that leaves long after an outage is gone at once."""
    clock = ManualClock()
    registry = Registry(clock, _ignore)
    registry.put(make_upstream(), 5)
    registry.note_outage_end()
    clock.advance(RELIST_S + 1)
    assert registry.remove(ENGINE, 6)
    assert not registry.usable(POOL)


def test_lag_is_told_though_other_peers_are_behind_too() -> None:
    """Lag is told though other peers are behind too."""
    clock = ManualClock()
    lag = Lag(clock)
    lag.hear(9)
    assert not lag.is_due(7)
    clock.advance(BEHIND_S / 2)
    lag.hear(7)
    assert not lag.is_due(7)
    clock.advance(BEHIND_S / 2)
    assert lag.is_due(7)
    assert not lag.is_due(9)


def test_entry_that_knows_nothing_asks_at_once() -> None:
    """Entry that knows nothing asks at once."""
    lag = Lag(ManualClock())
    lag.hear(9)
    assert lag.is_due(0)


def test_pace_is_told_by_the_shortest_pause() -> None:
    """Pace is told by the shortest pause."""
    clock = ManualClock()
    paces = EnginePaces(clock)
    assert paces.pace(ENGINE) == 1
    for pause_s in (0.3, 0.1, 0.5):
        paces.note_pause(ENGINE, pause_s, 0.04)
    assert paces.pace(ENGINE) == 2.5
    paces.note_pause(ENGINE, 0.041, 0.04)
    assert paces.pace(ENGINE) == 1
    clock.advance(WINDOW_S)
    paces.note_pause(ENGINE, 0.16, 0.04)
    assert paces.pace(ENGINE) == 1
    clock.advance(WINDOW_S)
    assert paces.pace(ENGINE) == 4
    clock.advance(2 * WINDOW_S)
    assert paces.pace(ENGINE) == 1


def test_share_of_failures_is_followed_and_forgotten() -> None:
    """Share of failures is followed and forgotten."""
    clock = ManualClock()
    registry = Registry(clock, _ignore)
    registry.put(make_upstream(), 1)
    for _ in range(20):
        registry.health.note_error(ENGINE)
    assert registry.health.failing_share(ENGINE) > 0.9
    assert registry.usable(POOL)
    registry.health.note_success(ENGINE)
    assert 0.5 < registry.health.failing_share(ENGINE) < 0.8
    clock.advance(5 * FORGET_HALF_S)
    assert registry.health.failing_share(ENGINE) < 0.05
