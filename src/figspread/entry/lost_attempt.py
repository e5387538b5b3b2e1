"""Resolves attempts whose connection was lost, by asking their agent."""

import threading
from typing import Final, Protocol

import msgspec

from figspread.clock import Deadline
from figspread.entry.pending import AgentQuery, AgentReply
from figspread.ids import AttemptId, UpstreamId
from figspread.inner.messages import Settle, Settled
from figspread.outcome import (
    Answered,
    Failed,
    FailedReason,
    Outcome,
    Unknown,
    UnknownReason,
)

# Bounds the wait for one reply of the agent.
QUERY_TIMEOUT_S: Final = 0.5
# Delay between two queries about the same attempt.
QUERY_INTERVAL_S: Final = 0.1

_ANSWER_LOST: Final = Failed(
    FailedReason.ANSWER_NOT_KEPT,
    'it ran to its end; the answer was lost on its way',
)
_NO_REPLY: Final = Unknown(
    UnknownReason.CONNECTION_LOST,
    'the agent could not be asked in time',
)


class AgentQueries(Protocol):
    """Sends queries to agents; `Links` implements it."""

    def query_agent(
        self,
        upstream: UpstreamId,
        query: AgentQuery,
        timeout_s: float,
    ) -> AgentReply | None:
        """Return the agent's reply, or `None` after `timeout_s`."""


class LostAttempt(msgspec.Struct, frozen=True):
    """An attempt whose connection was lost after it was sent.

    `boot` identifies the agent process that it was sent to.
    """

    upstream: UpstreamId
    attempt: AttemptId
    boot: str


def resolve_lost_attempt(
    links: AgentQueries,
    lost: LostAttempt,
    deadline: Deadline,
) -> Outcome:
    """Return the outcome of `lost`, or `Unknown` if it isn't known in time.

    Queries the agent until `deadline`, also while the attempt runs. An agent
    that has never seen the attempt refuses it from then on, so a `NotRun`
    stays true. Call it only for requests that must not be repeated; others
    are retried without the wait.
    """
    pause = threading.Event()
    query = Settle(lost.attempt, lost.boot)
    while not deadline.is_past():
        timeout_s = min(QUERY_TIMEOUT_S, deadline.left_s())
        match links.query_agent(lost.upstream, query, timeout_s):
            case Settled(outcome=Answered()):
                return _ANSWER_LOST
            case Settled(outcome=outcome) if outcome is not None:
                return outcome
        pause.wait(min(QUERY_INTERVAL_S, deadline.left_s()))
    return _NO_REPLY
