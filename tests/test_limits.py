"""Admission limits across entries, retry delays and retry budgets."""

import random
from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.clock import ManualClock
from figspread.config.fleet import Workspace
from figspread.ids import ModelName, RequestId, WorkspaceId
from figspread.outcome import NotRun, NotRunReason
from figspread.policy.limits import EntryAdmission, EntryLimits
from figspread.policy.retry import (
    BACKOFF_BASE_S,
    BACKOFF_LIMIT_S,
    INITIAL_CREDIT,
    RETRY_FRACTION,
    RetryBudget,
    backoff_s,
)
from figspread.policy.types import Admitted, RequestProfile

STUDIO = WorkspaceId('studio')


def make_requests(*, tokens: int = 1000) -> Iterator[RequestProfile]:
    """Generate requests of one workspace, each with its own id."""
    num = 0
    while True:
        num += 1
        yield RequestProfile(
            RequestId('req-{0}'.format(num)),
            STUDIO,
            ModelName('m'),
            tokens,
            0,
        )


def make_entries(
    clock: ManualClock,
    record: Workspace,
    *,
    entries: int = 1,
) -> list[EntryAdmission]:
    """Return the admissions of entries that share the limits of `record`."""
    admissions = [EntryAdmission(clock) for _ in range(entries)]
    for admission in admissions:
        admission.set_workspaces({record.workspace: record})
        admission.update_live_entries(entries)
    return admissions


@settings(derandomize=True, deadline=None, max_examples=40)
@given(
    entries=st.integers(1, 12),
    requests_per_s=st.floats(1, 50),
    tokens_per_s=st.floats(1000, 100_000),
    tokens=st.integers(1, 20_000),
)
def test_workspace_rates_hold_across_entries(
    entries: int,
    requests_per_s: float,
    tokens_per_s: float,
    tokens: int,
) -> None:
    """A flood at every entry is held to the workspace rate plus a burst."""
    clock = ManualClock()
    record = Workspace(
        STUDIO,
        (),
        requests_per_s=requests_per_s,
        tokens_per_s=tokens_per_s,
    )
    admissions = make_entries(clock, record, entries=entries)
    requests = make_requests(tokens=tokens)
    admitted = 0
    for _ in range(400):
        clock.advance(0.05)
        for admission in admissions:
            work = next(requests)
            if isinstance(admission.admit(work), Admitted):
                admitted += 1
                admission.release(work)
    allowed = 20 * requests_per_s + requests_per_s + entries
    allowed_tokens = 21 * tokens_per_s + entries * tokens
    assert admitted <= allowed
    assert admitted * tokens <= allowed_tokens
    assert admitted > 0


