"""Tests of the probe with an engine that dies while it is checked."""

from bench.agent_fakes import (
    FakeEngine,
    run_async,
    running_agent,
    wait_for_call,
)
from result import Err, Result

from figspread.inner.messages import Suspects
from figspread.outcome import Failed, FailedReason
from figspread.upstream.types import (
    EngineReport,
    UpstreamFault,
    UpstreamFaultKind,
)


class DyingEngine(FakeEngine):
    """Accepts and drops one connection after its answers broke off."""

    def __init__(self) -> None:
        """Start healthy."""
        super().__init__()
        self.connections_to_drop = 1

    def report(self) -> Result[EngineReport, UpstreamFault]:
        """Drop one connection before refusing all others."""
        if self.has_crashed and self.connections_to_drop:
            self.connections_to_drop -= 1
            return Err(UpstreamFault(UpstreamFaultKind.BROKEN))
        return super().report()


def test_attempt_on_dying_engine_becomes_suspect() -> None:
    """An engine's death is found though the first check is inconclusive.

    A dying engine may accept a connection and drop it, which doesn't show
    whether it is dead; its attempt must still become a suspect.
    """
    engine = DyingEngine()

    async def check() -> None:
        async with running_agent(engine) as agent:
            entry = await agent.connect()
            await entry.submit('a')
            await wait_for_call(engine)
            engine.crash()
            done, _ = await entry.wait_for_finish('a')
            assert done.outcome == Failed(FailedReason.UPSTREAM_DIED)
            received = await entry.next()
            assert isinstance(received, Suspects)
            assert [row.crash_ids for row in received.rows] == [('a',)]

    run_async(check)
