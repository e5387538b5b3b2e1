"""Tests of the stand-in engine's simulation of time, memory and cache."""

from collections import defaultdict
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.standins.engine_cache import PrefixCache, list_prefix_keys
from figspread.standins.engine_memory import KvMemory, make_handle
from figspread.standins.engine_report import LaggingReport
from figspread.standins.engine_requests import RunRequest
from figspread.standins.engine_settings import EngineSettings
from figspread.standins.engine_simulation import EngineSimulation
from figspread.standins.engine_text import digest_prompt
from figspread.upstream.types import CacheEvent, EngineReport

SMALL_ENGINE = EngineSettings(
    prefill_tokens_per_s=1_000,
    piece_tokens=100,
    kv_limit_tokens=1_000,
    max_requests=6,
    step_ms=10,
    step_per_request_ms=1,
)
RUN_REQUESTS = st.builds(
    RunRequest,
    attempt=st.sampled_from([str(number) for number in range(10)]),
    prompt_tokens=st.integers(1, 400),
    first_token=st.integers(0, 3),
    end_token=st.sampled_from([0, 4, 20]),
    priority=st.integers(-1, 1),
    cached_tokens=st.integers(0, 500),
    stuck_after=st.sampled_from([None, None, 0, 2]),
)
CANCELLED_ATTEMPTS = st.sampled_from([str(number) for number in range(10)])
DELAYS_S = st.floats(0, 0.5)


@dataclass
class SimulationHarness:
    """A simulation with the state that its caller expects of it."""

    memory: KvMemory = field(
        default_factory=lambda: KvMemory(SMALL_ENGINE.kv_limit_tokens),
    )
    now: float = 0
    active: dict[str, RunRequest] = field(default_factory=dict)
    handles: dict[str, int] = field(default_factory=dict)
    tokens: dict[str, list[int]] = field(
        default_factory=lambda: defaultdict(list),
    )

    def __post_init__(self) -> None:
        """Create the simulation on the memory."""
        self.simulation = EngineSimulation(SMALL_ENGINE, self.memory)

    def submit(self, request: RunRequest) -> bool:
        """Submit a request now; return whether it was accepted."""
        handle = make_handle(request.attempt)
        if self.handles.pop(handle, None):
            self.memory.release(handle)
        is_accepted = self.simulation.submit(self.now, request).is_ok()
        if is_accepted:
            self.active[request.attempt] = request
            self.tokens[request.attempt] = []
        return is_accepted

    def cancel(self, attempt: str) -> None:
        """Cancel an attempt; that succeeds only if it is active."""
        was_active = self.active.pop(attempt, None) is not None
        assert self.simulation.cancel(attempt) is was_active

    def advance_by(self, seconds: float) -> None:
        """Advance the time and check the index of each token."""
        self.now += seconds
        for progress in self.simulation.advance(self.now):
            request = self.active[progress.attempt]
            if progress.index < 0:
                assert request.is_prefill_only
                handle = make_handle(progress.attempt)
                self.handles[handle] = request.prompt_tokens
            else:
                produced_before = len(self.tokens[progress.attempt])
                assert progress.index == request.first_token + produced_before
                self.tokens[progress.attempt].append(progress.index)
            if progress.is_last:
                self.active.pop(progress.attempt)

    def check_holdings(self) -> None:
        """Check that exactly the active and exported requests hold memory."""
        expected = {
            name: request.kv_tokens for name, request in self.active.items()
        } | self.handles
        listed = {
            holding.name: holding.kv_tokens
            for holding in self.memory.list_reservations()
        }
        assert listed == expected
        assert sum(listed.values()) == self.memory.used_tokens
        assert self.memory.used_tokens <= SMALL_ENGINE.kv_limit_tokens


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(st.one_of(RUN_REQUESTS, CANCELLED_ATTEMPTS, DELAYS_S), max_size=40)
)
def test_memory_is_released_after_any_sequence_of_calls(
    steps: list[RunRequest | str | float],
) -> None:
    """Holdings are exact after every submit, cancel and end."""
    harness = SimulationHarness()
    for step in steps:
        match step:
            case RunRequest():
                harness.submit(step)
            case str():
                harness.cancel(step)
            case _:
                harness.advance_by(step)
        harness.check_holdings()
    harness.advance_by(60)
    assert all(
        request.stuck_after is not None for request in harness.active.values()
    )
    for attempt in tuple(harness.active):
        harness.cancel(attempt)
    for handle in harness.handles:
        assert harness.memory.release(handle)
    assert not harness.memory.list_reservations()
    assert harness.memory.used_tokens == 0
    assert harness.simulation.count_running() == 0
    harness.advance_by(1)
    assert harness.simulation.next_step_end() is None


