"""Tests of an agent with a fake engine, over real inner connections."""

import asyncio

import pytest
from bench.agent_fakes import (
    REFUSED,
    STREAM_END,
    FakeEngine,
    encode_token_event,
    make_options,
    run_async,
    running_agent,
    wait_for_call,
    wait_until,
)

from figspread.config.document import dump_fleet
from figspread.config.fleet import Fleet
from figspread.ids import AttemptId, CrashId, Fingerprint, SpanId
from figspread.inner.messages import (
    INITIAL_CREDIT_BYTES,
    Accepted,
    BodyPiece,
    Cancel,
    Chunk,
    ConfigCopy,
    Credit,
    FetchConfig,
    Finished,
    Heartbeat,
    Release,
    Reserve,
    Reserved,
    Settle,
    Settled,
    SuspectRow,
    Suspects,
    UpstreamKind,
)
from figspread.outcome import (
    Answered,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Unknown,
)
from figspread.upstream.types import (
    KvHolding,
    UpstreamFault,
    UpstreamFaultKind,
)

ATTEMPT = AttemptId('a')


def test_answer_is_relayed_whole_with_counts() -> None:
    """Chunks carry whole events and `Finished` carries their counts.

    The agent drops `[DONE]`; the entry writes it once it has all chunks.
    """
    engine = FakeEngine()

    async def check() -> None:
        async with running_agent(engine) as agent_fixture:
            entry = await agent_fixture.connect()
            await entry.submit('a', body=b'{}')
            assert await entry.next() == Accepted(ATTEMPT)
            await wait_for_call(engine)
            engine.complete_answer(
                'a',
                encode_token_event('x')[:7],
                encode_token_event('x')[7:] + encode_token_event('y'),
            )
            done, chunks = await entry.wait_for_finish('a')
            sent = b''.join(chunk.data for chunk in chunks)
            assert sent == b''.join(
                (encode_token_event('x'), encode_token_event('y'))
            )
            assert [chunk.seq for chunk in chunks] == list(range(len(chunks)))
            assert done == Finished(ATTEMPT, Answered(), len(chunks), 2)

    run_async(check)


def make_suspect_row(
    *crash_ids: str, fingerprint: str = 'crasher'
) -> SuspectRow:
    """Return a suspect row with the crashes `crash_ids`."""
    ids = tuple(sorted(CrashId(name) for name in crash_ids))
    return SuspectRow(
        Fingerprint(fingerprint),
        len(ids),
        60_000,
        crash_ids=ids,
    )


REFUSALS = [
    ({'time_left_ms': 0}, NotRunReason.DEADLINE),
    ({'time_left_ms': -5}, NotRunReason.DEADLINE),
    ({'kind': UpstreamKind.SERVICE}, NotRunReason.BAD_REQUEST),
    ({'body_size': -1}, NotRunReason.BAD_REQUEST),
    ({'body_size': 1, 'body': b'xx'}, NotRunReason.BAD_REQUEST),
    ({'prompt_tokens': -1}, NotRunReason.BAD_REQUEST),
    ({'body_size': 2**40}, NotRunReason.TOO_LARGE),
    ({'prompt_tokens': 2**40}, NotRunReason.TOO_LARGE),
    ({'span': SpanId('none')}, NotRunReason.NOT_READY),
    ({'fingerprint': Fingerprint('crasher')}, NotRunReason.SUSPECT),
    ({'crashes': 2}, NotRunReason.SUSPECT),
]


@pytest.mark.parametrize(('fields', 'reason'), REFUSALS)
def test_invalid_submission_is_refused_and_not_run(
    fields: dict[str, object],
    reason: NotRunReason,
) -> None:
    """A refused attempt is neither accepted nor run, also when sent again."""
    engine = FakeEngine()

    async def check() -> None:
        async with running_agent(engine) as agent_fixture:
            entry = await agent_fixture.connect()
            await entry.conn.send(Suspects((make_suspect_row('one', 'two'),)))
            await entry.submit('a', **fields)
            done = await entry.next()
            assert isinstance(done, Finished)
            assert isinstance(done.outcome, NotRun)
            assert done.outcome.reason is reason
            await entry.submit('a')
            assert await entry.next() == done

    run_async(check)
    assert not engine.calls


