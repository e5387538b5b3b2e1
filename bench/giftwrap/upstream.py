"""A stand-in for an engine or a process of a plain service.

It counts how many times each request has run, by request id, so that tests
find requests that ran twice, or ran although they were answered as not run.
"""

import asyncio
import json
import random
import socket
import struct
from collections import Counter
from enum import Enum
from typing import Any, Final

import msgspec

from figspread.http1.caller import CallerConnection
from figspread.http1.fields import Fields, find_field
from figspread.http1.requests import (
    CallerLimits,
    Request,
)

REQUEST_ID: Final = b'x-figspread-request-id'
SIGNATURE: Final = b'x-figspread-server-signature'
NOT_EXECUTED: Final = (b'x-figspread-not-executed', b'1')
PROMPT_PREFIX: Final = b'x-figspread-prompt-prefix'
TOKENS_PER_EVENT: Final = 46
HALF: Final = 0.5
# Chunks or events that a flooding stand-in writes at once.
FLOOD_BLOCK: Final = 20_000
_MS_PER_S: Final = 1000


class Fault(Enum):
    """A fault of an upstream in the requests that it runs."""

    NONE = 'none'
    LOSES_ANSWER = 'loses_answer'
    RESETS = 'resets'
    DUPLICATE_RESPONSE = 'extra'
    FOREIGN = 'foreign'
    UNFRAMED = 'unframed'
    UNFRAMED_WITHIN_EVENT = 'unframed_within_event'
    UNFRAMED_RESET = 'unframed_reset'
    UNFRAMED_CRASH = 'unframed_crash'
    UNFRAMED_EXIT = 'unframed_exit'
    TRUNCATED = 'truncated'
    CONTENT_CODED = 'coded'
    ERROR = 'error'
    HANGS = 'hangs'
    CRASHES = 'crashes'
    FULL = 'full'
    WITHIN_EVENT = 'within_event'
    LATE_COPY = 'late_copy'
    TRICKLES = 'trickles'
    REJECTS_ENDLESSLY = 'rejects_endlessly'
    BREAKS_EVENTS = 'breaks_events'
    RESUMES_WITH_ERROR = 'resumes_with_error'
    RESUMES_WITH_NOT_FOUND = 'resumes_with_not_found'
    RESUMES_WITH_REDIRECT = 'resumes_with_redirect'
    RESUMES_WITH_TEXT = 'resumes_with_text'
    RESUMES_WITH_NOTHING = 'resumes_with_nothing'
    RESUMES_SHORT = 'resumes_short'
    REPEATS_REJECTION = 'repeats_rejection'
    REPEATS_UNNAMED_REJECTION = 'repeats_unnamed_rejection'
    FLOODS_CHUNKS = 'floods_chunks'
    FLOODS_EVENTS = 'floods_events'


UNFRAMED_FAULTS: Final = frozenset(
    (
        Fault.UNFRAMED,
        Fault.UNFRAMED_WITHIN_EVENT,
        Fault.UNFRAMED_RESET,
        Fault.UNFRAMED_CRASH,
        Fault.UNFRAMED_EXIT,
    )
)
# Faults in which the first request of each connection is rejected, and the
# rejection is sent once more in front of the next answer.
REPEATED_REJECTIONS: Final = frozenset(
    (Fault.REPEATS_REJECTION, Fault.REPEATS_UNNAMED_REJECTION)
)
# Faults in which streams break off, and resumed ones get this status, type of
# content and body in place of the rest.
RESUMED_ANSWERS: Final[dict[Fault, tuple[int, bytes, bytes]]] = {
    Fault.RESUMES_WITH_ERROR: (500, b'text/plain', b'failed'),
    Fault.RESUMES_WITH_NOT_FOUND: (404, b'text/plain', b'no such stream'),
    Fault.RESUMES_WITH_REDIRECT: (302, b'text/plain', b'elsewhere'),
    Fault.RESUMES_WITH_TEXT: (200, b'text/plain', b''),
    Fault.RESUMES_WITH_NOTHING: (204, b'', b''),
}
# Faults that send an answer to its end.
_WHOLE_UNFRAMED_FAULTS: Final = frozenset((Fault.UNFRAMED, Fault.UNFRAMED_EXIT))


class Pace(msgspec.Struct, frozen=True):
    """Delays of a stand-in in seconds.

    `prefill_s` is for a prompt of any length, `event_s` for each event of a
    stream, `plain_s` for a request without token usage.
    """

    prefill_s: float = 0.002
    event_s: float = 0.001
    plain_s: float = 0.001


