"""Measures streamed answers through a real entry, agent and engine."""

import hashlib
import tempfile
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from itertools import repeat
from pathlib import Path
from typing import Final

import msgspec
import urllib3

from bench.capacity.slopes import (
    US_PER_S,
    CostSeries,
    read_cpu_s,
    read_memory_bytes,
)
from bench.capacity.system import DefaultSettingsSystem
from bench.processes import KEY, MODEL, Process

TOKEN_COUNTS: Final = (16, 64, 192)
REQUESTS: Final = 48
CALLERS: Final = 8
STREAM_COUNTS: Final = (30, 60, 120)
OPEN_STREAM_TOKENS: Final = 2000
SETTLE_S: Final = 2
TARGET_TOKENS: Final = 280
TARGET_ENTRY_STREAMS: Final = 135
TARGET_AGENT_STREAMS: Final = 20
READ_BYTES: Final = 65_536
# Never set, so that its `wait` sleeps for the whole timeout.
_PAUSE: Final = threading.Event()


class _Cost(msgspec.Struct, frozen=True):
    entry_us: float
    agent_us: float
    pieces: float
    took_s: float


class _StreamRunner:
    def __init__(self, system: DefaultSettingsSystem) -> None:
        self.system = system
        self.agent = system.add_engine('engine-a', kv_tokens=4_000_000).agent
        system.apply_release_note(hashlib.sha256(KEY.encode()).hexdigest())
        self.entry = system.start_entry('entry-a')
        system.wait_ready(self.entry, upstreams=1)
        self.http = urllib3.PoolManager(retries=False, maxsize=256, timeout=60)

    def open_stream(self, tokens: int) -> urllib3.BaseHTTPResponse:
        """Request a stream of `tokens`; return once its headers are read."""
        answer = self.http.request(
            'POST',
            'http://127.0.0.1:{0}/v1/completions'.format(self.entry.port),
            body=msgspec.json.encode(
                {
                    'model': MODEL,
                    'prompt': 'figs ' * 200,
                    'max_tokens': tokens,
                    'stream': True,
                },
            ),
            headers={'Authorization': 'Bearer {0}'.format(KEY)},
            preload_content=False,
        )
        assert answer.status == 200, answer.read()
        return answer

    def read_answer(self, tokens: int) -> int:
        """Read a whole answer; return the number of non-empty reads."""
        answer = self.open_stream(tokens)
        pieces = 0
        received = bytearray()
        while piece := answer.read1(READ_BYTES):
            received += piece
            pieces += 1
        assert received.endswith(b'data: [DONE]\n\n')
        answer.release_conn()
        return pieces


def measure_streams() -> Iterator[CostSeries]:
    """Measure answers by tokens, and memory by number of open streams."""
    with tempfile.TemporaryDirectory() as folder:
        with DefaultSettingsSystem(Path(folder)) as system:
            runner = _StreamRunner(system)
            runner.read_answer(TOKEN_COUNTS[0])
            costs = [
                _measure_answers(runner, tokens) for tokens in TOKEN_COUNTS
            ]
            yield from _list_token_series(costs)
            yield from _measure_open_streams(runner)


def _measure_answers(runner: _StreamRunner, tokens: int) -> _Cost:
    entry, agent = runner.entry, runner.agent
    started = time.monotonic()
    before = _read_cpu_us(entry), _read_cpu_us(agent)
    with ThreadPoolExecutor(CALLERS) as pool:
        pieces = list(pool.map(runner.read_answer, repeat(tokens, REQUESTS)))
    return _Cost(
        (_read_cpu_us(entry) - before[0]) / REQUESTS,
        (_read_cpu_us(agent) - before[1]) / REQUESTS,
        sum(pieces) / REQUESTS,
        time.monotonic() - started,
    )


def _list_token_series(costs: list[_Cost]) -> Iterator[CostSeries]:
    for name, field, unit in (
        ('an answer at the entry, by tokens', 'entry_us', 'us'),
        ('an answer at the agent, by tokens', 'agent_us', 'us'),
        ('pieces of an answer, by tokens', 'pieces', ''),
    ):
        yield CostSeries(
            name,
            unit,
            TOKEN_COUNTS,
            [getattr(cost, field) for cost in costs],
            TARGET_TOKENS,
        )


def _measure_open_streams(runner: _StreamRunner) -> Iterator[CostSeries]:
    entry_bytes = []
    agent_bytes = []
    for size in STREAM_COUNTS:
        with ThreadPoolExecutor(size) as pool:
            answers = list(
                pool.map(runner.open_stream, repeat(OPEN_STREAM_TOKENS, size))
            )
        _PAUSE.wait(SETTLE_S)
        memory_bytes = _read_memory_bytes(runner)
        entry_bytes.append(memory_bytes[0])
        agent_bytes.append(memory_bytes[1])
        for answer in answers:
            answer.close()
        _PAUSE.wait(SETTLE_S)
    yield CostSeries(
        'open streams, memory of the entry',
        'B',
        STREAM_COUNTS,
        entry_bytes,
        TARGET_ENTRY_STREAMS,
    )
    yield CostSeries(
        'open streams, memory of the agent',
        'B',
        STREAM_COUNTS,
        agent_bytes,
        TARGET_AGENT_STREAMS,
    )


def _read_cpu_us(process: Process) -> float:
    return read_cpu_s(process.pid) * US_PER_S


def _read_memory_bytes(runner: _StreamRunner) -> tuple[int, int]:
    return (
        read_memory_bytes(runner.entry.pid),
        read_memory_bytes(runner.agent.pid),
    )
