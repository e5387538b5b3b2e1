"""Estimates of prefill and decode rates, and shares across lanes."""

import pytest

from figspread.clock import ManualClock
from figspread.outcome import NotRun, NotRunReason
from figspread.policy.queue import QueueLimits, TokenQueue
from figspread.policy.rate import PrefillRate
from figspread.policy.throughput import DECAY_TIME_S, MIN_RATE_SHARE, LaneRates
from tests.test_queue import KV_TOKENS, RATE, make_job, make_queue


def test_lane_rate_is_what_shorter_lanes_leave() -> None:
    """Started prompts decay over time; a minimum share always remains."""
    clock = ManualClock()
    lane_rates = LaneRates(clock, 3)
    rate = PrefillRate(RATE)
    lane_rates.record_start(1, int(RATE * DECAY_TIME_S / 2))
    rates = [
        lane_rates.remaining_rate(lane, rate).tokens_per_s for lane in range(3)
    ]
    assert rates == [RATE, RATE, RATE / 2]
    clock.advance(DECAY_TIME_S * 100)
    assert lane_rates.remaining_rate(2, rate).tokens_per_s == pytest.approx(
        RATE
    )
    lane_rates.record_start(0, RATE * 100)
    assert (
        lane_rates.remaining_rate(2, rate).tokens_per_s == RATE * MIN_RATE_SHARE
    )


@pytest.mark.parametrize(
    ('time_s', 'is_refused'),
    [(3, False), (1.5, True)],
)
def test_decode_time_counts_towards_deadline(
    time_s: float,
    is_refused: bool,
) -> None:
    """A job whose output would finish too late is refused on arrival."""
    clock = ManualClock()
    queue = make_queue(clock)
    for num in range(100):
        assert queue.offer(make_job(num)) is None
        assert queue.take() is not None
        queue.mark_prefilled(make_job(num).attempt)
        clock.advance(1)
        queue.finish(make_job(num).attempt)
    clock.advance(DECAY_TIME_S * 100)
    # One second to prefill its prompt and one to decode its output.
    job = make_job(100, prompt=RATE, expires=clock.now() + time_s)
    refusal = queue.offer(job)
    assert isinstance(refusal, NotRun) is is_refused
    assert refusal is None or refusal.reason is NotRunReason.OVERLOAD


def test_attempt_without_first_token_is_ignored() -> None:
    """Attempts that end before a first token don't change the estimate."""
    clock = ManualClock()
    queue = make_queue(clock)
    queue.offer(make_job(1))
    queue.take()
    clock.advance(50)
    queue.finish(make_job(1).attempt)
    queue.mark_prefilled(make_job(1).attempt)
    urgent = make_job(2, prompt=100, expires=clock.now() + 1)
    assert queue.offer(urgent) is None


def test_workspace_share_spans_all_lanes() -> None:
    """Short prompts that ran delay the workspace's medium ones."""
    queue = TokenQueue(QueueLimits(KV_TOKENS, RATE), ManualClock())
    blocker = make_job(0, prompt=32_000 - 1, workspace='blocker')
    queue.offer(blocker)
    assert queue.take() == blocker
    queue.offer(make_job(1, prompt=10_000, workspace='greedy'))
    for num in range(2, 5):
        short = make_job(num, prompt=3_000, workspace='greedy')
        queue.offer(short)
        assert queue.take() == short
    modest = make_job(5, prompt=10_000, workspace='modest')
    queue.offer(modest)
    queue.mark_prefilled(blocker.attempt)
    taken = queue.take()
    assert taken is not None
    assert taken.workspace == 'modest'
