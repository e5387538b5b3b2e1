"""Callers read their answers slowly: nothing for 2.3 s in the middle."""

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit  # noqa: E402

CLIENTS = 12
STREAMS = 4
ANSWER_BYTES = 4800
WINDOW_BYTES = 2048
PAUSE_S = 2.3
# Callers of this route leave after 6 s without an event at the earliest.
STREAM_PAUSE_S = 3.0
DEADLINE_MS = 3000


async def receive(sock, got, until):
    """Read until `until(got)`; return what has come, raise `OSError`."""
    loop = asyncio.get_running_loop()
    while not until(got):
        piece = await loop.sock_recv(sock, 400)
        if not piece:
            raise ConnectionResetError('closed')
        got += piece
    return got


def is_whole(got):
    head, end, body = bytes(got).partition(b'\r\n\r\n')
    if not end:
        return False
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return len(body) >= int(line.partition(b':')[2])
    return False


def is_stream_whole(got):
    return bytes(got).endswith(b'0\r\n\r\n')


async def read_stream(fleet, entry, results):
    """Make a stream on a new connection of an entry that is to stop."""
    record = fleet.record
    loop = asyncio.get_running_loop()
    sock = make_socket()
    host, _, port = entry.callers.rpartition(':')
    request = fleet.new_id()
    outcome = 'whole'
    got = bytearray()
    began = time.monotonic()
    try:
        await loop.sock_connect(sock, (host, int(port)))
        record.write('sent stream {0} to {1}', request, entry.name)
        await loop.sock_sendall(sock, kit.encode_request(
            request, 'lohu930', 10000, usage='45000,1380'
        ))
        got = await receive(sock, got, lambda seen: len(seen) >= 400)
        if kit.TROUBLE:
            await asyncio.sleep(STREAM_PAUSE_S)
        async with asyncio.timeout(9 - (time.monotonic() - began)):
            got = await receive(sock, got, is_stream_whole)
    except OSError as exc:
        outcome = repr(exc)
    except TimeoutError:
        outcome = 'no whole answer in time'
    finally:
        sock.close()
    record.write(
        'stream {0}: {1}, {2} bytes, after {3:.2f} s',
        request, outcome, len(got), time.monotonic() - began,
    )
    results[request] = outcome


def make_socket():
    sock = socket.socket()
    sock.setblocking(False)
    # A small window, as the links of the platform have.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    return sock


async def client(fleet, entry, results):
    """Make a plain request, then a command on the same connection."""
    record = fleet.record
    loop = asyncio.get_running_loop()
    sock = make_socket()
    host, _, port = entry.callers.rpartition(':')
    try:
        await loop.sock_connect(sock, (host, int(port)))
        first = fleet.new_id()
        await loop.sock_sendall(sock, kit.encode_request(
            first, 'zira17', DEADLINE_MS, method='GET'
        ))
        await receive(sock, bytearray(), is_whole)
        command = fleet.new_id()
        record.write('sent command {0} to {1}', command, entry.name)
        began = time.monotonic()
        await loop.sock_sendall(sock, kit.encode_request(
            command, 'puxa403', DEADLINE_MS, body=b'{"set":21}'
        ))
        got = bytearray()
        outcome = 'whole'
        try:
            got = await receive(sock, got, lambda seen: len(seen) >= 400)
            if kit.TROUBLE:
                await asyncio.sleep(PAUSE_S)
            async with asyncio.timeout(
                DEADLINE_MS / 1000 - (time.monotonic() - began)
            ):
                got = await receive(sock, got, is_whole)
        except OSError as exc:
            outcome = repr(exc)
        except TimeoutError:
            outcome = 'no whole answer in time'
        record.write(
            'command {0}: {1}, {2} bytes, after {3:.2f} s',
            command, outcome, len(got), time.monotonic() - began,
        )
        results[command] = outcome
    finally:
        sock.close()


async def play(fleet):
    record = fleet.record
    fleet.configure(
        [
            kit.make_route(
                'lohu930', 'streaming', 'pool', 10000,
                **{**kit.STREAM, 'targetLatencyMs': 1532, 'targetGapMs': 600},
            ),
            kit.make_route('zira17', 'safe', 'desk', 1500),
            kit.make_route('puxa403', 'unsafe', 'desk', 1500, attempts=1),
        ],
        kit.SERVICES,
    )
    for number, zone in enumerate('abc'):
        service = kit.Engine(
            'i-desk{0}'.format(number), 'desk', zone,
            fleet.host(110 + number), record, slots=6,
        )
        service.work_s = 0.06
        service.body_bytes = ANSWER_BYTES
        await fleet.add_engine(service)
        engine = kit.Engine(
            'i-pool{0}'.format(number), 'pool', zone,
            fleet.host(100 + number), record,
        )
        engine.events = 30
        await fleet.add_engine(engine)
    await fleet.start()
    if not await fleet.wait_ready():
        raise kit.Skip('the entries did not get ready')
    # The site's settleWindowMs is 4,000; the processes are in touch after it.
    await asyncio.sleep(5)
    results = {}
    tasks = []
    for number in range(CLIENTS):
        tasks.append(asyncio.create_task(
            client(fleet, fleet.entries[number % 3], results)
        ))
        await asyncio.sleep(0.2)
    await asyncio.gather(*tasks)
    streams = {}
    tasks = []
    fleet.entries[0].process.send_signal(signal.SIGTERM)
    record.write('SIGTERM to {0}', fleet.entries[0].name)
    for _ in range(STREAMS):
        await asyncio.sleep(0.3)
        tasks.append(asyncio.create_task(
            read_stream(fleet, fleet.entries[0], streams)
        ))
    await asyncio.gather(*tasks)
    ran = {
        request for engine in fleet.engines.values() for request in engine.runs
    }
    lost = [
        request for request, outcome in results.items()
        if outcome != 'whole' and request in ran
    ]
    cut = [
        request for request, outcome in streams.items()
        if outcome != 'whole' and request in ran
    ]
    text = '{0} commands, {1} have run, {2} of these without a whole answer; around the SIGTERM {3} streams, {4} cut'
    text = text.format(
        len(results), sum(request in ran for request in results), len(lost),
        len(streams), len(cut),
    )
    record.write(text)
    print(text)
    if len(results) < CLIENTS:
        raise kit.Skip('not all commands were sent')
    return len(lost) <= 3 and not cut


kit.main(FOLDER, play)
