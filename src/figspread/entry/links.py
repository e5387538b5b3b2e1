"""All of an entry's connections to agents, for use by any thread."""

import asyncio
import queue
import threading
from collections.abc import Iterable
from concurrent.futures import Future
from typing import Final

import msgspec

from figspread.background import FailureReport, print_failure, run_again
from figspread.config.fleet import Fleet
from figspread.entry.agent_selection import list_agent_addresses
from figspread.entry.exchange import ConnectionLost, Exchange
from figspread.entry.link import Link, LinkContext
from figspread.entry.loop import LoopThread
from figspread.entry.pending import AgentQuery, AgentReply, ReplyQueue
from figspread.ids import AttemptId, DataCentreId, UpstreamId
from figspread.inner.base import Message
from figspread.inner.messages import (
    Cancel,
    Credit,
    Heartbeat,
    Submit,
)

# How often a withdrawn link is checked for attempts that still run.
IDLE_CHECK_INTERVAL_S: Final = 0.1


class _RunningLink(msgspec.Struct):
    link: Link
    task: Future[None]


async def _close_when_idle(running: _RunningLink) -> None:
    """Close a withdrawn link once all of its attempts have ended."""
    running.link.is_withdrawn = True
    while running.link.pending.list_attempts():
        await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
    running.task.cancel()


class Links:
    """Keeps one link to the agent of each upstream that the entry needs.

    Callers' threads use it; the links themselves run on the event loop.
    """

    def __init__(
        self,
        loop: LoopThread,
        context: LinkContext,
        *,
        home: DataCentreId,
        report_failure: FailureReport = print_failure,
    ) -> None:
        """Start without links; `apply_fleet` opens them.

        `home` is the entry's data centre, which decides what links it needs. A
        link that ends by an exception runs again, and `report_failure` is told.
        """
        self._report_failure = report_failure
        self._home = home
        self._loop = loop
        self._context = context
        self._lock = threading.Lock()
        self._running_links: dict[UpstreamId, _RunningLink] = {}
        self._withdrawn_links: list[_RunningLink] = []

    def apply_fleet(self, fleet: Fleet) -> None:
        """Apply a configuration: open links to new upstreams, close old ones.

        An old link is closed when its attempts have ended. A new one is opened
        if the agent's address has changed. Agents with an older configuration
        are told the new number.
        """
        addresses = list_agent_addresses(fleet, self._home)
        with self._lock:
            for upstream, running in tuple(self._running_links.items()):
                if addresses.get(upstream) != running.link.address:
                    self._withdraw(self._running_links.pop(upstream))
            for upstream, address in addresses.items():
                if upstream not in self._running_links:
                    self._running_links[upstream] = self._open_link(
                        upstream, address
                    )
        self._announce_config_number(fleet.number)

    def find_link(self, upstream: UpstreamId) -> Link | None:
        """Return the link to `upstream`, or `None` if there is none."""
        running = self._running_links.get(upstream)
        return running.link if running else None

    def list_links(self) -> Iterable[Link]:
        """Return a snapshot of all links."""
        with self._lock:
            return [running.link for running in self._running_links.values()]

    def submit(self, upstream: UpstreamId, submit: Submit) -> Exchange:
        """Send an attempt and return the exchange that receives its events."""
        exchange = Exchange(submit.attempt)
        link = self.find_link(upstream)
        if link is None:
            exchange.put_event(
                ConnectionLost(was_sent=False, detail='no such upstream')
            )
        else:
            self._loop.call_soon(link.submit, submit, exchange)
        return exchange

    def grant_credit(
        self,
        upstream: UpstreamId,
        attempt: AttemptId,
        size: int,
    ) -> None:
        """Allow the agent to send `size` more bytes of the attempt."""
        self.send_message(upstream, Credit(attempt, size))

    def cancel(self, upstream: UpstreamId, attempt: AttemptId) -> None:
        """Cancel an attempt; does nothing if it has ended."""
        for link in self._find_links(upstream):
            self._loop.call_soon(link.cancel, attempt)

    def cancel_all_attempts(self) -> None:
        """Cancel all attempts; their exchanges still receive their ends."""
        with self._lock:
            links = [
                running.link
                for running in (
                    *self._running_links.values(),
                    *self._withdrawn_links,
                )
            ]
        for link in links:
            self._loop.call_soon(_cancel_all_attempts, link)

    def broadcast(self, message: Message) -> None:
        """Send `message` over every open link."""
        for link in self.list_links():
            self._loop.call_soon(link.send_nowait, message)

    def _announce_config_number(self, number: int) -> None:
        """Send the configuration number to agents with an older one."""
        for link in self.list_links():
            if link.config_number < number:
                self._loop.call_soon(link.send_nowait, Heartbeat(number))

    def close(self) -> None:
        """Close all links."""
        with self._lock:
            for running in (
                *self._running_links.values(),
                *self._withdrawn_links,
            ):
                running.task.cancel()
            self._running_links.clear()
            self._withdrawn_links.clear()

    def query_agent(
        self,
        upstream: UpstreamId,
        query: AgentQuery,
        timeout_s: float,
    ) -> AgentReply | None:
        """Send a query and return the reply, or `None` after `timeout_s`."""
        link = self.find_link(upstream)
        if link is None:
            return None
        replies: ReplyQueue = queue.SimpleQueue()
        self._loop.call_soon(link.send_query, query, replies)
        try:
            return replies.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def send_message(self, upstream: UpstreamId, message: Message) -> None:
        """Send `message` to one agent; drop it if it isn't connected."""
        for link in self._find_links(upstream):
            self._loop.call_soon(link.send_nowait, message)

    def _find_links(self, upstream: UpstreamId) -> list[Link]:
        """Return the upstream's link, and those that were withdrawn."""
        link = self.find_link(upstream)
        found = [] if link is None else [link]
        found.extend(
            withdrawn.link
            for withdrawn in tuple(self._withdrawn_links)
            if withdrawn.link.upstream == upstream
        )
        return found

    def _withdraw(self, running: _RunningLink) -> None:
        self._withdrawn_links = [
            withdrawn
            for withdrawn in self._withdrawn_links
            if not withdrawn.task.done()
        ]
        self._withdrawn_links.append(running)
        self._loop.spawn(_close_when_idle(running))

    def _open_link(self, upstream: UpstreamId, address: str) -> _RunningLink:
        link = Link(upstream, address, self._context)
        endless = run_again(link.run, self._report_failure, self._context.clock)
        return _RunningLink(link, self._loop.spawn(endless))


def _cancel_all_attempts(link: Link) -> None:
    """Cancel all attempts of `link`; their ends are still delivered.

    The last ones first, as the end of one that runs would start others that
    wait.
    """
    for attempt in reversed(link.pending.list_attempts()):
        link.send_nowait(Cancel(attempt))
