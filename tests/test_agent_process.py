"""Real agent processes beside stand-in engines, stopped in all ways."""

import asyncio
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from bench.agent_fakes import Entry, run_async
from bench.processes import MODEL, SECRET, Pair, Process, System

from figspread.ids import AttemptId, DataCentreId, PeerId
from figspread.inner.connection import Timeouts
from figspread.inner.handshake import Opener, open_connection
from figspread.inner.heartbeat import keep_alive
from figspread.inner.messages import Accepted, Chunk, Heartbeat, Suspects
from figspread.outcome import (
    Answered,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
)

LIMIT_S = 40
TOKENS = 60
HEARTBEAT_S = 0.2
SILENCE_S = 1


@pytest.fixture
def system(tmp_path: Path) -> Iterator[System]:
    """Give a place for processes, which ends them."""
    with System(tmp_path) as started:
        yield started


async def connect(agent: Process) -> Entry:
    """Open a connection as an entry would, with its heartbeats."""
    opened = await open_connection(
        'ws://127.0.0.1:{0}'.format(agent.port),
        Opener(PeerId('entry-1'), DataCentreId('mu-a')),
        secret=SECRET.encode(),
        timeouts=Timeouts(heartbeat_s=HEARTBEAT_S, silence_s=SILENCE_S),
    )
    conn, welcome = opened.unwrap()
    entry = Entry(conn, welcome.boot)
    entry.supervisor = asyncio.create_task(
        keep_alive(conn, lambda: Heartbeat(0))
    )
    return entry


async def ask(entry: Entry, name: str, tokens: int = TOKENS) -> None:
    """Submit a completion of `tokens` tokens."""
    body = msgspec.json.encode(
        {
            'model': MODEL,
            'prompt': 'gift wrap',
            'stream': True,
            'max_tokens': tokens,
        },
    )
    await entry.submit(name, body=body, output_tokens=tokens)


async def first_chunk(entry: Entry) -> Chunk:
    """Wait until an answer has begun."""
    while True:
        message = await entry.next()
        if isinstance(message, Chunk):
            return message


def holdings(system: System, engine: Process) -> list[Any]:
    """Return what takes memory on the engine."""
    url = 'http://127.0.0.1:{0}/engine/holdings'.format(engine.port)
    listed: list[Any] = system.http.request('GET', url).json()
    return listed


def list_runs(system: System, engine: Process) -> str:
    """Return the engine's record of runs as text."""
    url = 'http://127.0.0.1:{0}/standin/runs'.format(engine.port)
    return system.http.request('GET', url).data.decode()


def drive(pair: Pair, steps: Any) -> None:
    """Run `steps` with a connection to the pair's agent, bounded in time."""

    async def check() -> None:
        async with asyncio.timeout(LIMIT_S):
            await steps(await connect(pair.agent))

    run_async(check)


def test_sigterm_cuts_off_nothing(system: System) -> None:
    """The stream ends whole, new work is refused, and the agent exits."""
    pair = system.add_engine('engine-a')

    async def steps(entry: Entry) -> None:
        await ask(entry, 'long')
        first = await first_chunk(entry)
        pair.agent.send(signal.SIGTERM)
        await entry.heartbeat(lambda beat: beat.leaving)
        await ask(entry, 'late')
        refused, _ = await entry.finished('late')
        assert refused.outcome == NotRun(NotRunReason.LEAVING, 0)
        done, chunks = await entry.finished('long')
        tokens = first.tokens + sum(chunk.tokens for chunk in chunks)
        assert (done.outcome, tokens) == (Answered(), TOKENS)

    drive(pair, steps)
    assert pair.agent.wait() == 0


def test_a_killed_agent_leaves_nothing_on_its_engine(system: System) -> None:
    """The next agent in its place frees what the first one ran."""
    pair = system.add_engine('engine-a')

    async def steps(entry: Entry) -> None:
        await ask(entry, 'long', 5000)
        await first_chunk(entry)
        pair.agent.kill()

    drive(pair, steps)
    system.start_agent('engine-b', 'engine', pair.upstream)
    system.wait_until(lambda: not holdings(system, pair.upstream))


def test_a_killed_engine_makes_suspects(system: System) -> None:
    """What ran has failed at once and is told to be a suspect."""
    pair = system.add_engine('engine-a')

    async def steps(entry: Entry) -> None:
        await ask(entry, 'long', 5000)
        await first_chunk(entry)
        pair.upstream.kill()
        done, _ = await entry.finished('long')
        assert done.outcome == Failed(FailedReason.UPSTREAM_DIED)
        told = await entry.next()
        assert isinstance(told, Suspects)
        assert [row.crash_ids for row in told.rows] == [('long',)]

    drive(pair, steps)


def test_what_a_stopped_agent_was_sent_does_not_run(system: System) -> None:
    """Its peer gives up in time; woken, it drops what is too old."""
    pair = system.add_engine('engine-a')

    async def steps(entry: Entry) -> None:
        await ask(entry, 'before')
        assert await entry.next() == Accepted(AttemptId('before'))
        pair.agent.send(signal.SIGSTOP)
        await ask(entry, 'meanwhile')
        with pytest.raises(StopAsyncIteration):
            while True:
                await entry.next()
        pair.agent.send(signal.SIGCONT)
        again = await connect(pair.agent)
        again.boot = entry.boot
        settled = await again.settle('meanwhile')
        assert isinstance(settled.outcome, NotRun)

    drive(pair, steps)
    assert 'meanwhile' not in list_runs(system, pair.upstream)
    system.wait_until(lambda: not holdings(system, pair.upstream))
