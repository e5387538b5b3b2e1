"""Small stand-ins for the scripts of the second review: store, engines, clients.

They use the standard library only, speak what PROTOCOL.md says, and run in the
process of the script. Entries are started with the command of the deploy file.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
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
POOL = 'pool'
DESK = 'desk'
HEARTBEAT_S = 1.2
SETTLE_S = 3.0
ENGINE = {
    'slots': 8,
    'kvCacheTokens': 450_000,
    'stride': 46,
    'step_ms': 0.925,
    'per_seq_ms': 0.00966,
    'context_per_k': 0.00254,
    'read_per_s': 256_000.0,
    'pairs_per_m': 0.138,
    'chunk': 2048,
    'usual': {'prompt': 13_227, 'answer': 1541},
}
LIMITS = {
    'maxHeaderBytes': 16_384,
    'maxBodyBytes': 4_194_304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15_000,
}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to the record of a case."""

    def __init__(self, path):
        self._file = Path(path).open('w')
        self._began_s = time.monotonic()

    def now(self):
        return time.monotonic() - self._began_s

    def write(self, text):
        self._file.write('{0:8.3f} {1}\n'.format(self.now(), text))
        self._file.flush()


async def read_head(reader):
    """Return the first line and the fields of a message, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        if name:
            fields[name.strip().lower()] = text.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Return the body of a message with a length or in chunks."""
    if 'chunked' in fields.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(fields.get('content-length', 0)))


