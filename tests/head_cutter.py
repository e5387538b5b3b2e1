"""Upstreams for tests that end a connection within the head of an answer."""

import asyncio
import socket
import struct
from typing import Any, Final

import msgspec
from bench.giftwrap.upstream import REQUEST_ID, SIGNATURE, event_bytes

from tests.raw_server import RawServer

EVENTS: Final = 10
# The event after which a stream breaks off.
LAST_BEFORE_BREAK: Final = 4


class Cuts(msgspec.Struct):
    """How the upstreams of a test cut answers, and to which requests.

    The first answer to each request is cut, after `cut` bytes of its head, by a
    close or, if `is_reset`, a reset. With `has_begun` an answer before that breaks
    off after some events. `runs` has the upstreams that ran each request.
    """

    cut: int = 0
    is_reset: bool = False
    has_begun: bool = False
    runs: dict[str, list[str]] = {}


class HeadCutter(RawServer):
    """An upstream that answers as `cuts` says."""

    def __init__(self, name: str, service: str, cuts: Cuts) -> None:
        """Create an upstream that listens in its context."""
        super().__init__(self._answer)
        self.name = name
        self._service = service
        self._cuts = cuts

    @property
    def record(self) -> dict[str, Any]:
        """The record that it publishes in the store."""
        return {
            'service': self._service,
            'address': self.address,
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': 0,
            'born': 1,
        }

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        fields = await _read_request(reader)
        runs = self._cuts.runs.setdefault(fields[REQUEST_ID].decode(), [])
        runs.append(self.name)
        head, body = _make_answer(fields)
        if self._cuts.has_begun and b'last-event-id' not in fields:
            body = b''.join(map(event_bytes, range(1, LAST_BEFORE_BREAK + 1)))
            answer = head + _encode_chunk(body)
        elif len(runs) > 1 + self._cuts.has_begun:
            answer = head + body
        else:
            answer = head[: self._cuts.cut]
        writer.write(answer)
        await writer.drain()
        if self._cuts.is_reset:
            sock = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


def make_head(name: bytes, *, is_stream: bool) -> bytes:
    """Return the head of an answer to the request `name`.

    What is to follow it stands in front of its last field.
    """
    framing = b'content-length: 5'
    if is_stream:
        framing = (
            b'content-type: text/event-stream\r\ntransfer-encoding: chunked'
        )
    lines = [
        b'HTTP/1.1 200 OK',
        b'%s: %s' % (REQUEST_ID, name),
        b'%s: cutter.sig' % SIGNATURE,
        framing,
        b'x-more: 1',
    ]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def _make_answer(fields: dict[bytes, bytes]) -> tuple[bytes, bytes]:
    """Return the head and body of a whole answer."""
    is_stream = b'x-figspread-token-usage' in fields
    head = make_head(fields[REQUEST_ID], is_stream=is_stream)
    if not is_stream:
        return head, b'whole'
    begin = int(fields.get(b'last-event-id', b'0')) + 1
    body = b''.join(map(event_bytes, range(begin, EVENTS + 1)))
    return head, _encode_chunk(body) + b'0\r\n\r\n'


def _encode_chunk(body: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(body), body)


async def _read_request(reader: asyncio.StreamReader) -> dict[bytes, bytes]:
    """Read a request with its body; return its fields."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = [line.partition(b':') for line in head.split(b'\r\n')[1:]]
    fields = {name.lower(): content.strip() for name, _, content in lines}
    await reader.readexactly(int(fields.get(b'content-length', b'0')))
    return fields
