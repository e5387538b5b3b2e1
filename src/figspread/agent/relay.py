"""An answer on its way from the upstream to the entry that waits for it."""

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

_CUT_EVENT: Final = UpstreamFault(
    UpstreamFaultKind.BROKEN,
    'the answer ends within an event or has too large a one',
)


class Outbox(Protocol):
    """Where an attempt sends its messages."""

    async def send(self, message: Message) -> bool:
        """Send `message`; `False` says that the connection is closed."""


class Relay:
    """Sends one answer in numbered chunks, within the reader's credit.

    What arrives within `join_s` of a chunk goes in the next one together.
    """

    def __init__(
        self,
        attempt: AttemptId,
        outbox: Outbox,
        join_s: float,
        *,
        on_first_token: Callable[[], None],
    ) -> None:
        """Start with no chunks and the initial credit."""
        self._attempt = attempt
        self._outbox = outbox
        self._join_s = join_s
        self._window = SendWindow()
        self._is_muted = False
        self.chunks = 0
        self.tokens = 0
        self._on_first_token = on_first_token

    def give_credit(self, size: int) -> None:
        """Let `size` more bytes go."""
        self._window.give(size)

    def mute(self) -> None:
        """Read on without sending, since nobody waits for the answer."""
        self._is_muted = True
        self._window.lift()

    async def send_head(self, answer: Answer) -> None:
        """Send a plain service's status and headers."""
        head = Head(self._attempt, answer.status, dict(answer.headers))
        await self._send(head)

    async def send_bytes(self, stream: UpstreamStream) -> None:
        """Send a plain service's answer as it comes."""
        while data := await self._read(stream):
            for start in range(0, len(data), BODY_PIECE_BYTES):
                await self._send_chunk(data[start : start + BODY_PIECE_BYTES])

    async def send_events(self, stream: UpstreamStream) -> None:
        """Send an engine's answer in whole events.

        One that stops within an event gets a fault, also if its stream has
        none.
        """
        splitter = EventSplitter()
        while data := await self._read(stream):
            events = splitter.feed(data)
            if events.data:
                await self._send_chunk(events.data, events.tokens)
            if splitter.is_too_large:
                break
        if splitter.has_rest and stream.fault is None:
            stream.fault = _CUT_EVENT

    async def finish(self, outcome: Outcome) -> None:
        """Send the outcome with the counts; also to those who gave up."""
        await self._outbox.send(
            Finished(self._attempt, outcome, self.chunks, self.tokens),
        )

    async def _read(self, stream: UpstreamStream) -> bytes:
        await stream.received.wait()
        if self.chunks and not stream.received.has_ended:
            await asyncio.sleep(self._join_s)
        return stream.received.take()

    async def _send_chunk(self, data: bytes, tokens: int = 0) -> None:
        if tokens and not self.tokens:
            self._on_first_token()
        await self._window.take(len(data))
        chunk = Chunk(self._attempt, self.chunks, data, tokens)
        self.chunks += 1
        self.tokens += tokens
        await self._send(chunk)

    async def _send(self, message: Message) -> None:
        if not self._is_muted:
            await self._outbox.send(message)
