"""Resolving an attempt whose connection was lost, by asking its agent."""

from collections.abc import Sequence

import pytest

from figspread.clock import Deadline, ManualClock
from figspread.entry.lost_attempt import LostAttempt, resolve_lost_attempt
from figspread.entry.pending import AgentQuery, AgentReply
from figspread.ids import AttemptId, UpstreamId
from figspread.inner.messages import Settle, Settled
from figspread.outcome import (
    Answered,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)

LOST = LostAttempt(UpstreamId('desk'), AttemptId('att-1'), 'boot-1')
NOT_RUN = NotRun(NotRunReason.CANCELLED)
TIME_LIMIT_S = 2


class FakeAgent:
    """Returns its replies in order, each after the full timeout."""

    def __init__(
        self,
        replies: Sequence[AgentReply | None],
        clock: ManualClock,
    ) -> None:
        """Script the replies; `clock` advances by each timeout."""
        self._replies = list(replies)
        self._clock = clock
        self.queries: list[AgentQuery] = []

    def query_agent(
        self,
        _upstream: UpstreamId,
        query: AgentQuery,
        timeout_s: float,
    ) -> AgentReply | None:
        """Return the next reply, or `None` after the last."""
        self.queries.append(query)
        self._clock.advance(timeout_s)
        return self._replies.pop(0) if self._replies else None


def make_reply(outcome: Outcome | None) -> Settled:
    """Return the agent's reply about the lost attempt."""
    return Settled(LOST.attempt, outcome)


@pytest.mark.parametrize(
    ('replies', 'expected'),
    [
        ([make_reply(NOT_RUN)], NOT_RUN),
        ([None, make_reply(None), make_reply(NOT_RUN)], NOT_RUN),
        (
            [make_reply(Unknown(UnknownReason.DEADLINE))],
            Unknown(UnknownReason.DEADLINE),
        ),
        (
            [make_reply(None), make_reply(Answered())],
            Failed(
                FailedReason.ANSWER_NOT_KEPT,
                'it ran to its end; the answer was lost on its way',
            ),
        ),
        (
            [],
            Unknown(
                UnknownReason.CONNECTION_LOST,
                'the agent could not be asked in time',
            ),
        ),
    ],
)
def test_agent_reply_decides_lost_attempt(
    replies: list[AgentReply | None],
    expected: Outcome,
) -> None:
    """The agent is queried until it knows the outcome or time runs out.

    It is queried again if it doesn't reply or the attempt still runs.
    """
    clock = ManualClock()
    agent = FakeAgent(replies, clock)
    assert (
        resolve_lost_attempt(agent, LOST, Deadline(clock, TIME_LIMIT_S))
        == expected
    )
    assert set(agent.queries) == {Settle(LOST.attempt, LOST.boot)}
    assert clock.now() <= TIME_LIMIT_S