@pytest.mark.parametrize('first', [Cancel(ATTEMPT), Settle(ATTEMPT)])
def test_attempt_cancelled_before_arrival_is_not_run(
    first: Cancel | Settle,
) -> None:
    """A submission that arrives after its cancel or settle is refused.

    A later settle gets the same `NotRun` as the submission.
    """
    engine = FakeEngine()

    async def check() -> None:
        async with running_agent(engine) as agent_fixture:
            entry = await agent_fixture.connect()
            await entry.conn.send(first)
            await entry.submit('a')
            done, _ = await entry.wait_for_finish('a')
            assert isinstance(done.outcome, NotRun)
            assert await entry.settle('a') == Settled(ATTEMPT, done.outcome)

    run_async(check)
    assert not engine.calls


def test_settle_for_earlier_agent_process_is_unknown() -> None:
    """A settle with the boot id of another agent process gets `Unknown`.

    Only the process that received an attempt can say that it did not run.
    """

    async def check() -> None:
        async with running_agent(FakeEngine()) as agent_fixture:
            entry = await agent_fixture.connect()
            await entry.conn.send(Cancel(ATTEMPT))
            for boot in ('', 'an earlier one'):
                await entry.conn.send(Settle(ATTEMPT, boot))
                settled = await entry.next()
                assert isinstance(settled, Settled)
                assert isinstance(settled.outcome, Unknown)
            settled = await entry.settle('a')
            assert isinstance(settled.outcome, NotRun)

    run_async(check)


FAULTS = [
    (REFUSED, NotRun(NotRunReason.OVERLOAD)),
    (
        UpstreamFault(UpstreamFaultKind.REFUSED, status=400),
        NotRun(NotRunReason.BAD_REQUEST),
    ),
    (
        UpstreamFault(UpstreamFaultKind.NOT_SENT),
        NotRun(NotRunReason.NO_UPSTREAM),
    ),
    (
        UpstreamFault(UpstreamFaultKind.BROKEN),
        Failed(FailedReason.BROKEN_STREAM),
    ),
    (
        UpstreamFault(UpstreamFaultKind.TIMED_OUT),
        Failed(FailedReason.BROKEN_STREAM),
    ),
    (
        UpstreamFault(UpstreamFaultKind.ERROR),
        Failed(FailedReason.UPSTREAM_ERROR),
    ),
]


@pytest.mark.parametrize(('fault', 'outcome'), FAULTS)
def test_engine_fault_maps_to_outcome(
    fault: UpstreamFault,
    outcome: NotRun | Failed,
) -> None:
    """Only a fault that proves that the call did not run gives `NotRun`."""
    engine = FakeEngine()
    engine.fault = fault

    async def check() -> None:
        async with running_agent(engine) as agent_fixture:
            entry = await agent_fixture.connect()
            await entry.submit('a')
            done, _ = await entry.wait_for_finish('a')
            assert done.outcome == outcome

    run_async(check)


def test_answer_that_ends_inside_event_has_failed() -> None:
    """A stream that ends without a fault inside an event has failed."""
    engine = FakeEngine()

    async def check() -> None:
        async with running_agent(engine) as agent_fixture:
            entry = await agent_fixture.connect()
            await entry.submit('a')
            await wait_for_call(engine)
            engine.answer('a').put(encode_token_event('x'), b'data: {"cho')
            engine.answer('a').end()
            done, chunks = await entry.wait_for_finish('a')
            assert isinstance(done.outcome, Failed)
            assert b''.join(
                chunk.data for chunk in chunks
            ) == encode_token_event('x')

    run_async(check)


