"""A request that has crashed three engines comes again, for longer than a minute.

It may reach engines in three retries at the most, later than `settleWindowMs`
after the third crash. No process of the system is disturbed.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit2  # noqa: E402

ENTRIES = 3
ENGINES = 9
DOWN_S = 2.0
ALLOWED = 3
# A client sends the request again each so many seconds, for so long.
AGAIN_S = 2.0
LASTS_S = 75.0
SUSPECT = b'the same prompt each time'


async def work(engine, line, fields, reader, writer):
    """Crash as the request begins to run; answer it if all is well."""
    body = await kit2.read_body(reader, fields)
    run = engine.note(line, fields, body)
    await asyncio.sleep(0.02)
    if body == SUSPECT and engine.fleet.is_troubled:
        engine.fleet.record.write('crash    {0}'.format(engine.name))
        engine.crashes.append(run)
        engine.crash()
        asyncio.get_running_loop().create_task(restart(engine))
        return
    events = b''.join(
        b'id: %d\ndata: piece %d\n\n' % (number, number) for number in range(3)
    )
    described = [*engine.sign(fields), ('Content-Type', 'text/event-stream')]
    writer.write(kit2.encode_answer(200, events, described))
    await writer.drain()


async def restart(engine):
    await asyncio.sleep(DOWN_S)
    await engine.start()


async def call(fleet, number, request):
    entry = fleet.entries[number % ENTRIES]
    usage = [('X-Figspread-Token-Usage', '1000,100')]
    fields = kit2.make_fields(request, 5000, usage)
    try:
        answer = await kit2.exchange(
            entry.address, 'POST', '/caption/x', fields, SUSPECT
        )
        status, after = answer.status, answer.fields.get('retry-after')
    except (OSError, TimeoutError) as exc:
        status, after = repr(exc), None
    fleet.record.write(
        'answered {0} by {1}: {2}, Retry-After {3}'.format(
            request, entry.name, status, after
        )
    )
    return status


async def send_again_and_again(fleet):
    """Send the request; after a 502 retry at once at other entries."""
    number = 0
    while fleet.record.now() < fleet.began_s + LASTS_S:
        for retry in range(ENTRIES):
            request = 'r-{0}-{1}'.format(number, retry)
            if await call(fleet, number + retry, request) != 502:
                break
        number += 1
        await asyncio.sleep(AGAIN_S)


async def play(fleet, is_troubled):
    fleet.is_troubled = is_troubled
    for number in range(ENGINES):
        engine = kit2.Engine(fleet, 'e-{0}'.format(number), kit2.POOL, work)
        engine.crashes = []
        fleet.engines.append(engine)
    route = kit2.make_route(
        'caption', 'streaming', kit2.POOL, streamResumption=True
    )
    await fleet.start(kit2.make_configuration([route]))
    await asyncio.sleep(kit2.SETTLE_S + 1)
    fleet.began_s = fleet.record.now()
    await send_again_and_again(fleet)
    crashes = sorted(
        run.at_s for engine in fleet.engines for run in engine.crashes
    )
    fleet.record.write('{0} crashes'.format(len(crashes)))
    if len(crashes) < 3:
        return []
    bound_s = crashes[2] + kit2.SETTLE_S
    late = [
        run
        for engine in fleet.engines
        for run in engine.runs
        if run.at_s > bound_s
    ]
    fleet.record.write('{0} arrivals later'.format(len(late)))
    if len(late) > ALLOWED:
        return [
            'BUDGET: the request reached engines {0} times later than {1} s '
            'after its third crash'.format(len(late), kit2.SETTLE_S)
        ]
    return []


kit2.main(play, FOLDER, ENTRIES, limit_s=115)
