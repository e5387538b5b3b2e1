"""Writes the responses of a connection."""

import asyncio
from collections.abc import Callable
from typing import Final

import h11

from figspread.http1.buffers import BufferShare
from figspread.http1.fields import Fields
from figspread.http1.requests import SPENT_PARSER, RequestRejected
from figspread.http1.send_buffer import SendBuffer

_CLOSE_FIELD: Final = (b'connection', b'close')
# Statuses whose responses have no body.
_BODILESS_STATUSES: Final = frozenset((204, 304))


class ResponseWriter:
    """Encodes responses, and counts what their caller has not taken yet."""

    def __init__(
        self,
        parser: h11.Connection,
        send_buffer: SendBuffer,
        is_leaving: Callable[[], bool],
        share: BufferShare,
    ) -> None:
        """Encode with `parser`; `attach` says where to.

        What is unsent counts in `share`. While `is_leaving` returns true,
        responses ask the caller to close the connection.
        """
        self._parser = parser
        self._send_buffer = send_buffer
        self._is_leaving = is_leaving
        self._share = share
        self._transport: asyncio.Transport | None = None

    def attach(self, transport: asyncio.Transport) -> None:
        """Write to `transport`."""
        self._transport = transport

    def close(self) -> None:
        """Write and count nothing more, as the connection is gone."""
        self._transport = None
        self._share.close()

    def end(self) -> None:
        """Write no more, but count what is unsent."""
        self._parser = SPENT_PARSER

    def count_unsent(self) -> None:
        """Count what is unsent now."""
        self._share.resize(self._send_buffer.unsent_bytes)

    async def respond(self, status: int, fields: Fields, body: bytes) -> None:
        """Send a complete response; wait while the caller reads slowly."""
        self._write_response(status, fields, body)
        # The sender keeps the whole until it has been taken.
        self._share.resize(max(len(body), self._send_buffer.unsent_bytes))
        await self._send_buffer.wait_until_writable()

    def start_stream(self, status: int, fields: Fields) -> None:
        """Send the header of a chunked response, whose length is unknown."""
        framing = (b'transfer-encoding', b'chunked')
        self._write_head(status, [*fields, framing])

    async def send_chunk(self, piece: bytes) -> None:
        """Send a part of a chunked response; wait while the caller is slow."""
        self._write(h11.Data(data=piece))
        self.count_unsent()
        await self._send_buffer.wait_until_writable()

    def end_stream(self) -> None:
        """Complete a chunked response."""
        self._write(h11.EndOfMessage())

    def send_continue(self) -> None:
        """Ask the caller for the body that it announces."""
        self._write(h11.InformationalResponse(status_code=100, headers=[]))

    def reject(self, exc: RequestRejected) -> None:
        """Send the response of a rejected request, if none has begun."""
        is_ended = self._transport is None or self._parser is SPENT_PARSER
        if is_ended or self._parser.our_state not in {
            h11.IDLE,
            h11.SEND_RESPONSE,
        }:
            return
        closing = [] if self._is_leaving() else [_CLOSE_FIELD]
        fields = [*exc.fields, *closing]
        self._write_response(exc.status, fields, str(exc).encode())

    def _write_response(self, status: int, fields: Fields, body: bytes) -> None:
        has_body = status not in _BODILESS_STATUSES
        framing = [_content_length_field(body)] if has_body else []
        self._write_head(status, [*fields, *framing])
        if body and has_body:
            self._write(h11.Data(data=body))
        self._write(h11.EndOfMessage())

    def _write_head(self, status: int, fields: Fields) -> None:
        closing = [_CLOSE_FIELD] if self._is_leaving() else []
        self._write(
            h11.Response(status_code=status, headers=[*fields, *closing]),
        )

    def _write(self, event: h11.Event) -> None:
        if self._transport is None:
            raise ConnectionResetError('the caller has disconnected')
        self._transport.write(self._parser.send(event) or b'')


def _content_length_field(body: bytes) -> tuple[bytes, bytes]:
    return (b'content-length', str(len(body)).encode())
