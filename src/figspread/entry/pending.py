"""Tracks what an entry awaits on one connection to an agent."""

import queue
from typing import TypeAlias

from figspread.entry.exchange import AttemptEvent, ConnectionLost, Exchange
from figspread.ids import AttemptId, SpanId
from figspread.inner.messages import (
    Finished,
    Reserve,
    Reserved,
    Settle,
    Settled,
    Submit,
)

AgentQuery: TypeAlias = Reserve | Settle
AgentReply: TypeAlias = Reserved | Settled
ReplyQueue: TypeAlias = queue.SimpleQueue[AgentReply]


class PendingOperations:
    """Unfinished attempts, unsent request bodies and unanswered queries.

    Owned by one `Link` and used on the event loop only.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._exchanges: dict[AttemptId, Exchange] = {}
        self._bodies: dict[AttemptId, bytes] = {}
        self._queries: dict[SpanId | AttemptId, ReplyQueue] = {}

    def add_attempt(self, submit: Submit, exchange: Exchange) -> None:
        """Deliver the events of the attempt to `exchange` from now on."""
        self._exchanges[submit.attempt] = exchange

    def store_body(self, submit: Submit) -> None:
        """Store a request body until the agent has accepted the attempt."""
        self._bodies[submit.attempt] = submit.body

    def pop_body(self, attempt: AttemptId) -> bytes | None:
        """Remove and return the stored body, or `None` if there is none."""
        return self._bodies.pop(attempt, None)

    def has_attempt(self, attempt: AttemptId) -> bool:
        """Tell whether the attempt is unfinished."""
        return attempt in self._exchanges

    def list_attempts(self) -> list[AttemptId]:
        """Return the unfinished attempts in the order of their submission."""
        return list(self._exchanges)

    def deliver_event(self, attempt: AttemptId, event: AttemptEvent) -> None:
        """Deliver an event to the attempt; `Finished` removes the attempt."""
        exchange = self._exchanges.get(attempt)
        if exchange is not None:
            exchange.put_event(event)
        if isinstance(event, Finished):
            self.remove_attempt(attempt)

    def remove_attempt(self, attempt: AttemptId) -> bool:
        """Remove an attempt; tell whether it was unfinished."""
        self._bodies.pop(attempt, None)
        return self._exchanges.pop(attempt, None) is not None

    def add_query(self, query: AgentQuery, replies: ReplyQueue) -> None:
        """Register `query`; `deliver_reply` puts its reply into `replies`."""
        self._queries[_query_key(query)] = replies

    def deliver_reply(self, reply: AgentReply) -> None:
        """Deliver a reply to the thread that asked.

        Replies to renewals of reservations are dropped: nobody awaits them.
        """
        replies = self._queries.pop(_query_key(reply), None)
        if replies is not None:
            replies.put(reply)

    def fail_all_attempts(self, boot: str) -> None:
        """Fail all attempts because the connection to the agent was lost.

        `boot` identifies the agent process. Threads that await a reply get
        none and time out.
        """
        loss = ConnectionLost(
            was_sent=True, detail='the connection was lost', boot=boot
        )
        for exchange in self._exchanges.values():
            exchange.put_event(loss)
        self._exchanges.clear()
        self._bodies.clear()
        self._queries.clear()


def _query_key(message: AgentQuery | AgentReply) -> SpanId | AttemptId:
    match message:
        case Reserve() | Reserved():
            return message.span
        case Settle() | Settled():
            return message.attempt
