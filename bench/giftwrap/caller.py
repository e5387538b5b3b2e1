"""A caller of the stand-in deployment, over one connection a request."""

import itertools
from typing import Final

import msgspec

from bench.giftwrap.deployment import HOST, KEY
from figspread.http1.client import (
    ExchangeError,
    Head,
    UpstreamConnection,
    open_connection,
)
from figspread.http1.fields import find_field

BODY_LIMIT: Final = 1_000_000


class Answer(msgspec.Struct, frozen=True):
    """What a caller got; `is_whole` is `False` where it broke off."""

    status: int
    body: bytes
    is_whole: bool
    retry_after_s: float | None = None
    signature: str = ''


class Caller:
    """Calls one entry; ids are numbered."""

    def __init__(self, address: str, name: str = 'req') -> None:
        """Call the entry at `address`."""
        self.address = address
        self._name = name
        self._numbers = itertools.count()

    def new_id(self) -> str:
        """Return an id that no other request of this caller has."""
        return '{0}-{1}'.format(self._name, next(self._numbers))

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
    ) -> Answer:
        """Make one request and return what came of it."""
        method = b'GET' if route == 'status' else b'POST'
        fields = [
            (b'host', HOST.encode()),
            (b'x-figspread-request-id', (request_id or self.new_id()).encode()),
            (b'x-figspread-request-deadline', str(limit_ms).encode()),
            (b'authorization', 'Bearer {0}'.format(key).encode()),
        ]
        if usage:
            fields.append((b'x-figspread-token-usage', usage.encode()))
        if last_event >= 0:
            fields.append((b'last-event-id', str(last_event).encode()))
        conn = await open_connection(self.address, timeout_s=2)
        try:
            sent = body if method == b'POST' else b''
            target = '/{0}/x'.format(route).encode()
            conn.send(method, target, fields, sent)
            return await _read(conn)
        finally:
            conn.close()


async def _read(conn: UpstreamConnection) -> Answer:
    body = b''
    head: Head | None = None
    try:
        head = await conn.read_head()
        piece = await conn.read_chunk()
        while piece is not None:
            body += piece
            piece = await conn.read_chunk()
    except ExchangeError:
        return Answer(head.status if head else 0, body, is_whole=False)
    after = find_field(head.fields, b'retry-after')
    return Answer(
        head.status,
        body,
        is_whole=True,
        retry_after_s=None if after is None else float(after),
        signature=find_field(head.fields, b'x-figspread-server-signature')
        or '',
    )
