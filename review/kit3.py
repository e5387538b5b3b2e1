"""Stand-ins for the scripts of the third review: store, links, engines, callers.

Standard library only, in the process of the script. They speak what PROTOCOL.md
says. Entries are real processes, started with the command of the deploy file.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
HOST = 'studio.example'
KEY = 'key-of-studio'
PREFIX = '/figspread/objects/'
HEARTBEAT_S = 1.2
SETTLE_S = 3.0
# Watches are shorter; who has sent none for so long doesn't watch.
WATCH_S = 4.0
# The engine of SYSTEM.md; `pairs_per_m` is set by a case.
ENGINE_PROFILE = {
    'slots': 8,
    'kvCacheTokens': 450_000,
    'stride': 46,
    'step_ms': 0.925,
    'per_seq_ms': 0.00966,
    'context_per_k': 0.00254,
    'read_per_s': 256_000.0,
    'pairs_per_m': 0.01,
    'chunk': 2048,
    'usual': {'prompt': 13_227, 'answer': 1541},
}


class CannotRun(Exception):
    """The case could not be played."""


def has_trouble():
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        self._file = Path(path).open('w')
        self._began_s = time.monotonic()

    def now(self):
        return time.monotonic() - self._began_s

    def write(self, text):
        self._file.write('{0:8.3f} {1}\n'.format(self.now(), text))
        self._file.flush()


# HTTP ------------------------------------------------------------------------


async def read_message(reader):
    """Return the first line, the fields and the body; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').strip().split('\r\n')
    fields = {}
    for line in lines:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    if 'chunked' in fields.get('transfer-encoding', ''):
        return first, fields, None
    body = await reader.readexactly(int(fields.get('content-length', 0)))
    return first, fields, body


def make_head(status, fields):
    lines = ['HTTP/1.1 {0} -'.format(status)]
    lines += ['{0}: {1}'.format(name, text) for name, text in fields]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def make_answer(status, body=b'', fields=()):
    framing = ('Content-Length', str(len(body)))
    return make_head(status, [*fields, framing]) + body


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self, host='127.0.0.1'):
        self.host = host
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return '{0}:{1}'.format(self.host, self.port)

    async def open(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 21, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def kill(self):
        """Refuse connections and reset the open ones, as a dead process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if self._server is None:
                    # A dead process reads nothing more.
                    writer.transport.abort()
                    return
                await self.handle(message, writer)
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def _is_same(before, after):
    return {**before, 'sequence': 0} == {**after, 'sequence': 0}


# The platform's store --------------------------------------------------------


class Store(HttpServer):
    """Objects by kind and name under one revision, with lists and watches."""

    def __init__(self):
        super().__init__()
        self._revision = 1000
        self._objects = {}
        self._events = []
        self._news = asyncio.Event()

    def put(self, kind, name, specification):
        known = self._objects.setdefault(kind, {}).get(name)
        if known and _is_same(known['specification'], specification):
            # Nothing changes, or only the `sequence` of a heartbeat.
            known['specification'] = specification
            return
        self._revision += 1
        stored = {
            'metadata': {
                'name': name,
                'revision': self._revision,
                'created': int(time.time() * 1000),
                'finalizers': [],
                'deleting': False,
            },
            'specification': specification,
            'status': {},
        }
        self._objects[kind][name] = stored
        self._tell(kind, stored, is_deleted=False)

    def delete(self, kind, name):
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is None:
            return
        self._revision += 1
        metadata = {**stored['metadata'], 'revision': self._revision}
        self._tell(kind, {**stored, 'metadata': metadata}, is_deleted=True)

    def _tell(self, kind, stored, *, is_deleted):
        self._events.append((self._revision, kind, stored, is_deleted))
        self._news.set()
        self._news = asyncio.Event()

    async def handle(self, message, writer):
        first, _, body = message
        method, target, _ = first.split(' ')
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {name: row[0] for name, row in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix(PREFIX).partition('/')
        name = unquote(name)
        if method == 'GET' and 'watch' in query:
            status, document = await self._watch(kind, query)
        elif method == 'GET':
            status, document = self._read(kind, name)
        else:
            status, document = self._write(method, kind, name, body)
        octets = json.dumps(document).encode()
        writer.write(
            make_answer(status, octets, [('Content-Type', 'application/json')])
        )

    def _read(self, kind, name):
        known = self._objects.get(kind, {})
        if name:
            return (200, known[name]) if name in known else (404, {})
        items = [known[item] for item in sorted(known)]
        return 200, {'items': items, 'more': False, 'asOf': self._revision}

    def _write(self, method, kind, name, body):
        if method == 'DELETE':
            self.delete(kind, name)
            return 200, {}
        document = json.loads(body)
        name = name or document['metadata']['name']
        known = self._objects.get(kind, {})
        if method == 'POST' and name in known:
            return 409, known[name]
        if method == 'PUT' and name not in known:
            return 404, {}
        self.put(kind, name, document['specification'])
        return 200, self._objects[kind][name]

    async def _watch(self, kind, query):
        since = int(query['watch'])
        until_s = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            events = [
                {'object': stored, 'deleted': is_deleted}
                for revision, changed, stored, is_deleted in self._events
                if changed == kind and revision > since
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'asOf': self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._news.wait(), left_s)


class Link:
    """The path from one entry to the store, which can be cut in silence.

    While it is cut, bytes on open connections are held up, and new connections
    hang. `watched_s` is when a watch was last sent over it.
    """

    def __init__(self, store):
        self._store = store
        self._sock = socket.socket()
        self._accepting = None
        self._fillers = []
        self._writers = set()
        self._relays = set()
        self._is_open = asyncio.Event()
        self._is_open.set()
        self.watched_s = float('-inf')
        self.address = ''

    async def open(self):
        self._sock.bind(('127.0.0.1', 0))
        self._sock.setblocking(False)
        self.address = '127.0.0.1:{0}'.format(self._sock.getsockname()[1])
        self._listen()

    def _listen(self):
        self._sock.listen(128)
        self._accepting = asyncio.create_task(self._accept())

    async def cut(self):
        """Hold up all bytes, and leave new connections unanswered."""
        self._is_open.clear()
        self._accepting.cancel()
        # The kernel drops what comes once its shortest queue is full.
        self._sock.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self._sock.getsockname())
            self._fillers.append(filler)

    async def heal(self):
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._is_open.set()
        self._listen()

    def reset(self):
        """Reset the entry's connections to the store; new ones work."""
        count = len(self._writers)
        for writer in tuple(self._writers):
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()
        return count

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._sock)
            task = asyncio.create_task(self._relay(sock))
            self._relays.add(task)
            task.add_done_callback(self._relays.discard)

    async def _relay(self, sock):
        reader, writer = await asyncio.open_connection(sock=sock)
        self._writers.add(writer)
        try:
            to_store = await asyncio.open_connection(
                '127.0.0.1', self._store.port
            )
            await asyncio.gather(
                self._pass_on(reader, to_store[1], is_call=True),
                self._pass_on(to_store[0], writer, is_call=False),
                return_exceptions=True,
            )
            to_store[1].close()
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _pass_on(self, reader, writer, *, is_call):
        with contextlib.suppress(ConnectionError):
            while octets := await reader.read(65_536):
                await self._is_open.wait()
                if is_call and b'?watch=' in octets:
                    self.watched_s = time.monotonic()
                writer.write(octets)
        await self._is_open.wait()
        writer.close()


