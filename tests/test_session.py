"""Tests of sessions whose event loop was blocked or whose peer is slow."""

import asyncio
from collections.abc import AsyncIterator
from typing import cast

import pytest
from bench.agent_fakes import make_submit, run_async

from figspread.agent.intake import Intake
from figspread.agent.loop_heartbeat import (
    LOOP_HEARTBEAT_INTERVAL_S,
    LoopHeartbeat,
)
from figspread.agent.peer_sync import PeerSync
from figspread.agent.relay import Outbox
from figspread.agent.session import MAX_UNSENT_MESSAGES, Session, SessionContext
from figspread.agent.spans import SpanReservations
from figspread.clock import ManualClock
from figspread.config.holder import FleetHolder
from figspread.inner.base import Message
from figspread.inner.connection import Connection, Timeouts
from figspread.inner.messages import Heartbeat, Submit
from figspread.policy.queue import QueueLimits, TokenQueue
from figspread.policy.suspects import SuspectRegistry


class FakeConnection:
    """A connection that delivers messages and never finishes a send."""

    def __init__(self, *messages: Message) -> None:
        """Deliver `messages`, then end."""
        self.timeouts = Timeouts(silence_s=3)
        self.is_aborted = False
        self._messages = messages

    async def messages(self) -> AsyncIterator[Message]:
        """Yield the messages."""
        for message in self._messages:
            yield message

    async def send(self, message: Message) -> bool:
        """Block for ever, as if the peer didn't read."""
        await asyncio.Event().wait()
        return False

    def abort(self) -> None:
        """Record the call."""
        self.is_aborted = True


class FakeIntake:
    """An intake that records its calls."""

    def __init__(self) -> None:
        """Start without calls."""
        self.submits: list[Submit] = []
        self.lost: list[Outbox] = []

    def submit(self, submit: Submit, outbox: Outbox) -> None:
        """Record the submission."""
        self.submits.append(submit)

    def handle_disconnect(self, outbox: Outbox) -> None:
        """Record the lost connection."""
        self.lost.append(outbox)


def make_session(
    conn: FakeConnection,
    intake: FakeIntake,
    clock: ManualClock,
) -> Session:
    """Return a session on `conn` whose event-loop lag follows `clock`."""
    context = SessionContext(
        cast(Intake, intake),
        PeerSync(
            FleetHolder(),
            SuspectRegistry(clock),
            clock,
            broadcast=lambda message, source: None,
        ),
        SpanReservations(TokenQueue(QueueLimits(1000), clock), clock),
        LoopHeartbeat(clock),
        lambda: None,
    )
    return Session(cast(Connection, conn), context)


CASES = [(0, [1000]), (0.4, [600]), (2.9, [-1900]), (3.1, [])]


@pytest.mark.parametrize(('late_s', 'left_ms'), CASES)
def test_loop_lag_is_deducted_from_time_left(
    late_s: float,
    left_ms: list[int],
) -> None:
    """A blocked event loop shortens the time left of waiting requests.

    If it was blocked for longer than the silence limit, the peer has given
    the connection up and the requests are dropped.
    """
    conn = FakeConnection(make_submit('a', time_left_ms=1000))
    intake = FakeIntake()

    async def check() -> None:
        clock = ManualClock()
        session = make_session(conn, intake, clock)
        clock.advance(LOOP_HEARTBEAT_INTERVAL_S + late_s)
        await session.run()
        assert intake.lost == [session]

    run_async(check)
    times = [submit.time_left_ms for submit in intake.submits]
    assert times == pytest.approx(left_ms, abs=1)
    assert conn.is_aborted is (not left_ms)


def test_peer_that_does_not_read_is_disconnected() -> None:
    """A connection with too many unsent messages is aborted."""
    conn = FakeConnection()

    async def check() -> None:
        session = make_session(conn, FakeIntake(), ManualClock())
        for number in range(MAX_UNSENT_MESSAGES):
            session.send_nowait(Heartbeat(number))
        assert not conn.is_aborted
        session.send_nowait(Heartbeat(0))
        assert conn.is_aborted

    run_async(check)
