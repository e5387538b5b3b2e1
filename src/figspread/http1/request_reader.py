"""Reads requests from the parser of a connection, within their limits."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Final

import h11

from figspread.http1.chunk_turns import ChunkTurns
from figspread.http1.fields import find_field
from figspread.http1.input_buffer import InputBuffer
from figspread.http1.requests import (
    SPENT_PARSER,
    CallerLimits,
    RequestRejected,
    check_head,
)
from figspread.http1.sockets import CHUNKS_PER_TURN, Wakeup

_BAD_REQUEST: Final = 400
_REQUEST_TIMEOUT: Final = 408
_CONTENT_TOO_LARGE: Final = 413
_HEAD_TOO_LARGE: Final = 431
_NOT_IMPLEMENTED: Final = 501


class RequestReader:
    """Waits for the parts of a request, and raises `RequestRejected`.

    That is for requests that are malformed, too large, too slow, or for which
    there is no memory.
    """

    def __init__(
        self,
        parser: h11.Connection,
        input_buffer: InputBuffer,
        wakeup: Wakeup,
        limits: Callable[[], CallerLimits],
        turns: ChunkTurns,
    ) -> None:
        """Read from `parser`; `wakeup` tells that it has more input.

        `limits` is called for each head and for each body.
        """
        self._parser = parser
        self._input = input_buffer
        self._wakeup = wakeup
        self._limits = limits
        self._turns = turns

    @property
    def has_begun(self) -> bool:
        """Whether a part of a request waits for the parser."""
        return self._input.unparsed_bytes > 0

    def close(self) -> None:
        """Read no more."""
        self._parser = SPENT_PARSER

    async def read_head(self) -> h11.Request | None:
        """Return the header of a request, `None` at the end of the input."""
        limits = self._limits()
        try:
            async with asyncio.timeout(limits.head_timeout_s):
                event = await self._wait_for_event()
        except TimeoutError as exc:
            raise RequestRejected(_REQUEST_TIMEOUT, 'the head is late') from exc
        if not isinstance(event, h11.Request):
            return None
        check_head(event, limits.head_bytes)
        return event

    def check_length(self, head: h11.Request) -> None:
        """Raise `RequestRejected` if the head announces too long a body."""
        length = find_field(head.headers, b'content-length')
        if length is not None and int(length) > self._limits().body_bytes:
            raise RequestRejected(_CONTENT_TOO_LARGE, 'the body is too large')

    async def read_body(self, head: h11.Request) -> bytes:
        """Return the whole body of a request, which stays counted."""
        self.check_length(head)
        limits = self._limits()
        try:
            async with asyncio.timeout(limits.idle_timeout_s):
                await self._collect_body(limits.body_bytes)
        except TimeoutError as exc:
            raise RequestRejected(_REQUEST_TIMEOUT, 'the body is late') from exc
        return self._input.take_request()

    async def wait_for_data(self) -> None:
        """Wait until the connection has received more."""
        self._input.resume()
        await self._wakeup.wait()

    async def _collect_body(self, limit_bytes: int) -> None:
        for chunk_number in itertools.count(1):
            event = await self._wait_for_event()
            if not isinstance(event, h11.Data):
                break
            self._input.append_body(bytes(event.data))
            if self._input.body_bytes > limit_bytes:
                raise RequestRejected(
                    _CONTENT_TOO_LARGE, 'the body is too large'
                )
            if chunk_number % CHUNKS_PER_TURN == 0:
                # Lets other tasks run while many chunks wait.
                await self._turns.wait()

    async def _wait_for_event(self) -> object:
        event = self._next_event()
        while event is h11.NEED_DATA:
            await self.wait_for_data()
            event = self._next_event()
        return event

    def _next_event(self) -> object:
        self._input.check()
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
            if status not in {_HEAD_TOO_LARGE, _NOT_IMPLEMENTED}:
                status = _BAD_REQUEST
            raise RequestRejected(status, str(exc)) from exc
