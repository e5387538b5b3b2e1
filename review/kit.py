"""Small stand-ins for the platform's store, engines and callers, and a fleet.

Only the standard library is used. The entries are the project's own program,
started with the command of the deploy file as processes of their own.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = 'ficu95.example'
KEY = 'yhks8nbkxxmibw6kpqk8'
TENANT = 'hule930'
SIGNATURE = 'X-Figspread-Server-Signature'
REQUEST_ID = 'x-figspread-request-id'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ENGINE = {
    'slots': 8, 'kvCacheTokens': 450000, 'stride': 46,
    'models': [{'name': 'm'}], 'step_ms': 0.925, 'per_seq_ms': 0.00483,
    'context_per_k': 0.00254, 'read_per_s': 256000.0, 'pairs_per_m': 0.0917,
    'chunk': 2048, 'report_lag_ms': 200.0,
    'usual': {'prompt': 13227, 'answer': 1541}, 'hopMs': 0.1,
}


class Skip(Exception):
    """The case can't run here."""


class Record:
    """Writes `record.txt`, one line an event, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / 'record.txt', 'w')
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, text, *args):
        self._file.write('{0:8.3f} {1}\n'.format(self.now(), text.format(*args)))
        self._file.flush()


async def read_message(reader):
    """Return start line, headers and body of a request or answer."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    elif headers.get('transfer-encoding', '') == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                break
            body += piece[:-2]
    return lines[0], headers, body


