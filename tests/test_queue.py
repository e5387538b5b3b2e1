"""Token queue: accounting, weighted shares and limits."""

import itertools
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from figspread.clock import ManualClock
from figspread.ids import AttemptId, WorkspaceId
from figspread.inner.messages import Load
from figspread.outcome import NotRun, NotRunReason
from figspread.policy.queue import QueueLimits, TokenQueue
from figspread.policy.types import Job

KV_TOKENS = 300_000
FAR_FUTURE_S = 10_000.0
RATE = 10_000


def make_job(
    num: int,
    *,
    prompt: int = 1000,
    output: int = 100,
    workspace: str = 'studio',
    expires: float = FAR_FUTURE_S,
    weight: float = 1,
) -> Job:
    """Return a job whose attempt id ends in `num`."""
    return Job(
        AttemptId('att-{0}'.format(num)),
        WorkspaceId(workspace),
        prompt,
        output,
        expires,
        weight,
    )


def make_queue(
    clock: ManualClock,
    *,
    kv_tokens: int = KV_TOKENS,
    running: int = 256,
) -> TokenQueue:
    """Return an empty queue with room for 64 waiting jobs."""
    return TokenQueue(
        QueueLimits(
            kv_tokens,
            RATE,
            running_requests=running,
            queued_requests=64,
        ),
        clock,
    )


