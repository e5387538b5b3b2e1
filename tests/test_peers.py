"""Tests of the news and state that entries exchange."""

import asyncio
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import pytest
from bench.giftwrap.deployment import make_configuration
from bench.giftwrap.store import StoreMode
from bench.giftwrap.upstream import Fault

from figspread.background import BackgroundTasks, TaskFaults
from figspread.clock import ManualClock, MonotonicClock
from figspread.direct.peers.fleet_view import FleetView
from figspread.direct.peers.lag import FETCH_TIMEOUT_S, VersionLag
from figspread.direct.peers.peer_links import (
    LINK_TIMEOUTS,
    REDIAL_FIRST_S,
    PeerLinks,
)
from figspread.direct.peers.peer_sender import BACKLOG_LIMIT_BYTES, PeerSender
from figspread.direct.peers.peer_versions import MINOR_VERSION
from figspread.direct.peers.placement_news import (
    AnnouncedVersions,
    PlacementChanges,
    decode_compact_news,
    decode_full_news,
    encode_compact_news,
    encode_full_news,
    make_placement_id,
)
from figspread.direct.state.placements import Placement
from figspread.direct.store.follower import StoreFollower
from figspread.ids import PeerId, UpstreamId
from figspread.inner.codec import decode, encode
from figspread.inner.connection import Connection, Timeouts, dial, listen
from figspread.inner.entry_messages import EntryHello, EntryNews
from figspread.inner.messages import PROTOCOL_VERSION
from figspread.telemetry.logs import Level, Log
from figspread.telemetry.metrics import Metrics
from tests.giftwrap_fleet import (
    PORTS,
    Fleet,
    MemoryLog,
    run_scenario,
    wait_until,
)
from tests.raw_server import RawServer

# An address where nobody listens.
UNUSED = '127.0.0.1:1'
SENDER = PeerId('entry-1-0a1b2c3d')
CHANGES = PlacementChanges(
    (
        Placement(
            make_placement_id(SENDER, 7),
            UpstreamId('i-5b427d387b'),
            5400,
            400,
            prefill_s=0.021,
            target_gap_s=0.25,
        ),
        Placement(
            make_placement_id(SENDER, 8),
            UpstreamId('i-0c3ec7c045'),
            90_000,
            prefill_s=1.5,
            is_helper=True,
        ),
    ),
    (make_placement_id(SENDER, 6),),
    (make_placement_id(SENDER, 5), make_placement_id(SENDER, 4)),
)


def test_news_carry_the_same_changes_in_both_forms() -> None:
    """Both forms of the news decode to the changes that were sent."""
    versions = AnnouncedVersions(412, 99_313)
    full: Any = decode(encode(encode_full_news(CHANGES, versions))).unwrap()
    compact: Any = decode(
        encode(encode_compact_news(CHANGES, versions))
    ).unwrap()
    assert decode_full_news(full) == CHANGES
    assert decode_compact_news(SENDER, compact) == CHANGES
    assert (compact.config_number, compact.store_revision) == (412, 99_313)


@pytest.mark.parametrize(
    ('changes', 'limit_bytes'),
    [
        (PlacementChanges(), 12),
        (PlacementChanges(ended=CHANGES.ended[:1]), 18),
        (PlacementChanges(started=CHANGES.started[:1]), 48),
    ],
)
def test_compact_news_are_small(
    changes: PlacementChanges, limit_bytes: int
) -> None:
    """News go to all entries, so their bytes grow with requests x entries."""
    news = encode_compact_news(changes, AnnouncedVersions())
    assert len(encode(news)) <= limit_bytes


def test_only_one_peer_is_asked_at_a_time() -> None:
    """Another peer is asked only after an answer or a timeout."""
    clock = ManualClock()
    lag = VersionLag(clock)
    lag.record_announced(9)
    assert lag.is_due(0)
    lag.record_question()
    lag.record_announced(9)
    assert not lag.is_due(0)
    clock.advance(FETCH_TIMEOUT_S)
    assert lag.is_due(0)
    lag.record_question()
    lag.record_answer()
    assert lag.is_due(0)


