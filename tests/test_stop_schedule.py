"""Decisions about requests before a planned stop, on a clock of their own."""

import pytest

from figspread.policy.planned_stop import plan_stop

GRACE_S = 8
# When it is sent, when it arrived, its deadline and its duration, in seconds since
# the stop was asked for; whether it may begin.
CASES: dict[str, tuple[float, float, float, float, bool]] = {
    'ends in time': (1, 1, 16, 4, True),
    'takes too long': (1, 1, 16, 6, False),
    'has waited until too late': (4, 1, 16, 4, False),
    'was admitted before the stop and still fits': (0, -5, 10, 4, True),
    'was admitted before the stop and fits no more': (3, -5, 10, 4, False),
    'came late on a kept connection': (4, 4, 19, 0.5, False),
    'came late and times out before the exit': (4, 4, 4.6, 0.5, True),
    'times out after the exit': (6.9, 6.9, 7.5, 0.5, False),
}


@pytest.mark.parametrize(
    ('now', 'arrived_s', 'deadline_s', 'duration_s', 'may_begin'),
    CASES.values(),
    ids=CASES,
)
def test_request_begins_only_if_it_ends_before_the_stop(
    now: float,
    arrived_s: float,
    deadline_s: float,
    duration_s: float,
    *,
    may_begin: bool,
) -> None:
    """Requests that a stop would cut are refused while others can serve them."""
    schedule = plan_stop(0, GRACE_S)
    assert may_begin is schedule.may_begin(
        now,
        arrived_s=arrived_s,
        deadline_s=deadline_s,
        duration_s=duration_s,
    )


@pytest.mark.parametrize('grace_s', [0.5, 1, 2, 4, 8, 60])
def test_schedule_leaves_time_for_answers_and_the_exit(grace_s: float) -> None:
    """Answers are due in the last sixth of the grace period, before its end."""
    schedule = plan_stop(100, grace_s)
    killed_s = 100 + grace_s
    assert schedule.accept_until_s <= schedule.answers_due_s
    assert schedule.answers_due_s < schedule.close_due_s
    assert schedule.close_due_s + schedule.release_s < killed_s
    assert schedule.answers_due_s >= killed_s - grace_s / 6