class StatedTerms(msgspec.Struct, frozen=True):
    """What a stand-in states of itself in its answers.

    `rate_limit` is in requests a second. `pause_s` goes with rejections.
    """

    rate_limit: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None

    def encode(self, *, is_rejection: bool = False) -> Fields:
        """Return the headers that state the terms."""
        fields = []
        if self.rate_limit is not None:
            fields.append((b'server-limit', str(self.rate_limit).encode()))
        if self.is_leaving:
            fields.append((b'server-leaving', b'1'))
        if is_rejection and self.pause_s is not None:
            fields.append((b'retry-after', str(self.pause_s).encode()))
        return fields


class Work(msgspec.Struct, frozen=True):
    """When an upstream worked on a request, in event loop time.

    `has_broken_off` tells whether the upstream ended the connection.
    """

    request: str
    started_s: float
    ended_s: float
    has_broken_off: bool


class RawConnection(CallerConnection):
    """A connection on which an upstream can violate the protocol.

    `late_copy` is sent once more when the next request arrives.
    """

    late_copy: bytes = b''

    def write_raw(self, octets: bytes) -> None:
        """Write bytes without any framing."""
        if self._transport is not None:
            self._transport.write(octets)

    async def write_endlessly(self, octets: bytes) -> None:
        """Write the same bytes again and again until the caller closes."""
        while not self.is_closed:
            self.write_raw(octets)
            await self._send_buffer.wait_until_writable()
            await asyncio.sleep(0)

    def reset_after_flush(self) -> None:
        """Reset the connection shortly after, which `abort` may not do."""
        if self._transport is not None:
            sock = self._transport.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.abort_after_flush()

    def abort_after_flush(self) -> None:
        """Abort the connection shortly after, once written bytes are sent."""
        self.is_ended_here = True
        asyncio.get_running_loop().call_later(0.01, self.abort)


