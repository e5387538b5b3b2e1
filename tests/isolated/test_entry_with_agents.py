"""An entry with agents outlasts crowds of clients that hold bodies back.

Uploads that stopped short got status 500, and slow ones took every thread.
"""

import asyncio
import hashlib
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Final

import msgspec
import pytest
import urllib3
from bench.faults.crowds import BODY_LIMIT, Crowd, Sending
from bench.processes import KEY, MODEL, Process, System

from tests.isolated.watching import Watch

THREADS: Final = 16
ADMITTED: Final = 12
BUFFER_LIMIT: Final = 8 * BODY_LIMIT
# What bodies hold together, and what two threads do with one of them beside.
MEMORY_GROWTH: Final = 3 * BUFFER_LIMIT
DESCRIPTORS: Final = 160
# Left for upstreams, the store and operators.
SPARE_DESCRIPTORS: Final = 40
ANSWER_TIMEOUT_S: Final = 60
RETRY_DELAY_S: Final = 0.2
LONG_PROMPT_BYTES: Final = 300_000
COMPLETION: Final = msgspec.json.encode(
    {'model': MODEL, 'prompt': 'figs', 'max_tokens': 2}
)
HEAD: Final = '\r\n'.join(
    (
        'POST /v1/completions HTTP/1.1',
        'Host: x',
        'Authorization: Bearer {0}'.format(KEY),
    )
).encode()


@pytest.fixture
def system(tmp_path: Path) -> Iterator[System]:
    """Yield a system with one engine, whose entry the test starts."""
    with System(tmp_path) as started:
        started.add_engine('engine-a')
        started.apply_release_note(hashlib.sha256(KEY.encode()).hexdigest())
        yield started


def _call(system: System, entry: Process, body: bytes = COMPLETION) -> int:
    """Send an ordinary request; return the status, 0 without an answer."""
    with suppress(urllib3.exceptions.HTTPError):
        return system.http.request(
            'POST',
            'http://127.0.0.1:{0}/v1/completions'.format(entry.port),
            body=body,
            headers={'Authorization': 'Bearer {0}'.format(KEY)},
            timeout=10,
        ).status
    return 0


async def _call_until_answered(system: System, entry: Process) -> None:
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while await asyncio.to_thread(_call, system, entry) != 200:
            await asyncio.sleep(RETRY_DELAY_S)


async def _play(
    system: System, entry: Process, sending: Sending
) -> tuple[Watch, Counter[int]]:
    await _call_until_answered(system, entry)
    watch = Watch(entry.pid)
    crowd = Crowd('127.0.0.1:{0}'.format(entry.port), HEAD, sending)
    async with watch.count_sockets(), crowd.play():
        await _call_until_answered(system, entry)
    await _call_until_answered(system, entry)
    return watch, crowd.statuses


def _start_entry(system: System) -> Process:
    entry = system.start_entry(
        'entry-a',
        threads=THREADS,
        admitted=ADMITTED,
        http_lines=(
            'body_limit_bytes = {0}'.format(BODY_LIMIT),
            'buffer_limit_bytes = {0}'.format(BUFFER_LIMIT),
        ),
        descriptors=DESCRIPTORS,
    )
    system.wait_ready(entry, upstreams=1)
    return entry


@pytest.mark.parametrize('sending', Sending, ids=lambda each: each.value)
def test_entry_outlasts_a_crowd_that_holds_bodies_back(
    system: System, sending: Sending
) -> None:
    """It keeps to its limits and answers an ordinary request."""
    entry = _start_entry(system)
    memory_before = Watch(entry.pid).peak_memory_bytes
    watch, statuses = asyncio.run(_play(system, entry, sending))
    assert entry.is_running
    assert watch.peak_memory_bytes < memory_before + MEMORY_GROWTH
    assert watch.most_sockets < DESCRIPTORS - SPARE_DESCRIPTORS
    assert not statuses[500]


def test_long_prompt_is_served_in_calm(system: System) -> None:
    """The limits don't refuse what the engine can take."""
    prompt = 'fig ' * (LONG_PROMPT_BYTES // 4)
    body = msgspec.json.encode(
        {'model': MODEL, 'prompt': prompt, 'max_tokens': 2}
    )
    assert _call(system, _start_entry(system), body) == 200