def encode_answer(status, fields, body):
    lines = ['HTTP/1.1 {0} X'.format(status)]
    lines += ['{0}: {1}'.format(*field) for field in fields]
    lines += ['Content-Length: {0}'.format(len(body)), '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Server:
    """An HTTP/1.1 server; `answer` is called for each request."""

    def __init__(self, host):
        self.host = host
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return '{0}:{1}'.format(self.host, self.port)

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(' ')
                await self.answer(method, target, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: objects by kind and name, lists and watches."""

    def __init__(self, host, record):
        super().__init__(host)
        self._record = record
        self._objects = {}
        self._events = []
        self.revision = 100
        self._changed = asyncio.Event()

    def put_raw(self, kind, name, document):
        """Write an object whose specification is the JSON text `document`."""
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and known[1] == document:
            return
        self.revision += 1
        self._objects[kind][name] = (self.revision, document)
        self._record_event(kind, name, self.revision, document, deleted=False)

    def put(self, kind, name, specification):
        self.put_raw(kind, name, json.dumps(specification).encode())

    def delete(self, kind, name):
        known = self._objects.get(kind, {}).pop(name, None)
        if known is not None:
            self.revision += 1
            self._record_event(kind, name, self.revision, known[1], deleted=True)

    def _record_event(self, kind, name, revision, document, *, deleted):
        encoded = b'{"deleted":%s,"object":%s}' % (
            b'true' if deleted else b'false',
            _encode_object(name, revision, document),
        )
        self._events.append((revision, kind, encoded))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, method, target, headers, body, writer):
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {name: texts[0] for name, texts in parse_qs(parts.query).items()}
        path = parts.path.removeprefix('/figspread/objects/')
        kind, _, name = map(unquote, path.partition('/'))
        if method == 'GET' and 'watch' in query:
            status, reply = await self._watch(kind, query)
        elif method == 'GET':
            status, reply = self._read(kind, name)
        else:
            status, reply = self._write(method, kind, name, body)
        fields = [('Content-Type', 'application/json'), ('Store-Era', '1')]
        writer.write(encode_answer(status, fields, reply))

    def _read(self, kind, name):
        known = self._objects.get(kind, {})
        if name:
            if name not in known:
                return 404, b'{}'
            return 200, _encode_object(name, *known[name])
        items = [_encode_object(item, *known[item]) for item in sorted(known)]
        return 200, b'{"items":[%s],"more":false,"asOf":%d}' % (
            b','.join(items),
            self.revision,
        )

    async def _watch(self, kind, query):
        since = int(query['watch'])
        if since > self.revision:
            return 410, b'{}'
        ends = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            found = [
                event for revision, of, event in self._events
                if of == kind and revision > since
            ]
            left = ends - time.monotonic()
            if found or left <= 0:
                return 200, b'{"events":[%s],"asOf":%d}' % (
                    b','.join(found),
                    self.revision,
                )
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                continue

    def _write(self, method, kind, name, body):
        if method == 'DELETE':
            known = name in self._objects.get(kind, {})
            self.delete(kind, name)
            return (200 if known else 404), b'{}'
        decoded = json.loads(body)
        name = name or decoded['metadata']['name']
        if method == 'POST' and name in self._objects.get(kind, {}):
            return 409, self._read(kind, name)[1]
        self.put(kind, name, decoded.get('specification'))
        return (201 if method == 'POST' else 200), self._read(kind, name)[1]


def _encode_object(name, revision, document):
    metadata = {
        'name': name, 'revision': revision, 'created': 1, 'finalizers': [],
        'deleting': False,
    }
    return b'{"metadata":%s,"specification":%s,"status":null}' % (
        json.dumps(metadata).encode(),
        document,
    )


class Engine(Server):
    """An engine or a plain service. `runs` counts what it began, by id."""

    def __init__(self, name, service, zone, host, record, slots=8):
        super().__init__(host)
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.runs = {}
        self.arrivals = []
        self.work_s = 0.02
        self.events = 20
        self.body_bytes = 800
        self._record = record

    @property
    def entry(self):
        return {
            'service': self.service, 'address': self.address,
            'zone': self.zone, 'version': 'v1', 'slots': self.slots,
            'state': self.state, 'coldRemainingMs': 0, 'sequence': 1,
            'stage': 'combined',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'born': self.born,
        }

    def own_fields(self):
        """Return what it says of itself in each answer."""
        return []

    async def answer(self, method, target, headers, body, writer):
        if headers.get('x-figspread-expect-instance', self.name) != self.name:
            writer.write(encode_answer(421, [('At-Server', self.name)], b''))
            return
        request = headers.get(REQUEST_ID, '')
        self.arrivals.append((self._record.now(), request))
        self._record.write('arrives {0} at {1}', request, self.name)
        await self.handle(request, headers, writer)

    async def handle(self, request, headers, writer):
        self.runs[request] = self.runs.get(request, 0) + 1
        fields = [
            ('X-Figspread-Request-Id', request),
            (SIGNATURE, '{0}.{1}'.format(self.name, request)),
            *self.own_fields(),
        ]
        await asyncio.sleep(self.work_s)
        if 'x-figspread-token-usage' in headers:
            await self.stream(headers, fields, writer)
        else:
            body = (request + ' ').encode().ljust(self.body_bytes, b'.')
            writer.write(encode_answer(200, fields, body))
        self._record.write('answered {0} by {1}', request, self.name)

    async def stream(self, headers, fields, writer):
        begin = int(headers.get('last-event-id', -1)) + 1
        begin_stream(writer, fields)
        for number in range(begin, self.events):
            send_chunk(writer, make_event(number))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b'0\r\n\r\n')


def begin_stream(writer, fields):
    lines = ['HTTP/1.1 200 OK']
    lines += ['{0}: {1}'.format(*field) for field in fields]
    lines += [
        'Content-Type: text/event-stream', 'Transfer-Encoding: chunked', '', '',
    ]
    writer.write('\r\n'.join(lines).encode())


def send_chunk(writer, piece):
    writer.write(b'%x\r\n%s\r\n' % (len(piece), piece))


def make_event(number):
    return 'id: {0}\ndata: {1}\n\n'.format(number, 'x' * 70).encode()


def encode_request(
    request, route, limit_ms, usage='', body=b'{}', method='POST', parts='5c1e07a2:40'
):
    lines = [
        '{0} /{1}/2f HTTP/1.1'.format(method, route),
        'Host: {0}'.format(HOST),
        'X-Figspread-Request-Id: {0}'.format(request),
        'X-Figspread-Request-Deadline: {0}'.format(limit_ms),
        'Authorization: Bearer {0}'.format(KEY),
    ]
    if usage:
        lines.append('X-Figspread-Model: m')
        lines.append('X-Figspread-Token-Usage: {0}'.format(usage))
        # The last part belongs to the request itself.
        lines.append('X-Figspread-Prompt-Prefix: {0},{1:x}:{2}'.format(
            parts, abs(hash(request)) % 16**8, usage.partition(',')[0]
        ))
    if method == 'POST':
        lines.append('Content-Length: {0}'.format(len(body)))
    else:
        body = b''
    return '\r\n'.join([*lines, '', '']).encode() + body


async def call(address, request, route, limit_ms, **options):
    """Send a request on a new connection; return (status, headers, body).

    The status is 0 if the connection broke, and -1 if no whole answer came
    within the caller's time.
    """
    writer = None
    try:
        async with asyncio.timeout(limit_ms / 1000):
            host, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_request(request, route, limit_ms, **options))
            line, headers, body = await read_message(reader)
            return int(line.split(' ')[1]), headers, body
    except TimeoutError:
        return -1, {}, b''
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.transport.abort()


class Entry:
    """An entry process on a loopback address of its own."""

    def __init__(self, name, zone, ip, store, seeds, folder, bounds):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.callers = '{0}:8227'.format(ip)
        self.readiness = '{0}:8220'.format(ip)
        self._folder = folder
        self._settings = folder / (name + '.conf')
        self.log = folder / (name + '.log')
        self.process = None
        fields = {
            'nodeName': name, 'role': 'entry', 'machineClass': 'frontend',
            'serves': 'frontend,control', 'ipAddress': ip, 'zone': zone,
            'region': 'mu-north', 'zones.a': 'mu-north', 'zones.b': 'mu-north',
            'zones.c': 'mu-north',
            'listenAddresses.frontend': self.callers,
            'listenAddresses.readiness': self.readiness,
            'listenAddresses.control': '{0}:8229'.format(ip),
            'internalPorts': '7340,7355',
            'seeds': ','.join('{0}:8229'.format(seed) for seed in seeds),
            'firstStart': 'true', 'limits.cpuShare': '0.817',
            'limits.cores': '1', 'limits.memoryMb': '300',
            'limits.fileDescriptors': '4200', 'limits.linkMbps': '1000.0',
            'heartbeatMs': '1200', 'platform.address': store,
            'platform.form': 'objects', 'platform.writesPerS': '400',
            'platform.readsPerS': '2000', 'platform.historyS': '20',
            **{'bounds.' + bound: str(bounds[bound]) for bound in bounds},
        }
        self._settings.write_text(
            ''.join('{0}={1}\n'.format(*field) for field in fields.items())
        )

    def start(self):
        keep = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, 'target/app/entry.py', 'deploy/entry.toml'],
                cwd=ROOT,
                env={
                    **keep,
                    'PYTHONPATH': 'target/deps',
                    'FIGSPREAD_BOOT': str(self._settings),
                },
                stdout=log,
                stderr=log,
            )

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def readiness_status(self):
        """Return the status of the readiness check, 0 for no answer in 1 s."""
        writer = None
        try:
            async with asyncio.timeout(1):
                host, _, port = self.readiness.rpartition(':')
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b'GET /figspread/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
                line, _, _ = await read_message(reader)
                return int(line.split(' ')[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0
        finally:
            if writer is not None:
                writer.transport.abort()


BOUNDS = {
    'settleWindowMs': 3000, 'drainMs': 2000, 'graceS': 8,
    'configPropagationMs': 2000, 'retryBudgetRatio': 0.2, 'budgetWindowS': 10,
    'budgetSlack': 100, 'recoveryS': 12, 'lossSlackMs': 200,
}


class Fleet:
    """A store, engines, plain services and three entries in three zones."""

    def __init__(self, folder, bounds=BOUNDS):
        if not (ROOT / 'target' / 'app' / 'entry.py').is_file():
            raise Skip('target/app is missing: run the build of the deploy file')
        self.record = Record(folder)
        process_id = os.getpid()
        self._net = '127.{0}.{1}.'.format(
            1 + process_id % 250, 1 + process_id // 250 % 250
        )
        self.store = Store(self._net + '1', self.record)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self._bounds = bounds
        self.entries = []
        self.engines = {}
        self._ids = 0

    def host(self, number):
        return self._net + str(number)

    def new_id(self):
        self._ids += 1
        return '{0:08x}{1:08x}'.format(self._ids, random.getrandbits(32))

    def configure(self, routes, services, version=7):
        self.store.put('config', 'main', {
            'version': version, 'routes': routes, 'services': services,
            'limits': {
                'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
            },
            'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'priority': 1}],
        })

    async def add_engine(self, engine):
        await engine.start()
        self.engines[engine.name] = engine
        self.store.put('servers', engine.name, engine.entry)

    async def start(self, entries=3):
        await self.store.start()
        addresses = [self.host(40 + number) for number in range(entries)]
        for number, ip in enumerate(addresses):
            self.entries.append(Entry(
                'frontend-{0}-1'.format('abc'[number]), 'abc'[number], ip,
                self.store.address, addresses, self.folder, self._bounds,
            ))
        for entry in self.entries:
            entry.start()

    async def wait_ready(self, limit_s=20):
        """Wait until all entries are ready; return whether they are."""
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends:
            statuses = await asyncio.gather(
                *(entry.readiness_status() for entry in self.entries)
            )
            if all(status == 200 for status in statuses):
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self):
        for entry in self.entries:
            entry.kill()
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                shutil.copy(entry.log, Path(keep) / (entry.name + '.log'))
        for engine in self.engines.values():
            engine.stop()
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def make_route(name, kind, service, timeout_ms, **more):
    return {
        'name': 'r-' + name, 'host': HOST, 'pathPrefix': '/{0}/'.format(name),
        'kind': kind, 'service': service, 'timeoutMs': timeout_ms,
        'targetLatencyMs': 300, 'priority': 1, 'attempts': 2,
        'allowAnonymous': False, **more,
    }


STREAM = {'sessionAffinity': True, 'streamResumption': True, 'targetGapMs': 200}
SERVICES = [
    {
        'name': 'pool', 'healthCheckPath': '/health', 'connectionLimit': 264,
        'protocol': 'h1', 'tls': False, 'engine': ENGINE,
    },
    {
        'name': 'desk', 'healthCheckPath': '/health', 'connectionLimit': 96,
        'protocol': 'h1', 'tls': False,
    },
]


def main(folder, play, bounds=BOUNDS):
    """Run `play(fleet)`, which returns whether the rule held; exit by it."""

    def end(number, frame):
        raise SystemExit(2)

    # The processes that were started end also if this one is told to.
    signal.signal(signal.SIGTERM, end)

    async def run():
        fleet = Fleet(folder, bounds)
        try:
            async with asyncio.timeout(110):
                return await play(fleet)
        finally:
            fleet.stop()
            # Lets the connections end before the loop does.
            await asyncio.sleep(0.1)

    try:
        held = asyncio.run(run())
    except Exception as exc:
        print('could not run: {0!r}'.format(exc))
        sys.exit(2)
    print('the rule held' if held else 'the rule is broken')
    sys.exit(0 if held else 1)
