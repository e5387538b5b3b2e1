"""Which upstreams an entry sees as ready to be asked."""

import random
from collections.abc import Sequence

import pytest
from bench.entry_cases import MODEL, make_engine_request, make_work

from figspread.clock import ManualClock
from figspread.config.document import dump_fleet
from figspread.config.fleet import EngineRecord, Fleet, Pool
from figspread.config.holder import FleetHolder
from figspread.entry.directory import Directory
from figspread.entry.link import Link, LinkNeeds, LinkState
from figspread.entry.links import Links
from figspread.entry.members import list_leaving
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


async def never_open(_address: str) -> None:
    """Stand for a connection that is not tried in these tests."""
    raise AssertionError


async def never_keep(_conn: Connection) -> None:
    """Stand for heartbeats that are not sent in these tests."""
    raise AssertionError


class OneLink(Links):
    """Has one link, whose state the test sets."""

    def __init__(self, link: Link) -> None:
        """Give out `link`."""
        self._link = link

    def get(self, _upstream: UpstreamId) -> Link:
        """Return the link."""
        return self._link


class Rig:
    """A directory over one engine."""

    def __init__(self) -> None:
        """Start with an open link and a fresh report."""
        self.clock = ManualClock()
        holder = FleetHolder()
        assert holder.offer(dump_fleet(FLEET)).unwrap()
        needs = LinkNeeds(
            clock=self.clock,
            rng=random.Random(1),
            holder=holder,
            open=never_open,  # type: ignore[arg-type]
            keep=never_keep,
            on_suspects=_take_suspects,
        )
        self.link = Link(ENGINE.upstream, ENGINE.agent, needs)
        self.link.state = LinkState.OPEN
        self.directory = Directory(holder, OneLink(self.link), self.clock)


def _take_suspects(_suspects: Suspects) -> None:
    """Take no notice."""


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
def test_leaving_and_silent_upstreams_are_not_asked(
    vms: Sequence[tuple[str, str, VmState]],
    state: LinkState,
    is_there: bool,
) -> None:
    """The agent's word, its connection and the VM list each are enough."""
    rig = Rig()
    rig.link.state = state
    rig.directory.note_leaving(
        list_leaving(
            Vm(VmId(name), vm_state, HOME, address)
            for name, address, vm_state in vms
        ),
    )
    found = rig.directory.list_candidates(make_engine_request())
    assert bool(found) is is_there


def test_own_work_counts_until_the_next_report() -> None:
    """What was sent before the report is in the report already."""
    rig = Rig()
    req = make_engine_request()
    rig.clock.advance(1)
    rig.directory.record_sent(AttemptId('att-1'), ENGINE.upstream, make_work())
    before = rig.directory.list_candidates(req)[0]
    rig.link.load_at = rig.clock.now()
    rig.clock.advance(1)
    rig.directory.record_sent(AttemptId('att-2'), ENGINE.upstream, make_work())
    rig.directory.record_sent(AttemptId('att-3'), ENGINE.upstream, make_work())
    rig.directory.record_finished(AttemptId('att-3'))
    after = rig.directory.list_candidates(req)[0]
    assert (before.own_requests, after.own_requests) == (1, 1)
    assert after.own_prefill_tokens == make_work().prompt_tokens
