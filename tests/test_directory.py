"""The candidates that a directory lists, and the load it adds to them."""

import random
from collections.abc import Sequence

import pytest
from bench.entry_cases import MODEL, make_engine_request, make_profile

from figspread.clock import ManualClock
from figspread.config.document import dump_fleet
from figspread.config.fleet import EngineRecord, Fleet, Pool
from figspread.config.holder import FleetHolder
from figspread.entry.directory import Directory
from figspread.entry.link import Link, LinkContext, LinkState
from figspread.entry.links import Links
from figspread.entry.vm_list import list_leaving
from figspread.ids import AttemptId, DataCentreId, PoolId, UpstreamId, VmId
from figspread.inner.connection import Connection
from figspread.inner.messages import Suspects
from figspread.platform.types import Vm, VmState

HOME = DataCentreId('mu-a')
POOL = PoolId('captions')
ENGINE = EngineRecord(
    upstream=UpstreamId('engine-a'),
    pool=POOL,
    data_centre=HOME,
    agent='10.0.0.1:7100',
    url='http://10.0.0.1:8000',
    kv_tokens=1000,
    prefill_tokens_per_s=100,
)
FLEET = Fleet(
    number=1,
    pools={POOL: Pool(POOL, (MODEL,))},
    engines={ENGINE.upstream: ENGINE},
)


async def fail_open(_address: str) -> None:
    """Fail: these tests open no connection."""
    raise AssertionError


async def fail_heartbeats(_conn: Connection) -> None:
    """Fail: these tests send no heartbeats."""
    raise AssertionError


class SingleLink(Links):
    """Links that return the same link for every upstream."""

    def __init__(self, link: Link) -> None:
        """Store the link to return."""
        self._link = link

    def find_link(self, _upstream: UpstreamId) -> Link:
        """Return the link."""
        return self._link


class DirectoryHarness:
    """A directory of one engine, whose link state the test sets."""

    def __init__(self) -> None:
        """Start with an open link and a load report received now."""
        self.clock = ManualClock()
        holder = FleetHolder()
        assert holder.apply_if_newer(dump_fleet(FLEET)).unwrap()
        context = LinkContext(
            clock=self.clock,
            rng=random.Random(1),
            holder=holder,
            connect=fail_open,  # type: ignore[arg-type]
            send_heartbeats=fail_heartbeats,
            on_suspects=_ignore_suspects,
        )
        self.link = Link(ENGINE.upstream, ENGINE.agent, context)
        self.link.state = LinkState.OPEN
        self.directory = Directory(holder, SingleLink(self.link), self.clock)


def _ignore_suspects(_suspects: Suspects) -> None:
    """Ignore the call."""


@pytest.mark.parametrize(
    ('vms', 'state', 'is_there'),
    [
        ([], LinkState.OPEN, True),
        ([], LinkState.LEAVING, False),
        ([], LinkState.CLOSED, False),
        ([('engine-a', '', VmState.LIVE)], LinkState.OPEN, True),
        ([('engine-a', '', VmState.LEAVING)], LinkState.OPEN, False),
        ([('vm-7', ENGINE.agent, VmState.LEAVING)], LinkState.OPEN, False),
        ([('vm-8', '10.0.0.2:7100', VmState.LEAVING)], LinkState.OPEN, True),
    ],
)
def test_leaving_and_disconnected_upstreams_are_no_candidates(
    vms: Sequence[tuple[str, str, VmState]],
    state: LinkState,
    is_there: bool,
) -> None:
    """The agent's state, its connection or the VM list each exclude it."""
    harness = DirectoryHarness()
    harness.link.state = state
    harness.directory.update_leaving_vms(
        list_leaving(
            Vm(VmId(name), vm_state, HOME, address)
            for name, address, vm_state in vms
        ),
    )
    candidates = harness.directory.list_candidates(make_engine_request())
    assert bool(candidates) is is_there


def test_sent_work_counts_until_next_load_report() -> None:
    """Attempts sent before the report are already included in it."""
    harness = DirectoryHarness()
    req = make_engine_request()
    harness.clock.advance(1)
    harness.directory.record_sent(
        AttemptId('att-1'), ENGINE.upstream, make_profile()
    )
    before = harness.directory.list_candidates(req)[0]
    harness.link.load_received_at = harness.clock.now()
    harness.clock.advance(1)
    harness.directory.record_sent(
        AttemptId('att-2'), ENGINE.upstream, make_profile()
    )
    harness.directory.record_sent(
        AttemptId('att-3'), ENGINE.upstream, make_profile()
    )
    harness.directory.record_finished(AttemptId('att-3'))
    after = harness.directory.list_candidates(req)[0]
    assert (before.own_requests, after.own_requests) == (1, 1)
    assert after.own_prefill_tokens == make_profile().prompt_tokens