class Upstream:
    """An upstream process; `fault` affects `fault_share` of its requests.

    The affected ones are random. `runs` counts executions by request id;
    `received_requests` has the requests received, `running_ids` the ids of
    those that run now, `arrivals_s` when each request arrived, in event loop
    time, `works` when it worked on each request that has ended, `rejections` when
    each request was rejected, with its id, `reservations` the end of each memory
    reservation by id, in event loop time. `start_number` is the number of its
    start. It is cold until the event loop time `cold_until_s`. It crashes when it
    begins to answer a prompt with one of `deadly_parts`; `deadly_crashes` has the
    event loop time and these parts of each crash.
    """

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
        """Create a stopped upstream; `start` makes it listen."""
        self._host = host
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.state = 'ready'
        self.fault = Fault.NONE
        self.fault_share: float = 1
        self.address = ''
        self.start_number = 1
        self.sequence = 0
        self.cold_until_s: float = 0
        self.runs: Counter[str] = Counter()
        self.received_requests: list[Request] = []
        self.arrivals_s: list[float] = []
        self.works: list[Work] = []
        self.rejections: list[tuple[float, str]] = []
        self.terms = StatedTerms()
        self.running_ids: set[str] = set()
        self.reservations: dict[str, float] = {}
        self.deadly_parts: frozenset[str] = frozenset()
        self.deadly_crashes: list[tuple[float, frozenset[str]]] = []
        self.pace = pace
        self._rng = random.Random(seed)
        self._conns: set[RawConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def record(self) -> dict[str, Any]:
        """The record that the upstream publishes in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': round(self.cold_s * _MS_PER_S),
            'sequence': self.sequence,
            'born': self.start_number,
        }

    @property
    def cold_s(self) -> float:
        """How many seconds it stays cold."""
        if not self.cold_until_s:
            return 0
        now = asyncio.get_running_loop().time()
        return max(0, self.cold_until_s - now)

    @property
    def is_listening(self) -> bool:
        """Whether the upstream accepts connections."""
        return self._server is not None and self._server.is_serving()

    async def start(self, port: int = 0) -> None:
        """Listen on `host`; port 0 selects a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            self._host,
            port,
            reuse_address=True,
        )
        host, bound_port = self._server.sockets[0].getsockname()
        self.address = '{0}:{1}'.format(host, bound_port)

    async def stop(self) -> None:
        """Stop listening and abort all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for conn in tuple(self._conns):
            conn.abort()

    def close_as_dead(self) -> None:
        """Stop listening and close all connections in an orderly way.

        This is what the kernel does for a dead process, if it had read all that
        was sent to it.
        """
        if self._server is not None:
            self._server.close()
        for conn in tuple(self._conns):
            conn.close()

    def list_active_reservations(self) -> list[str]:
        """Return the ids of memory reservations that have not expired."""
        now = asyncio.get_running_loop().time()
        return [name for name, end in self.reservations.items() if end > now]

    def _accept(self) -> RawConnection:
        conn = RawConnection(self._handle_request, CallerLimits, bool)
        self._conns.add(conn)
        return conn

    async def _handle_request(
        self, request: Request, conn: CallerConnection
    ) -> None:
        assert isinstance(conn, RawConnection)  # noqa: S101
        expected_instance = find_field(
            request.fields, b'x-figspread-expect-instance'
        )
        if expected_instance not in {None, self.name}:
            instance = (b'x-figspread-instance-id', self.name.encode())
            await conn.respond(421, [instance], b'')
            return
        if request.target == b'/figspread/order':
            await self._handle_reservation(request, conn)
            return
        conn.write_raw(conn.late_copy)
        self.received_requests.append(request)
        self.arrivals_s.append(asyncio.get_running_loop().time())
        name = find_field(request.fields, REQUEST_ID) or ''
        fault = self._draw_fault()
        if fault is Fault.REJECTS_ENDLESSLY:
            conn.start_stream(503, [NOT_EXECUTED])
            while not conn.is_closed:
                await conn.send_chunk(b'no')
                await asyncio.sleep(self.pace.event_s)
            return
        if fault in REPEATED_REJECTIONS and not conn.late_copy:
            await self._reject_repeatedly(conn, name, fault)
            return
        has_no_free_slot = len(self.running_ids) >= self.slots
        if has_no_free_slot or fault is Fault.FULL:
            now = asyncio.get_running_loop().time()
            self.rejections.append((now, name))
            terms = self.terms.encode(is_rejection=True)
            await conn.respond(503, [NOT_EXECUTED, *terms], b'')
            return
        self.runs[name] += 1
        self.running_ids.add(name)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            await self._execute(request, conn, name, fault)
        finally:
            self.running_ids.discard(name)
            self.works.append(
                Work(name, started_s, loop.time(), conn.is_ended_here)
            )

    async def _reject_repeatedly(
        self, conn: RawConnection, name: str, fault: Fault
    ) -> None:
        """Reject a request, and again at the next one on the connection."""
        fields = [NOT_EXECUTED]
        if fault is Fault.REPEATS_REJECTION:
            fields.append((REQUEST_ID, name.encode()))
        conn.late_copy = _encode_head(fields, 0, status=503)
        await conn.respond(503, fields, b'')

    def _draw_fault(self) -> Fault:
        is_affected = self._rng.random() < self.fault_share
        return self.fault if is_affected else Fault.NONE

    async def _handle_reservation(
        self, request: Request, conn: CallerConnection
    ) -> None:
        order = json.loads(request.body)
        now = asyncio.get_running_loop().time()
        if order['operation'] == 'reserve':
            self.reservations[order['id']] = now + order['holdMs'] / _MS_PER_S
        else:
            self.reservations.pop(order['id'], None)
        await conn.respond(200, [], b'{"freeCapacity":1}')

    async def _execute(
        self,
        request: Request,
        conn: RawConnection,
        name: str,
        fault: Fault,
    ) -> None:
        fields = [
            (REQUEST_ID, name.encode()),
            (SIGNATURE, '{0}.sig'.format(self.name).encode()),
            *self.terms.encode(),
        ]
        usage = find_field(request.fields, b'x-figspread-token-usage')
        await asyncio.sleep(
            self.pace.plain_s if usage is None else self.pace.prefill_s,
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
            await self._send_stream(request, conn, fields, count, fault)

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
            case Fault.CONTENT_CODED:
                coding = (b'content-encoding', b'gzip')
                await conn.respond(200, [*fields, coding], body)
            case Fault.TRUNCATED:
                conn.write_raw(_encode_head(fields, len(body)) + body[:5])
                conn.abort_after_flush()
            case Fault.UNFRAMED:
                conn.write_raw(_encode_head(fields, None) + body)
                conn.close()
            case Fault.UNFRAMED_CRASH:
                conn.write_raw(_encode_head(fields, None) + body[:5])
                self.close_as_dead()
            case Fault.UNFRAMED_EXIT:
                conn.write_raw(_encode_head(fields, None) + body)
                self.close_as_dead()
            case Fault.DUPLICATE_RESPONSE:
                response = _encode_head(fields, len(body)) + body
                conn.write_raw(response + response)
            case Fault.LATE_COPY:
                conn.late_copy = _encode_head(fields, len(body)) + body
                await conn.respond(200, fields, body)
            case _:
                await conn.respond(200, fields, body)

    async def _send_stream(
        self,
        request: Request,
        conn: RawConnection,
        fields: list[tuple[bytes, bytes]],
        count: int,
        fault: Fault,
    ) -> None:
        last_event = find_field(request.fields, b'last-event-id')
        first_event = 1 if last_event is None else int(last_event) + 1
        if last_event is not None and fault in RESUMED_ANSWERS:
            status, content_type, body = RESUMED_ANSWERS[fault]
            described = (
                [(b'content-type', content_type)] if content_type else []
            )
            await conn.respond(status, [*fields, *described], body)
            return
        if last_event is not None and fault is Fault.RESUMES_SHORT:
            first_event, count, fault = 1, int(last_event) - 1, Fault.NONE
        if fault in RESUMED_ANSWERS or fault is Fault.RESUMES_SHORT:
            fault = Fault.TRUNCATED
        fields = [*fields, (b'content-type', b'text/event-stream')]
        if fault in UNFRAMED_FAULTS:
            events = range(first_event, count + 1)
            await self._send_unframed(conn, fields, events, fault)
            return
        conn.start_stream(200, fields)
        deadly = self.deadly_parts.intersection(list_parts(request))
        if deadly:
            await asyncio.sleep(self.pace.event_s)
            # Some of the answers have begun when the crash comes.
            if self._rng.random() < HALF:
                await conn.send_chunk(event_bytes(first_event))
                await asyncio.sleep(self.pace.event_s)
            now = asyncio.get_running_loop().time()
            self.deadly_crashes.append((now, deadly))
            await self.stop()
            return
        while fault is Fault.TRICKLES:
            await asyncio.sleep(self.pace.event_s)
            await conn.send_chunk(b':\n')
        break_event = first_event + (count - first_event) // 2
        floods = {
            Fault.FLOODS_CHUNKS: b'1\r\nx\r\n' * FLOOD_BLOCK,
            Fault.FLOODS_EVENTS: _encode_chunk(event_bytes(1) * FLOOD_BLOCK),
        }
        for number in range(first_event, count + 1):
            await asyncio.sleep(self.pace.event_s)
            event = event_bytes(number)
            if number == break_event and fault is Fault.WITHIN_EVENT:
                await conn.send_chunk(event[: len(event) // 2])
                conn.abort_after_flush()
                return
            if number == break_event and fault is Fault.TRUNCATED:
                conn.abort_after_flush()
                return
            if number == break_event and fault in floods:
                await conn.write_endlessly(floods[fault])
                return
            if number == break_event and fault is Fault.BREAKS_EVENTS:
                # One chunk has a sound event and one without an id.
                await conn.send_chunk(event + b'data: no id\n\n')
                continue
            await conn.send_chunk(event)
        conn.end_stream()

    async def _send_unframed(
        self,
        conn: RawConnection,
        fields: list[tuple[bytes, bytes]],
        events: range,
        fault: Fault,
    ) -> None:
        """Send a stream that ends with its connection."""
        conn.write_raw(_encode_head(fields, None))
        is_whole = fault in _WHOLE_UNFRAMED_FAULTS
        for number in events if is_whole else events[: len(events) // 2]:
            await asyncio.sleep(self.pace.event_s)
            conn.write_raw(event_bytes(number))
        match fault:
            case Fault.UNFRAMED_WITHIN_EVENT:
                conn.write_raw(event_bytes(events[-1])[:5])
            case Fault.UNFRAMED_RESET:
                conn.reset_after_flush()
                return
            case Fault.UNFRAMED_CRASH | Fault.UNFRAMED_EXIT:
                self.close_as_dead()
                return
        conn.close()


def list_parts(request: Request) -> list[str]:
    """Return the ids of the parts of a request's prompt, in order."""
    field = find_field(request.fields, PROMPT_PREFIX) or ''
    return [entry.partition(':')[0] for entry in field.split(',')]


def event_bytes(number: int) -> bytes:
    """Return the event with this id, which is the same on each engine."""
    return 'id: {0}\ndata: piece {0}\n\n'.format(number).encode()


def stream_bytes(tokens: int, begin: int = 1) -> bytes:
    """Return the stream for `tokens` output tokens from event `begin` on."""
    count = -(-tokens // TOKENS_PER_EVENT)
    return b''.join(event_bytes(number) for number in range(begin, count + 1))


def _encode_chunk(body: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(body), body)


def _encode_head(
    fields: list[tuple[bytes, bytes]],
    length: int | None,
    status: int = 200,
) -> bytes:
    lines = [b'HTTP/1.1 %d X' % status]
    lines += [name + b': ' + field for name, field in fields]
    if length is not None:
        lines.append(b'content-length: %d' % length)
    return b'\r\n'.join(lines) + b'\r\n\r\n'
