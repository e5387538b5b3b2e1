"""Leases: one holder at a time, with increasing fencing numbers."""

from functools import partial

from bench.fakes import CallFault, FakeStore, Step
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Ok

from figspread.clock import ManualClock
from figspread.duties.lease import (
    LEASE_KIND,
    Held,
    HeldByOther,
    Lease,
    LeaseUnavailable,
    read_fencing_number,
)
from figspread.ids import PeerId

_TERM_S = 10.0
# Clock drift within what the lease's margin allows for.
_CLOCK_RATES = (0.95, 1.0, 1.05)


def _lease(store: FakeStore, holder: str, clock: ManualClock) -> Lease:
    return Lease(
        store,
        'plan',
        holder=PeerId(holder),
        clock=clock,
        term_s=_TERM_S,
        margin_s=2,
    )


def test_paused_holder_loses_expired_lease() -> None:
    """After the pause another process holds it, with a higher token."""
    store = FakeStore()
    clock = ManualClock()
    first, second = (_lease(store, name, clock) for name in ('a', 'b'))
    assert isinstance(first.renew(), Held)
    assert second.renew() == HeldByOther(PeerId('a'))
    clock.advance(8)
    assert not first.is_held()
    assert second.renew() == HeldByOther(PeerId('a'))
    clock.advance(2)
    assert isinstance(second.renew(), Held)
    assert second.fencing > first.fencing
    assert not first.is_held()
    assert first.renew() == HeldByOther(PeerId('b'))
    assert read_fencing_number(store, 'plan') == Ok(second.fencing)


def test_renewal_with_lost_reply_is_read_back() -> None:
    """A renewal that took effect counts from before it was sent."""
    store = FakeStore()
    clock = ManualClock()
    lease = _lease(store, 'a', clock)
    store.plan = [None, CallFault.ANSWER_LOST]
    assert isinstance(lease.renew(), Held)
    clock.advance(5)
    store.plan = [None, CallFault.REQUEST_LOST]
    assert isinstance(lease.renew(), LeaseUnavailable)
    assert lease.is_held()
    clock.advance(3)
    assert not lease.is_held()
    store.plan = [CallFault.DOWN]
    assert isinstance(lease.renew(), LeaseUnavailable)
    assert isinstance(lease.renew(), Held)


def test_slow_renewal_does_not_extend_term() -> None:
    """The term counts from before the renewal was sent."""
    store = FakeStore()
    clock = ManualClock()
    lease = _lease(store, 'a', clock)
    store.plan = [None, lambda: clock.advance(9)]
    assert isinstance(lease.renew(), Held)
    assert not lease.is_held()


def test_released_lease_can_be_acquired_at_once() -> None:
    """No process waits for the term of a released lease to end."""
    store = FakeStore()
    clock = ManualClock()
    first, second = (_lease(store, name, clock) for name in ('a', 'b'))
    assert isinstance(first.renew(), Held)
    first.release()
    assert not first.is_held()
    assert isinstance(second.renew(), Held)


def test_process_with_same_name_is_another_holder() -> None:
    """The process of a replaced VM waits for its predecessor's term to end."""
    store = FakeStore()
    clock = ManualClock()
    before, after = (_lease(store, 'same', clock) for _ in range(2))
    assert isinstance(before.renew(), Held)
    assert after.renew() == HeldByOther(PeerId('same'))
    assert not after.is_held()


def test_damaged_lease_is_acquired_after_term() -> None:
    """A record that can't be decoded blocks the lease for one term only."""
    store = FakeStore()
    clock = ManualClock()
    store.create(LEASE_KIND, 'plan', b'garbage')
    lease = _lease(store, 'a', clock)
    assert isinstance(lease.renew(), HeldByOther)
    clock.advance(_TERM_S)
    assert isinstance(lease.renew(), Held)


class RacingHolders(RuleBasedStateMachine):
    """Processes renew, pause and release a lease, with faults at any call."""

    def __init__(self) -> None:
        """Start with a lease that no process holds."""
        super().__init__()
        self.store = FakeStore()
        self.clocks = [ManualClock() for _ in _CLOCK_RATES]
        self.leases = [
            _lease(self.store, str(number), clock)
            for number, clock in enumerate(self.clocks)
        ]
        self.highest_fencing = 0

    def _renew(self, number: int) -> None:
        lease = self.leases[number]
        match lease.renew():
            case Held(fencing):
                assert fencing > self.highest_fencing
                assert fencing == lease.fencing
                self.highest_fencing = fencing
            case HeldByOther():
                assert not lease.is_held()
        self.has_one_holder_at_most()

    def _advance_clocks(self, seconds: float) -> None:
        for clock, rate in zip(self.clocks, _CLOCK_RATES, strict=True):
            clock.advance(seconds * rate)
        self.has_one_holder_at_most()

    def _build_step(self, step: CallFault | int | float | None) -> Step:
        match step:
            case int():
                return partial(self._renew, step)
            case float():
                return partial(self._advance_clocks, step)
        return step

    @rule(
        number=st.integers(0, len(_CLOCK_RATES) - 1),
        steps=st.lists(
            st.none()
            | st.sampled_from(list(CallFault))
            | st.integers(0, len(_CLOCK_RATES) - 1)
            | st.sampled_from([1.0, 4.0, 9.0]),
            max_size=5,
        ),
    )
    def renew(
        self,
        number: int,
        steps: list[CallFault | int | float | None],
    ) -> None:
        """Renew, with a fault, another renewal or a pause at each call."""
        self.store.plan = [self._build_step(step) for step in steps]
        self._renew(number)
        self.store.plan = []

    @rule(seconds=st.sampled_from([1.0, 3.0, 7.0, 11.0]))
    def advance(self, seconds: float) -> None:
        """Advance all clocks, each at its own rate."""
        self._advance_clocks(seconds)

    @rule(
        number=st.integers(0, len(_CLOCK_RATES) - 1),
        fault=st.none() | st.sampled_from(list(CallFault)),
    )
    def release(self, number: int, fault: CallFault | None) -> None:
        """Release the lease."""
        self.store.plan = [fault]
        self.leases[number].release()
        self.store.plan = []

    @rule()
    def deliver_late(self) -> None:
        """Apply writes that were delayed."""
        self.store.apply_delayed_writes()

    @invariant()
    def has_one_holder_at_most(self) -> None:
        """At most one process considers itself the holder at any time."""
        assert sum(lease.is_held() for lease in self.leases) <= 1


TestRacingHolders = RacingHolders.TestCase
TestRacingHolders.settings = settings(
    max_examples=200,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
)