# Engines and processes of plain services -------------------------------------


class Run:
    """A request that an engine has begun to run."""

    def __init__(self, engine, request, at_s):
        self.engine = engine.name
        self.service = engine.service
        self.request = request
        self.at_s = at_s


class Engine(HttpServer):
    """A server that registers in the store; `work` answers what it runs.

    `work(engine, message, writer)` is awaited for each request.
    """

    def __init__(self, fleet, name, service, work, slots=6, zone='a'):
        super().__init__(fleet.host)
        self.fleet = fleet
        self.name = name
        self.service = service
        self.slots = slots
        self.zone = zone
        self.state = 'ready'
        self.is_listed = True
        self.handle_order = None
        self._work = work
        self._sequence = itertools.count()
        self._born_ms = 0

    async def start(self):
        await self.open()
        self._born_ms = int(time.time() * 1000)
        self.is_listed = True
        self.write_record()

    def write_record(self):
        self.fleet.store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': '1',
                'slots': self.slots,
                'state': self.state,
                'coldRemainingMs': 0,
                'sequence': next(self._sequence),
                'born': self._born_ms,
            },
        )

    async def handle(self, message, writer):
        first, fields, body = message
        expected = fields.get('x-figspread-expect-instance', self.name)
        if expected != self.name:
            writer.write(
                make_answer(
                    421, b'', [('X-Figspread-Instance-Id', self.name)]
                )
            )
        elif ' /figspread/order ' in first and self.handle_order:
            await self.handle_order(self, json.loads(body), writer)
        else:
            await self._work(self, message, writer)

    def begin(self, fields):
        """Record that a request begins to run."""
        request = fields.get('x-figspread-request-id', '')
        run = Run(self, request, self.fleet.record.now())
        self.fleet.runs.append(run)
        self.fleet.record.write('run {0} at {1}'.format(request, self.name))
        return run

    def sign(self, fields):
        request = fields.get('x-figspread-request-id', '')
        return [
            ('X-Figspread-Request-Id', request),
            ('X-Figspread-Server-Signature', '{0}.1'.format(self.name)),
        ]


