"""Measures idle inner connections at an entry and at an agent."""

import os
import random
import tempfile
import threading
import time
from collections.abc import Coroutine, Iterator, Sequence
from pathlib import Path
from typing import Any, Final

import msgspec

from bench.capacity.fleets import make_fleet
from bench.capacity.slopes import (
    US_PER_S,
    CostSeries,
    read_cpu_s,
    read_memory_bytes,
)
from bench.capacity.system import DefaultSettingsSystem
from bench.processes import SECRET, Process
from figspread.clock import MonotonicClock
from figspread.config.holder import FleetHolder
from figspread.entry.link import LinkContext, LinkState, OpenResult
from figspread.entry.links import Links
from figspread.entry.loop import LoopThread
from figspread.ids import DataCentreId, PeerId
from figspread.inner.connection import Connection, Timeouts
from figspread.inner.handshake import Opener, open_connection
from figspread.inner.heartbeat import keep_alive
from figspread.inner.messages import Heartbeat

LINK_COUNTS: Final = (100, 200, 400)
HEARTBEAT_S: Final = 1.0
MEASUREMENT_S: Final = 5
OPEN_TIMEOUT_S: Final = 20
TARGET_ENTRY_LINKS: Final = 476
TARGET_AGENT_LINKS: Final = 72
# No configuration contains this data centre, so an entry whose home it is
# opens a link to every agent.
HOME: Final = DataCentreId('dc-of-none')
# Never set, so that its `wait` sleeps for the whole timeout.
_PAUSE: Final = threading.Event()


class _Sample(msgspec.Struct, frozen=True):
    links: int
    entry_bytes: float
    agent_bytes: float
    entry_us: float
    agent_us: float
    both_bytes: float


def make_link_context(holder: FleetHolder) -> LinkContext:
    """Return a link context with the default heartbeat and silence limit."""
    clock = MonotonicClock()

    async def open_link(address: str) -> OpenResult:
        return await open_connection(
            'ws://{0}'.format(address),
            Opener(PeerId('entry-1'), HOME, holder.fleet.number),
            secret=SECRET.encode(),
            timeouts=Timeouts(heartbeat_s=HEARTBEAT_S, silence_s=4),
            clock=clock,
        )

    def run_heartbeats(conn: Connection) -> Coroutine[Any, Any, None]:
        return keep_alive(conn, lambda: Heartbeat(holder.fleet.number))

    return LinkContext(
        clock=clock,
        rng=random.Random(1),
        holder=holder,
        connect=open_link,
        send_heartbeats=run_heartbeats,
        on_suspects=lambda _suspects: None,
    )


def measure_links() -> Iterator[CostSeries]:
    """Measure `LINK_COUNTS` connections between one entry and one agent."""
    with tempfile.TemporaryDirectory() as folder:
        with DefaultSettingsSystem(Path(folder)) as system:
            agent = system.add_engine('engine-a').agent
            samples = _take_samples(agent)
    sizes = [sample.links for sample in samples]
    for name, unit, field, target in _SERIES:
        costs = [getattr(sample, field) for sample in samples]
        yield CostSeries(name, unit, sizes, costs, target)


_SERIES: Final = (
    ('connections, memory of an entry', 'B', 'entry_bytes', TARGET_ENTRY_LINKS),
    ('connections, memory of an agent', 'B', 'agent_bytes', TARGET_AGENT_LINKS),
    ('heartbeats, time of an entry', 'us/s', 'entry_us', TARGET_ENTRY_LINKS),
    ('heartbeats, time of an agent', 'us/s', 'agent_us', TARGET_AGENT_LINKS),
    ('heartbeats, bytes of an entry', 'B/s', 'both_bytes', TARGET_ENTRY_LINKS),
    ('heartbeats, bytes of an agent', 'B/s', 'both_bytes', TARGET_AGENT_LINKS),
)


def _take_samples(agent: Process) -> Sequence[_Sample]:
    """Take a sample at each size; links stay open between the samples."""
    holder = FleetHolder()
    loop = LoopThread()
    links = Links(loop, make_link_context(holder), home=HOME)
    address = '127.0.0.1:{0}'.format(agent.port)
    loop.start()
    samples = []
    try:
        for size in LINK_COUNTS:
            links.apply_fleet(make_fleet(size, 1, agent=address))
            _wait_for_open_links(links, size)
            samples.append(_measure_idle_links(links, size, agent))
    finally:
        links.close()
        loop.stop()
    return samples


def _wait_for_open_links(links: Links, size: int) -> None:
    deadline = time.monotonic() + OPEN_TIMEOUT_S
    while _count_open_links(links) < size:
        assert time.monotonic() < deadline, 'the links did not open in time'
        _PAUSE.wait(0.05)


def _count_open_links(links: Links) -> int:
    return sum(1 for link in links.list_links() if link.state is LinkState.OPEN)


def _measure_idle_links(links: Links, size: int, agent: Process) -> _Sample:
    _PAUSE.wait(HEARTBEAT_S)
    conns = [link._conn for link in links.list_links() if link._conn]
    entry_us, agent_us = _read_cpu_us(agent)
    sent = sum(conn.control_bytes for conn in conns)
    received = _ReceivedBytes(conns)
    started = time.monotonic()
    _PAUSE.wait(MEASUREMENT_S)
    elapsed_s = time.monotonic() - started
    entry_later_us, agent_later_us = _read_cpu_us(agent)
    sent_later = sum(conn.control_bytes for conn in conns)
    return _Sample(
        size,
        read_memory_bytes(os.getpid()),
        read_memory_bytes(agent.pid),
        (entry_later_us - entry_us) / elapsed_s,
        (agent_later_us - agent_us) / elapsed_s,
        (sent_later - sent + received.read_total()) / elapsed_s,
    )


class _ReceivedBytes:
    """Counts the bytes of the frames that connections receive."""

    def __init__(self, conns: Sequence[Connection]) -> None:
        """Start to count the frames of `conns`."""
        self._total = 0
        for conn in conns:
            self._count_frames(conn._ws)

    def read_total(self) -> int:
        """Return the bytes received since the start."""
        return self._total

    def _count_frames(self, ws: Any) -> None:
        receive = ws.recv

        async def receive_counted(**options: Any) -> bytes:
            frame: bytes = await receive(**options)
            self._total += len(frame)
            return frame

        ws.recv = receive_counted


def _read_cpu_us(agent: Process) -> tuple[float, float]:
    return time.process_time() * US_PER_S, read_cpu_s(agent.pid) * US_PER_S