@pytest.mark.parametrize(
    ('time_left_ms', 'message', 'reason'),
    [
        (60_000, Cancel(ATTEMPT), FailedReason.CANCELLED),
        (400, Heartbeat(0), FailedReason.DEADLINE),
    ],
)
def test_stopped_attempt_is_freed_on_engine(
    time_left_ms: int,
    message: Cancel | Heartbeat,
    reason: FailedReason,
) -> None:
    """A cancelled or late attempt is freed although cancels get lost.

    The outcome is sent at once; the cancel is repeated until it works.
    """
    engine = FakeEngine()
    engine.ignored_cancels = 2

    async def check() -> None:
        async with running_agent(engine) as agent_fixture:
            entry = await agent_fixture.connect()
            await entry.submit('a', time_left_ms=time_left_ms)
            await wait_for_call(engine)
            await entry.conn.send(message)
            done, _ = await entry.wait_for_finish('a')
            assert done.outcome == Failed(reason)
            await wait_until(lambda: not engine.holdings)

    run_async(check)
    assert len(engine.cancelled) > 2


def test_lost_connection_frees_only_its_own_attempts() -> None:
    """Attempts of a lost connection are freed; another entry's continue."""
    engine = FakeEngine()

    async def check() -> None:
        async with running_agent(engine) as agent_fixture:
            lost, kept = (
                await agent_fixture.connect(),
                await agent_fixture.connect('entry-2'),
            )
            await lost.submit('a')
            await kept.submit('b')
            await wait_for_call(engine)
            await wait_for_call(engine)
            lost.conn.abort()
            await wait_until(lambda: list(engine.holdings) == ['b'])
            engine.complete_answer('b', encode_token_event('x'))
            done, _ = await kept.wait_for_finish('b')
            assert done.outcome == Answered()
            outcome = Failed(FailedReason.CANCELLED)
            assert await kept.settle('a') == Settled(ATTEMPT, outcome)

    run_async(check)


def test_slow_reader_delays_only_its_own_stream() -> None:
    """An answer without credit is not read on; other answers are sent."""
    engine = FakeEngine()
    big = encode_token_event('x' * 10_000)

    async def check() -> None:
        async with running_agent(engine) as agent_fixture:
            entry = await agent_fixture.connect()
            await entry.submit('slow')
            await entry.submit('fast')
            await wait_for_call(engine)
            await wait_for_call(engine)
            engine.answer('slow').put(*[big for _part in range(200)])
            engine.complete_answer('fast', encode_token_event('y'))
            received = 0
            message = await entry.next()
            while not isinstance(message, Finished):
                if isinstance(message, Chunk) and message.attempt == 'slow':
                    received += len(message.data)
                message = await entry.next()
            assert message.attempt == 'fast'
            assert received <= INITIAL_CREDIT_BYTES
            assert engine.answer('slow').count_unread_parts() > 100
            engine.answer('slow').put(STREAM_END)
            engine.answer('slow').end()
            await entry.conn.send(Credit(AttemptId('slow'), 4_000_000))
            done, chunks = await entry.wait_for_finish('slow')
            rest = sum(len(chunk.data) for chunk in chunks)
            assert done.outcome == Answered()
            assert received + rest == 200 * len(big)

    run_async(check)


PIECES = [
    ([(0, b'abc'), (1, b'de')], None),
    ([(1, b'abc')], NotRunReason.BAD_REQUEST),
    ([(0, b'abc'), (0, b'de')], NotRunReason.BAD_REQUEST),
    ([(0, b'abcdef')], NotRunReason.BAD_REQUEST),
    ([(0, b'abc'), (1, b'def')], NotRunReason.BAD_REQUEST),
]


@pytest.mark.parametrize(('pieces', 'reason'), PIECES)
def test_body_in_pieces_must_be_complete_and_in_order(
    pieces: list[tuple[int, bytes]],
    reason: NotRunReason | None,
) -> None:
    """Only a body that arrives complete and in order is run."""
    engine = FakeEngine()

    async def check() -> None:
        async with running_agent(engine) as agent_fixture:
            entry = await agent_fixture.connect()
            await entry.submit('a', body_size=5)
            assert await entry.next() == Accepted(ATTEMPT)
            for seq, data in pieces:
                await entry.conn.send(BodyPiece(ATTEMPT, seq, data))
            if reason is None:
                await wait_for_call(engine)
                assert engine.calls[0].body == b'abcde'
                return
            done, _ = await entry.wait_for_finish('a')
            assert isinstance(done.outcome, NotRun)
            assert done.outcome.reason is reason
            assert not engine.calls

    run_async(check)


