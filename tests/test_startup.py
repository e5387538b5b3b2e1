"""Waits and retry times at an entry that has no configuration yet."""

import pytest

from figspread.policy.startup import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    WAIT_LIMIT_S,
    startup_retry_after_s,
    startup_wait_s,
)


@pytest.mark.parametrize(
    ('time_left_s', 'wait_s'),
    [(-1, 0), (0, 0), (0.6, 0.198), (10, WAIT_LIMIT_S)],
)
def test_wait_leaves_time_for_the_request(
    time_left_s: float, wait_s: float
) -> None:
    """The wait is a share of the caller's time, and bounded."""
    assert startup_wait_s(time_left_s) == pytest.approx(wait_s)


@pytest.mark.parametrize(
    ('unconfigured_s', 'retry_after_s'),
    [(0.1, MIN_RETRY_AFTER_S), (2, 2), (9, MAX_RETRY_AFTER_S)],
)
def test_retry_time_grows_with_the_outage(
    unconfigured_s: float, retry_after_s: float
) -> None:
    """Callers come back after about as long as the outage has lasted."""
    assert startup_retry_after_s(unconfigured_s) == retry_after_s