# Entries ---------------------------------------------------------------------


class Entry:
    """An entry process on an address of its own."""

    def __init__(self, fleet, number, zone, link):
        self._fleet = fleet
        self.name = 'frontend-{0}-{1}'.format(zone, number)
        self.host = fleet.host_of(number)
        self.link = link
        self.process = None
        self.started_s = 0
        self._settings = fleet.folder / '{0}.conf'.format(self.name)
        self._zone = zone

    def write_settings(self, seeds, zones):
        callers, readiness, control, first = self._fleet.ports
        here = '{0}:{1}'.format
        fields = {
            'nodeName': self.name,
            'role': 'entry',
            'machineClass': 'frontend',
            'serves': 'frontend,control',
            'ipAddress': self.host,
            'zone': self._zone,
            'region': 'r',
            **{'zones.{0}'.format(zone): 'r' for zone in zones},
            'listenAddresses.frontend': here(self.host, callers),
            'listenAddresses.readiness': here(self.host, readiness),
            'listenAddresses.control': here(self.host, control),
            'internalPorts': '{0},{1}'.format(first, first + 15),
            'seeds': ','.join(here(seed, control) for seed in seeds),
            'firstStart': 'true',
            'countsTowardTolerance': 'false',
            'limits.cpuShare': '0.817',
            'limits.cores': '1',
            'limits.memoryMb': '300',
            'limits.fileDescriptors': '4200',
            'limits.linkMbps': '1000.0',
            'limits.diskMb': '0',
            'discovery': 'platform',
            'entry': 'virtual_ip',
            'heartbeatMs': '1200',
            'contracts': 'base,drain,config,cost,retry,recover,engine,stream,'
            'tenants,platform,spans',
            'faultTolerance.machines': '2',
            'faultTolerance.zones': '0',
            'faultTolerance.regions': '0',
            'bounds.seedLagS': '3',
            'bounds.reuseAfterS': '2',
            'bounds.settleWindowMs': '3000',
            'bounds.confirmMs': '4000',
            'bounds.catchUpS': '4',
            'bounds.drainMs': '2000',
            'bounds.graceS': '8',
            'bounds.lossSlackMs': '200',
            'bounds.configPropagationMs': '2000',
            'bounds.rollbackSlackMs': '250',
            'bounds.outerBoundMs': '5000',
            'bounds.strictRevocation': 'false',
            'bounds.revocationMs': '5000',
            'bounds.retryBudgetRatio': '0.2',
            'bounds.budgetWindowS': '10',
            'bounds.budgetSlack': '100',
            'bounds.recoveryS': '12',
            'bounds.passMs': '120',
            'bounds.retryAfterS': '0',
            'bounds.stall_ms': '1500',
            'bounds.maxHoldMs': '20000',
            'bounds.freeMs': '4000',
            'bounds.maxIdleMs': '9000',
            'platform.address': self.link.address,
            'platform.form': 'objects',
            'platform.writesPerS': '400',
            'platform.readsPerS': '2000',
            'platform.historyS': '20',
            'platform.valueBytes': '1048576',
            'platform.minTtlMs': '1000',
        }
        self._settings.write_text(
            ''.join('{0}={1}\n'.format(*field) for field in fields.items())
        )

    def start(self):
        log = (self._fleet.folder / '{0}.log'.format(self.name)).open('ab')
        self.process = subprocess.Popen(
            self._fleet.command,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': str(self._fleet.folder),
                'LANG': 'C.UTF-8',
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'FIGSPREAD_BOOT': str(self._settings),
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.started_s = self._fleet.record.now()
        self._fleet.record.write('start {0}'.format(self.name))

    def send_signal(self, number):
        self._fleet.record.write(
            '{0} to {1}'.format(signal.Signals(number).name, self.name)
        )
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                call(self.host, self._fleet.ports[1], 'GET', '/ready', []), 1
            )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200


class Answer:
    """What a caller got; status 0 means no whole answer."""

    def __init__(self, status, fields, body):
        self.status = status
        self.fields = fields
        self.body = body


