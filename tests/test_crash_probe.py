"""Tests of the check whether an upstream whose connection broke has crashed."""

import asyncio

import msgspec
import pytest

from figspread.clock import ManualClock
from figspread.direct.model import Upstream, UpstreamState
from figspread.direct.state.crash_probe import CrashProbe
from figspread.direct.state.crashes import CrashTracker
from figspread.direct.state.part_quarantine import PartQuarantine
from figspread.direct.state.registry import UpstreamRegistry
from figspread.ids import (
    AttemptId,
    DataCentreId,
    Fingerprint,
    PromptPartId,
    ServiceName,
    UpstreamId,
)
from figspread.policy.suspects import SuspectRegistry
from figspread.telemetry.logs import Level, Log
from figspread.telemetry.metrics import Metrics
from tests.giftwrap_fleet import MemoryLog, silent_listener, wait_until
from tests.raw_server import RawServer

ENGINE = UpstreamId('e-1')
PART = PromptPartId('5c1e07a2')
REQUEST = Fingerprint('f')
# Callers of plain services wait 0.32 s; the rest is for a busy machine.
LONGEST_WAIT_S = 0.6


class ProbeRig:
    """A probe whose tracker knows of one broken attempt at `ENGINE`."""

    def __init__(self, address: str) -> None:
        """Probe the engine at `address`."""
        clock = ManualClock()
        log = Log(Level.DEBUG, {}, logger=MemoryLog())
        self.suspects = SuspectRegistry(clock)
        self.quarantine = PartQuarantine(clock, log)
        tracker = CrashTracker(
            clock, self.suspects, self.quarantine, log, Metrics('test')
        )
        self.registry = UpstreamRegistry(clock, tracker.record_crash)
        self.probe = CrashProbe(tracker, self.registry)
        self.engine = Upstream(
            ENGINE,
            ServiceName('pool'),
            address,
            DataCentreId('a'),
            8,
            UpstreamState.READY,
            7,
        )
        self.registry.put(self.engine, 1)
        tracker.record_broken_attempt(
            ENGINE, 7, REQUEST, AttemptId('r/1'), (PART,)
        )

    async def check(self) -> bool:
        """Probe the engine both ways; return whether it is alive."""
        self.probe.start(self.engine)
        return await self.probe.confirm_alive(self.engine)


def test_refused_connection_makes_interrupted_requests_suspects() -> None:
    """Recognize a crash at once, with the parts of the prompts it broke off."""

    async def run() -> None:
        async with RawServer() as server:
            rig = ProbeRig(server.address)
        assert not await rig.check()
        await wait_until(lambda: rig.suspects.crashes(REQUEST))
        assert rig.quarantine.evidence.list_crashed_parts() == [PART]

    asyncio.run(run())


def test_accepted_connection_shows_that_there_was_no_crash() -> None:
    """Blame no request if only its connection broke."""

    async def run() -> None:
        async with RawServer() as server:
            rig = ProbeRig(server.address)
            assert await rig.check()
            assert not rig.suspects.crashes(REQUEST)

    asyncio.run(run())


def test_unanswered_connection_shows_nothing() -> None:
    """Take neither a crash nor life from an engine that may be cut off."""

    async def run() -> None:
        with silent_listener() as address:
            rig = ProbeRig(address)
            began_s = asyncio.get_running_loop().time()
            assert not await rig.check()
            waited_s = asyncio.get_running_loop().time() - began_s
            assert waited_s < LONGEST_WAIT_S
            await asyncio.sleep(1.2)
            assert not rig.suspects.crashes(REQUEST)

    asyncio.run(run())


async def _close_at_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.close()


def test_connection_that_is_closed_at_once_does_not_show_life() -> None:
    """Don't trust a relay that accepts connections for a dead engine."""

    async def run() -> None:
        async with RawServer(_close_at_once) as server:
            assert not await ProbeRig(server.address).check()

    asyncio.run(run())


@pytest.mark.parametrize('started_ms', [None, 8])
def test_other_start_of_an_engine_does_not_show_life(
    started_ms: int | None,
) -> None:
    """Don't take a restarted engine, or one that is gone, for the same one."""

    async def run() -> None:
        async with RawServer() as server:
            rig = ProbeRig(server.address)
            if started_ms is None:
                rig.registry.remove(ENGINE, 2)
            else:
                restarted = msgspec.structs.replace(
                    rig.engine, started_ms=started_ms
                )
                rig.registry.put(restarted, 2)
            assert not await rig.check()

    asyncio.run(run())
