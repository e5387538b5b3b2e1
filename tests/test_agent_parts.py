"""Unit tests of the agent's components, mostly on a manual clock."""

import asyncio
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest
from bench.agent_fakes import (
    FakeEngine,
    make_submit,
    run_async,
    running_agent,
    wait_for_call,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.agent.byte_stream import BUFFER_LIMIT_BYTES, ByteStream
from figspread.agent.loop_heartbeat import (
    LOOP_HEARTBEAT_INTERVAL_S,
    LoopHeartbeat,
)
from figspread.agent.outcomes import (
    StopCause,
    resolve_fault_outcome,
    resolve_stop_outcome,
)
from figspread.agent.peer_sync import PeerSync
from figspread.agent.probe import Probe
from figspread.agent.reconcile import Reconciler
from figspread.agent.registry import AttemptRegistry
from figspread.agent.spans import SpanReservations
from figspread.clock import ManualClock
from figspread.config.document import dump_fleet
from figspread.config.fleet import Fleet
from figspread.config.holder import FleetHolder
from figspread.ids import AttemptId, SpanId
from figspread.inner.base import Message
from figspread.inner.credit import ReceiveWindow, SendWindow
from figspread.inner.messages import (
    INITIAL_CREDIT_BYTES,
    ConfigCopy,
    FetchConfig,
    Load,
    Reserve,
    UpstreamKind,
)
from figspread.outcome import Failed, NotRun, Unknown
from figspread.policy.queue import QueueLimits, TokenQueue
from figspread.policy.suspects import SuspectRegistry
from figspread.upstream.types import (
    KvHolding,
    UpstreamFault,
    UpstreamFaultKind,
)

SPAN = SpanId('span-1')


@pytest.mark.parametrize('cause', list(StopCause))
@pytest.mark.parametrize('kind', list(UpstreamKind))
@pytest.mark.parametrize('repeatable', [True, False])
@pytest.mark.parametrize('has_begun', [True, False])
def test_stopped_attempt_is_not_run_only_before_begin(
    cause: StopCause,
    kind: UpstreamKind,
    repeatable: bool,
    has_begun: bool,
) -> None:
    """A stopped attempt is `NotRun` only if its call has not begun.

    A begun call that must not run twice is `Unknown`.
    """
    submit = make_submit('a', kind=kind, repeatable=repeatable)
    outcome = resolve_stop_outcome(cause, submit, has_begun=has_begun)
    is_service = kind is UpstreamKind.SERVICE
    assert isinstance(outcome, NotRun) is not has_begun
    assert isinstance(outcome, Unknown) is (
        has_begun and is_service and not repeatable
    )


@pytest.mark.parametrize('kind', list(UpstreamFaultKind))
@pytest.mark.parametrize('repeatable', [True, False])
def test_service_fault_maps_to_outcome(
    kind: UpstreamFaultKind,
    repeatable: bool,
) -> None:
    """Only `NOT_SENT` and `REFUSED` prove that a call did not run."""
    submit = make_submit(
        'a',
        kind=UpstreamKind.SERVICE,
        repeatable=repeatable,
    )
    outcome = resolve_fault_outcome(UpstreamFault(kind), submit)
    is_sure = kind in {UpstreamFaultKind.NOT_SENT, UpstreamFaultKind.REFUSED}
    assert isinstance(outcome, NotRun) is is_sure
    assert isinstance(outcome, Unknown) is not (is_sure or repeatable)


@settings(derandomize=True, deadline=None, max_examples=50)
@given(
    st.sets(st.sampled_from('abcdefgh'), max_size=8),
    st.sets(st.sampled_from('abcdefgh'), max_size=8),
    st.integers(0, 6),
)
def test_reconcile_frees_all_unowned_holdings(
    left_over: set[str],
    abandoned: set[str],
    lost_cancels: int,
) -> None:
    """All unowned holdings are freed, though cancels are lost."""
    engine = FakeEngine()
    engine.ignored_cancels = lost_cancels
    for name in left_over:
        is_handle = name < 'c'
        engine.holdings[name] = KvHolding(name, 1, is_handle)

    async def check() -> None:
        clock = ManualClock()
        queue = TokenQueue(QueueLimits(1000), clock)
        with ThreadPoolExecutor(1) as executor:
            reconciler = Reconciler(
                engine,
                executor,
                registry=AttemptRegistry(),
                spans=SpanReservations(queue, clock),
                interval_s=1,
            )
            for name in abandoned:
                reconciler.cancel_until_gone(make_submit(name))
            engine.has_crashed = True
            assert await reconciler.reconcile() == len(abandoned)
            engine.has_crashed = False
            passes = 0
            while await reconciler.reconcile():
                passes += 1
            assert passes <= lost_cancels + 1

    run_async(check)
    assert not engine.holdings


def test_reservations_are_bounded_and_expire() -> None:
    """A reservation over the limit is refused; one not renewed expires."""
    clock = ManualClock()
    queue = TokenQueue(QueueLimits(1000), clock)
    spans = SpanReservations(queue, clock)
    assert not spans.reserve(Reserve(SPAN, 1001, 5000)).granted
    assert not spans.reserve(Reserve(SPAN, -1, 5000)).granted
    assert spans.reserve(Reserve(SPAN, 600, 5000)).granted
    assert queue.load().free_kv_tokens == 400
    assert spans.reserve(Reserve(SPAN, 800, 5000)).granted
    assert queue.load().free_kv_tokens == 200
    assert not spans.reserve(Reserve(SpanId('other'), 201, 5000)).granted
    spans.add_attempt(SPAN, AttemptId('att-1'))
    assert spans.owns_handle('kv-att-1')
    clock.advance(4)
    assert spans.reserve(Reserve(SPAN, 800, 5000)).granted
    clock.advance(4)
    assert spans.has_reservation(SPAN)
    assert spans.owns_handle('kv-att-1')
    clock.advance(2)
    assert not spans.has_reservation(SPAN)
    assert not spans.owns_handle('kv-att-1')
    assert queue.load().free_kv_tokens == 1000


def test_loop_heartbeat_measures_blocked_loop() -> None:
    """The lag is the delay of the heartbeat, and 0 after the next one."""
    clock = ManualClock()
    heartbeats = 0

    async def sleep(seconds: float) -> None:
        nonlocal heartbeats
        heartbeats += 1
        if heartbeats == 3:
            raise asyncio.CancelledError
        clock.advance(seconds)

    loop_heartbeat = LoopHeartbeat(clock, sleep)
    clock.advance(LOOP_HEARTBEAT_INTERVAL_S + 4)
    assert loop_heartbeat.lag_s() == pytest.approx(4)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(loop_heartbeat.run())
    assert not loop_heartbeat.lag_s()


def test_send_window_waits_for_credit() -> None:
    """A sender waits once its credit is spent, until it gets enough more."""

    async def check() -> None:
        window = SendWindow()
        await window.acquire(INITIAL_CREDIT_BYTES)
        waiting = asyncio.ensure_future(window.acquire(10))
        window.grant(-5)
        window.grant(9)
        await asyncio.sleep(0)
        assert not waiting.done()
        window.grant(1)
        await waiting
        window.disable_limit()
        await window.acquire(10**9)

    run_async(check)


def test_receive_window_returns_all_credit() -> None:
    """Credit for small pieces is returned in batches, without a loss."""
    window = ReceiveWindow()
    given_back = sum(window.consume(1000) for _piece in range(1000))
    assert 0 <= 1_000_000 - given_back < INITIAL_CREDIT_BYTES


@settings(derandomize=True, deadline=None, max_examples=100)
@given(sizes=st.lists(st.integers(1, 5 * INITIAL_CREDIT_BYTES), max_size=20))
def test_read_pieces_never_leave_sender_without_credit(
    sizes: list[int],
) -> None:
    """A sender whose pieces were all read never waits for credit.

    Guards against a deadlock over credit that the receiver still keeps back.
    """

    async def check() -> None:
        sender = SendWindow()
        receiver = ReceiveWindow()
        for size in sizes:
            async with asyncio.timeout(1):
                await sender.acquire(size)
            sender.grant(receiver.consume(size))

    run_async(check)


def test_full_byte_stream_blocks_writer_and_loses_nothing() -> None:
    """A write blocks while the buffer is full; no byte is lost."""

    async def check() -> None:
        received = ByteStream(asyncio.get_running_loop())
        part = b'x' * (BUFFER_LIMIT_BYTES // 2)
        written = [0]

        def write() -> None:
            while written[0] < 10:
                written[0] += received.write(part)
            received.end()

        writer = threading.Thread(target=write)
        writer.start()
        read = 0
        while not received.has_ended:
            await received.wait()
            size = len(received.read_available())
            assert size <= BUFFER_LIMIT_BYTES
            read += size
        read += len(received.read_available())
        writer.join()
        assert (written[0], read) == (10, 10 * len(part))
        received.close()
        assert not received.write(part)

    run_async(check)


class RecordingPeer:
    """A peer that records the messages sent to it."""

    def __init__(self) -> None:
        """Start without messages."""
        self.messages: list[Message] = []

    def send_nowait(self, message: Message) -> None:
        """Record the message."""
        self.messages.append(message)


def test_only_one_configuration_fetch_is_in_flight() -> None:
    """Only one fetch is in flight; the next peer is asked on a timeout."""
    clock = ManualClock()
    holder = FleetHolder()
    peer_sync = PeerSync(
        holder,
        SuspectRegistry(clock),
        clock,
        broadcast=lambda message, source: None,
    )
    peers = [RecordingPeer() for _peer in range(5)]
    for peer in peers:
        peer_sync.handle_config_number(4, peer)
    assert [len(peer.messages) for peer in peers] == [1, 0, 0, 0, 0]
    clock.advance(1)
    peer_sync.handle_config_number(4, peers[1])
    assert peers[1].messages == [FetchConfig(0)]
    peer_sync.apply_copy(ConfigCopy(4, dump_fleet(Fleet(number=4))))
    peer_sync.handle_config_number(4, peers[2])
    peer_sync.handle_config_number(5, peers[3])
    assert not peers[2].messages
    assert peers[3].messages == [FetchConfig(4)]


def test_merged_report_ignores_lagging_token_counts() -> None:
    """The engine's lagging token counts don't replace the agent's own.

    They can still include a prefill that the agent knows to be finished.
    """
    clock = ManualClock()
    engine = FakeEngine()
    engine.lagging_prefill_tokens = 100_000

    async def check() -> None:
        with ThreadPoolExecutor(1) as executor:
            probe = Probe(
                engine,
                executor,
                clock,
                on_status_change=lambda *, is_down, has_died: None,
            )
            own = Load(running=1, free_kv_tokens=5000)
            assert probe.merge_report(own) == own
            await probe.check_now()
            clock.advance(2)
            load = probe.merge_report(own)
            assert (load.prefill_tokens, load.running) == (0, 1)
            assert (load.free_kv_tokens, load.age_ms) == (1000, 2000)

    run_async(check)


def test_stop_at_the_deadline_gives_one_outcome() -> None:
    """An attempt that is stopped at its deadline gets one outcome.

    The stop reschedules the timeout, which raises if that has expired
    already: here the event loop is blocked until both are due.
    """
    engine = FakeEngine()

    async def check() -> None:
        async with running_agent(engine) as agent:
            entry = await agent.connect()
            await entry.submit('a', time_left_ms=200)
            await wait_for_call(engine)
            loop = asyncio.get_running_loop()
            failures: list[object] = []
            loop.set_exception_handler(
                lambda _loop, context: failures.append(context),
            )
            due = loop.time() + 0.4
            loop.call_at(due, agent.stop_all_attempts)
            spins = 0
            while loop.time() < due:
                spins += 1
            done, _ = await entry.wait_for_finish('a')
            assert isinstance(done.outcome, Failed)
            assert not failures

    run_async(check)