def encode_answer(status, body=b'', fields=()):
    """Return a whole answer with a length."""
    lines = ['HTTP/1.1 {0} X'.format(status)]
    lines += ['{0}: {1}'.format(*field) for field in fields]
    lines.append('Content-Length: {0}'.format(len(body)))
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Server:
    """A TCP server that keeps its connections, to be ended by a script."""

    def __init__(self, host):
        self.host = host
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return '{0}:{1}'.format(self.host, self.port)

    @property
    def is_listening(self):
        return self._server is not None

    async def listen(self):
        self._server = await asyncio.start_server(
            self._accept, self.host, self.port, limit=1 << 20, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self):
        """Stop listening and abort all connections, as a killed process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                await self.handle(head, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, head, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: objects by kind and name, lists and watches."""

    def __init__(self, host='127.0.0.1'):
        super().__init__(host)
        self._revision = 100
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self.is_busy = False

    def names(self, kind):
        return sorted(self._objects.get(kind, {}))

    def put(self, kind, name, specification):
        self._revision += 1
        stored = {
            'metadata': {'name': name, 'revision': self._revision},
            'specification': specification,
        }
        self._objects.setdefault(kind, {})[name] = stored
        self._tell(kind, stored, False)
        return self._revision

    def delete(self, kind, name):
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self._revision += 1
            metadata = {**stored['metadata'], 'revision': self._revision}
            self._tell(kind, {**stored, 'metadata': metadata}, True)

    def _tell(self, kind, stored, deleted):
        self._events.append((self._revision, kind, stored, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, head, reader, writer):
        line, fields = head
        method, target, _ = line.split(' ')
        body = await read_body(reader, fields)
        status, document = await self.answer(method, target, body)
        octets = json.dumps(document).encode()
        described = [('Content-Type', 'application/json')]
        writer.write(encode_answer(status, octets, described))
        await writer.drain()

    def set_busy(self, is_busy):
        """Answer 503 to all calls, also to watches that wait; or work again."""
        self.is_busy = is_busy
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, method, target, body):
        if self.is_busy:
            return 503, {}
        parts = urlsplit(target)
        query = {name: row[0] for name, row in parse_qs(parts.query).items()}
        path = parts.path.removeprefix('/figspread/objects/')
        kind, _, name = (unquote(part) for part in path.partition('/'))
        known = self._objects.get(kind, {})
        if method == 'GET':
            if name:
                return (200, known[name]) if name in known else (404, {})
            if 'watch' in query:
                return await self._watch(kind, query)
            items = [known[item] for item in sorted(known)]
            return 200, {'items': items, 'more': False, 'asOf': self._revision}
        if method == 'DELETE':
            self.delete(kind, name)
            return 200, {}
        document = json.loads(body)
        name = name or document['metadata']['name']
        if method == 'POST' and name in known:
            return 409, known[name]
        if method == 'PUT' and name not in known:
            return 404, {}
        self.put(kind, name, document['specification'])
        return 200, self._objects[kind][name]

    async def _watch(self, kind, query):
        since = int(query['watch'])
        until_s = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            if self.is_busy:
                return 503, {}
            events = [
                {'object': stored, 'deleted': deleted}
                for revision, changed, stored, deleted in self._events
                if changed == kind and revision > since
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'asOf': self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue


class Run:
    """A request that has arrived at an engine."""

    def __init__(self, engine, line, fields, body, at_s):
        self.engine = engine
        self.line = line
        self.fields = fields
        self.body = body
        self.at_s = at_s
        self.ended_s = None
        self.request = fields.get('x-figspread-request-id', '')


class Engine(Server):
    """An engine or a process of a plain service, registered in the store.

    `work` is called for each request that it runs; `runs` has all of them.
    """

    def __init__(self, fleet, name, service, work, *, slots=8, zone='a'):
        super().__init__(fleet.host)
        self._fleet = fleet
        self.fleet = fleet
        self.name = name
        self.service = service
        self.slots = slots
        self.zone = zone
        self.state = 'ready'
        self.cold_until_s = 0
        self.sequence = 0
        self.born = 0
        self.runs = []
        self.orders = []
        self._work = work

    async def start(self):
        await self.listen()
        self.born = int(time.time() * 1000)
        self.register()

    @property
    def cold_ms(self):
        return max(0, round(1000 * (self.cold_until_s - time.monotonic())))

    def register(self):
        """Write its record; the store may turn that away."""
        if self._fleet.store.is_busy:
            return
        self.sequence += 1
        record = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': self.cold_ms,
            'sequence': self.sequence,
            'born': self.born,
        }
        self._fleet.store.put('servers', self.name, record)

    async def handle(self, head, reader, writer):
        line, fields = head
        instance = [('X-Figspread-Instance-Id', self.name)]
        if fields.get('x-figspread-expect-instance', self.name) != self.name:
            await read_body(reader, fields)
            writer.write(encode_answer(421, b'', instance))
            return
        if ' /figspread/order ' in line:
            order = json.loads(await read_body(reader, fields))
            self.orders.append((self._fleet.record.now(), order))
            writer.write(encode_answer(200, b'{"freeCapacity":1}'))
            return
        if ' /health ' in line:
            await read_body(reader, fields)
            cold = [('X-Figspread-Cold-Remaining', str(self.cold_ms))]
            writer.write(encode_answer(200, b'', [*instance, *cold]))
            return
        await self._work(self, line, fields, reader, writer)

    def note(self, line, fields, body):
        """Record that a request begins to run."""
        run = Run(self, line, fields, body, self._fleet.record.now())
        self.runs.append(run)
        self._fleet.record.write(
            'run      {0} at {1}: {2}'.format(run.request, self.name, line)
        )
        return run

    def sign(self, fields):
        return [
            ('X-Figspread-Request-Id', fields.get('x-figspread-request-id', '')),
            ('X-Figspread-Server-Signature', '{0}.sig'.format(self.name)),
        ]


