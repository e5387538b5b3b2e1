"""Tests of real agent processes that are terminated, killed or paused."""

import asyncio
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from bench.agent_fakes import FakeEntry, run_async
from bench.processes import MODEL, SECRET, Process, System, UpstreamPair

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
    """Yield a system of processes, which are ended after the test."""
    with System(tmp_path) as started:
        yield started


async def connect(agent: Process) -> FakeEntry:
    """Open a connection with heartbeats, as an entry does."""
    opened = await open_connection(
        'ws://127.0.0.1:{0}'.format(agent.port),
        Opener(PeerId('entry-1'), DataCentreId('mu-a')),
        secret=SECRET.encode(),
        timeouts=Timeouts(heartbeat_s=HEARTBEAT_S, silence_s=SILENCE_S),
    )
    conn, welcome = opened.unwrap()
    entry = FakeEntry(conn, welcome.boot)
    entry.supervisor = asyncio.create_task(
        keep_alive(conn, lambda: Heartbeat(0))
    )
    return entry


async def submit_completion(
    entry: FakeEntry, name: str, tokens: int = TOKENS
) -> None:
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


async def wait_for_chunk(entry: FakeEntry) -> Chunk:
    """Wait for the first chunk of an answer."""
    while True:
        message = await entry.next()
        if isinstance(message, Chunk):
            return message


def list_holdings(system: System, engine: Process) -> list[Any]:
    """Return the engine's list of holdings."""
    url = 'http://127.0.0.1:{0}/engine/holdings'.format(engine.port)
    listed: list[Any] = system.http.request('GET', url).json()
    return listed


def list_runs(system: System, engine: Process) -> str:
    """Return the engine's record of runs as text."""
    url = 'http://127.0.0.1:{0}/standin/runs'.format(engine.port)
    return system.http.request('GET', url).data.decode()


def run_with_agent(pair: UpstreamPair, steps: Any) -> None:
    """Run `steps` with a connection to the pair's agent, within `LIMIT_S`."""

    async def check() -> None:
        async with asyncio.timeout(LIMIT_S):
            await steps(await connect(pair.agent))

    run_async(check)


def test_sigterm_lets_running_attempts_finish(system: System) -> None:
    """On SIGTERM an agent refuses new attempts, finishes and exits with 0."""
    pair = system.add_engine('engine-a')

    async def steps(entry: FakeEntry) -> None:
        await submit_completion(entry, 'long')
        first = await wait_for_chunk(entry)
        pair.agent.send(signal.SIGTERM)
        await entry.wait_for_heartbeat(lambda beat: beat.leaving)
        await submit_completion(entry, 'late')
        refused, _ = await entry.wait_for_finish('late')
        assert refused.outcome == NotRun(NotRunReason.LEAVING, 0)
        done, chunks = await entry.wait_for_finish('long')
        tokens = first.tokens + sum(chunk.tokens for chunk in chunks)
        assert (done.outcome, tokens) == (Answered(), TOKENS)

    run_with_agent(pair, steps)
    assert pair.agent.wait() == 0


def test_restarted_agent_frees_attempts_of_killed_one(system: System) -> None:
    """The next agent process frees what a killed one left running."""
    pair = system.add_engine('engine-a')

    async def steps(entry: FakeEntry) -> None:
        await submit_completion(entry, 'long', 5000)
        await wait_for_chunk(entry)
        pair.agent.kill()

    run_with_agent(pair, steps)
    system.start_agent('engine-b', 'engine', pair.upstream)
    system.wait_until(lambda: not list_holdings(system, pair.upstream))


def test_killed_engine_makes_running_attempt_suspect(system: System) -> None:
    """A killed engine fails its attempt at once and makes it a suspect."""
    pair = system.add_engine('engine-a')

    async def steps(entry: FakeEntry) -> None:
        await submit_completion(entry, 'long', 5000)
        await wait_for_chunk(entry)
        pair.upstream.kill()
        done, _ = await entry.wait_for_finish('long')
        assert done.outcome == Failed(FailedReason.UPSTREAM_DIED)
        received = await entry.next()
        assert isinstance(received, Suspects)
        assert [row.crash_ids for row in received.rows] == [('long',)]

    run_with_agent(pair, steps)


def test_request_sent_to_paused_agent_is_not_run(system: System) -> None:
    """An agent paused by SIGSTOP drops requests received meanwhile.

    Its peer has closed the connection by then. The agent says `NotRun` when
    asked over a new connection, so the engine must not run them.
    """
    pair = system.add_engine('engine-a')

    async def steps(entry: FakeEntry) -> None:
        await submit_completion(entry, 'before')
        assert await entry.next() == Accepted(AttemptId('before'))
        pair.agent.send(signal.SIGSTOP)
        await submit_completion(entry, 'meanwhile')
        with pytest.raises(StopAsyncIteration):
            while True:
                await entry.next()
        pair.agent.send(signal.SIGCONT)
        again = await connect(pair.agent)
        again.boot = entry.boot
        settled = await again.settle('meanwhile')
        assert isinstance(settled.outcome, NotRun)

    run_with_agent(pair, steps)
    assert 'meanwhile' not in list_runs(system, pair.upstream)
    system.wait_until(lambda: not list_holdings(system, pair.upstream))
