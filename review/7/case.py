"""The store loses some answers, among them those that tell of a change.

A key is dropped by the change. From `settleWindowMs` after the end of the
disruption on, requests with that key must not run.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import kit2  # noqa: E402

ENTRIES = 2
ENGINES = 4
DROPPED = 'key-that-is-dropped'
BEFORE_S = 1.5
BETWEEN_S = 0.33
AFTER_S = 0.2
PROPAGATION_S = 2.0
SHARE = 0.3
LOOK_S = 8.0
EVERY_S = 0.05


class LosingStore(kit2.Store):
    """Loses answers that tell of a new configuration while it `loses`.

    `answered` counts the answers during the disruption, `lost` the lost ones.
    """

    is_troubled = False
    loses = False
    answered = 0
    lost = 0

    async def answer(self, method, target, body):
        reply = await super().answer(method, target, body)
        if not self.is_troubled:
            return reply
        self.answered += 1
        if self.loses and '/config?watch' in target and reply[1].get('events'):
            self.lost += 1
            # A connection on which a response is lost returns nothing further.
            await asyncio.Event().wait()
        return reply


async def work(engine, line, fields, reader, writer):
    body = await kit2.read_body(reader, fields)
    engine.note(line, fields, body)
    await asyncio.sleep(0.01)
    writer.write(kit2.encode_answer(200, b'done', engine.sign(fields)))


async def call(fleet, number, sent):
    entry = fleet.entries[number % ENTRIES]
    request = 'r-{0}'.format(number)
    fields = kit2.make_fields(request, 600, key=DROPPED)
    sent[request] = fleet.record.now()
    try:
        answer = await kit2.exchange(entry.address, 'GET', '/status/x', fields)
        status = answer.status
    except (OSError, TimeoutError) as exc:
        status = repr(exc)
    fleet.record.write(
        'answered {0} by {1}: {2}'.format(request, entry.name, status)
    )
    return status


def make_configuration(keys):
    return kit2.make_configuration(
        [kit2.make_route('status', 'safe', kit2.DESK)],
        tenants=[{'name': 'studio', 'apiKeys': keys}],
    )


async def play(fleet, is_troubled):
    fleet.store = LosingStore(fleet.store.host)
    for number in range(ENGINES):
        fleet.engines.append(
            kit2.Engine(fleet, 'd-{0}'.format(number), kit2.DESK, work)
        )
    await fleet.start(make_configuration([kit2.KEY, DROPPED]))
    await asyncio.sleep(kit2.SETTLE_S + 1)
    sent = {}
    if await call(fleet, 0, sent) != 200:
        raise kit2.CannotRun('a request is not served')
    fleet.record.write('the disruption begins')
    fleet.store.is_troubled = is_troubled
    began_s = fleet.record.now()
    for engine in fleet.engines:
        engine.register()
        await asyncio.sleep(BEFORE_S / ENGINES)
    # Two changes in quick succession; what tells of the second one is lost.
    fleet.configure(make_configuration([kit2.KEY, DROPPED, 'key-more']))
    await asyncio.sleep(BETWEEN_S)
    fleet.store.loses = is_troubled
    fleet.configure(make_configuration([kit2.KEY, 'key-more']))
    changed_s = fleet.record.now()
    await asyncio.sleep(AFTER_S)
    fleet.store.is_troubled = False
    ended_s = fleet.record.now()
    fleet.record.write(
        'it lost {0} of {1} answers within {2:.1f} s'.format(
            fleet.store.lost, fleet.store.answered, ended_s - began_s
        )
    )
    if fleet.store.lost > SHARE * max(1, fleet.store.answered):
        raise kit2.CannotRun('more answers were lost than allowed')
    number = 1
    while fleet.record.now() < changed_s + LOOK_S:
        await call(fleet, number, sent)
        number += 1
        await asyncio.sleep(EVERY_S)
    bound_s = max(changed_s + PROPAGATION_S, ended_s + kit2.SETTLE_S)
    late = [
        run
        for engine in fleet.engines
        for run in engine.runs
        if sent[run.request] > bound_s
    ]
    if late:
        last_s = max(sent[run.request] for run in late) - changed_s
        return [
            'CONFIG: {0} requests with a dropped key ran, the last one sent '
            '{1:.1f} s after the acknowledgement'.format(len(late), last_s)
        ]
    return []


kit2.main(play, FOLDER / 'record.txt', ENTRIES)
