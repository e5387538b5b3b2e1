"""Tests of the decision whether an upstream may be sent a request now."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.clock import ManualClock
from figspread.direct.model import Upstream, UpstreamState
from figspread.direct.state.upstream_notices import (
    LEFT_TTL_S,
    UpstreamNotices,
    identify_run,
)
from figspread.ids import DataCentreId, ServiceName, UpstreamId
from figspread.inner.entry_messages import NoticeRow
from figspread.policy.notices import UpstreamNotice
from figspread.policy.upstream_terms import (
    TRIAL_S,
    MaySend,
    MustNotSend,
    MustWait,
    NeedsPermit,
    StatedLimit,
    Terms,
)
from figspread.telemetry.logs import Level, Log

UPSTREAM = Upstream(
    UpstreamId('e-1'),
    ServiceName('pool'),
    '10.0.0.1:80',
    DataCentreId('a'),
    8,
    UpstreamState.READY,
    1,
)
NOTICES = st.builds(
    UpstreamNotice,
    rate_limit=st.sampled_from((None, 0, 0.5, 40)),
    is_leaving=st.booleans(),
    pause_s=st.sampled_from((0, 0.5, 3)),
)


def test_pause_ends_with_one_request_at_a_time() -> None:
    """Let one request through after a pause, and all once one has run."""
    terms = Terms()
    terms.record_pause(until_s=3)
    assert terms.judge(2) == MustWait(3)
    assert terms.judge(3) == MaySend()
    terms.begin_send(3)
    assert terms.judge(3.5) == MustWait(3 + TRIAL_S)
    terms.record_run(3.6)
    assert terms.judge(3.6) == MaySend()


def test_answer_of_an_earlier_request_does_not_end_a_pause() -> None:
    """Keep a pause although a request from before it has run."""
    terms = Terms()
    terms.record_pause(until_s=3)
    terms.record_run(1)
    assert terms.judge(2) == MustWait(3)


def test_permit_runs_out() -> None:
    """Refuse a send whose permit has run out, unless there is no limit."""
    terms = Terms()
    assert terms.allows_send(5, permit_until_s=4)
    terms.record_limit(StatedLimit(1, 0))
    assert terms.allows_send(4, permit_until_s=4)
    assert not terms.allows_send(5, permit_until_s=4)


@settings(derandomize=True, deadline=None)
@given(st.permutations([(1, 0.5), (2, 40), (3, None), (4, 5)]))
def test_newest_limit_holds_in_whatever_order_it_is_heard(
    heard: list[tuple[float, float | None]],
) -> None:
    """Take the limit that was told last, not the one that arrives last."""
    terms = Terms()
    for told_s, rate_limit in heard:
        terms.record_limit(StatedLimit(rate_limit, told_s))
    assert terms.judge(9) == NeedsPermit(5)


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(NOTICES, st.booleans(), st.floats(0, 2)), max_size=12)
)
def test_nothing_is_sent_to_an_upstream_that_wants_nothing(
    answers: list[tuple[UpstreamNotice, bool, float]],
) -> None:
    """Keep to pauses and to leaving, whatever else is stated meanwhile."""
    clock = ManualClock(100)
    notices = UpstreamNotices(clock, Log(Level.ERROR, {}))
    has_left = False
    paused_until_s: float = 0
    for notice, has_run, elapsed_s in answers:
        notices.record(UPSTREAM, notice, has_run=has_run)
        has_left = has_left or notice.is_leaving
        if notice.pause_s:
            paused_until_s = max(paused_until_s, clock.now() + notice.pause_s)
        clock.advance(elapsed_s)
        verdict = notices.find(UPSTREAM).judge(clock.now())
        if has_left:
            assert verdict == MustNotSend()
        elif clock.now() < paused_until_s:
            assert verdict == MustWait(paused_until_s)
        else:
            assert isinstance(verdict, MaySend | NeedsPermit)


def test_upstream_that_left_is_remembered_for_a_while() -> None:
    """Keep in mind that an upstream leaves when it is no longer listed."""
    clock = ManualClock(100)
    notices = UpstreamNotices(clock, Log(Level.ERROR, {}))
    run = identify_run(UPSTREAM)
    row = NoticeRow(run.upstream, run.started_ms, is_leaving=True)
    notices.merge(row, 'entry-2')
    notices.keep_only(())
    assert notices.find(UPSTREAM).judge(clock.now()) == MustNotSend()
    clock.advance(LEFT_TTL_S + 1)
    notices.keep_only(())
    assert notices.find(UPSTREAM).judge(clock.now()) == MaySend()


ABSENCES = {'shorter than a heartbeat': 1, 'of several heartbeats': 8}


@pytest.mark.parametrize('case', ABSENCES)
def test_what_an_upstream_stated_holds_while_its_record_is_away(
    case: str,
) -> None:
    """Keep a pause and a limit of an upstream that is listed again."""
    clock = ManualClock(100)
    notices = UpstreamNotices(clock, Log(Level.ERROR, {}))
    # The statements are older than the time for which they are kept.
    notices.record(UPSTREAM, UpstreamNotice(rate_limit=2), has_run=True)
    clock.advance(LEFT_TTL_S + 1)
    notices.record(UPSTREAM, UpstreamNotice(pause_s=20), has_run=False)
    notices.keep_only((UPSTREAM,))
    for _ in range(ABSENCES[case]):
        clock.advance(1)
        notices.keep_only(())
    notices.keep_only((UPSTREAM,))
    verdict = notices.find(UPSTREAM).judge(clock.now())
    assert verdict == MustWait(100 + LEFT_TTL_S + 1 + 20)
    clock.advance(20)
    verdict = notices.find(UPSTREAM).judge(clock.now())
    assert verdict == NeedsPermit(2)


def test_upstream_that_announced_long_ago_that_it_leaves_stays_left() -> None:
    """Count the time for which it is remembered from the end of its record."""
    clock = ManualClock(100)
    notices = UpstreamNotices(clock, Log(Level.ERROR, {}))
    notices.record(UPSTREAM, UpstreamNotice(is_leaving=True), has_run=True)
    clock.advance(LEFT_TTL_S + 1)
    notices.keep_only((UPSTREAM,))
    clock.advance(1)
    notices.keep_only(())
    assert notices.find(UPSTREAM).judge(clock.now()) == MustNotSend()


SUCCESSORS = {
    'listed again': (UPSTREAM, True),
    'gone': (None, False),
    'restarted under its id': (
        msgspec.structs.replace(UPSTREAM, started_ms=2),
        False,
    ),
    'listed by an older copy of the store': (
        msgspec.structs.replace(UPSTREAM, started_ms=-1),
        True,
    ),
}


@pytest.mark.parametrize('case', SUCCESSORS)
def test_only_statements_of_ended_upstreams_are_forgotten(case: str) -> None:
    """Bound the memory by the upstreams that may still be listed again."""
    clock = ManualClock(100)
    notices = UpstreamNotices(clock, Log(Level.ERROR, {}))
    notices.record(UPSTREAM, UpstreamNotice(rate_limit=2), has_run=True)
    successor, is_kept = SUCCESSORS[case]
    listed = () if successor is None else (successor,)
    if successor is None:
        notices.keep_only(listed)
        clock.advance(LEFT_TTL_S + 1)
    notices.keep_only(listed)
    assert bool(notices.list_limited()) is is_kept


def test_peers_do_not_keep_an_ended_upstream_in_memory() -> None:
    """Count the age of news, as entries that start get them again."""
    clock = ManualClock(100 + LEFT_TTL_S)
    notices = UpstreamNotices(clock, Log(Level.ERROR, {}))
    run = identify_run(UPSTREAM)
    row = NoticeRow(
        run.upstream,
        run.started_ms,
        2,
        states_limit=True,
        age_ms=round(LEFT_TTL_S * 1000) + 1,
    )
    notices.merge(row, 'entry-2')
    notices.keep_only(())
    assert not notices.list_limited()
