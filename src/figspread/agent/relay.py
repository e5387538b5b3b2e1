"""Relays an answer from the upstream to the entry that waits for it."""

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from figspread.agent.events import EventSplitter
from figspread.agent.stream import UpstreamStream
from figspread.ids import AttemptId
from figspread.inner.base import Message
from figspread.inner.credit import SendWindow
from figspread.inner.messages import (
    BODY_PIECE_BYTES,
    Chunk,
    Finished,
    Head,
)
from figspread.outcome import Outcome
from figspread.upstream.types import (
    Answer,
    UpstreamFault,
    UpstreamFaultKind,
)

_INCOMPLETE_EVENT: Final = UpstreamFault(
    UpstreamFaultKind.BROKEN,
    'the answer ends within an event or has too large a one',
)


class Outbox(Protocol):
    """The connection over which an attempt sends its messages."""

    async def send(self, message: Message) -> bool:
        """Send `message`; return `False` if the connection is closed."""


class Relay:
    """Sends one answer in numbered chunks, within the receiver's credit.

    After the first chunk, bytes that arrive within `join_s` seconds are
    coalesced into one chunk. `chunk_count` and `token_count` go up also while
    the answer is discarded.
    """

    def __init__(
        self,
        attempt: AttemptId,
        outbox: Outbox,
        join_s: float,
        *,
        on_first_token: Callable[[], None],
    ) -> None:
        """Start without chunks and with the initial credit.

        `on_first_token` is called before the first chunk with tokens is sent.
        """
        self._attempt = attempt
        self._outbox = outbox
        self._join_s = join_s
        self._window = SendWindow()
        self._is_discarding = False
        self.chunk_count = 0
        self.token_count = 0
        self._on_first_token = on_first_token

    def add_credit(self, size: int) -> None:
        """Allow `size` more bytes to be sent."""
        self._window.grant(size)

    def discard_answer(self) -> None:
        """Keep reading without sending, since no caller waits any more."""
        self._is_discarding = True
        self._window.disable_limit()

    async def send_head(self, answer: Answer) -> None:
        """Send a plain service's status and headers."""
        head = Head(self._attempt, answer.status, dict(answer.headers))
        await self._send(head)

    async def send_bytes(self, stream: UpstreamStream) -> None:
        """Send a plain service's answer as its bytes arrive."""
        while data := await self._read_available(stream):
            for start in range(0, len(data), BODY_PIECE_BYTES):
                await self._send_chunk(data[start : start + BODY_PIECE_BYTES])

    async def send_events(self, stream: UpstreamStream) -> None:
        """Send an engine's answer in whole server-sent events.

        Sets the fault of a stream that ended without one in the middle of an
        event, or with an event that is too large.
        """
        splitter = EventSplitter()
        while data := await self._read_available(stream):
            events = splitter.feed(data)
            if events.data:
                await self._send_chunk(events.data, events.tokens)
            if splitter.is_too_large:
                break
        if splitter.has_incomplete_event and stream.fault is None:
            stream.fault = _INCOMPLETE_EVENT

    async def send_finished(self, outcome: Outcome) -> None:
        """Send the outcome with the counts, even if the answer is discarded."""
        await self._outbox.send(
            Finished(
                self._attempt, outcome, self.chunk_count, self.token_count
            ),
        )

    async def _read_available(self, stream: UpstreamStream) -> bytes:
        await stream.received.wait()
        if self.chunk_count and not stream.received.has_ended:
            await asyncio.sleep(self._join_s)
        return stream.received.read_available()

    async def _send_chunk(self, data: bytes, tokens: int = 0) -> None:
        if tokens and not self.token_count:
            self._on_first_token()
        await self._window.acquire(len(data))
        chunk = Chunk(self._attempt, self.chunk_count, data, tokens)
        self.chunk_count += 1
        self.token_count += tokens
        await self._send(chunk)

    async def _send(self, message: Message) -> None:
        if not self._is_discarding:
            await self._outbox.send(message)
