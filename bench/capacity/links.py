"""Costs of idle inner connections, at an entry and at an agent."""

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
    Row,
    read_cpu_s,
    read_memory_bytes,
)
from bench.capacity.system import SettingsSystem
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

SIZES: Final = (100, 200, 400)
HEARTBEAT_S: Final = 1.0
MEASURED_S: Final = 5
OPEN_LIMIT_S: Final = 20
ENTRY_LINKS: Final = 476
AGENT_LINKS: Final = 72
# The configuration does not know it, so all links are opened.
HOME: Final = DataCentreId('dc-of-none')
_PAUSE: Final = threading.Event()


class _Sample(msgspec.Struct, frozen=True):
    links: int
    entry_bytes: float
    agent_bytes: float
    entry_us: float
    agent_us: float
    both_bytes: float


def make_link_context(holder: FleetHolder) -> LinkContext:
    """Return what links need, at the settings' interval of heartbeats."""
    clock = MonotonicClock()

    async def open_link(address: str) -> OpenResult:
        return await open_connection(
            'ws://{0}'.format(address),
            Opener(PeerId('entry-1'), HOME, holder.fleet.number),
            secret=SECRET.encode(),
            timeouts=Timeouts(heartbeat_s=HEARTBEAT_S, silence_s=4),
            clock=clock,
        )

    def keep(conn: Connection) -> Coroutine[Any, Any, None]:
        return keep_alive(conn, lambda: Heartbeat(holder.fleet.number))

    return LinkContext(
        clock=clock,
        rng=random.Random(1),
        holder=holder,
        connect=open_link,
        send_heartbeats=keep,
        on_suspects=lambda _suspects: None,
    )


def measure_links() -> Iterator[Row]:
    """Measure connections at `SIZES` between one entry and one agent."""
    with tempfile.TemporaryDirectory() as folder:
        with SettingsSystem(Path(folder)) as system:
            agent = system.add_engine('engine-a').agent
            samples = _take_samples(agent)
    sizes = [sample.links for sample in samples]
    for name, unit, field, target in _ROWS:
        costs = [getattr(sample, field) for sample in samples]
        yield Row(name, unit, sizes, costs, target)


_ROWS: Final = (
    ('connections, memory of an entry', 'B', 'entry_bytes', ENTRY_LINKS),
    ('connections, memory of an agent', 'B', 'agent_bytes', AGENT_LINKS),
    ('heartbeats, time of an entry', 'us/s', 'entry_us', ENTRY_LINKS),
    ('heartbeats, time of an agent', 'us/s', 'agent_us', AGENT_LINKS),
    ('heartbeats, bytes of an entry', 'B/s', 'both_bytes', ENTRY_LINKS),
    ('heartbeats, bytes of an agent', 'B/s', 'both_bytes', AGENT_LINKS),
)


def _take_samples(agent: Process) -> Sequence[_Sample]:
    """Open more and more links; none is closed between the samples."""
    holder = FleetHolder()
    loop = LoopThread()
    links = Links(loop, make_link_context(holder), home=HOME)
    address = '127.0.0.1:{0}'.format(agent.port)
    loop.start()
    samples = []
    try:
        for size in SIZES:
            links.apply_fleet(make_fleet(size, 1, agent=address))
            _wait_open(links, size)
            samples.append(_watch_idle(links, size, agent))
    finally:
        links.close()
        loop.stop()
    return samples


def _wait_open(links: Links, size: int) -> None:
    deadline = time.monotonic() + OPEN_LIMIT_S
    while _count_open(links) < size:
        assert time.monotonic() < deadline, 'the links did not open'
        _PAUSE.wait(0.05)


def _count_open(links: Links) -> int:
    return sum(1 for link in links.list_links() if link.state is LinkState.OPEN)


def _watch_idle(links: Links, size: int, agent: Process) -> _Sample:
    _PAUSE.wait(HEARTBEAT_S)
    conns = [link._conn for link in links.list_links() if link._conn]
    own_us, agent_us = _read_both_us(agent)
    sent = sum(conn.control_bytes for conn in conns)
    received = _Received(conns)
    started = time.monotonic()
    _PAUSE.wait(MEASURED_S)
    took_s = time.monotonic() - started
    own_later_us, agent_later_us = _read_both_us(agent)
    sent_later = sum(conn.control_bytes for conn in conns)
    return _Sample(
        size,
        read_memory_bytes(os.getpid()),
        read_memory_bytes(agent.pid),
        (own_later_us - own_us) / took_s,
        (agent_later_us - agent_us) / took_s,
        (sent_later - sent + received.stop()) / took_s,
    )


class _Received:
    """Counts the bytes of frames that arrive on connections."""

    def __init__(self, conns: Sequence[Connection]) -> None:
        """Count from now."""
        self._total = 0
        for conn in conns:
            self._tap(conn._ws)

    def stop(self) -> int:
        """Return the bytes so far."""
        return self._total

    def _tap(self, ws: Any) -> None:
        receive = ws.recv

        async def counted(**options: Any) -> bytes:
            frame: bytes = await receive(**options)
            self._total += len(frame)
            return frame

        ws.recv = counted


def _read_both_us(agent: Process) -> tuple[float, float]:
    return time.process_time() * US_PER_S, read_cpu_s(agent.pid) * US_PER_S