class Entry:
    """An entry process, started with the command of the deploy file."""

    def __init__(self, fleet, number, zone='a', **settings):
        self._fleet = fleet
        self.name = 'frontend-{0}-{1}'.format(zone, number)
        self.host = fleet.entry_host(number)
        ports = fleet.ports
        self.address = (self.host, ports[0])
        self.readiness = (self.host, ports[1])
        self.process = None
        self.started_s = 0
        self._settings_path = fleet.folder / '{0}.conf'.format(self.name)
        self.log_path = fleet.folder / '{0}.log'.format(self.name)
        fields = {
            'nodeName': self.name,
            'role': 'entry',
            'machineClass': 'frontend',
            'serves': 'frontend,control',
            'ipAddress': self.host,
            'zone': zone,
            'region': 'r',
            'zones.{0}'.format(zone): 'r',
            'listenAddresses.frontend': '{0}:{1}'.format(self.host, ports[0]),
            'listenAddresses.readiness': '{0}:{1}'.format(self.host, ports[1]),
            'listenAddresses.control': '{0}:{1}'.format(self.host, ports[2]),
            'internalPorts': '{0},{1}'.format(ports[3], ports[3] + 15),
            'seeds': ','.join(
                '{0}:{1}'.format(fleet.entry_host(other), ports[2])
                for other in range(1, min(3, fleet.entry_count) + 1)
            ),
            'firstStart': 'true',
            'limits.cpuShare': '0.817',
            'limits.cores': '1',
            'limits.memoryMb': '300',
            'limits.fileDescriptors': '4200',
            'limits.linkMbps': '1000.0',
            'heartbeatMs': '1200',
            'bounds.settleWindowMs': '3000',
            'bounds.drainMs': '2000',
            'bounds.graceS': '8',
            'bounds.lossSlackMs': '200',
            'bounds.configPropagationMs': '2000',
            'bounds.retryBudgetRatio': '0.2',
            'bounds.budgetWindowS': '10',
            'bounds.budgetSlack': '100',
            'bounds.recoveryS': '12',
            'platform.address': fleet.store.address,
            **settings,
        }
        self._settings_path.write_text(
            ''.join('{0}={1}\n'.format(*field) for field in fields.items())
        )

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['entry']['run'].split()
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['FIGSPREAD_BOOT'] = str(self._settings_path)
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.started_s = self._fleet.record.now()
        self._fleet.record.write('start    {0}'.format(self.name))

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        self._fleet.record.write(
            'signal   {0} {1}'.format(signal.Signals(number).name, self.name)
        )
        self.process.send_signal(number)

    def kill(self):
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
            self._fleet.record.write('killed   {0}'.format(self.name))

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                exchange(self.readiness, 'GET', '/figspread/readiness'), 1
            )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    async def wait_until_ready(self, timeout_s=20):
        until_s = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > until_s or not self.is_running:
                raise CannotRun('{0} is not ready'.format(self.name))
            await asyncio.sleep(0.05)


class Answer:
    """What a client has received; status 0 is a closed connection."""

    def __init__(self, status, fields, body, is_whole):
        self.status = status
        self.fields = fields
        self.body = body
        self.is_whole = is_whole


async def read_answer(reader):
    head = await read_head(reader)
    if head is None:
        return Answer(0, {}, b'', False)
    line, fields = head
    try:
        body = await read_body(reader, fields)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Answer(int(line.split(' ')[1]), fields, b'', False)
    return Answer(int(line.split(' ')[1]), fields, body, True)


async def connect(address):
    return await asyncio.wait_for(
        asyncio.open_connection(*address, limit=1 << 20), 1
    )


def encode_request(method, target, fields=(), body=b''):
    lines = ['{0} {1} HTTP/1.1'.format(method, target)]
    lines += ['{0}: {1}'.format(*field) for field in fields]
    if body or method == 'POST':
        lines.append('Content-Length: {0}'.format(len(body)))
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def exchange(address, method, target, fields=(), body=b''):
    """Send one request on a connection of its own; return the answer."""
    reader, writer = await connect(address)
    try:
        shown = fields or [('Host', 'x')]
        writer.write(encode_request(method, target, shown, body))
        return await read_answer(reader)
    finally:
        writer.transport.abort()


