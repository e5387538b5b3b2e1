"""The watching entries are cut off from the store; the others stay behind."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import kit3  # noqa: E402

ZONES = ('a', 'b', 'c') * 3
PROPAGATION_S = 2.0
SEND_INTERVAL_S = 0.1
# The site's days cut machines off for up to 12 s.
CUT_S = 4.5
HEALED_S = 9.0
CYCLES = 5
FIRST_VERSION = 7


async def answer_plain(engine, message, writer):
    _, fields, _ = message
    engine.begin(fields)
    await asyncio.sleep(0.02)
    writer.write(kit3.make_answer(200, b'x' * 800, engine.sign(fields)))


def make_configuration(number):
    """Return a version that sends the route to a service of its own."""
    routes = [kit3.make_route('status', 'safe', 'desk-{0}'.format(number))]
    services = [
        {'name': 'desk-{0}'.format(n), 'connectionLimit': 96}
        for n in range(CYCLES + 1)
    ]
    return kit3.make_configuration(FIRST_VERSION + 2 * number, routes, services)


async def send_steadily(fleet, entry, sent, until_s):
    tasks = []
    while fleet.record.now() < until_s:
        at_s = fleet.record.now()
        task = asyncio.create_task(fleet.request(entry, 'GET', '/status/x'))
        tasks.append((at_s, task))
        await asyncio.sleep(SEND_INTERVAL_S)
    for at_s, task in tasks:
        request, answer = await task
        sent[request] = (at_s, entry.name, answer.status)


async def play_cycle(fleet, number):
    """Cut, change the configuration; return what an older one has handled."""
    watching = fleet.list_watching()
    names = [entry.name for entry in watching]
    fleet.record.write('watching: {0}'.format(names))
    if len(watching) != 3:
        raise kit3.CannotRun('not three of nine entries watch the store')
    calm = [entry for entry in fleet.entries if entry not in watching]
    if kit3.has_trouble():
        for entry in watching:
            await entry.link.cut()
        fleet.record.write('these three of nine are cut off from the store')
    fleet.store.put('config', 'main', make_configuration(number))
    acknowledged_s = fleet.record.now()
    fleet.record.write(
        'version {0} is acknowledged'.format(FIRST_VERSION + 2 * number)
    )
    sent = {}
    await asyncio.gather(
        *(
            send_steadily(fleet, entry, sent, acknowledged_s + CUT_S)
            for entry in calm
        )
    )
    if kit3.has_trouble():
        for entry in watching:
            await entry.link.heal()
    run_by = {run.request: run.service for run in fleet.runs}
    return [
        (request, round(at_s - acknowledged_s, 2), name, run_by[request])
        for request, (at_s, name, _) in sorted(sent.items())
        if at_s > acknowledged_s + PROPAGATION_S
        and run_by.get(request, '') not in {'', 'desk-{0}'.format(number)}
    ]


async def case(fleet):
    engines = [
        kit3.Engine(
            fleet,
            'process-{0}-{1}'.format(number, zone),
            'desk-{0}'.format(number),
            answer_plain,
            zone=zone,
        )
        for number in range(CYCLES + 1)
        for zone in 'abc'
    ]
    await fleet.start(make_configuration(0), ZONES, engines)
    await asyncio.sleep(12)
    late = []
    for number in range(1, CYCLES + 1):
        late += await play_cycle(fleet, number)
        await asyncio.sleep(HEALED_S)
    for row in late:
        fleet.record.write('handled by an older version: {0}'.format(row))
    fleet.record.write(
        '{0} requests handled by an older version'.format(len(late))
    )
    return kit3.BROKEN if late else kit3.HELD


if __name__ == '__main__':
    kit3.main(case, Path(__file__).with_name('record.txt'))
