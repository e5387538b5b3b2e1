"""Callers that open a connection for each request, or keep connections."""

import asyncio
import itertools
from collections import deque
from typing import Final

import msgspec

from bench.giftwrap.deployment import HOST, KEY
from figspread.http1.answers import ExchangeError
from figspread.http1.client import Head, Unreachable, UpstreamConnection
from figspread.http1.fields import Fields, find_field

BODY_LIMIT: Final = 1_000_000
CONNECT_TIMEOUT_S: Final = 2.0
# Pause before each chunk of a body.
CHUNK_GAP_S: Final = 0.05
_CHUNKED: Final = (b'transfer-encoding', b'chunked')


class Answer(msgspec.Struct, frozen=True):
    """An answer as a caller received it.

    `is_complete` is `False` if the connection broke before the end of the
    answer; `status` is 0 if it broke before the head, and `break_reason` is how.
    `sent_s` is the event loop time at which the last byte of the request was sent.
    """

    status: int
    body: bytes
    is_complete: bool
    retry_after_s: float | None = None
    signature: str = ''
    sent_s: float = 0
    break_reason: str = ''


class _Connection(UpstreamConnection):
    """A caller's connection, which can also send bodies in chunks."""

    async def send_in_chunks(
        self, method: bytes, target: bytes, fields: Fields, body: bytes
    ) -> None:
        """Send a request with a chunk for each half of its body.

        Raises `ExchangeError` if the connection is lost before its end.
        """
        self._in_exchange = True
        self.exchanges += 1
        middle = len(body) // 2
        self._write(
            self._parser.encode_request(
                method, target, [*fields, _CHUNKED], b''
            )
        )
        for chunk in filter(None, (body[:middle], body[middle:])):
            await asyncio.sleep(CHUNK_GAP_S)
            self._write(b'%x\r\n%s\r\n' % (len(chunk), chunk))
        self._write(b'0\r\n\r\n')

    def _write(self, octets: bytes) -> None:
        if self._close_reason or self._transport is None:
            raise ExchangeError(self._close_reason or 'not connected')
        self._transport.write(octets)


class Caller:
    """Sends requests with numbered ids to an entry."""

    def __init__(self, address: str, name: str = 'req') -> None:
        """Create a caller of the entry at `address`; ids start with `name`."""
        self.address = address
        self._name = name
        self._request_numbers = itertools.count()

    def new_id(self) -> str:
        """Return a request id that this caller has not used yet."""
        return '{0}-{1}'.format(self._name, next(self._request_numbers))

    async def call(
        self,
        route: str,
        *,
        usage: str = '',
        limit_ms: int = 5000,
        key: str = KEY,
        body: bytes = b'prompt',
        request_id: str = '',
        last_event: int = -1,
        parts: str = '',
        is_chunked: bool = False,
    ) -> Answer:
        """Send a request and return its answer.

        `usage` is the prompt and output tokens as `PROMPT,OUTPUT`, `limit_ms`
        the request's timeout, `last_event` the id of the last event that the
        caller has; -1 is none. `parts` are the parts of the prompt, as
        `ID:TOKENS,ID:TOKENS`. With `is_chunked`, a body is sent in chunks. Raises
        `Unreachable` if there is no connection, `ExchangeError` if it is lost
        before the whole request is sent.
        """
        method = b'GET' if route == 'status' else b'POST'
        fields = [
            (b'host', HOST.encode()),
            (b'x-figspread-request-id', (request_id or self.new_id()).encode()),
            (b'x-figspread-request-deadline', str(limit_ms).encode()),
            (b'authorization', 'Bearer {0}'.format(key).encode()),
        ]
        if usage:
            fields.append((b'x-figspread-token-usage', usage.encode()))
        if parts:
            fields.append((b'x-figspread-prompt-prefix', parts.encode()))
        if last_event >= 0:
            fields.append((b'last-event-id', str(last_event).encode()))
        conn = await self._take_connection()
        try:
            target = '/{0}/x'.format(route).encode()
            if method == b'GET':
                conn.send(method, target, fields, b'')
            elif is_chunked:
                await conn.send_in_chunks(method, target, fields, body)
            else:
                conn.send(method, target, fields, body)
            return await _read_answer(conn)
        finally:
            self._release_connection(conn)

    async def _take_connection(self) -> _Connection:
        return await _connect(self.address)

    def _release_connection(self, conn: _Connection) -> None:
        conn.close()


class KeepingCaller(Caller):
    """Keeps its connections open and uses them again, the longest idle first.

    A connection is closed once an answer on it asks for that.
    """

    def __init__(self, address: str, name: str = 'req') -> None:
        """Start without connections."""
        super().__init__(address, name)
        self._idle: deque[_Connection] = deque()

    def close(self) -> None:
        """Close the connections that no request uses."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    async def _take_connection(self) -> _Connection:
        while self._idle:
            conn = self._idle.popleft()
            if conn.is_reusable:
                return conn
            conn.close()
        return await super()._take_connection()

    def _release_connection(self, conn: _Connection) -> None:
        if conn.is_reusable:
            self._idle.append(conn)
        else:
            conn.close()


async def _connect(address: str) -> _Connection:
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, conn = await loop.create_connection(_Connection, host, int(port))
    except OSError as exc:
        raise Unreachable(str(exc) or type(exc).__name__) from exc
    return conn


async def _read_answer(conn: UpstreamConnection) -> Answer:
    sent_s = asyncio.get_running_loop().time()
    body = b''
    head: Head | None = None
    try:
        head = await conn.read_head()
        chunk = await conn.read_chunk()
        while chunk is not None:
            body += chunk
            chunk = await conn.read_chunk()
    except ExchangeError as exc:
        return Answer(
            head.status if head else 0,
            body,
            is_complete=False,
            sent_s=sent_s,
            break_reason=str(exc),
        )
    retry_after = find_field(head.fields, b'retry-after')
    return Answer(
        head.status,
        body,
        is_complete=True,
        retry_after_s=None if retry_after is None else float(retry_after),
        signature=find_field(head.fields, b'x-figspread-server-signature')
        or '',
        sent_s=sent_s,
    )
