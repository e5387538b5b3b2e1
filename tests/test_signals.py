"""Planned signals to real processes that serve callers."""

import asyncio
import hashlib
import signal
from pathlib import Path

import pytest
from bench.processes import KEY, System
from bench.soak.fleet import Fleet

SEED = 1
SIGNAL_INTERVAL_S = 0.002
SIGNAL_COUNT = 50


def test_reloads_do_not_end_an_entry_that_stops() -> None:
    """Guard against a SIGHUP that ends the process before its log is written.

    The signal comes in series until the process is gone.
    """

    async def run() -> tuple[int | None, list[str]]:
        fleet = Fleet(SEED, entries=1)
        try:
            await fleet.start()
            entry = fleet.entries[0]
            entry.signal_process(signal.SIGTERM)
            while entry.is_running:
                entry.signal_process(signal.SIGHUP)
                await asyncio.sleep(SIGNAL_INTERVAL_S)
            return entry.exit_code, [
                row['message_type'] for row in fleet.read_log_rows(entry)
            ]
        finally:
            await fleet.stop()

    exit_code, events = asyncio.run(run())
    assert exit_code == 0
    assert 'shutdown finished' in events


@pytest.mark.parametrize('name', ['entry', 'agent'])
def test_hangup_signal_ends_no_process(tmp_path: Path, name: str) -> None:
    """Guard against a SIGHUP that cuts all callers.

    Entries and agents of this kind read their settings when they start only.
    """
    with System(tmp_path) as system:
        desk = system.add_service('desk-a')
        system.apply_release_note(hashlib.sha256(KEY.encode()).hexdigest())
        entry = system.start_entry('entry-a')
        system.wait_ready(entry, upstreams=1)
        process = {'entry': entry, 'agent': desk.agent}[name]
        for _ in range(SIGNAL_COUNT):
            process.send(signal.SIGHUP)
            system.pause(SIGNAL_INTERVAL_S)
        answer = system.http.request(
            'GET',
            'http://127.0.0.1:{0}/v1/services/order-desk/status/1'.format(
                entry.port
            ),
            headers={'Authorization': 'Bearer {0}'.format(KEY)},
        )
        assert answer.status == 200
        assert process.is_running
        process.send(signal.SIGTERM)
        assert process.wait() == 0