async def call(host, port, method, target, fields, body=b''):
    """Send one request over a new connection; return the whole answer."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = ['{0} {1} HTTP/1.1'.format(method, target)]
        lines += ['{0}: {1}'.format(*field) for field in fields]
        lines += ['Host: {0}'.format(HOST), 'Connection: close']
        lines.append('Content-Length: {0}'.format(len(body)))
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        message = await read_message(reader)
        if message is None:
            return Answer(0, {}, b'')
        first, got, content = message
        if content is None:
            content = await read_chunks(reader)
        status = 0 if content is None else int(first.split(' ')[1])
        return Answer(status, got, content)
    except (ConnectionError, asyncio.IncompleteReadError):
        return Answer(0, {}, b'')
    finally:
        writer.close()


async def read_chunks(reader):
    """Return a chunked body, None if it breaks off."""
    body = b''
    while line := await reader.readline():
        size = int(line, 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body
    return None


class Fleet:
    """The store, the entries with their links, and the engines of a case."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.host = '127.0.0.1'
        self.runs = []
        self.engines = []
        self.entries = []
        self.store = Store()
        self.ports = [_free_port() for _ in range(3)]
        self.ports.append(random.randrange(20_000, 28_000))
        self._network = random.randrange(2, 250), random.randrange(2, 250)
        self._ids = itertools.count(1)
        self._beats = None
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        program, *words = deploy['roles']['entry']['run'].split()
        self.command = [shutil.which(program) or sys.executable, *words]

    def host_of(self, number):
        return '127.{0}.{1}.{2}'.format(*self._network, number)

    async def start(self, configuration, zones, engines):
        """Start everything; `zones` has the zone of each entry."""
        await self.store.open()
        self.store.put('config', 'main', configuration)
        for engine in engines:
            self.engines.append(engine)
            await engine.start()
        self._beats = asyncio.create_task(self._beat())
        for number, zone in enumerate(zones, 1):
            link = Link(self.store)
            await link.open()
            self.entries.append(Entry(self, number, zone, link))
        seeds = [entry.host for entry in self.entries[:3]]
        for entry in self.entries:
            entry.write_settings(seeds, sorted(set(zones)))
            entry.start()
        await self.wait_ready()

    def list_watching(self):
        """Return the entries that have sent a watch lately."""
        since_s = time.monotonic() - WATCH_S
        return [e for e in self.entries if e.link.watched_s > since_s]

    async def wait_ready(self, timeout_s=20):
        until_s = self.record.now() + timeout_s
        while self.record.now() < until_s:
            ready = await asyncio.gather(
                *(entry.is_ready() for entry in self.entries)
            )
            if all(ready):
                self.record.write('all entries are ready')
                return
            await asyncio.sleep(0.1)
        raise CannotRun('the entries are not ready in time')

    async def request(self, entry, method, target, *, key=KEY, **options):
        """Send one attempt of a client; return its id and the answer."""
        request = '{0:016x}'.format(next(self._ids))
        fields = [
            ('X-Figspread-Request-Id', request),
            ('Authorization', 'Bearer {0}'.format(key)),
            (
                'X-Figspread-Request-Deadline',
                str(options.get('deadline_ms', 2000)),
            ),
            *options.get('fields', ()),
        ]
        self.record.write(
            'send {0} {1} {2} to {3}'.format(
                request, method, target, entry.name
            )
        )
        try:
            answer = await asyncio.wait_for(
                call(
                    entry.host,
                    self.ports[0],
                    method,
                    target,
                    fields,
                    options.get('body', b''),
                ),
                options.get('deadline_ms', 2000) / 1000 + 1,
            )
        except (OSError, TimeoutError):
            answer = Answer(0, {}, b'')
        self.record.write(
            'answer {0}: {1} {2}'.format(
                request, answer.status, (answer.body or b'')[:60]
            )
        )
        return request, answer

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for engine in self.engines:
                if engine.is_listed:
                    engine.write_record()

    def stop(self):
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.kill()
                entry.process.wait()


def make_route(name, kind, service, **overrides):
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': '/{0}/'.format(name),
        'kind': kind,
        'service': service,
        'timeoutMs': 10_000,
        'targetLatencyMs': 125,
        'targetGapMs': 200,
        'attempts': 2,
        'priority': 1,
        **overrides,
    }


def make_configuration(version, routes, services):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 4_194_304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': [{'name': 'studio', 'apiKeys': [KEY]}],
    }


def _free_port():
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


async def _play(case, folder, record):
    fleet = Fleet(folder, record)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        # The processes that were started are ended then, too.
        loop.add_signal_handler(number, asyncio.current_task().cancel)
    try:
        async with asyncio.timeout(110):
            return await case(fleet)
    finally:
        fleet.stop()


def main(case, record_path):
    """Run a case; exit with 1 if the rule was broken, 0 if it held."""
    record = Record(record_path)
    folder = Path(tempfile.mkdtemp(prefix='review-3-'))
    status = CANNOT_RUN
    try:
        if not (ROOT / 'target' / 'app' / 'entry.py').exists():
            raise CannotRun('target/app is not built')
        status = asyncio.run(_play(case, folder, record))
    except (CannotRun, TimeoutError, asyncio.CancelledError) as exc:
        record.write('cannot run: {0!r}'.format(exc))
    except Exception:
        record.write('cannot run: {0}'.format(traceback.format_exc()))
    record.write('exit {0}'.format(status))
    if os.environ.get('KEEP_LOGS'):
        sys.stderr.write('{0}\n'.format(folder))
    else:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(status)
