"""Tests of the check whether an upstream whose connection broke has crashed."""

import asyncio

from figspread.clock import ManualClock
from figspread.direct.model import Upstream, UpstreamState
from figspread.direct.state.crash_probe import CrashProbe
from figspread.direct.state.crashes import CrashTracker
from figspread.direct.state.part_quarantine import PartQuarantine
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

ENGINE = UpstreamId('e-1')
PART = PromptPartId('5c1e07a2')
REQUEST = Fingerprint('f')


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
        tracker.record_broken_attempt(
            ENGINE, 7, REQUEST, AttemptId('r/1'), (PART,)
        )
        self.probe = CrashProbe(tracker)
        self.engine = Upstream(
            ENGINE,
            ServiceName('pool'),
            address,
            DataCentreId('a'),
            8,
            UpstreamState.READY,
            7,
        )
        self.alive: list[str] = []

    def check(self) -> None:
        """Probe the engine, and note whether it is alive."""
        self.probe.start(self.engine)
        self.probe.check_alive(self.engine, lambda: self.alive.append('alive'))


def test_refused_connection_makes_interrupted_requests_suspects() -> None:
    """Recognize a crash at once, with the parts of the prompts it broke off."""

    async def run() -> None:
        server = await asyncio.start_server(print, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        rig = ProbeRig('{0}:{1}'.format(host, port))
        rig.check()
        await wait_until(lambda: rig.suspects.crashes(REQUEST))
        assert rig.quarantine.evidence.list_crashed_parts() == [PART]
        assert not rig.alive

    asyncio.run(run())


def test_accepted_connection_shows_that_there_was_no_crash() -> None:
    """Blame no request if only its connection broke."""

    async def run() -> None:
        server = await asyncio.start_server(print, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        rig = ProbeRig('{0}:{1}'.format(host, port))
        rig.check()
        await wait_until(lambda: rig.alive)
        assert not rig.suspects.crashes(REQUEST)
        server.close()

    asyncio.run(run())


def test_unanswered_connection_shows_nothing() -> None:
    """Take neither a crash nor life from an engine that may be cut off."""

    async def run() -> None:
        with silent_listener() as address:
            rig = ProbeRig(address)
            rig.check()
            await asyncio.sleep(1.2)
            assert not rig.suspects.crashes(REQUEST)
            assert not rig.alive

    asyncio.run(run())
