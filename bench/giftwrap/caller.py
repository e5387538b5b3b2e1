"""A caller that opens a connection for each request."""

import itertools
from typing import Final

import msgspec

from bench.giftwrap.deployment import HOST, KEY
from figspread.http1.answers import ExchangeError
from figspread.http1.client import (
    Head,
    UpstreamConnection,
    open_connection,
)
from figspread.http1.fields import find_field

BODY_LIMIT: Final = 1_000_000


class Answer(msgspec.Struct, frozen=True):
    """An answer as a caller received it.

    `is_complete` is `False` if the connection broke before the end of the
    answer; `status` is 0 if it broke before the head.
    """

    status: int
    body: bytes
    is_complete: bool
    retry_after_s: float | None = None
    signature: str = ''


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
    ) -> Answer:
        """Send a request and return its answer.

        `usage` is the prompt and output tokens as `PROMPT,OUTPUT`, `limit_ms`
        the request's timeout, `last_event` the id of the last event that the
        caller has; -1 is none. `parts` are the parts of the prompt, as
        `ID:TOKENS,ID:TOKENS`. Raises `Unreachable` if there is no connection.
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
        conn = await open_connection(self.address, timeout_s=2)
        try:
            sent_body = body if method == b'POST' else b''
            target = '/{0}/x'.format(route).encode()
            conn.send(method, target, fields, sent_body)
            return await _read_answer(conn)
        finally:
            conn.close()


async def _read_answer(conn: UpstreamConnection) -> Answer:
    body = b''
    head: Head | None = None
    try:
        head = await conn.read_head()
        chunk = await conn.read_chunk()
        while chunk is not None:
            body += chunk
            chunk = await conn.read_chunk()
    except ExchangeError:
        return Answer(head.status if head else 0, body, is_complete=False)
    retry_after = find_field(head.fields, b'retry-after')
    return Answer(
        head.status,
        body,
        is_complete=True,
        retry_after_s=None if retry_after is None else float(retry_after),
        signature=find_field(head.fields, b'x-figspread-server-signature')
        or '',
    )
