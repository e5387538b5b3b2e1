"""Decisions about requests before a planned stop, without a network."""

import pytest

from figspread.policy.planned_stop import plan_stop

GRACE_S = 8
# When a request arrives, its deadline and its duration, in seconds since the stop
# was asked for; whether it is taken.
ARRIVALS: dict[str, tuple[float, float, float, bool]] = {
    'ends in time': (1, 16, 4, True),
    'takes too long': (1, 16, 6, False),
    'fits without a moment to wait': (2.4, 16, 4.5, False),
    'comes late on a kept connection': (4, 19, 0.5, False),
    'comes late and times out before the exit': (4, 4.6, 0.5, True),
    'times out after the exit': (2.4, 7.5, 5, False),
}
# When an admitted request would be sent, and the same of it.
SENDS: dict[str, tuple[float, float, float, bool]] = {
    'was admitted before the stop and fits': (0, 10, 4, True),
    'still fits after a wait': (2.9, 16, 4, True),
    'has waited until too late': (3.1, 16, 4, False),
    'times out before the exit': (6.5, 6.9, 4, True),
}


@pytest.mark.parametrize(
    ('now', 'deadline_s', 'duration_s', 'is_taken'),
    ARRIVALS.values(),
    ids=ARRIVALS,
)
def test_request_is_taken_only_if_it_ends_before_the_stop(
    now: float, deadline_s: float, duration_s: float, *, is_taken: bool
) -> None:
    """Requests that a stop would cut are refused while others can serve them."""
    may_admit = plan_stop(0, GRACE_S).may_admit(
        now, deadline_s=deadline_s, duration_s=duration_s
    )
    assert may_admit is is_taken


@pytest.mark.parametrize(
    ('now', 'deadline_s', 'duration_s', 'is_sent'),
    SENDS.values(),
    ids=SENDS,
)
def test_waiting_request_is_sent_only_if_it_ends_before_the_stop(
    now: float, deadline_s: float, duration_s: float, *, is_sent: bool
) -> None:
    """A request that has waited too long goes to another entry instead."""
    may_send = plan_stop(0, GRACE_S).may_send(
        now, deadline_s=deadline_s, duration_s=duration_s
    )
    assert may_send is is_sent


@pytest.mark.parametrize('grace_s', [0.5, 1, 2, 4, 8, 60])
def test_schedule_leaves_time_for_answers_and_the_exit(grace_s: float) -> None:
    """Answers are due in the last sixth of the grace period, before its end."""
    schedule = plan_stop(100, grace_s)
    killed_s = 100 + grace_s
    assert schedule.accept_until_s <= schedule.answers_due_s
    assert schedule.answers_due_s < schedule.close_due_s
    # The exit itself takes a tenth of a second.
    exit_s = killed_s - schedule.close_due_s - schedule.release_s
    assert exit_s >= min(0.1, grace_s / 30)
    assert schedule.answers_due_s >= killed_s - grace_s / 6