class QueueMachine(RuleBasedStateMachine):
    """Any order of calls keeps the accounting correct and loses no job."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        super().__init__()
        self.clock = ManualClock()
        self.queue = make_queue(self.clock, kv_tokens=20_000, running=3)
        self.job_numbers = itertools.count()
        self.waiting: dict[AttemptId, Job] = {}
        self.running: dict[AttemptId, Job] = {}

    @rule(
        prompt=st.integers(0, 21_000),
        output=st.integers(0, 500),
        workspace=st.sampled_from('abc'),
        time_left=st.floats(0, 30),
        weight=st.floats(0, 4),
    )
    def offer(
        self,
        prompt: int,
        output: int,
        workspace: str,
        time_left: float,
        weight: float,
    ) -> None:
        """Offer a job; a refused job is not queued."""
        job = make_job(
            next(self.job_numbers),
            prompt=prompt,
            output=output,
            workspace=workspace,
            expires=self.clock.now() + time_left,
            weight=weight,
        )
        refusal = self.queue.offer(job)
        if refusal is None:
            self.waiting[job.attempt] = job
        else:
            assert refusal.retry_after_s > 0

    @rule()
    def take(self) -> None:
        """Take a waiting job; no job is taken twice."""
        job = self.queue.take()
        if job is not None:
            self.running[job.attempt] = self.waiting.pop(job.attempt)

    @rule(seconds=st.floats(0, 8))
    def advance_time(self, seconds: float) -> None:
        """Advance the clock and remove expired jobs."""
        self.clock.advance(seconds)
        for job in self.queue.expire():
            self.waiting.pop(job.attempt)

    @precondition(lambda machine: machine.waiting)
    @rule(index=st.integers(0))
    def withdraw(self, index: int) -> None:
        """Withdraw a waiting job; a second call finds nothing."""
        attempt = sorted(self.waiting)[index % len(self.waiting)]
        self.waiting.pop(attempt)
        assert self.queue.withdraw(attempt)
        assert not self.queue.withdraw(attempt)

    @precondition(lambda machine: machine.running)
    @rule(index=st.integers(0), calls_twice=st.booleans())
    def finish(self, index: int, *, calls_twice: bool) -> None:
        """Finish a running job; a second call changes nothing."""
        attempt = sorted(self.running)[index % len(self.running)]
        self.running.pop(attempt)
        self.queue.mark_prefilled(attempt)
        self.queue.finish(attempt)
        if calls_twice:
            self.queue.finish(attempt)

    @invariant()
    def check_load(self) -> None:
        """The reported load matches the waiting and running jobs."""
        load = self.queue.load()
        jobs = (*self.waiting.values(), *self.running.values())
        used = sum(
            job.prompt_tokens + job.output_tokens
            for job in self.running.values()
        )
        assert load.queued == len(self.waiting)
        assert load.running == len(self.running)
        assert load.running <= 3
        assert load.free_kv_tokens == 20_000 - used
        assert used <= 20_000
        assert load.decode_tokens == sum(job.output_tokens for job in jobs)
        assert load.prefill_tokens == sum(job.prompt_tokens for job in jobs)

    def teardown(self) -> None:
        """All waiting jobs can be taken; the queue is empty afterwards."""
        taken = set()
        for _ in range(len(self.waiting) + 1):
            for attempt in tuple(self.running):
                self.queue.finish(attempt)
                self.running.pop(attempt)
            for job in iter(self.queue.take, None):
                self.running[job.attempt] = job
                taken.add(job.attempt)
        assert taken == set(self.waiting)
        assert self.queue.load() == Load(
            free_kv_tokens=20_000,
            prefill_tokens_per_s=RATE,
            lane_tokens=(0, 0, 0, 0),
        )


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
)


def count_taken_tokens(
    queue: TokenQueue,
    weights: dict[str, float],
    prompts: dict[str, int],
    *,
    rounds: int,
) -> Counter[str]:
    """Return the tokens taken per workspace while all have jobs waiting."""
    job_numbers = itertools.count()
    taken: Counter[str] = Counter()
    waiting: Counter[str] = Counter()
    for _ in range(rounds):
        for workspace, weight in weights.items():
            while waiting[workspace] < 4:
                job = make_job(
                    next(job_numbers),
                    prompt=prompts[workspace],
                    workspace=workspace,
                    weight=weight,
                )
                assert queue.offer(job) is None
                waiting[workspace] += 1
        job_taken = queue.take()
        assert job_taken is not None
        waiting[job_taken.workspace] -= 1
        taken[job_taken.workspace] += (
            job_taken.prompt_tokens + job_taken.output_tokens
        )
        queue.finish(job_taken.attempt)
    return taken


@settings(derandomize=True, deadline=None, max_examples=40)
@given(
    weights=st.lists(st.floats(0.5, 4), min_size=2, max_size=5),
    prompts=st.lists(st.integers(100, 3900), min_size=5, max_size=5),
)
def test_shares_under_overload_follow_weights(
    weights: list[float],
    prompts: list[int],
) -> None:
    """Tokens taken are within 10% of the weighted shares."""
    names = 'abcde'[: len(weights)]
    weight_by_name = dict(zip(names, weights, strict=True))
    taken = count_taken_tokens(
        make_queue(ManualClock()),
        weight_by_name,
        dict(zip('abcde', prompts, strict=True)),
        rounds=3000,
    )
    for name, weight in weight_by_name.items():
        share = weight / sum(weights) * taken.total()
        assert taken[name] == pytest.approx(share, rel=0.1)


def test_idle_workspace_accumulates_no_credit() -> None:
    """Others use its capacity; on return it gets only its share.

    Credit gained while idle would let a workspace starve the others when it
    returns.
    """
    queue = make_queue(ManualClock())
    prompts = dict.fromkeys('ab', 1000)
    taken_alone = count_taken_tokens(queue, {'a': 1}, prompts, rounds=500)
    assert taken_alone['a'] == 500 * 1100
    queue = make_queue(ManualClock())
    count_taken_tokens(queue, {'a': 1}, prompts, rounds=500)
    for num in range(4):
        queue.withdraw(AttemptId('att-{0}'.format(num + 500)))
    taken_together = count_taken_tokens(
        queue, {'a': 1, 'b': 1}, prompts, rounds=500
    )
    assert taken_together['b'] == pytest.approx(taken_together['a'], rel=0.1)


@settings(derandomize=True, deadline=None, max_examples=20)
@given(
    long_prompt=st.integers(40_000, KV_TOKENS - 1000),
    run_s=st.integers(1, 20),
)
def test_long_job_starts_within_time_bound(
    long_prompt: int,
    run_s: int,
) -> None:
    """A long job starts even if short jobs would always fill the slots."""
    clock = ManualClock()
    queue = make_queue(clock, running=8)
    ends_at: dict[AttemptId, float] = {}
    for second in range(6 + run_s):
        done = [attempt for attempt, end in ends_at.items() if end <= second]
        for attempt in done:
            queue.finish(attempt)
            ends_at.pop(attempt)
        for num in range(16):
            queue.offer(make_job(second * 100 + num))
        for job in iter(queue.take, None):
            if job.prompt_tokens == long_prompt:
                return
            ends_at[job.attempt] = second + run_s
            queue.mark_prefilled(job.attempt)
        if not second:
            queue.offer(make_job(99, prompt=long_prompt))
        clock.advance(1)
    pytest.fail('the long job was not taken')


def test_short_jobs_start_during_long_prefill() -> None:
    """Neither a long prompt in prefill nor a waiting one delays a short."""
    queue = make_queue(ManualClock())
    for num in range(2):
        assert queue.offer(make_job(num, prompt=100_000)) is None
    assert queue.take() == make_job(0, prompt=100_000)
    assert queue.take() is None
    assert queue.offer(make_job(2)) is None
    assert queue.take() == make_job(2)


def test_job_with_least_slack_is_taken_first() -> None:
    """Within a workspace, order of arrival only breaks ties."""
    queue = make_queue(ManualClock())
    for num, expires in enumerate((900.0, 300.0, 600.0, 300.0)):
        queue.offer(make_job(num, expires=expires))
    order = [queue.take() for _ in range(4)]
    assert [job and job.attempt for job in order] == [
        'att-1',
        'att-3',
        'att-2',
        'att-0',
    ]


def test_refused_jobs_are_queued_after_retry_delay() -> None:
    """Refused jobs get distinct retry delays, after which they are queued."""
    clock = ManualClock()
    queue = make_queue(clock)
    for num in range(10):
        assert queue.offer(make_job(num, expires=1.05)) is None
    retry_delays_s = []
    for num in range(10, 14):
        refusal = queue.offer(make_job(num, expires=1.05))
        assert refusal is not None
        assert refusal.reason is NotRunReason.OVERLOAD
        retry_delays_s.append(refusal.retry_after_s)
    assert retry_delays_s == sorted(set(retry_delays_s))
    assert retry_delays_s[-1] < 1
    for num in range(9):
        job = queue.take()
        assert job is not None
        queue.finish(job.attempt)
    clock.advance(retry_delays_s[0])
    assert queue.offer(make_job(10, expires=clock.now() + 1.05)) is None


def test_job_larger_than_memory_is_refused_as_too_large() -> None:
    """The refusal is `TOO_LARGE`, so that the caller doesn't retry."""
    queue = make_queue(ManualClock())
    match queue.offer(make_job(1, prompt=KV_TOKENS)):
        case NotRun(NotRunReason.TOO_LARGE):
            assert queue.load().queued == 0
        case other:
            pytest.fail(str(other))