@pytest.mark.parametrize(
    ('limit', 'entries', 'expected'),
    [(10, 1, 10), (10, 3, 9), (10, 10, 10), (2, 5, 5), (0, 3, 90)],
)
def test_concurrency_limit_is_split_among_entries(
    limit: int,
    entries: int,
    expected: int,
) -> None:
    """Each entry admits its part, at least one; 0 means no limit."""
    record = Workspace(STUDIO, (), concurrent_requests=limit)
    admissions = make_entries(ManualClock(), record, entries=entries)
    requests = make_requests()
    attempts = [
        (entry, next(requests)) for entry in admissions for _ in range(30)
    ]
    admitted = [
        (entry, work)
        for entry, work in attempts
        if isinstance(entry.admit(work), Admitted)
    ]
    assert len(admitted) == expected
    released_twice = admitted * 2
    for holder, held in released_twice:
        holder.release(held)
    answers = [
        entry.admit(next(requests))
        for entry in admissions
        for _ in range(expected // entries)
    ]
    assert all(isinstance(answer, Admitted) for answer in answers)


@pytest.mark.parametrize(
    'record',
    [
        Workspace(STUDIO, (), requests_per_s=10),
        Workspace(STUDIO, (), tokens_per_s=10_000),
        Workspace(STUDIO, (), concurrent_requests=2),
    ],
)
def test_most_retries_after_given_delay_are_admitted(record: Workspace) -> None:
    """Of 60 requests at once, most refused ones get in on their retry.

    Retry delays must be spread out, or the retries would collide again.
    """
    clock = ManualClock()
    admission = make_entries(clock, record)[0]
    requests = make_requests()
    running: list[tuple[float, RequestProfile]] = []
    refused: list[tuple[float, RequestProfile]] = []
    for _ in range(60):
        work = next(requests)
        match admission.admit(work):
            case NotRun(NotRunReason.LIMIT, after_s):
                refused.append((after_s, work))
            case _:
                running.append((1, work))
    admitted = 0
    for retry_at, work in sorted(refused, key=lambda item: item[0]):
        clock.advance(retry_at - clock.now())
        for ends, finished in running:
            if ends <= clock.now():
                admission.release(finished)
        running = [item for item in running if item[0] > clock.now()]
        if isinstance(admission.admit(work), Admitted):
            admitted += 1
            running.append((clock.now() + 1, work))
    assert len(refused) >= 40
    assert admitted >= 0.8 * len(refused)


def test_request_is_refused_if_wait_exceeds_time_left() -> None:
    """The retry delay covers the excess of the wait over the time left."""
    admission = EntryAdmission(ManualClock(), EntryLimits(2))
    requests = make_requests()
    match admission.admit(next(requests), ahead_s=12, time_left_s=10):
        case NotRun(NotRunReason.OVERLOAD, after_s):
            assert 2 <= after_s < 4
        case other:
            pytest.fail(str(other))
    first = next(requests)
    assert admission.admit(first, ahead_s=9, time_left_s=10) == Admitted()
    assert admission.admit(next(requests)) == Admitted()
    assert isinstance(admission.admit(next(requests)), NotRun)
    admission.release(first)
    assert admission.admit(next(requests)) == Admitted()


def test_baseline_without_wait_check_admits_late_request() -> None:
    """Without the wait check only the entry's own limit applies."""
    limits = EntryLimits(1, checks_wait=False)
    admission = EntryAdmission(ManualClock(), limits)
    requests = make_requests()
    late_request = admission.admit(next(requests), ahead_s=12, time_left_s=10)
    assert late_request == Admitted()
    assert isinstance(admission.admit(next(requests)), NotRun)


def test_request_admitted_before_limit_releases_no_share() -> None:
    """A request admitted before the limit existed releases no share."""
    admission = EntryAdmission(ManualClock())
    requests = make_requests()
    unlimited = next(requests)
    admission.admit(unlimited)
    record = Workspace(STUDIO, (), concurrent_requests=1)
    admission.set_workspaces({STUDIO: record})
    assert admission.admit(next(requests)) == Admitted()
    admission.release(unlimited)
    assert isinstance(admission.admit(next(requests)), NotRun)


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.lists(st.tuples(st.booleans(), st.sampled_from('abc'))))
def test_retries_stay_within_fraction_of_first_tries(
    steps: list[tuple[bool, str]],
) -> None:
    """The limit holds per workspace and per entry in any call order."""
    budget = RetryBudget()
    retries = dict.fromkeys('abc', 0)
    tries = dict.fromkeys('abc', 0)
    for is_first, name in steps * 4:
        if is_first:
            budget.record_first_try(WorkspaceId(name))
            tries[name] += 1
        else:
            retries[name] += budget.take_retry(WorkspaceId(name))
    for name, count in retries.items():
        assert count <= INITIAL_CREDIT + tries[name] * RETRY_FRACTION + 1e-6
    allowed = INITIAL_CREDIT + sum(tries.values()) * RETRY_FRACTION
    assert sum(retries.values()) <= allowed + 1e-6


def test_backoff_is_reproducible_and_bounded() -> None:
    """Backoff stays within its limit and repeats under the same seed."""
    delays_s = [backoff_s(num, random.Random(num)) for num in range(40)]
    assert delays_s == [backoff_s(num, random.Random(num)) for num in range(40)]
    assert all(0 <= delay_s <= BACKOFF_LIMIT_S for delay_s in delays_s)
    assert delays_s[0] <= BACKOFF_BASE_S
    assert max(delays_s) > BACKOFF_BASE_S