def test_engine_death_makes_running_attempts_suspects() -> None:
    """An engine's death makes all its attempts suspects.

    The rows are sent to all peers; a request with two crashes is refused.
    """
    engine = FakeEngine()

    async def check() -> None:
        async with running_agent(engine) as agent_fixture:
            entry, other = (
                await agent_fixture.connect(),
                await agent_fixture.connect('entry-2'),
            )
            before = make_suspect_row('before', fingerprint='print-b')
            await other.conn.send(Suspects((before,)))
            assert isinstance(await entry.next(), Suspects)
            await entry.submit('a')
            await entry.submit('b', crashes=1)
            await wait_for_call(engine)
            await wait_for_call(engine)
            engine.crash()
            first, _ = await entry.wait_for_finish('a')
            second, _ = await entry.wait_for_finish('b')
            died = Failed(FailedReason.UPSTREAM_DIED)
            assert (first.outcome, second.outcome) == (died, died)
            told = await other.next()
            assert isinstance(told, Suspects)
            crashes = {row.fingerprint: row.crashes for row in told.rows}
            assert crashes == {'print-a': 1, 'print-b': 2}
            await entry.submit('c')
            refused, _ = await entry.wait_for_finish('c')
            assert refused.outcome == NotRun(NotRunReason.NO_UPSTREAM)
            engine.has_crashed = False
            engine.boot_id = 'boot-2'
            await entry.wait_for_heartbeat(
                lambda beat: not agent_fixture.app.status.is_down
            )
            await entry.submit('d', fingerprint=Fingerprint('print-b'))
            given_up, _ = await entry.wait_for_finish('d')
            assert isinstance(given_up.outcome, NotRun)
            assert given_up.outcome.reason is NotRunReason.SUSPECT
            await entry.submit('e', fingerprint=Fingerprint('print-a'))
            await wait_for_call(engine)

    run_async(check)


def test_changed_boot_id_fails_running_attempts() -> None:
    """A changed boot id fails all attempts, though no check failed."""
    engine = FakeEngine()

    async def check() -> None:
        async with running_agent(engine) as agent_fixture:
            entry = await agent_fixture.connect()
            await entry.wait_for_heartbeat(_has_rate)
            await entry.submit('a')
            await wait_for_call(engine)
            engine.boot_id = 'boot-2'
            done, _ = await entry.wait_for_finish('a')
            assert done.outcome == Failed(FailedReason.UPSTREAM_DIED)

    run_async(check)


def _has_rate(beat: Heartbeat) -> bool:
    return beat.load is not None and beat.load.prefill_tokens_per_s > 500_000


def test_newer_configuration_is_fetched_and_announced() -> None:
    """A newer configuration is fetched and announced to all peers.

    Older and invalid copies are ignored.
    """
    newer, older = (dump_fleet(Fleet(number=number)) for number in (7, 3))

    async def check() -> None:
        async with running_agent(FakeEngine()) as agent_fixture:
            entry, other = (
                await agent_fixture.connect(),
                await agent_fixture.connect('entry-2'),
            )
            await entry.conn.send(Heartbeat(7))
            assert await entry.next() == FetchConfig(0)
            await entry.conn.send(ConfigCopy(7, newer))
            await other.wait_for_heartbeat(lambda beat: beat.config_number == 7)
            await other.conn.send(ConfigCopy(3, older))
            await other.conn.send(ConfigCopy(9, b'nonsense'))
            await other.conn.send(FetchConfig(6))
            assert await other.next() == ConfigCopy(7, newer)
            assert agent_fixture.holder.fleet.number == 7

    run_async(check)