def _first_token_s(others: list[RunRequest], last_request: RunRequest) -> float:
    """Return when `last_request`, sent after `others`, has its first token."""
    harness = SimulationHarness()
    for other in others:
        assert harness.submit(other)
    assert harness.submit(last_request)
    while not harness.tokens[last_request.attempt]:
        harness.advance_by(0.001)
    return harness.now


@pytest.mark.parametrize(
    ('others', 'priority', 'expected_s'),
    [
        ([], 0, 0.05),
        # The long prompt gets half of each step after the first.
        ([RunRequest('long', 600, end_token=1)], 0, 0.2),
        # The first step was planned before the short prompt arrived.
        ([RunRequest('long', 600, end_token=1)], 1, 0.2),
        ([RunRequest('stuck', 600, end_token=1, stuck_after=0)], 0, 0.05),
    ],
)
def test_long_prompt_delays_short_one_by_its_share_of_steps(
    others: list[RunRequest],
    priority: int,
    expected_s: float,
) -> None:
    """The time to first token is that of the `engine_simulation` docstring."""
    last_request = RunRequest('short', 50, end_token=1, priority=priority)
    assert _first_token_s(others, last_request) == pytest.approx(
        expected_s, abs=2e-3
    )


@pytest.mark.parametrize('batch', [1, 3, 6])
def test_inter_token_time_grows_with_batch(batch: int) -> None:
    """Each step lasts 10 ms, and 1 ms more for each request in it."""
    harness = SimulationHarness()
    for number in range(batch):
        harness.submit(RunRequest(str(number), 1, end_token=100))
    harness.advance_by(0.2)
    before = [len(indexes) for indexes in harness.tokens.values()]
    harness.advance_by(10 * (0.01 + 0.001 * batch))
    after = [len(indexes) for indexes in harness.tokens.values()]
    assert after == [count + 10 for count in before]


@pytest.mark.parametrize(
    ('asked', 'status'),
    [
        (RunRequest('a', 990, end_token=11), 413),
        (RunRequest('a', 500, end_token=1), 503),
        (RunRequest('here', 1, end_token=1), 409),
    ],
)
def test_submit_refuses_request_that_does_not_fit(
    asked: RunRequest, status: int
) -> None:
    """It never fits, doesn't fit now, or has the id of an active request."""
    harness = SimulationHarness()
    harness.submit(RunRequest('here', 600, end_token=10))
    refusal = harness.simulation.submit(0, asked).unwrap_err()
    assert refusal.status == status
    assert bool(refusal.retry_after_s) is (status == 503)


def test_cache_evicts_oldest_blocks_and_delays_and_drops_events() -> None:
    """Two prompts of two blocks each don't fit in a cache of three."""
    cache = PrefixCache(
        EngineSettings(
            cache_block_tokens=2,
            cache_limit_tokens=6,
            event_lag_s=1,
            event_gap=4,
        ),
    )
    first = list_prefix_keys(b'a' * 17, 2)
    second = list_prefix_keys(b'b' * 16, 2)
    cache.add(0, first)
    assert cache.count_cached(first) == 4
    cache.add(1, second)
    assert (cache.count_cached(first), cache.count_cached(second)) == (2, 4)
    assert not cache.list_events(0.9, 0)
    assert [event.seq for event in cache.list_events(1, 0)] == [1, 2]
    later = cache.list_events(2, 2)
    assert later == [
        CacheEvent(3, second[0], True),
        CacheEvent(5, first[1], False),
    ]


def test_report_is_as_old_as_the_lag() -> None:
    """Reports are at least as old as the lag once there are such."""
    loads = iter(range(100))
    report = LaggingReport(
        1, lambda: EngineReport(next(loads), 0, 0, 0, 0, 0, ())
    )
    ages_ms = [
        round(report.get(moment / 10)[0] * 1_000) for moment in range(50)
    ]
    assert ages_ms[0] == 0
    assert all(1_000 <= age < 1_500 for age in ages_ms[11:])


@settings(derandomize=True, deadline=None)
@given(st.lists(st.binary(max_size=40), max_size=5))
def test_joined_digests_equal_digest_of_whole_prompt(
    parts: list[bytes],
) -> None:
    """The digest of a prompt doesn't depend on how it is split."""
    joined = digest_prompt(b'')
    for part in parts:
        joined = joined.join(digest_prompt(part))
    assert joined == digest_prompt(b''.join(parts))


def test_refusal_has_retry_delay_when_only_handles_hold_memory() -> None:
    """Without active requests a refusal still has a retry delay."""
    harness = SimulationHarness()
    harness.memory.reserve('kv-old', 900, is_handle=True)
    refusal = harness.simulation.submit(0, RunRequest('a', 200)).unwrap_err()
    assert refusal.status == 503
    assert refusal.retry_after_s > 0
