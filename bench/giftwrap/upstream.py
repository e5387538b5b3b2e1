"""A stand-in for an engine or a process of a plain service.

It keeps what it ran, by request id, so that a check can tell what was doubled
and whether "not run" was true.
"""

import asyncio
import json
import random
from collections import Counter
from enum import Enum
from typing import Any, Final

import msgspec

from figspread.http1.caller import (
    CallerConnection,
    CallerLimits,
    Request,
)
from figspread.http1.fields import find_field

REQUEST_ID: Final = b'x-figspread-request-id'
SIGNATURE: Final = b'x-figspread-server-signature'
NOT_EXECUTED: Final = (b'x-figspread-not-executed', b'1')
TOKENS_PER_EVENT: Final = 46
_MS_PER_S: Final = 1000


class Fault(Enum):
    """What an upstream does wrong with requests that it runs."""

    NONE = 'none'
    LOSES_ANSWER = 'loses_answer'
    RESETS = 'resets'
    EXTRA = 'extra'
    FOREIGN = 'foreign'
    UNFRAMED = 'unframed'
    TRUNCATED = 'truncated'
    CODED = 'coded'
    ERROR = 'error'
    HANGS = 'hangs'
    CRASHES = 'crashes'
    FULL = 'full'
    WITHIN_EVENT = 'within_event'


class Pace(msgspec.Struct, frozen=True):
    """How fast a stand-in works; `read_s` is for a prompt of any length."""

    read_s: float = 0.002
    event_s: float = 0.001
    plain_s: float = 0.001


class RawConnection(CallerConnection):
    """A connection on which an upstream may break the protocol."""

    def write_raw(self, octets: bytes) -> None:
        """Write bytes as they are."""
        if self._transport is not None:
            self._transport.write(octets)

    def abort_soon(self) -> None:
        """Break the connection off once written bytes are out."""
        asyncio.get_running_loop().call_later(0.01, self.abort)


