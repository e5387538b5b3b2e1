"""Requests that crash upstreams."""

from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.clock import ManualClock
from figspread.ids import CrashId, Fingerprint, PoolId
from figspread.inner.messages import SuspectRow
from figspread.policy.suspects import SuspectLimits, Suspects

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


def verdicts(table: Suspects) -> dict[str, tuple[object, ...]]:
    """Return what the table holds, without the times."""
    return {
        row.fingerprint: (row.crashes, row.crash_ids, row.forgiven)
        for row in table.rows()
    }


@settings(derandomize=True, deadline=None)
@given(rows_strategy)
def test_merging_needs_no_order_and_may_repeat(
    rows: list[SuspectRow],
) -> None:
    """Any order, grouping or repetition gives the same verdicts."""
    clock = ManualClock()
    once = Suspects(clock)
    once.merge(rows)
    other = Suspects(clock)
    for row in reversed(rows):
        other.merge([row])
    through = Suspects(clock)
    through.merge(once.rows())
    assert verdicts(once) == verdicts(other) == verdicts(through)
    assert not once.merge(rows)
    assert not once.merge(other.rows())


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 3), max_size=20))
def test_a_culprit_crashes_two_upstreams_at_most(senders: list[int]) -> None:
    """Entries that pass their verdicts on run it twice and never again."""
    clock = ManualClock()
    entries = [Suspects(clock) for _ in range(4)]
    crashes = 0
    for num, sender in enumerate(senders):
        if not entries[sender].start_isolated(CULPRIT, POOL):
            continue
        crashes += 1
        told = entries[sender].note_crash(CULPRIT, CrashId(str(num)))
        entries[sender].end_isolated(CULPRIT, POOL)
        for entry in entries:
            entry.merge(told)
    assert crashes == min(2, len(senders))


def test_crashes_seen_by_two_entries_add_up() -> None:
    """Two that each saw one crash know of two once they have talked."""
    clock = ManualClock()
    first, second = Suspects(clock), Suspects(clock)
    told = first.note_crash(CULPRIT, CrashId('a'))
    second.note_crash(CULPRIT, CrashId('b'))
    assert not second.is_given_up(CULPRIT)
    assert [row.crashes for row in second.merge(told)] == [2]
    assert second.is_given_up(CULPRIT)
    assert not second.start_isolated(CULPRIT, POOL)


def test_the_innocent_clear_themselves_one_at_a_time() -> None:
    """Suspects wait for each other; a good answer forgives at every peer."""
    clock = ManualClock()
    table, peer = Suspects(clock), Suspects(clock)
    names = [Fingerprint(name) for name in ('x', 'y')]
    for name, attempt in zip(names, 'ab', strict=True):
        peer.merge(table.note_crash(name, CrashId(attempt)))
    assert table.start_isolated(names[0], POOL)
    assert not table.start_isolated(names[1], POOL)
    assert table.start_isolated(names[1], PoolId('other'))
    assert not table.start_isolated(names[1], PoolId('third'))
    table.end_isolated(names[1], PoolId('other'))
    assert table.start_isolated(Fingerprint('fresh'), POOL)
    stale = table.rows()
    told = table.clear(names[0])
    table.end_isolated(names[0], POOL)
    assert table.start_isolated(names[1], POOL)
    peer.merge(told)
    peer.merge(stale)
    assert not peer.crashes(names[0])
    assert peer.crashes(names[1]) == 1


def test_rows_expire_and_are_bounded() -> None:
    """The oldest go first; a given-up request is told when to come back."""
    clock = ManualClock()
    table = Suspects(clock, SuspectLimits(rows=3, keep_s=60))
    for num in range(5):
        table.note_crash(Fingerprint(str(num)), CrashId('a'))
        clock.advance(1)
    assert [row.fingerprint for row in table.rows()] == ['2', '3', '4']
    table.note_crash(Fingerprint('4'), CrashId('b'))
    assert table.is_given_up(Fingerprint('4'))
    clock.advance(table.comeback_s(Fingerprint('4')))
    assert not table.is_given_up(Fingerprint('4'))
    assert not table.rows()


def test_a_row_cannot_be_kept_alive_by_being_passed_on() -> None:
    """Peers that repeat to each other what both know extend nothing."""
    clock = ManualClock()
    first, second = Suspects(clock), Suspects(clock)
    first.note_crash(CULPRIT, CrashId('a'))
    for _ in range(50):
        second.merge(first.rows())
        clock.advance(10)
        first.merge(second.rows())
        clock.advance(10)
    assert not first.rows()
    assert not second.rows()