def test_longer_job_leaves_memory_for_waiting_short_job() -> None:
    """Free memory that is too small for the short job stays unused.

    Otherwise longer jobs could keep the short one waiting.
    """
    queue = make_queue(ManualClock(), kv_tokens=20_000)
    queue.offer(make_job(0, output=9000))
    running = queue.take()
    queue.offer(make_job(1, output=12_000))
    queue.offer(make_job(2, prompt=5000))
    assert running is not None
    assert queue.take() is None
    queue.finish(running.attempt)
    assert queue.take() == make_job(1, output=12_000)
    assert queue.take() == make_job(2, prompt=5000)


def test_reservation_ends_hold_that_no_longer_fits() -> None:
    """Short jobs start while a span reserves what a long job needs."""
    clock = ManualClock()
    queue = make_queue(clock, kv_tokens=100_000)
    queue.offer(make_job(0, prompt=3000, output=30_000))
    queue.offer(make_job(1, prompt=80_000))
    assert queue.take() == make_job(0, prompt=3000, output=30_000)
    clock.advance(6)
    queue.offer(make_job(2, output=20_000))
    assert queue.take() is None
    queue.set_reserved_kv_tokens(40_000)
    assert queue.take() == make_job(2, output=20_000)
    clock.advance(6)
    queue.offer(make_job(3))
    assert queue.take() == make_job(3)
