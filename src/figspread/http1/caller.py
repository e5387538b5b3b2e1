"""HTTP server connections, one task each.

The task is cancelled when the caller disconnects.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

import h11

from figspread.http1.buffers import MAX_READ_BYTES
from figspread.http1.caller_shares import (
    CLOSINGS_BY_STATE,
    CLOSINGS_BY_STATUS,
    CallerShares,
    Closing,
)
from figspread.http1.connection_table import ConnectionState
from figspread.http1.fields import Fields
from figspread.http1.input_buffer import RETRY_AFTER_S, InputBuffer
from figspread.http1.request_reader import RequestReader
from figspread.http1.requests import (
    SPENT_PARSER,
    CallerLimits,
    Request,
    RequestRejected,
)
from figspread.http1.response_writer import ResponseWriter
from figspread.http1.send_buffer import SendBuffer
from figspread.http1.sockets import Wakeup, enable_dead_peer_detection

_UNAVAILABLE: Final = 503
# All connections of a process read into it: what is read is parsed at once.
_READ_BUFFER: Final = memoryview(bytearray(MAX_READ_BYTES))


def _ignore_exception(exc: Exception) -> None:
    """Ignore `exc`; the default where the creator has no log."""


class CallerConnection(asyncio.BufferedProtocol):
    """Reads requests in sequence and passes each one to the handler.

    The handler answers through `respond`, or through `start_stream`,
    `send_chunk` and `end_stream`. `is_ended_here` tells whether this side ended
    the connection, rather than the caller.
    """

    def __init__(
        self,
        handle_request: 'RequestHandler',
        limits: Callable[[], CallerLimits],
        is_leaving: Callable[[], bool],
        report_exception: Callable[[Exception], None] = _ignore_exception,
        shares: CallerShares | None = None,
    ) -> None:
        """Pass requests to `handle_request`.

        `limits` is called for each request. An unexpected exception aborts the
        connection and is passed to `report_exception`. While `is_leaving`
        returns true, responses ask the caller to close the connection. `shares`
        are the limits of all connections.
        """
        self._report_exception = report_exception
        self._handle_request = handle_request
        self._limits = limits
        self._shares = shares or CallerShares()
        self._parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits().head_bytes,
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._wakeup = Wakeup()
        self._send_buffer = SendBuffer(lambda: limits().idle_timeout_s)
        self._input = InputBuffer(
            self._parser, self._wakeup.notify, self._shares.requests
        )
        self._reader = RequestReader(
            self._parser, self._input, self._wakeup, limits, self._shares.turns
        )
        self._writer = ResponseWriter(
            self._parser,
            self._send_buffer,
            is_leaving,
            self._shares.answers.open_share(self._give_up_answer),
        )
        self._state = ConnectionState.IDLE
        self._is_disconnected = False
        self._is_serving = False
        self.is_ended_here = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection's task."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self._send_buffer.attach(transport)
        self._writer.attach(transport)
        self._input.attach(transport)
        if self.is_ended_here:
            transport.close()
            return
        enable_dead_peer_detection(transport, may_leave_unread=True)
        self._task = asyncio.get_running_loop().create_task(
            self._serve_connection()
        )

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return _READ_BUFFER[: self._input.read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that were read into the buffer."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser; after the last answer, discard them."""
        if not self._send_buffer.is_finished:
            self._input.receive(data)
            self._wakeup.notify()

    def eof_received(self) -> None:
        """Cancel the request: the caller has disconnected."""
        self._handle_disconnect()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request: the connection is gone."""
        self._handle_disconnect()

    @property
    def is_busy(self) -> bool:
        """Whether a request is served, was received in part, or is unsent.

        The last is an answer that a slow caller has not made room for yet.
        """
        if self._is_disconnected:
            return False
        if self._state is ConnectionState.IDLE and self._reader.has_begun:
            return True
        is_receiving = self._state is ConnectionState.RECEIVING
        return is_receiving or self._is_serving or self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """How many bytes of answers the kernel has not taken yet."""
        return 0 if self._is_disconnected else self._send_buffer.unsent_bytes

    @property
    def is_closed(self) -> bool:
        """Whether the caller has disconnected, or was idle for too long."""
        return self._is_disconnected

    def pause_writing(self) -> None:
        """Block writers until the caller has read."""
        self._send_buffer.pause()
        self._move(ConnectionState.BLOCKED)

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._send_buffer.resume()
        self._writer.count_unsent()
        self._move(ConnectionState.SERVING)

    def close(self) -> None:
        """Close the connection once buffered bytes are sent."""
        self.is_ended_here |= not self._is_disconnected
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Drop the connection, so that the caller sees a truncated response."""
        self.is_ended_here |= not self._is_disconnected
        if self._transport is not None:
            self._transport.abort()

    def evict(self) -> None:
        """Close the connection, so that another one can be opened.

        A request that is arriving is refused as not run.
        """
        closing = CLOSINGS_BY_STATE[self._state]
        if self._transport is None:
            closing = Closing.CONNECTION_LIMIT_NEW
        self._shares.report(closing)
        if self._state is ConnectionState.RECEIVING:
            self._writer.reject(
                RequestRejected(
                    _UNAVAILABLE, 'too many connections', RETRY_AFTER_S
                )
            )
        # Closing would keep the connection until the caller has read the rest.
        if self.unsent_bytes:
            self.abort()
        else:
            self.close()
        self._cancel_task()

    async def respond(
        self,
        status: int,
        fields: Fields,
        body: bytes,
    ) -> None:
        """Send a complete response; wait while the caller reads slowly."""
        await self._writer.respond(status, fields, body)

    def start_stream(self, status: int, fields: Fields) -> None:
        """Send the header of a chunked response, whose length is unknown."""
        self._writer.start_stream(status, fields)

    async def send_chunk(self, piece: bytes) -> None:
        """Send a part of a chunked response; wait while the caller is slow."""
        await self._writer.send_chunk(piece)

    def end_stream(self) -> None:
        """Complete a chunked response."""
        self._writer.end_stream()

    def _move(self, state: ConnectionState) -> None:
        self._state = state
        self._shares.connections.move(self, state)

    def _give_up_answer(self) -> None:
        self._shares.report(Closing.ANSWER_MEMORY)
        self.abort()

    async def _serve_connection(self) -> None:
        try:
            await self._serve_requests()
            await self._finish()
        except ConnectionError:
            self.abort()
        except Exception as exc:
            self._report_exception(exc)
            self.abort()
        finally:
            self._release()
            self.close()

    async def _finish(self) -> None:
        """Let the caller receive its last answer before the end."""
        is_due = self._parser.our_state is h11.MUST_CLOSE
        self._release()
        if not is_due:
            return
        self._move(ConnectionState.BLOCKED)
        await self._send_buffer.finish()
        self._move(ConnectionState.CLOSING)
        await self._send_buffer.linger()

    def _release(self) -> None:
        """Keep nothing of requests, as no further one is read."""
        self._input.close()
        self._parser = SPENT_PARSER
        self._reader.close()
        self._writer.end()

    async def _serve_requests(self) -> None:
        try:
            while not self._is_disconnected:
                await self._serve_next_request()
                if set(self._parser.states.values()) != {h11.DONE}:
                    return
                self._parser.start_next_cycle()
                self._move(ConnectionState.IDLE)
        except RequestRejected as exc:
            self._shares.report(CLOSINGS_BY_STATUS[exc.status])
            self._writer.reject(exc)
        await self._send_buffer.wait_until_writable()

    async def _serve_next_request(self) -> None:
        head = await self._read_head()
        if head is None:
            self.close()
            self._is_disconnected = True
            return
        self._is_serving = True
        try:
            if self._parser.they_are_waiting_for_100_continue:
                self._reader.check_length(head)
                self._writer.send_continue()
            body = await self._reader.read_body(head)
            self._move(ConnectionState.SERVING)
            request = Request(
                bytes(head.method),
                bytes(head.target),
                list(head.headers),
                body,
            )
            await self._handle_request(request, self)
        finally:
            self._end_request()

    def _end_request(self) -> None:
        self._is_serving = False
        self._input.finish_request()
        self._writer.count_unsent()

    async def _read_head(self) -> h11.Request | None:
        """Return the next request's header, `None` after the idle timeout."""
        if not self._reader.has_begun and not await self._wait_for_request():
            return None
        self._move(ConnectionState.RECEIVING)
        return await self._reader.read_head()

    async def _wait_for_request(self) -> bool:
        """Return whether bytes have arrived before the idle timeout.

        It doesn't run while the caller still reads the last answer. A caller that
        has stopped to read it is disconnected.
        """
        timeout_s = self._limits().idle_timeout_s
        while True:
            unsent_bytes = self._send_buffer.unsent_bytes
            try:
                async with asyncio.timeout(timeout_s):
                    await self._reader.wait_for_data()
            except TimeoutError:
                if self._send_buffer.unsent_bytes >= unsent_bytes:
                    break
                continue
            return True
        if self._send_buffer.unsent_bytes:
            self.abort()
        return False

    def _handle_disconnect(self) -> None:
        self._is_disconnected = True
        self._shares.connections.remove(self)
        self._writer.close()
        self._input.close()
        self._cancel_task()

    def _cancel_task(self) -> None:
        """Cancel the task and forget it.

        Its exception keeps the request and its answer, and would do so until the
        garbage collector finds it, as part of a cycle.
        """
        if self._task is not None:
            self._task.cancel()
            self._task = None


RequestHandler: TypeAlias = Callable[
    [Request, CallerConnection], Awaitable[None]
]