def test_changed_suspects_are_forwarded_to_other_peers_only() -> None:
    """Only changed rows are forwarded, and only to the other peers."""
    row = make_suspect_row('one')
    worse = make_suspect_row('one', 'two')

    async def check() -> None:
        async with running_agent(FakeEngine()) as agent_fixture:
            entry, other = (
                await agent_fixture.connect(),
                await agent_fixture.connect('entry-2'),
            )
            for rows in ((row,), (row,), (worse,)):
                await entry.conn.send(Suspects(rows))
            for rows in ((row,), (worse,)):
                told = await other.next()
                assert isinstance(told, Suspects)
                assert told.rows[0].crash_ids == rows[0].crash_ids
            await entry.conn.send(Settle(ATTEMPT))
            assert isinstance(await entry.next(), Settled)

    run_async(check)


def test_drain_is_announced_and_running_attempts_finish() -> None:
    """A draining agent refuses new attempts and finishes running ones."""
    engine = FakeEngine()

    async def check() -> None:
        async with running_agent(engine) as agent_fixture:
            entry = await agent_fixture.connect()
            await entry.submit('a')
            await wait_for_call(engine)
            draining = asyncio.create_task(agent_fixture.app.drain())
            await entry.wait_for_heartbeat(lambda beat: beat.leaving)
            await entry.submit('b')
            refused, _ = await entry.wait_for_finish('b')
            assert refused.outcome == NotRun(NotRunReason.LEAVING, 0)
            assert not draining.done()
            engine.complete_answer('a', encode_token_event('x'))
            done, _ = await entry.wait_for_finish('a')
            assert done.outcome == Answered()
            assert await draining

    run_async(check)


def test_drain_limit_ends_unfinished_attempts() -> None:
    """A drain ends at its limit; `stop` then frees the engine's memory."""
    engine = FakeEngine()

    async def check() -> None:
        options = make_options(drain_limit_s=0.1)
        async with running_agent(engine, options=options) as agent_fixture:
            entry = await agent_fixture.connect()
            await entry.submit('a')
            await wait_for_call(engine)
            assert not await agent_fixture.app.drain()
            await agent_fixture.app.stop()
            assert not engine.holdings

    run_async(check)


def test_unowned_holdings_are_freed_after_start() -> None:
    """A new agent frees what an earlier process left on the engine."""
    engine = FakeEngine()
    for name in ('left-over', 'kv-left-over'):
        is_handle = name.startswith('kv')
        engine.holdings[name] = KvHolding(name, 5, is_handle)

    async def check() -> None:
        async with running_agent(engine) as agent_fixture:
            entry = await agent_fixture.connect()
            await entry.submit('a')
            await wait_for_call(engine)
            await wait_until(lambda: list(engine.holdings) == ['a'])
            assert 'a' not in engine.cancelled

    run_async(check)


def test_span_keeps_memory_and_handle_until_release() -> None:
    """A span keeps its memory and its KV handle until it is released."""
    engine = FakeEngine()
    span = SpanId('span-1')

    async def check() -> None:
        async with running_agent(engine) as agent_fixture:
            entry = await agent_fixture.connect()
            await entry.conn.send(Reserve(span, 900, 60_000))
            assert await entry.next() == Reserved(span, granted=True)
            await entry.conn.send(Reserve(SpanId('span-2'), 200, 60_000))
            refused = await entry.next()
            assert isinstance(refused, Reserved)
            assert not refused.granted
            await entry.submit('a', span=span, prompt_tokens=800)
            await wait_for_call(engine)
            engine.holdings['kv-a'] = KvHolding('kv-a', 800, is_handle=True)
            engine.complete_answer('a', encode_token_event('x'))
            await entry.wait_for_finish('a')
            await agent_fixture.app.free_unowned()
            assert list(engine.holdings) == ['kv-a']
            await entry.conn.send(Release(span))
            await wait_until(lambda: not engine.holdings)

    run_async(check)
