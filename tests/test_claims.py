"""Claims on idempotency keys: a request is run by one process at most."""

import pytest
from bench.fakes import CallFault, FakeStore, Step
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from figspread.clock import Deadline, ManualClock
from figspread.duties.claims import (
    ANSWER_LIMIT_BYTES,
    AlreadyAnswered,
    ClaimAnswer,
    Claimed,
    ClaimOutcome,
    ClaimRequest,
    ClaimUnavailable,
    ClaimUnclear,
    InProgress,
    KeyReused,
    claim,
    record_answer,
)
from figspread.duties.cleanup import CLOCK_MARGIN_S, ClaimCleanUp
from figspread.duties.records import CLAIM_SHARDS, digest_request, locate_claim
from figspread.ids import AttemptId, PeerId, WorkspaceId, new_attempt_id
from figspread.outcome import (
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)

_RUN_S = 60.0
_RETENTION_S = 1000.0
_NOT_RUN = ClaimAnswer(NotRun(NotRunReason.OVERLOAD))
_ANSWER = ClaimAnswer(Answered(), 201, {'A': 'b'}, b'\x00done')
_LONG_OUTAGE = tuple(CallFault.DOWN for _ in range(6))


def _claim(
    store: FakeStore,
    *,
    key: str = 'key',
    body: bytes = b'body',
    now: float = 0,
    attempt: AttemptId | None = None,
) -> ClaimOutcome:
    request = ClaimRequest(
        WorkspaceId('desk'),
        key,
        digest_request('POST', '/jobs', body),
        attempt or new_attempt_id(),
        PeerId('entry'),
        run_until=now + _RUN_S,
        retention_s=_RETENTION_S,
    )
    deadline = Deadline(ManualClock(), 10)
    return claim(store, request, now=now, deadline=deadline)


def _claim_or_fail(store: FakeStore) -> Claimed:
    outcome = _claim(store)
    assert isinstance(outcome, Claimed)
    return outcome


@pytest.mark.parametrize(
    ('plan', 'expected', 'again'),
    [
        ([], Claimed, InProgress),
        ([CallFault.DOWN], ClaimUnavailable, Claimed),
        ([CallFault.ANSWER_LOST], Claimed, InProgress),
        ([CallFault.REQUEST_LOST], Claimed, InProgress),
        ([CallFault.LATE], Claimed, InProgress),
        ([CallFault.ANSWER_LOST, *_LONG_OUTAGE], ClaimUnclear, InProgress),
        ([CallFault.REQUEST_LOST, *_LONG_OUTAGE], ClaimUnclear, Claimed),
    ],
)
def test_claim_survives_store_faults(
    plan: list[Step],
    expected: type[object],
    again: type[object],
) -> None:
    """A write with a lost reply is read back before anything is dispatched.

    Otherwise a resend could run the request a second time.
    """
    store = FakeStore()
    store.plan = plan
    assert isinstance(_claim(store), expected)
    store.plan = []
    assert isinstance(_claim(store), again)


def test_resend_returns_recorded_answer() -> None:
    """The answer is returned before and after `run_until` has passed."""
    store = FakeStore()
    claimed = _claim_or_fail(store)
    store.plan = [CallFault.ANSWER_LOST]
    assert isinstance(record_answer(store, claimed, _ANSWER), Ok)
    for now in (1, _RUN_S + 1):
        match _claim(store, now=now):
            case AlreadyAnswered(record):
                assert record.outcome == Answered()
                assert (record.status, record.answer) == (201, b'\x00done')
            case other:
                pytest.fail(str(other))


def test_lost_claimant_makes_outcome_unknown() -> None:
    """A claimant that records nothing leaves its request `Unknown`.

    This holds once `run_until` has passed; the key can't be claimed again, as
    the request may have run.
    """
    store = FakeStore()
    claimed = _claim_or_fail(store)
    assert isinstance(_claim(store, now=_RUN_S), InProgress)
    match _claim(store, now=_RUN_S + 1):
        case AlreadyAnswered(record):
            assert record.outcome == Unknown(UnknownReason.CLAIMANT_LOST)
        case other:
            pytest.fail(str(other))
    assert isinstance(record_answer(store, claimed, _ANSWER), Ok)
    assert isinstance(_claim(store, now=_RUN_S + 1), AlreadyAnswered)


def test_key_with_different_body_is_rejected() -> None:
    """Claims of other keys and other workspaces don't interfere."""
    store = FakeStore()
    _claim_or_fail(store)
    assert _claim(store, body=b'other') == KeyReused()
    assert isinstance(_claim(store, key='other', body=b'other'), Claimed)
    places = {
        locate_claim(WorkspaceId(workspace), key)
        for workspace, key in (('a', 'bc'), ('ab', 'c'), ('a/b', 'c'))
    }
    assert len(places) == 3


def test_not_run_request_can_be_claimed_again() -> None:
    """The first claimant can then no longer record an answer."""
    store = FakeStore()
    first = _claim_or_fail(store)
    assert isinstance(record_answer(store, first, _NOT_RUN), Ok)
    second = _claim_or_fail(store)
    assert isinstance(record_answer(store, first, _ANSWER), Err)
    assert isinstance(record_answer(store, second, _ANSWER), Ok)


