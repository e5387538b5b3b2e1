"""Planned signals to real processes that serve callers."""

import asyncio
import signal

from bench.soak.fleet import Fleet

SEED = 1
SIGNAL_INTERVAL_S = 0.002


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
