"""All of an entry's connections to agents, for the threads of callers."""

import queue
import threading
from collections.abc import Iterable
from concurrent.futures import Future

import msgspec

from figspread.config.fleet import Fleet
from figspread.entry.exchange import ConnectionLost, Exchange
from figspread.entry.link import Link, LinkNeeds
from figspread.entry.loop import LoopThread
from figspread.entry.pending import AgentQuery, AgentReply, ReplyQueue
from figspread.entry.reach import list_agents
from figspread.ids import AttemptId, DataCentreId, UpstreamId
from figspread.inner.base import Message
from figspread.inner.messages import (
    Credit,
    Heartbeat,
    Submit,
)


class _Running(msgspec.Struct):
    link: Link
    task: Future[None]


class Links:
    """Keeps one link for each upstream that the entry needs."""

    def __init__(
        self,
        loop: LoopThread,
        needs: LinkNeeds,
        *,
        home: DataCentreId,
    ) -> None:
        """Start without links; `follow` makes those of an entry in `home`."""
        self._home = home
        self._loop = loop
        self._needs = needs
        self._lock = threading.Lock()
        self._running: dict[UpstreamId, _Running] = {}

    def follow(self, fleet: Fleet) -> None:
        """Open links to new upstreams and close those that are gone."""
        wanted = list_agents(fleet, self._home)
        with self._lock:
            for upstream, running in tuple(self._running.items()):
                if wanted.get(upstream) != running.link.address:
                    running.task.cancel()
                    self._running.pop(upstream)
            for upstream, address in wanted.items():
                if upstream not in self._running:
                    self._running[upstream] = self._open(upstream, address)
        self._tell_older(fleet.number)

    def get(self, upstream: UpstreamId) -> Link | None:
        """Return the link to `upstream`, if there is one."""
        running = self._running.get(upstream)
        return running.link if running else None

    def list_links(self) -> Iterable[Link]:
        """Return all links as they are now."""
        with self._lock:
            return [running.link for running in self._running.values()]

    def submit(self, upstream: UpstreamId, submit: Submit) -> Exchange:
        """Send an attempt and return where its events come in."""
        exchange = Exchange(submit.attempt)
        link = self.get(upstream)
        if link is None:
            exchange.put_event(
                ConnectionLost(was_sent=False, detail='no such upstream')
            )
        else:
            self._loop.post(link.submit, submit, exchange)
        return exchange

    def grant_credit(
        self,
        upstream: UpstreamId,
        attempt: AttemptId,
        size: int,
    ) -> None:
        """Let the agent send `size` more bytes of the attempt."""
        self.post(upstream, Credit(attempt, size))

    def cancel(self, upstream: UpstreamId, attempt: AttemptId) -> None:
        """Give an attempt up."""
        link = self.get(upstream)
        if link is not None:
            self._loop.post(link.cancel, attempt)

    def tell_all(self, message: Message) -> None:
        """Send `message` over every open link."""
        for link in self.list_links():
            self._loop.post(link.post, message)

    def _tell_older(self, number: int) -> None:
        """Tell the agents that are not known to have `number` already."""
        for link in self.list_links():
            if link.agent_number < number:
                self._loop.post(link.post, Heartbeat(number))

    def close(self) -> None:
        """Close all links."""
        with self._lock:
            for running in self._running.values():
                running.task.cancel()
            self._running.clear()

    def query_agent(
        self,
        upstream: UpstreamId,
        query: AgentQuery,
        timeout_s: float,
    ) -> AgentReply | None:
        """Return the agent's reply, or `None` if none came in time."""
        link = self.get(upstream)
        if link is None:
            return None
        replies: ReplyQueue = queue.SimpleQueue()
        self._loop.post(link.ask, query, replies)
        try:
            return replies.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def post(self, upstream: UpstreamId, message: Message) -> None:
        """Send `message` to one agent, if it is connected."""
        link = self.get(upstream)
        if link is not None:
            self._loop.post(link.post, message)

    def _open(self, upstream: UpstreamId, address: str) -> _Running:
        link = Link(upstream, address, self._needs)
        return _Running(link, self._loop.spawn(link.run()))
