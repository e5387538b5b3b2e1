"""A foreign entry of deep nesting among the engines' entries."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit  # noqa: E402

# The levels of lists in the foreign entry: 4 KB of its 1 MB at most.
LEVELS = 2000
RECOVERY_S = 12.0


async def send_phase(fleet, name, seconds):
    """Send 10 requests a second; return how many were sent and served."""
    results = []

    async def one(entry, number):
        request = fleet.new_id()
        stream = number % 2
        fleet.record.write('sent {0} {1} to {2}', name, request, entry.name)
        status, headers, _ = await kit.call(
            entry.callers, request, 'lohu930' if stream else 'zira17',
            3000, usage='4960,920' if stream else '',
            method='POST' if stream else 'GET',
        )
        fleet.record.write('got {0} {1}', request, status)
        results.append(status == 200 and kit.SIGNATURE.lower() in headers)

    tasks = []
    for number in range(int(seconds * 10)):
        entry = fleet.entries[number % len(fleet.entries)]
        tasks.append(asyncio.create_task(one(entry, number)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    return len(results), sum(results)


async def play(fleet):
    record = fleet.record
    fleet.configure(
        [
            kit.make_route('lohu930', 'streaming', 'pool', 10000, **kit.STREAM),
            kit.make_route('zira17', 'safe', 'desk', 3000),
        ],
        kit.SERVICES,
    )
    for number, zone in enumerate('abc'):
        for service in ('pool', 'desk'):
            await fleet.add_engine(kit.Engine(
                'i-{0}{1}'.format(service, number), service, zone,
                fleet.host(100 + number), record,
            ))
    await fleet.start()
    if not await fleet.wait_ready():
        raise kit.Skip('the entries did not get ready')
    if kit.TROUBLE:
        # Fields of another type: lists in lists where a text is due.
        nested = b'[' * LEVELS + b']' * LEVELS
        fleet.store.put_raw(
            'servers', 'i-foreign', b'{"service":%s,"state":1}' % nested
        )
        record.write('another writer has written servers/i-foreign')
    before = await send_phase(fleet, 'before', 6)
    record.write('before the final fault: {0} sent, {1} served', *before)
    fleet.configure(
        [
            kit.make_route('lohu930', 'streaming', 'pool', 10000, **kit.STREAM),
            kit.make_route('zira17', 'safe', 'desk', 3000),
            kit.make_route('idle99', 'safe', 'desk', 3000),
        ],
        kit.SERVICES,
        version=9,
    )
    record.write('a change is acknowledged; all processes are killed')
    for entry in fleet.entries:
        entry.kill()
    await asyncio.sleep(0.5)
    for entry in fleet.entries:
        entry.start()
    record.write('the processes are started again')
    await asyncio.sleep(RECOVERY_S + 2)
    after = await send_phase(fleet, 'after', 10)
    ready = [await entry.readiness_status() for entry in fleet.entries]
    record.write('readiness: {0}', ready)
    record.write('later than recoveryS: {0} sent, {1} served', *after)
    print('before: {0} of {1} served; after: {2} of {3}; readiness {4}'.format(
        before[1], before[0], after[1], after[0], ready
    ))
    if before[1] * 4 < before[0]:
        raise kit.Skip('less than a quarter was served before the fault')
    return after[1] * 4 >= after[0]


kit.main(FOLDER, play)
