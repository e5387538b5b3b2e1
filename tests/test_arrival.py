"""First-come, first-served baseline queue."""

from figspread.clock import ManualClock
from figspread.inner.messages import Load
from figspread.outcome import NotRun, NotRunReason
from figspread.policy.arrival import ArrivalQueue
from figspread.policy.prompts import engine_priority
from figspread.policy.queue import QueueLimits
from tests.test_queue import make_job

LIMITS = QueueLimits(10_000, 1_000, queued_requests=2)


def test_jobs_start_in_order_of_arrival() -> None:
    """A short job that would fit waits behind a long one without memory."""
    queue = ArrivalQueue(LIMITS, ManualClock())
    jobs = [make_job(num, prompt=6_000) for num in range(2)]
    assert queue.offer(jobs[0]) is None
    assert queue.take() == jobs[0]
    assert queue.offer(jobs[1]) is None
    assert queue.offer(make_job(2)) is None
    assert queue.take() is None
    queue.finish(jobs[0].attempt)
    assert [queue.take(), queue.take()] == [jobs[1], make_job(2)]


def test_only_full_queue_and_oversized_jobs_are_refused() -> None:
    """A job that can't finish in time stays queued until its deadline."""
    clock = ManualClock()
    queue = ArrivalQueue(LIMITS, clock)
    too_large = queue.offer(make_job(0, prompt=20_000))
    assert too_large == NotRun(
        NotRunReason.TOO_LARGE,
        detail='engine memory',
    )
    expiring = make_job(1, prompt=9_000, expires=clock.now() + 1)
    assert queue.offer(expiring) is None
    assert queue.offer(expiring) is None
    assert queue.offer(make_job(2)) is None
    assert queue.offer(make_job(3)) == NotRun(NotRunReason.OVERLOAD, 1)
    assert not queue.expire()
    clock.advance(2)
    assert queue.expire() == [expiring]


def test_load_counts_waiting_and_running_jobs() -> None:
    """Reserved memory and finished prefills are subtracted."""
    queue = ArrivalQueue(LIMITS, ManualClock())
    for num in range(2):
        queue.offer(make_job(num, prompt=4_000, output=1_000))
    job = queue.take()
    assert job is not None
    queue.set_reserved_kv_tokens(1_000)
    queue.set_prefill_rate(500)
    assert queue.load() == Load(
        queued=1,
        running=1,
        prefill_tokens=8_000,
        decode_tokens=2_000,
        free_kv_tokens=4_000,
        prefill_tokens_per_s=500,
    )
    queue.mark_prefilled(job.attempt)
    assert queue.load().prefill_tokens == 4_000
    queue.set_running_limit(1)
    assert queue.take() is None


def test_engine_priority_ranks_own_priority_above_length_class() -> None:
    """Shorter classes rank higher among requests of equal priority."""
    lengths = (1_000, 10_000, 100_000, 500_000)
    priorities = [engine_priority(tokens) for tokens in lengths]
    assert priorities == sorted(priorities, reverse=True)
    assert len(set(priorities)) == len(lengths)
    assert engine_priority(500_000, 1) > engine_priority(1_000, 0)
