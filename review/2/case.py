"""An engine sends bytes that are no answer without end, in small chunks."""

import asyncio
import subprocess
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit  # noqa: E402

TROUBLED = 'i-pool0'
CALM_S = 4.0
TROUBLE_S = 5.5
TIMEOUT_MS = 1500


class LongAnswers(kit.Engine):
    """An engine with streams of 40 events, 60 ms apart."""

    async def stream(self, headers, fields, writer):
        kit.begin_stream(writer, fields)
        for number in range(int(headers.get('last-event-id', -1)) + 1, 40):
            kit.send_chunk(writer, kit.make_event(number))
            await writer.drain()
            await asyncio.sleep(0.06)
        writer.write(b'0\r\n\r\n')


class Probe:
    """Counts requests of the plain route that are unanswered at its timeout."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.sent = 0
        self.waits = []

    async def one(self, entry):
        request = self._fleet.new_id()
        self.sent += 1
        began = time.monotonic()
        self._fleet.record.write('sent {0} to {1}', request, entry.name)
        status, _, _ = await kit.call(
            entry.callers, request, 'zira17', 3000, method='GET'
        )
        wait = time.monotonic() - began
        self._fleet.record.write(
            'got {0} {1} after {2:.3f} s from {3}',
            request, status, wait, entry.name,
        )
        self.waits.append((wait, entry.name))


async def stream(fleet, entry):
    request = fleet.new_id()
    fleet.record.write('sent stream {0} to {1}', request, entry.name)
    status, _, _ = await kit.call(
        entry.callers, request, 'lohu930', 10000, usage='4960,920'
    )
    fleet.record.write('got stream {0} {1}', request, status)


async def play(fleet):
    record = fleet.record
    fleet.configure(
        [
            kit.make_route('lohu930', 'streaming', 'pool', 10000, **kit.STREAM),
            kit.make_route('zira17', 'safe', 'desk', TIMEOUT_MS),
        ],
        kit.SERVICES,
    )
    engines = []
    for number in range(6):
        engines.append(LongAnswers(
            'i-pool{0}'.format(number), 'pool', 'abc'[number % 3],
            fleet.host(100 + number), record,
        ))
    for number, zone in enumerate('abc'):
        engines.append(kit.Engine(
            'i-desk{0}'.format(number), 'desk', zone,
            fleet.host(110 + number), record,
        ))
    for engine in engines:
        await fleet.add_engine(engine)
    process = subprocess.Popen(
        [sys.executable, str(FOLDER / 'flood.py'), fleet.host(120), TROUBLED],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        port = int(process.stdout.readline())
        fleet.store.put('servers', TROUBLED, {
            **fleet.engines[TROUBLED].entry,
            'address': '{0}:{1}'.format(fleet.host(120), port),
        })
        await fleet.start()
        if not await fleet.wait_ready():
            raise kit.Skip('the entries did not get ready')
        probe = Probe(fleet)
        tasks = []
        count = 0
        is_pending = kit.TROUBLE
        began = time.monotonic()
        while time.monotonic() < began + CALM_S + TROUBLE_S:
            if is_pending and time.monotonic() > began + CALM_S:
                is_pending = False
                record.write('{0} is in trouble', TROUBLED)
                process.stdin.write(b'trouble\n')
                process.stdin.flush()
            entry = fleet.entries[count % 3]
            tasks.append(asyncio.create_task(probe.one(entry)))
            tasks.append(asyncio.create_task(stream(fleet, entry)))
            count += 1
            await asyncio.sleep(1 / 15)
        await asyncio.gather(*tasks)
    finally:
        process.kill()
        for line in process.stdout.read().decode().splitlines():
            record.write('{0}: {1}', TROUBLED, line)
        process.wait()
    limit = TIMEOUT_MS / 1000
    unanswered = [wait for wait, _ in probe.waits if wait > limit]
    late = [wait for wait in unanswered if wait > limit + 0.5]
    text = '{0} sent, {1} unanswered at timeoutMs, {2} of them 0.5 s later; longest {3:.2f} s'
    text = text.format(
        probe.sent, len(unanswered), len(late),
        max(wait for wait, _ in probe.waits),
    )
    record.write(text)
    print(text)
    return len(unanswered) < 8 or len(late) * 2 <= len(unanswered)


kit.main(FOLDER, play)