def make_fields(request, deadline_ms=5000, extra=(), key=KEY):
    """Return the header of a client's request."""
    return [
        ('Host', HOST),
        ('X-Figspread-Request-Id', request),
        ('X-Figspread-Request-Deadline', str(deadline_ms)),
        ('Authorization', 'Bearer {0}'.format(key)),
        *extra,
    ]


def make_route(name, kind, service, **overrides):
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': '/{0}/'.format(name),
        'kind': kind,
        'service': service,
        'timeoutMs': 10_000,
        'targetLatencyMs': 300,
        'targetGapMs': 200,
        'attempts': 2,
        'priority': 1,
        **overrides,
    }


def find_ports(host, preferred):
    """Return these ports, or others in place of those that are taken."""
    ports = []
    for port in preferred:
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                sock.bind((host, 0))
            ports.append(sock.getsockname()[1])
    return tuple(ports)


class Fleet:
    """The store, engines and entries of a case, in a folder of their own."""

    def __init__(self, record, entries):
        self.record = record
        self.entry_count = entries
        self.folder = Path(tempfile.mkdtemp(prefix='figspread-review-'))
        number = os.getpid()
        self._net = '127.{0}.{1}'.format(10 + number % 200, number // 200 % 250)
        self.host = '{0}.250'.format(self._net)
        self.ports = find_ports(self.host, (8227, 8220, 8229, 7340))
        self.store = Store('{0}.249'.format(self._net))
        self.entries = []
        self.engines = []
        self.version = 0
        self._tasks = []

    def entry_host(self, number):
        return '{0}.{1}'.format(self._net, number)

    async def start(self, configuration, **settings):
        await self.store.listen()
        self.configure(configuration)
        for engine in self.engines:
            await engine.start()
        self._tasks.append(asyncio.create_task(self._beat()))
        for number in range(1, self.entry_count + 1):
            entry = Entry(self, number, **settings)
            entry.start()
            self.entries.append(entry)
        for entry in self.entries:
            await entry.wait_until_ready()

    def configure(self, configuration):
        self.version += 1
        self.store.put(
            'config', 'main', {'version': self.version, **configuration}
        )
        self.record.write('config   version {0}'.format(self.version))

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for engine in self.engines:
                if engine.is_listening:
                    engine.register()

    def stop(self):
        for task in self._tasks:
            task.cancel()
        for entry in self.entries:
            entry.kill()
        for server in (*self.engines, self.store):
            server.crash()
        shutil.rmtree(self.folder, ignore_errors=True)


def make_configuration(routes, **overrides):
    return {
        'routes': routes,
        'services': [
            {'name': POOL, 'connectionLimit': 264, 'engine': ENGINE},
            {'name': DESK, 'connectionLimit': 96},
        ],
        'limits': LIMITS,
        'tenants': [{'name': 'studio', 'apiKeys': [KEY]}],
        **overrides,
    }


def main(play, record_path, entries, limit_s=110):
    """Play a case and exit with its result; `play` returns what was broken."""
    record = Record(record_path)
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    record.write('TROUBLE={0}'.format(int(is_troubled)))

    async def run():
        fleet = Fleet(record, entries)
        try:
            return await asyncio.wait_for(play(fleet, is_troubled), limit_s)
        finally:
            fleet.stop()

    if not (ROOT / 'target/app/entry.py').exists():
        record.write('the build of the deploy file is missing')
        sys.exit(CANNOT_RUN)
    try:
        broken = asyncio.run(run())
    except Exception as exc:
        # A fault of the script is no verdict on the rule.
        record.write('cannot run: {0!r}'.format(exc))
        sys.stderr.write(traceback.format_exc())
        sys.exit(CANNOT_RUN)
    for line in broken:
        record.write('BROKEN   {0}'.format(line))
        sys.stdout.write(line + '\n')
    record.write('result   {0}'.format('broken' if broken else 'held'))
    sys.exit(BROKEN if broken else HELD)