def test_large_answer_is_not_stored() -> None:
    """Its outcome is stored nevertheless."""
    store = FakeStore()
    large = ClaimAnswer(Answered(), 200, {}, bytes(ANSWER_LIMIT_BYTES + 1))
    assert isinstance(record_answer(store, _claim_or_fail(store), large), Ok)
    match _claim(store):
        case AlreadyAnswered(record):
            assert record.outcome == Answered()
            assert not record.has_answer
        case other:
            pytest.fail(str(other))


class _Lease:
    """A lease that is lost after `answers` calls of `is_held`."""

    def __init__(self, answers: int) -> None:
        self._answers = answers

    def is_held(self) -> bool:
        self._answers -= 1
        return self._answers >= 0


@pytest.mark.parametrize(
    ('late_s', 'questions', 'left'),
    [
        (0, 10_000, 12),
        (1, 10_000, 0),
        (1, 0, 12),
    ],
)
def test_claims_are_deleted_after_retention(
    late_s: float,
    questions: int,
    left: int,
) -> None:
    """Only expired claims are deleted, under the lease, `limit` per round."""
    store = FakeStore()
    keys = [str(number) for number in range(12)]
    assert all(isinstance(_claim(store, key=key), Claimed) for key in keys)
    clean_up = ClaimCleanUp(store, _Lease(questions), limit=1)
    now = _RUN_S + _RETENTION_S + CLOCK_MARGIN_S + late_s
    for _ in range(CLAIM_SHARDS + 12):
        assert clean_up.run_round(now=now) <= 1
    again = [_claim(store, key=key) for key in keys]
    assert sum(isinstance(outcome, InProgress) for outcome in again) == left


def test_round_ends_when_lease_is_lost() -> None:
    """The lease is checked before each deletion."""
    store = FakeStore()
    shard = locate_claim(WorkspaceId('desk'), '0').kind
    for number in range(CLAIM_SHARDS * 8):
        if locate_claim(WorkspaceId('desk'), str(number)).kind == shard:
            _claim(store, key=str(number))
    in_shard = len(store.table.list_all(shard).objects)
    position = int(shard.rpartition('-')[2], 16)
    clean_up = ClaimCleanUp(store, _Lease(position + 1 + 2))
    deleted = sum(clean_up.run_round(now=1e9) for _ in range(CLAIM_SHARDS))
    assert in_shard > 2
    assert deleted == in_shard - len(store.table.list_all(shard).objects) == 2


class RacingEntries(RuleBasedStateMachine):
    """Entries claim the same keys concurrently, with faults at any call."""

    def __init__(self) -> None:
        """Start without claims."""
        super().__init__()
        self.store = FakeStore()
        self.running: dict[str, list[Claimed]] = {'a': [], 'b': []}
        self.maybe_answered: set[str] = set()
        self.answered: set[str] = set()

    def _claim_and_check(self, key: str) -> None:
        match _claim(self.store, key=key):
            case Claimed() as claimed:
                self.running[key].append(claimed)
            case AlreadyAnswered(record):
                assert record.outcome == Answered()
                assert key in self.answered or key in self.maybe_answered
        self.key_has_one_runner()

    @rule(
        key=st.sampled_from('ab'),
        steps=st.lists(
            st.none() | st.sampled_from([*CallFault, 'a', 'b']),
            max_size=8,
        ),
    )
    def claim(self, key: str, steps: list[CallFault | str | None]) -> None:
        """Claim a key, with a fault or a rival claim at each call."""
        self.store.plan = [
            self._build_rival_claim(step) if isinstance(step, str) else step
            for step in steps
        ]
        self._claim_and_check(key)
        self.store.plan = []

    def _build_rival_claim(self, key: str) -> Step:
        return lambda: self._claim_and_check(key)

    @rule(
        key=st.sampled_from('ab'),
        is_run=st.booleans(),
        steps=st.lists(st.none() | st.sampled_from(CallFault), max_size=4),
    )
    def record(self, key: str, is_run: bool, steps: list[Step]) -> None:
        """Record the outcome of a claimed request."""
        if not self.running[key] or key in self.answered | self.maybe_answered:
            return
        claimed = self.running[key][-1]
        if not is_run:
            self.running[key].pop()
        self.store.plan = steps
        answer = _ANSWER if is_run else _NOT_RUN
        recorded = record_answer(self.store, claimed, answer)
        self.store.plan = []
        if is_run:
            known = self.answered if recorded.is_ok() else self.maybe_answered
            known.add(key)

    @rule()
    def deliver_late(self) -> None:
        """Apply writes that were delayed."""
        self.store.apply_delayed_writes()

    @invariant()
    def key_has_one_runner(self) -> None:
        """No key has two claimants that may have dispatched the request."""
        assert all(len(claimants) <= 1 for claimants in self.running.values())

    @invariant()
    def recorded_answer_is_returned(self) -> None:
        """A resend of a request with a recorded answer gets that answer."""
        for key in self.answered:
            assert isinstance(_claim(self.store, key=key), AlreadyAnswered)


TestRacingEntries = RacingEntries.TestCase
TestRacingEntries.settings = settings(
    max_examples=200,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
)
