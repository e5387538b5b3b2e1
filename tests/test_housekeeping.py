"""One entry at a time cleans up the store, and another can take over."""

import random

import pytest
from bench.fakes import CallFault, FakeStore

from figspread.clock import Deadline, ManualClock
from figspread.duties.claims import Claimed, ClaimRequest, claim
from figspread.duties.lease import TERM_S
from figspread.duties.records import CLAIM_SHARDS
from figspread.entry.housekeeping import Housekeeping
from figspread.ids import AttemptId, PeerId, WorkspaceId

RUN_S = 60
RETENTION_S = 100
# Well past the retention time plus the margin for differing wall clocks.
PAST_RETENTION_S = 10_000


class CleanUpCluster:
    """Two entries that share a store with one expired claim."""

    def __init__(self) -> None:
        """Write the claim, then advance the clock past its retention."""
        self.clock = ManualClock()
        self.store = FakeStore()
        self.entries = [self._make('entry-a'), self._make('entry-b')]
        request = ClaimRequest(
            WorkspaceId('studio'),
            'print-1',
            'digest',
            AttemptId('att-1'),
            PeerId('entry-a'),
            run_until=RUN_S,
            retention_s=RETENTION_S,
        )
        claim_outcome = claim(
            self.store,
            request,
            now=0,
            deadline=Deadline(self.clock, RUN_S),
        )
        assert isinstance(claim_outcome, Claimed)
        self._place = claim_outcome.place
        self.clock.advance(PAST_RETENTION_S)

    def has_claim(self) -> bool:
        """Tell whether the claim is still in the store."""
        found = self.store.table.get(self._place.kind, self._place.name)
        return found is not None

    def run_all_shards(self, entry: Housekeeping) -> None:
        """Run as many rounds as there are shards of claims."""
        for _ in range(CLAIM_SHARDS):
            self.clock.advance(entry.run_round())

    def _make(self, name: str) -> Housekeeping:
        return Housekeeping(
            self.store,
            PeerId(name),
            clock=self.clock,
            wall_clock=self.clock.now,
            rng=random.Random(name),
            is_needed=lambda: True,
        )


def test_lease_holder_deletes_expired_claim() -> None:
    """A claim in any shard is found within one pass over all shards."""
    cluster = CleanUpCluster()
    cluster.run_all_shards(cluster.entries[0])
    assert not cluster.has_claim()


def test_second_entry_takes_over_after_release() -> None:
    """The second entry works only after the first has released the lease."""
    cluster = CleanUpCluster()
    first, second = cluster.entries
    for _ in range(3):
        first.run_round()
        assert second.run_round() > 0
        cluster.clock.advance(1)
    first.stop()
    cluster.run_all_shards(second)
    assert not cluster.has_claim()


def test_second_entry_takes_over_after_lease_term() -> None:
    """A holder that crashed must not block the clean-up beyond its term."""
    cluster = CleanUpCluster()
    first, second = cluster.entries
    first.run_round()
    second.run_round()
    cluster.clock.advance(TERM_S)
    cluster.run_all_shards(second)
    assert not cluster.has_claim()


@pytest.mark.parametrize('fault', list(CallFault))
def test_store_fault_only_ends_the_round(fault: CallFault) -> None:
    """A store fault doesn't raise, and the claim is deleted after recovery."""
    cluster = CleanUpCluster()
    cluster.store.plan = [fault for _ in range(6)]
    for _ in range(6):
        cluster.clock.advance(cluster.entries[0].run_round())
    cluster.store.plan = []
    cluster.store.apply_delayed_writes()
    cluster.clock.advance(TERM_S)
    cluster.run_all_shards(cluster.entries[0])
    cluster.run_all_shards(cluster.entries[0])
    assert not cluster.has_claim()