def test_newcomer_gets_one_copy_of_the_configuration(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A copy from each peer would fill the link of an entry that starts."""
    sources: list[str] = []
    apply = StoreFollower.apply_configuration

    def record_source(
        follower: StoreFollower, document: bytes, source: str
    ) -> None:
        sources.append(source)
        apply(follower, document, source)

    async def scenario(fleet: Fleet) -> None:
        monkeypatch.setattr(StoreFollower, 'apply_configuration', record_source)
        fleet.store.switch_mode(StoreMode.BUSY)
        seeds = ','.join(entry.peer_address for entry in fleet.entries)
        await fleet.add_entry(seeds=seeds)
        newcomer = fleet.entries[-1]
        await wait_until(lambda: newcomer.is_ready)
        # All peers have announced their version by their first message.
        await wait_until(lambda: newcomer.count_entries() == len(fleet.entries))

    run_scenario(tmp_path, scenario, entries=4)
    assert len(sources) == 1


class _StuckConnection:
    """A connection to a peer that reads nothing."""

    def __init__(self) -> None:
        self.timeouts = Timeouts(silence_s=0.05)
        self.is_closed = False
        self.frames = 0

    async def send_frame(self, frame: bytes) -> bool:
        self.frames += 1
        await asyncio.Event().wait()
        return True

    def abort(self) -> None:
        self.is_closed = True


def test_stuck_peer_does_not_delay_others() -> None:
    """Posting returns at once; the peer that reads nothing is disconnected."""

    async def scenario() -> None:
        conn: Any = _StuckConnection()
        sender = PeerSender(conn)
        for _ in range(5):
            sender.post(b'news')
        await asyncio.sleep(0)
        assert (conn.frames, conn.is_closed) == (1, False)
        await wait_until(lambda: conn.is_closed)

    asyncio.run(scenario())


def test_peer_with_a_long_backlog_is_disconnected() -> None:
    """A peer that reads too slowly gets a snapshot when it reconnects."""

    async def scenario() -> None:
        conn: Any = _StuckConnection()
        sender = PeerSender(conn)
        sender.post(bytes(BACKLOG_LIMIT_BYTES))
        assert not conn.is_closed
        sender.post(b'more')
        assert conn.is_closed

    asyncio.run(scenario())


def test_peer_that_has_started_is_dialled_again_at_once() -> None:
    """Guard against callers who wait at an entry that no peer has greeted.

    After a loss of power all entries dial each other, and each first packet to
    one that is still down is lost.
    """

    async def scenario() -> None:
        dials = 0

        async def ignore(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal dials
            dials += 1
            await reader.read()

        clock = MonotonicClock()
        own = '127.0.0.1:{0}'.format(PORTS[0])
        peer = '127.0.0.1:{0}'.format(PORTS[1])
        log = Log(Level.ERROR, {})
        links = PeerLinks(
            EntryHello(PROTOCOL_VERSION, SENDER, own),
            Mock(make_greeting=Mock(return_value=())),
            BackgroundTasks(clock, TaskFaults(log, Metrics(own))),
            clock,
            log,
        )
        async with RawServer(ignore, PORTS[1]):
            await links.start()
            links.connect_to((peer,))
            await wait_until(lambda: dials)
            started_s = clock.now()
            dialled = await dial(
                'ws://{0}'.format(own),
                ssl=None,
                timeouts=LINK_TIMEOUTS,
                clock=clock,
            )
            conn = dialled.unwrap()
            await conn.send(
                EntryHello(PROTOCOL_VERSION, PeerId('entry-2'), peer)
            )
            await wait_until(lambda: dials > 1)
            assert clock.now() - started_s < LINK_TIMEOUTS.open_s
            conn.abort()
            await links.stop()

    asyncio.run(scenario())


def test_entry_of_an_older_version_gets_news_that_it_reads(
    tmp_path: Path,
) -> None:
    """An entry that doesn't say that it reads compact news gets none."""
    received: list[object] = []

    async def scenario(fleet: Fleet) -> None:
        async def receive(ws: Any) -> None:
            conn = Connection(ws)
            async for message in conn.messages():
                received.append(message)

        server = await listen(receive, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        address = '127.0.0.1:{0}'.format(port)
        uri = 'ws://{0}'.format(fleet.entries[0].peer_address)
        dialled = await dial(uri, ssl=None, timeouts=Timeouts(), clock=None)
        conn = dialled.unwrap()
        await conn.send(EntryHello(PROTOCOL_VERSION, PeerId('old'), address))
        answer = await fleet.callers[0].call('caption', usage='5000,460')
        assert answer.status == 200
        await wait_until(
            lambda: any(
                isinstance(message, EntryNews) and message.ended
                for message in received
            )
        )
        await conn.close()
        server.close()

    run_scenario(tmp_path, scenario)
    kinds = {type(message) for message in received}
    assert kinds == {EntryHello, EntryNews}


def _count_idle(fleet: Fleet) -> int:
    return sum(
        len(log.events('store watch handed over'))
        > len(log.events('store watch resumed'))
        for log in fleet.logs
    )


def test_few_entries_watch_the_store_for_all(tmp_path: Path) -> None:
    """Changes reach entries that don't watch, and calls stay few."""

    async def scenario(fleet: Fleet) -> int:
        await wait_until(lambda: _count_idle(fleet) == 3)
        before = fleet.store.request_count
        fleet.store.put('config', 'main', make_configuration(9))
        await wait_until(
            lambda: all(entry.version == 9 for entry in fleet.entries)
        )
        leaving = fleet.upstreams['e-1']
        leaving.state = 'draining'
        fleet.register(leaving)
        await wait_until(
            lambda: all(log.events('upstream updated') for log in fleet.logs)
        )
        fleet.store.delete('servers', 'e-1')
        await wait_until(
            lambda: all(log.events('upstream removed') for log in fleet.logs)
        )
        return fleet.store.request_count - before

    # Each of three watchers makes a call for each of the three changes, and
    # perhaps a check or a watch that ends meanwhile.
    assert run_scenario(tmp_path, scenario, entries=6) <= 15


def test_other_entries_watch_when_watchers_stop(tmp_path: Path) -> None:
    """Changes after the loss of all watchers reach the rest."""

    async def scenario(fleet: Fleet) -> None:
        await wait_until(lambda: _count_idle(fleet) == 2)
        stopped = [
            entry
            for entry, log in zip(fleet.entries, fleet.logs, strict=True)
            if not log.events('store watch handed over')
        ]
        assert len(stopped) == 3
        for entry in stopped:
            await entry.stop()
        fleet.store.put('config', 'main', make_configuration(9))
        left = [entry for entry in fleet.entries if entry not in stopped]
        async with asyncio.timeout(4):
            await wait_until(lambda: all(entry.version == 9 for entry in left))

    run_scenario(tmp_path, scenario, entries=5)


def test_upstream_lost_with_history_is_dropped_everywhere(
    tmp_path: Path,
) -> None:
    """A deletion that only a new listing shows reaches idle entries too."""

    async def scenario(fleet: Fleet) -> None:
        await wait_until(lambda: _count_idle(fleet) == 2)
        fleet.store.drops_watch_events = True
        fleet.store.put('other', 'x', 1)
        fleet.store.delete('servers', 'e-1')
        fleet.store.forget_history()
        fleet.store.drops_watch_events = False
        await wait_until(
            lambda: all(log.events('upstream removed') for log in fleet.logs)
        )

    run_scenario(tmp_path, scenario, entries=5)


def test_restarted_entry_learns_placements_at_once(tmp_path: Path) -> None:
    """An entry that comes back doesn't wait for others to dial it again.

    Until then it would take engines for idle where others have placed long
    prompts. The first pause before a new dial is half a second.
    """

    async def scenario(fleet: Fleet) -> None:
        for name in ('e-1', 'e-2'):
            fleet.upstreams[name].fault = Fault.HANGS
        call = asyncio.create_task(
            fleet.callers[0].call('caption', usage='40000,460')
        )
        await wait_until(lambda: fleet.entries[1].count_placed())
        ip = fleet.entries[1].peer_address.rpartition(':')[0]
        await fleet.entries[1].stop()
        await wait_until(
            lambda: fleet.logs[0].events('peer entry connection lost')
        )
        await fleet.add_entry(ip=ip)
        async with asyncio.timeout(REDIAL_FIRST_S * 0.8):
            await wait_until(lambda: fleet.entries[2].count_placed())
        call.cancel()

    run_scenario(tmp_path, scenario, entries=2)


async def _greet(address: str, hello: EntryHello) -> Connection:
    """Return a connection to an entry that has answered `hello`."""
    dialled = await dial(
        'ws://{0}'.format(address), ssl=None, timeouts=Timeouts(), clock=None
    )
    conn = dialled.unwrap()
    await conn.send(hello)
    async for message in conn.messages():
        assert isinstance(message, EntryHello)
        break
    return conn


ENDS = {'the former connection': (0, 1, 2), 'the newest connection': (1, 0, 1)}


@pytest.mark.parametrize('case', ENDS)
def test_peer_is_lost_only_with_its_newest_connection(
    case: str, tmp_path: Path
) -> None:
    """Keep the placements and the hello of a peer that has connected again."""
    ended, placed, known = ENDS[case]

    async def scenario(fleet: Fleet) -> tuple[int, int]:
        entry = fleet.entries[0]
        hello = EntryHello(PROTOCOL_VERSION, SENDER, UNUSED)
        conns = [await _greet(entry.peer_address, hello) for _ in range(2)]
        started = PlacementChanges(CHANGES.started[:1])
        await conns[1].send(encode_full_news(started, AnnouncedVersions()))
        await wait_until(entry.count_placed)
        conns[ended].abort()
        await wait_until(
            lambda: fleet.logs[0].events('peer entry disconnected')
        )
        counts = (entry.count_placed(), entry.count_entries())
        conns[1 - ended].abort()
        return counts

    assert run_scenario(tmp_path, scenario) == (placed, known)


def test_peer_that_has_connected_again_still_owns_limits() -> None:
    """Guard against two entries that both own the limits of one engine."""

    async def scenario() -> set[PeerId]:
        async def receive(ws: Any) -> None:
            await ws.wait_closed()

        server = await listen(receive, '127.0.0.1', 0)
        clock = MonotonicClock()
        own = '127.0.0.1:{0}'.format(PORTS[0])
        rows = MemoryLog()
        log = Log(Level.DEBUG, {}, logger=rows)
        links = PeerLinks(
            EntryHello(PROTOCOL_VERSION, SENDER, own),
            Mock(make_greeting=Mock(return_value=())),
            BackgroundTasks(clock, TaskFaults(log, Metrics(own))),
            clock,
            log,
        )
        view = FleetView(SENDER, links, clock)
        await links.start()
        hello = EntryHello(
            PROTOCOL_VERSION,
            PeerId('entry-2'),
            '127.0.0.1:{0}'.format(server.sockets[0].getsockname()[1]),
            minor_version=MINOR_VERSION,
        )
        former, newest = [await _greet(own, hello) for _ in range(2)]
        await wait_until(lambda: hello.peer in view.list_owners())
        former.abort()
        await wait_until(lambda: rows.events('peer entry disconnected'))
        owners = set(view.list_owners())
        newest.abort()
        await links.stop()
        server.close()
        return owners

    assert asyncio.run(scenario()) == {SENDER, PeerId('entry-2')}