class Upstream:
    """One upstream; `fault` applies to a `share` of what it runs."""

    def __init__(
        self,
        name: str,
        service: str,
        *,
        zone: str = 'a',
        host: str = '127.0.0.1',
        pace: Pace = Pace(),
        slots: int = 8,
        seed: int = 1,
    ) -> None:
        """Prepare; `start` listens."""
        self._host = host
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.state = 'ready'
        self.fault = Fault.NONE
        self.share: float = 1
        self.address = ''
        self.born = 1
        self.runs: Counter[str] = Counter()
        self.seen: list[Request] = []
        self.working: set[str] = set()
        self.tickets: dict[str, float] = {}
        self._pace = pace
        self._rng = random.Random(seed)
        self._conns: set[RawConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def entry(self) -> dict[str, Any]:
        """What the upstream says of itself in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'sequence': 0,
            'born': self.born,
        }

    @property
    def is_listening(self) -> bool:
        """Tell whether it takes connections."""
        return self._server is not None and self._server.is_serving()

    async def start(self, port: int = 0) -> None:
        """Listen on loopback."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            self._host,
            port,
            reuse_address=True,
        )
        host, bound = self._server.sockets[0].getsockname()
        self.address = '{0}:{1}'.format(host, bound)

    async def stop(self) -> None:
        """Stop listening and break everything off, as a crash does."""
        if self._server is not None:
            self._server.close()
        for conn in tuple(self._conns):
            conn.abort()

    def held_tickets(self) -> list[str]:
        """Return the tickets whose time is not over."""
        now = asyncio.get_running_loop().time()
        return [name for name, ends in self.tickets.items() if ends > now]

    def _accept(self) -> RawConnection:
        conn = RawConnection(self._serve, CallerLimits, bool)
        self._conns.add(conn)
        return conn

    async def _serve(self, request: Request, conn: CallerConnection) -> None:
        assert isinstance(conn, RawConnection)  # noqa: S101
        expected = find_field(request.fields, b'x-figspread-expect-instance')
        if expected not in {None, self.name}:
            instance = (b'x-figspread-instance-id', self.name.encode())
            await conn.respond(421, [instance], b'')
            return
        if request.target == b'/figspread/order':
            await self._order(request, conn)
            return
        self.seen.append(request)
        name = find_field(request.fields, REQUEST_ID) or ''
        fault = self._draw_fault()
        is_full = len(self.working) >= self.slots
        if is_full or fault is Fault.FULL:
            await conn.respond(503, [NOT_EXECUTED], b'')
            return
        self.runs[name] += 1
        self.working.add(name)
        try:
            await self._run(request, conn, name, fault)
        finally:
            self.working.discard(name)

    def _draw_fault(self) -> Fault:
        drawn = self._rng.random() < self.share
        return self.fault if drawn else Fault.NONE

    async def _order(self, request: Request, conn: CallerConnection) -> None:
        words = json.loads(request.body)
        now = asyncio.get_running_loop().time()
        if words['operation'] == 'reserve':
            self.tickets[words['id']] = now + words['holdMs'] / _MS_PER_S
        else:
            self.tickets.pop(words['id'], None)
        await conn.respond(200, [], b'{"freeCapacity":1}')

    async def _run(
        self,
        request: Request,
        conn: RawConnection,
        name: str,
        fault: Fault,
    ) -> None:
        fields = [
            (REQUEST_ID, name.encode()),
            (SIGNATURE, '{0}.sig'.format(self.name).encode()),
        ]
        usage = find_field(request.fields, b'x-figspread-token-usage')
        await asyncio.sleep(
            self._pace.plain_s if usage is None else self._pace.read_s,
        )
        match fault:
            case Fault.LOSES_ANSWER | Fault.RESETS:
                conn.abort()
                return
            case Fault.CRASHES:
                await self.stop()
                return
            case Fault.HANGS:
                await asyncio.Event().wait()
            case Fault.ERROR:
                await conn.respond(500, fields, b'failed')
                return
        if usage is None:
            await self._answer_plain(conn, fields, name, fault)
        else:
            count = -(-int(usage.partition(',')[2]) // TOKENS_PER_EVENT)
            await self._stream(request, conn, fields, count, fault)

    async def _answer_plain(
        self,
        conn: RawConnection,
        fields: list[tuple[bytes, bytes]],
        name: str,
        fault: Fault,
    ) -> None:
        body = 'answer to {0}'.format(name).encode()
        match fault:
            case Fault.FOREIGN:
                fields = [(REQUEST_ID, b'another'), *fields[1:]]
                await conn.respond(200, fields, b'answer to another')
            case Fault.CODED:
                coding = (b'content-encoding', b'gzip')
                await conn.respond(200, [*fields, coding], body)
            case Fault.TRUNCATED:
                conn.write_raw(_head(fields, len(body)) + body[:5])
                conn.abort_soon()
            case Fault.UNFRAMED:
                conn.write_raw(_head(fields, None) + body)
                conn.close()
            case Fault.EXTRA:
                whole = _head(fields, len(body)) + body
                conn.write_raw(whole + whole)
            case _:
                await conn.respond(200, fields, body)

    async def _stream(
        self,
        request: Request,
        conn: RawConnection,
        fields: list[tuple[bytes, bytes]],
        count: int,
        fault: Fault,
    ) -> None:
        last = find_field(request.fields, b'last-event-id')
        begin = 1 if last is None else int(last) + 1
        conn.start_stream(
            200, [*fields, (b'content-type', b'text/event-stream')]
        )
        broken_at = begin + (count - begin) // 2
        for number in range(begin, count + 1):
            await asyncio.sleep(self._pace.event_s)
            event = event_bytes(number)
            if number == broken_at and fault is Fault.WITHIN_EVENT:
                await conn.send_chunk(event[: len(event) // 2])
                conn.abort_soon()
                return
            if number == broken_at and fault is Fault.TRUNCATED:
                conn.abort_soon()
                return
            await conn.send_chunk(event)
        conn.end_stream()


def event_bytes(number: int) -> bytes:
    """Return the event with this id, the same from every engine."""
    return 'id: {0}\ndata: piece {0}\n\n'.format(number).encode()


def stream_bytes(tokens: int, begin: int = 1) -> bytes:
    """Return the whole stream of an answer of `tokens`."""
    count = -(-tokens // TOKENS_PER_EVENT)
    return b''.join(event_bytes(number) for number in range(begin, count + 1))


def _head(
    fields: list[tuple[bytes, bytes]],
    length: int | None,
) -> bytes:
    lines = [b'HTTP/1.1 200 OK']
    lines += [name + b': ' + field for name, field in fields]
    if length is not None:
        lines.append(b'content-length: %d' % length)
    return b'\r\n'.join(lines) + b'\r\n\r\n'
