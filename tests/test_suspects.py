"""Replicated table of requests suspected of crashing upstreams."""

from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.clock import ManualClock
from figspread.direct.peers.suspect_news import SuspectNews
from figspread.ids import CrashId, Fingerprint, PoolId
from figspread.inner.messages import SuspectRow
from figspread.policy.suspects import SuspectLimits, SuspectRegistry

CULPRIT = Fingerprint('culprit')
POOL = PoolId('general')

rows_strategy = st.lists(
    st.builds(
        SuspectRow,
        st.sampled_from(['f1', 'f2']).map(Fingerprint),
        st.just(1),
        st.sampled_from([1000, 60_000]),
        st.lists(st.sampled_from('abcdefghijkl').map(CrashId)).map(tuple),
        st.lists(st.sampled_from('abcdefghijkl').map(CrashId)).map(tuple),
    ),
    max_size=6,
)


def rows_without_expiry(
    table: SuspectRegistry,
) -> dict[str, tuple[object, ...]]:
    """Return the rows of the table without their expiry times."""
    return {
        row.fingerprint: (row.crashes, row.crash_ids, row.forgiven)
        for row in table.rows()
    }


@settings(derandomize=True, deadline=None)
@given(rows_strategy)
def test_merge_is_commutative_and_idempotent(
    rows: list[SuspectRow],
) -> None:
    """Any order, grouping or repetition of rows gives the same table.

    It holds for more crashes than are kept, too, so no two tables differ for
    ever.
    """
    clock = ManualClock()
    limits = SuspectLimits(crash_ids=8)
    merged_at_once = SuspectRegistry(clock, limits)
    merged_at_once.merge(rows)
    merged_reversed = SuspectRegistry(clock, limits)
    for row in reversed(rows):
        merged_reversed.merge([row])
    merged_from_rows = SuspectRegistry(clock, limits)
    merged_from_rows.merge(merged_at_once.rows())
    assert (
        rows_without_expiry(merged_at_once)
        == rows_without_expiry(merged_reversed)
        == rows_without_expiry(merged_from_rows)
    )
    assert not merged_at_once.merge(rows)
    assert not merged_at_once.merge(merged_reversed.rows())


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 3), max_size=20))
def test_request_crashes_at_most_two_upstreams(senders: list[int]) -> None:
    """Once two crashes are replicated, no entry runs the request again."""
    clock = ManualClock()
    entries = [SuspectRegistry(clock) for _ in range(4)]
    crashes = 0
    for num, sender in enumerate(senders):
        if not entries[sender].try_start_isolated(CULPRIT, POOL):
            continue
        crashes += 1
        changed_rows = entries[sender].record_crash(CULPRIT, CrashId(str(num)))
        entries[sender].end_isolated(CULPRIT, POOL)
        for entry in entries:
            entry.merge(changed_rows)
    assert crashes == min(2, len(senders))


def test_crashes_seen_by_different_entries_add_up() -> None:
    """Entries that saw one crash each count two after exchanging rows."""
    clock = ManualClock()
    first, second = SuspectRegistry(clock), SuspectRegistry(clock)
    changed_rows = first.record_crash(CULPRIT, CrashId('a'))
    second.record_crash(CULPRIT, CrashId('b'))
    assert not second.is_blocked(CULPRIT)
    assert [row.crashes for row in second.merge(changed_rows)] == [2]
    assert second.is_blocked(CULPRIT)
    assert not second.try_start_isolated(CULPRIT, POOL)


def test_suspects_run_one_at_a_time_and_success_clears_them() -> None:
    """Suspects run one at a time; success clears them at every peer.

    Rows sent before the success must not restore the suspicion.
    """
    clock = ManualClock()
    table, peer = SuspectRegistry(clock), SuspectRegistry(clock)
    names = [Fingerprint(name) for name in ('x', 'y')]
    for name, attempt in zip(names, 'ab', strict=True):
        peer.merge(table.record_crash(name, CrashId(attempt)))
    assert table.try_start_isolated(names[0], POOL)
    assert not table.try_start_isolated(names[1], POOL)
    assert table.try_start_isolated(names[1], PoolId('other'))
    assert not table.try_start_isolated(names[1], PoolId('third'))
    table.end_isolated(names[1], PoolId('other'))
    assert table.try_start_isolated(Fingerprint('fresh'), POOL)
    stale = table.rows()
    changed_rows = table.forgive(names[0])
    table.end_isolated(names[0], POOL)
    assert table.try_start_isolated(names[1], POOL)
    peer.merge(changed_rows)
    peer.merge(stale)
    assert not peer.crashes(names[0])
    assert peer.crashes(names[1]) == 1


def test_rows_expire_and_their_number_is_bounded() -> None:
    """The oldest rows are evicted; a blocked request is freed on expiry."""
    clock = ManualClock()
    table = SuspectRegistry(clock, SuspectLimits(rows=3, keep_s=60))
    for num in range(5):
        table.record_crash(Fingerprint(str(num)), CrashId('a'))
        clock.advance(1)
    assert [row.fingerprint for row in table.rows()] == ['2', '3', '4']
    table.record_crash(Fingerprint('4'), CrashId('b'))
    assert table.is_blocked(Fingerprint('4'))
    clock.advance(table.expires_in_s(Fingerprint('4')))
    assert not table.is_blocked(Fingerprint('4'))
    assert not table.rows()


def test_exchanging_rows_does_not_extend_expiry() -> None:
    """Peers that keep exchanging a known row don't extend its lifetime."""
    clock = ManualClock()
    first, second = SuspectRegistry(clock), SuspectRegistry(clock)
    first.record_crash(CULPRIT, CrashId('a'))
    for _ in range(50):
        second.merge(first.rows())
        clock.advance(10)
        first.merge(second.rows())
        clock.advance(10)
    assert not first.rows()
    assert not second.rows()


def test_forgiven_crashes_do_not_hide_new_ones() -> None:
    """A request that was cleared often is still given up when it crashes."""
    table = SuspectRegistry(ManualClock())
    for number in range(10):
        table.record_crash(CULPRIT, CrashId('a{0}'.format(number)))
        table.forgive(CULPRIT)
    for name in ('b', 'c'):
        table.record_crash(CULPRIT, CrashId(name))
    assert table.is_blocked(CULPRIT)


def test_requests_cleared_at_one_entry_are_cleared_at_others() -> None:
    """Tell other entries of crashes that another request has caused."""
    clock = ManualClock()
    here, there = SuspectRegistry(clock), SuspectRegistry(clock)
    news = SuspectNews(here)
    for crash in ('e-1/7', 'e-2/7'):
        here.record_crash(CULPRIT, CrashId(crash))
    there.merge(news.pop_changes())
    assert there.is_blocked(CULPRIT)
    here.forgive(CULPRIT)
    there.merge(news.pop_changes())
    assert not there.is_blocked(CULPRIT)
    assert not news.pop_changes()
