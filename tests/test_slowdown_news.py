"""Slow engines in a fleet of real entries that tell each other of them."""

import asyncio
from pathlib import Path

import pytest
from bench.giftwrap.upstream import Pace, Upstream

from figspread.direct.lifecycle.app import DirectEntry
from figspread.direct.peers import peers
from figspread.direct.peers.peer_versions import PARTS_MINOR_VERSION
from tests.giftwrap_fleet import Fleet, run_scenario, wait_until

PUBLISHED = Pace(prefill_s=0.02, event_s=0.045)
SLOW = Pace(prefill_s=0.08, event_s=0.18)
SHORT = '5000,46'
LONG = '5000,4600'


def _known_factor(entry: DirectEntry) -> float:
    rows = entry._parts.slowdowns.list_rows()  # noqa: SLF001
    return max((row.factor for row in rows), default=1)


async def _slow_down_one(fleet: Fleet) -> tuple[Upstream, asyncio.Task[object]]:
    """Let one of two engines slow down under a stream of the first entry.

    Return when the first entry has noticed it; the stream goes on.
    """
    engines = [fleet.upstreams['e-1'], fleet.upstreams['e-2']]
    for engine in engines:
        engine.pace = PUBLISHED
    stream = asyncio.create_task(
        fleet.callers[0].call('caption', usage=LONG, limit_ms=15_000)
    )
    await wait_until(lambda: any(engine.running_ids for engine in engines))
    slow = next(engine for engine in engines if engine.running_ids)
    slow.pace = SLOW
    await wait_until(lambda: fleet.logs[0].events('engine slow'))
    return slow, stream


def test_engine_that_one_entry_finds_slow_is_avoided_by_all(
    tmp_path: Path,
) -> None:
    """Entries meet an engine too rarely to find out each by itself.

    It is used again by all when one of them has seen that it has recovered.
    """

    async def scenario(fleet: Fleet) -> None:
        slow, stream = await _slow_down_one(fleet)
        async with asyncio.timeout(1):
            await wait_until(
                lambda: all(_known_factor(entry) > 3 for entry in fleet.entries)
            )
        for caller in fleet.callers[1:]:
            for _ in range(5):
                answer = await caller.call('caption', usage=SHORT)
                assert answer.signature != '{0}.sig'.format(slow.name)
        slow.pace = PUBLISHED
        await wait_until(
            lambda: all(log.events('engine recovered') for log in fleet.logs)
        )
        used: set[str] = set()
        while len(used) < 2:
            answers = await asyncio.gather(
                *(
                    caller.call('caption', usage=SHORT)
                    for caller in fleet.callers[1:]
                )
            )
            used |= {answer.signature for answer in answers}
        stream.cancel()

    run_scenario(tmp_path, scenario, entries=3)


def test_slow_engines_are_told_to_new_entries_but_not_to_older_builds(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A new entry would use slow engines until it has measured them.

    An entry of the last build closes a connection on which a message arrives
    that it can't read.
    """

    async def scenario(fleet: Fleet) -> None:
        seeds = fleet.entries[0].peer_address
        monkeypatch.setattr(peers, 'MINOR_VERSION', PARTS_MINOR_VERSION)
        await fleet.add_entry(seeds=seeds)
        await wait_until(
            lambda: all(entry.count_entries() == 2 for entry in fleet.entries)
        )
        _, stream = await _slow_down_one(fleet)
        monkeypatch.undo()
        await fleet.add_entry(seeds=seeds)
        await wait_until(lambda: fleet.logs[2].events('engine slow'))
        assert not fleet.logs[1].events('engine slow')
        stream.cancel()

    run_scenario(tmp_path, scenario)
