"""Crowds of callers that send bodies and hold their connections open."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, suppress
from enum import Enum
from typing import Final, NamedTuple

# The limit of bodies that members know, unless they are told another.
BODY_LIMIT: Final = 1_048_576
MEMBERS: Final = 120
# One in so many sends a whole body, the others stop just short of its end.
WHOLE_EVERY: Final = 4
# How long members return, once each has sent its first request.
RETURNING_S: Final = 3.0
RETURN_DELAY_S: Final = 0.1
PIECE_DELAY_S: Final = 0.005
FIRST_ROUND_TIMEOUT_S: Final = 60.0
_BLOCK: Final = b'x' * 65_536


class Sending(Enum):
    """How the members of a crowd send their bodies."""

    AT_ONCE = 'large bodies at once'
    IN_PIECES = 'large bodies piece by piece'
    LARGE_CHUNKS = 'large chunks'
    SMALL_CHUNKS = 'very small chunks'
    ANNOUNCED = 'a body far over the limit, announced'
    JUST_SENT = 'a body far over the limit, just sent'


class _Body(NamedTuple):
    """The field that frames a body, its parts, its last bytes, and pauses.

    Members that stop short leave `end` out.
    """

    field: bytes
    parts: Iterator[bytes]
    end: bytes
    pause_s: float = 0


def _make_length(size: int) -> bytes:
    return b'Content-Length: %d' % size


def _make_chunk(body: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(body), body)


def _split(size: int, part: bytes) -> Iterator[bytes]:
    for _ in range(size // len(part)):
        yield part
    yield part[: size % len(part)]


def _make_chunks(size: int, part: bytes) -> Iterator[bytes]:
    for body in _split(size, part):
        if body:
            yield _make_chunk(body)


def _make_body(sending: Sending, limit: int) -> _Body:
    coding = b'Transfer-Encoding: chunked'
    legal_bytes = limit - 1
    match sending:
        case Sending.AT_ONCE:
            whole = b'x' * legal_bytes
            return _Body(_make_length(limit), iter((whole,)), b'x')
        case Sending.IN_PIECES:
            parts = _split(legal_bytes, _BLOCK[:16_384])
            length = _make_length(limit)
            return _Body(length, parts, b'x', PIECE_DELAY_S)
        case Sending.LARGE_CHUNKS:
            parts = _make_chunks(legal_bytes, _BLOCK)
            return _Body(coding, parts, _make_chunk(b'x') + b'0\r\n\r\n')
        case Sending.SMALL_CHUNKS:
            parts = _split(6 * 16_384, _make_chunk(b'x') * 1024)
            return _Body(coding, parts, b'0\r\n\r\n')
        case Sending.ANNOUNCED:
            parts = _split(4 * limit, _BLOCK)
            return _Body(_make_length(10_000 * limit), parts, b'x')
        case Sending.JUST_SENT:
            return _Body(coding, _make_chunks(16 * limit, _BLOCK), b'')


class Crowd:
    """Members that send to `address`, and return once they are disconnected.

    `statuses` counts the answers that they got.
    """

    def __init__(
        self,
        address: str,
        head: bytes,
        sending: Sending,
        members: int = MEMBERS,
        body_limit: int = BODY_LIMIT,
        return_delay_s: float = RETURN_DELAY_S,
    ) -> None:
        """Send requests with `head`, to which the body's framing is added.

        Bodies are as long as the limit of `address`, `body_limit`, or far longer.
        """
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._head = head
        self._sending = sending
        self._members = members
        self._body_limit = body_limit
        self._return_delay_s = return_delay_s
        self._sent = asyncio.Semaphore(0)
        self.statuses: Counter[int] = Counter()

    @asynccontextmanager
    async def play(self) -> AsyncIterator[None]:
        """Let all members send once and return for a while; then go on."""
        tasks = self._start()
        try:
            async with asyncio.timeout(FIRST_ROUND_TIMEOUT_S):
                for _ in tasks:
                    await self._sent.acquire()
            await asyncio.sleep(RETURNING_S)
            yield
        finally:
            await _cancel(*tasks)

    async def hold(self, duration_s: float) -> None:
        """Let members send and return for so long, whatever becomes of it."""
        tasks = self._start()
        try:
            await asyncio.sleep(duration_s)
        finally:
            await _cancel(*tasks)

    def _start(self) -> 'list[asyncio.Task[None]]':
        return [
            asyncio.create_task(self._run_member(number))
            for number in range(self._members)
        ]

    async def _run_member(self, number: int) -> None:
        is_whole = number % WHOLE_EVERY == 0
        while True:
            with suppress(OSError):
                await self._send(is_whole=is_whole)
            self._sent.release()
            await asyncio.sleep(self._return_delay_s)

    async def _send(self, *, is_whole: bool) -> None:
        """Send one request; stay until the entry closes the connection."""
        reader, writer = await asyncio.open_connection(self._host, self._port)
        answer = asyncio.create_task(self._read_answer(reader))
        try:
            await self._write(writer, answer, is_whole=is_whole)
            self._sent.release()
            await answer
        finally:
            writer.transport.abort()
            await _cancel(answer)

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        answer: 'asyncio.Task[None]',
        *,
        is_whole: bool,
    ) -> None:
        body = _make_body(self._sending, self._body_limit)
        writer.write(b'%s\r\n%s\r\n\r\n' % (self._head, body.field))
        for part in body.parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(body.pause_s)
            if answer.done():
                return
        if is_whole:
            writer.write(body.end)
            await writer.drain()

    async def _read_answer(self, reader: asyncio.StreamReader) -> None:
        line = await reader.readline()
        if line:
            self.statuses[int(line.split()[1])] += 1
        await _discard(reader)


async def _discard(reader: asyncio.StreamReader) -> None:
    octets = b'x'
    while octets:
        octets = await reader.read(len(_BLOCK))


async def _cancel(*tasks: 'asyncio.Task[None]') -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
