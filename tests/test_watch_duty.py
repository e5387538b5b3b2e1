"""Which entries watch the store, and when others take over."""

import pytest

from figspread.clock import ManualClock
from figspread.direct.state.watch_duty import (
    MAX_CHECK_SHARE,
    STATUS_TTL_S,
    WatchDuty,
)
from figspread.ids import DataCentreId, PeerId
from figspread.policy.watchers import (
    RESUME_DELAY_MAX_S,
    RESUME_STEP_S,
    count_watchers,
    is_relieved,
    rank_watcher,
    resume_delay_s,
)
from figspread.telemetry.logs import Level, Log
from tests.giftwrap_fleet import MemoryLog

HERE = DataCentreId('a')
ELSEWHERE = DataCentreId('b')
OWN = PeerId('m')
# Entries by name; those before `m` have a better rank with equal links.
FIRST, SECOND, THIRD, LAST = (PeerId(name) for name in 'bcdz')


@pytest.mark.parametrize(
    ('data_centres', 'watchers'), [(0, 3), (1, 3), (2, 2), (3, 1), (14, 1)]
)
def test_fleet_has_three_watchers_at_least(
    data_centres: int, watchers: int
) -> None:
    """Each data centre has one, and more where there are few of them."""
    assert count_watchers(data_centres) == watchers


def test_larger_links_watch_first() -> None:
    """A watcher sends what it reads to its whole data centre."""
    own = rank_watcher(OWN, 10)
    assert is_relieved(own, [rank_watcher(LAST, 100)], 1)
    assert not is_relieved(own, [rank_watcher(FIRST, 5)], 1)
    assert is_relieved(own, [rank_watcher(FIRST, 10)], 1)
    assert not is_relieved(own, [rank_watcher(FIRST, 10)], 2)


def test_idle_entries_resume_one_after_the_other() -> None:
    """The first to resume spares the others the calls."""
    own = rank_watcher(OWN, 10)
    ranks = [rank_watcher(PeerId(name), 10) for name in 'abcdefghijz']
    assert resume_delay_s(own, ranks[-1:]) == 0
    assert resume_delay_s(own, ranks[:2]) == 2 * RESUME_STEP_S
    assert resume_delay_s(own, ranks) == RESUME_DELAY_MAX_S


def _make_duty(clock: ManualClock, *watching: PeerId) -> WatchDuty:
    log = Log(Level.DEBUG, {}, logger=MemoryLog())
    duty = WatchDuty(clock, log, OWN, HERE, 10)
    for peer in (FIRST, SECOND, THIRD, LAST):
        duty.add_peer(peer, HERE, 10)
    for peer in watching:
        duty.record_status(peer, is_watching=True)
    return duty


def test_entry_that_starts_watches_until_it_is_complete() -> None:
    """It relies on others only with a registration and all state."""
    duty = _make_duty(ManualClock(), FIRST, SECOND, THIRD)
    duty.update(is_complete=False)
    assert duty.needed.is_set()
    duty.update(is_complete=True)
    assert duty.relieved.is_set() and not duty.needed.is_set()


@pytest.mark.parametrize('data_centre', [HERE, ELSEWHERE])
def test_only_watchers_of_the_data_centre_relieve(
    data_centre: DataCentreId,
) -> None:
    """Changes are pushed within a data centre only."""
    log = Log(Level.DEBUG, {}, logger=MemoryLog())
    duty = WatchDuty(ManualClock(), log, OWN, HERE, 10)
    for peer in (FIRST, SECOND, THIRD):
        duty.add_peer(peer, data_centre, 10)
        duty.record_status(peer, is_watching=True)
    duty.update(is_complete=True)
    assert duty.relieved.is_set() == (data_centre == HERE)


def test_watchers_of_lower_rank_do_not_relieve() -> None:
    """The best ranks watch, whoever has watched before."""
    duty = _make_duty(ManualClock(), FIRST, SECOND, LAST)
    duty.update(is_complete=True)
    assert duty.needed.is_set()


LOSSES = {
    'says so': lambda duty: duty.record_status(FIRST, is_watching=False),
    'disconnects': lambda duty: duty.remove_peer(FIRST),
}


@pytest.mark.parametrize('case', LOSSES)
def test_entry_resumes_when_a_watcher_is_lost(case: str) -> None:
    """The idle entry of the best rank resumes at once."""
    duty = _make_duty(ManualClock(), FIRST, SECOND, THIRD)
    duty.update(is_complete=True)
    LOSSES[case](duty)
    duty.record_status(SECOND, is_watching=True)
    duty.record_status(THIRD, is_watching=True)
    duty.update(is_complete=True)
    if case == 'says so':
        # The watcher that has lost the store has a better rank and may return.
        assert duty.relieved.is_set()
    else:
        assert duty.needed.is_set()


def test_silent_watcher_is_replaced_in_time() -> None:
    """A frozen watcher is noticed before a configuration would be late."""
    clock = ManualClock()
    duty = _make_duty(clock, FIRST, SECOND, THIRD)
    duty.update(is_complete=True)
    clock.advance(STATUS_TTL_S)
    duty.update(is_complete=True)
    clock.advance(RESUME_DELAY_MAX_S)
    duty.update(is_complete=True)
    assert duty.needed.is_set()
    assert STATUS_TTL_S + RESUME_DELAY_MAX_S < 2


def test_checks_of_an_outage_are_shared() -> None:
    """The rate of checks in a data centre doesn't grow with its entries."""
    duty = _make_duty(ManualClock())
    assert duty.check_share == 5
    for number in range(20):
        duty.add_peer(PeerId(str(number)), HERE, 10)
    assert duty.check_share == MAX_CHECK_SHARE
