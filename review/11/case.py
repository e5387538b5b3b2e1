"""One entry's connections are reset; others go on using an engine that left."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import kit3  # noqa: E402

DRAIN_S = 2.0
# An engine that leaves serves for this long after the store has accepted it.
SERVES_S = 2.15
WORK_S = 0.06
SEND_INTERVAL_S = 0.012
CYCLES = 5
CYCLE_S = 9.0


class Leaving:
    """One engine that leaves: when, and what it has run since."""

    def __init__(self, engine, harmed, acknowledged_s):
        self.engine = engine
        # The entry whose connections were reset, which isn't in touch.
        self.harmed = harmed
        self.acknowledged_s = acknowledged_s


async def answer_plain(engine, message, writer):
    _, fields, _ = message
    engine.begin(fields)
    await asyncio.sleep(WORK_S)
    writer.write(kit3.make_answer(200, b'x' * 800, engine.sign(fields)))


async def send_steadily(fleet, sent, stopped):
    tasks = set()
    number = 0
    while not stopped.is_set():
        entry = fleet.entries[number % len(fleet.entries)]
        number += 1

        async def send(entry=entry):
            at_s = fleet.record.now()
            request, answer = await fleet.request(
                entry, 'POST', '/order/x', deadline_ms=600, body=b'order'
            )
            sent[request] = (at_s, entry.name, answer.status)

        task = asyncio.create_task(send())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(SEND_INTERVAL_S)
    await asyncio.gather(*tasks)


async def leave(fleet, engine, number):
    """Reset an entry's connections, remove an engine's record, then end it."""
    watching = fleet.list_watching()
    harmed = watching[number % len(watching)]
    if kit3.has_trouble():
        count = harmed.link.reset()
        fleet.record.write(
            '{0} connections of {1} are reset'.format(count, harmed.name)
        )
        await asyncio.sleep(0.02)
    engine.is_listed = False
    fleet.store.delete('servers', engine.name)
    left = Leaving(engine, harmed.name, fleet.record.now())
    fleet.record.write('{0} has left the store'.format(engine.name))
    await asyncio.sleep(SERVES_S)
    engine.kill()
    fleet.record.write('{0} exits'.format(engine.name))
    fresh = kit3.Engine(
        fleet, 'desk-{0}'.format(number), 'desk', answer_plain, zone='a'
    )
    fleet.engines.append(fresh)
    await fresh.start()
    return left


async def case(fleet):
    engines = [
        kit3.Engine(fleet, 'desk-{0}'.format(n), 'desk', answer_plain, zone=z)
        for n, z in enumerate('abc')
    ]
    routes = [kit3.make_route('order', 'unsafe', 'desk', attempts=1)]
    services = [{'name': 'desk', 'connectionLimit': 96}]
    await fleet.start(
        kit3.make_configuration(7, routes, services), 'abcabc', engines
    )
    await asyncio.sleep(10)
    watching = [entry.name for entry in fleet.list_watching()]
    fleet.record.write('watching: {0}'.format(watching))
    sent = {}
    stopped = asyncio.Event()
    sending = asyncio.create_task(send_steadily(fleet, sent, stopped))
    await asyncio.sleep(4)
    departures = []
    for number in range(CYCLES):
        began_s = fleet.record.now()
        departures.append(
            await leave(fleet, fleet.engines[number], len(fleet.engines))
        )
        await asyncio.sleep(began_s + CYCLE_S - fleet.record.now())
    stopped.set()
    await sending
    late = []
    for left in departures:
        bound_s = left.acknowledged_s + DRAIN_S
        late += [
            (
                run.request,
                run.engine,
                sent[run.request][1],
                round(run.at_s - left.acknowledged_s, 3),
                sent[run.request][2],
            )
            for run in fleet.runs
            if run.engine == left.engine.name
            and run.at_s > bound_s
            and sent[run.request][0] > bound_s
            and sent[run.request][1] != left.harmed
        ]
    for row in late:
        fleet.record.write('reached an engine that has left: {0}'.format(row))
    fleet.record.write(
        '{0} sent, {1} later than drainMs, {2} of these without a success'
        .format(len(sent), len(late), sum(row[4] != 200 for row in late))
    )
    return kit3.BROKEN if late else kit3.HELD


if __name__ == '__main__':
    kit3.main(case, Path(__file__).with_name('record.txt'))
