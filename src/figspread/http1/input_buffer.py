"""What a connection has received of its caller's requests and still keeps."""

import asyncio
from collections.abc import Callable
from typing import Final

import h11

from figspread.http1.body_blocks import BodyBlocks
from figspread.http1.buffers import BufferPool
from figspread.http1.requests import RequestRejected
from figspread.policy.process_shares import REQUEST_COPIES

# Reading pauses while more bytes are unparsed, and behind a request that is served.
UNPARSED_LIMIT_BYTES: Final = 65_536
BEHIND_REQUEST_LIMIT_BYTES: Final = 8192
_UNAVAILABLE: Final = 503
# What others receive is mostly complete by then.
RETRY_AFTER_S: Final = 1.0


class InputBuffer:
    """Follows the received bytes of a connection.

    They count in a pool of all connections. If the pool makes this one give up,
    the body that it is receiving is dropped at once and the request rejected.
    """

    def __init__(
        self,
        parser: h11.Connection,
        wake: Callable[[], None],
        pool: BufferPool,
    ) -> None:
        """Pass input to `parser`; `wake` is called when it gives up."""
        self._parser: h11.Connection | None = parser
        self._pool = pool
        self._share = pool.open_share(self._give_up)
        self._wake = wake
        self._transport: asyncio.Transport | None = None
        self._blocks = BodyBlocks()
        self._request_bytes = 0
        self._has_given_up = False

    def attach(self, transport: asyncio.Transport) -> None:
        """Pause and resume the reading of `transport`."""
        self._transport = transport

    @property
    def unparsed_bytes(self) -> int:
        """How many received bytes the parser has not consumed."""
        return len(self._parser.trailing_data[0]) if self._parser else 0

    @property
    def read_bytes(self) -> int:
        """How much to read at a time."""
        if self._request_bytes:
            return BEHIND_REQUEST_LIMIT_BYTES
        return self._pool.read_bytes

    @property
    def body_bytes(self) -> int:
        """How much of the request's body has been received."""
        return self._blocks.size

    def receive(self, octets: bytes) -> None:
        """Add received bytes; they are dropped after it has given up."""
        if self._has_given_up or self._parser is None:
            return
        self._parser.receive_data(octets)
        unparsed_bytes = self._update()
        if unparsed_bytes > self._find_unparsed_limit() and self._transport:
            self._transport.pause_reading()

    def check(self) -> None:
        """Raise `RequestRejected` if the next request can't be received."""
        if self._has_given_up:
            raise RequestRejected(
                _UNAVAILABLE, 'all connections keep too much', RETRY_AFTER_S
            )

    def resume(self) -> None:
        """Read on, as the parser needs more."""
        self._update()
        if self._transport is not None:
            self._transport.resume_reading()

    def append_body(self, part: bytes) -> None:
        """Keep a part of the request's body, which has been parsed."""
        self._blocks.append(part)

    def take_request(self) -> bytes:
        """Return the complete body, which stays counted, and read on.

        Otherwise the end of a caller whose request came in one read would not
        be noticed. Raises `RequestRejected` if there is no room for the copies
        of the request.
        """
        self._request_bytes = max(1, REQUEST_COPIES * self._blocks.size)
        unparsed_bytes = self.unparsed_bytes
        if not self._share.try_keep(self._request_bytes + unparsed_bytes):
            self._give_up()
        self.check()
        if unparsed_bytes <= BEHIND_REQUEST_LIMIT_BYTES and self._transport:
            self._transport.resume_reading()
        return self._blocks.take()

    def finish_request(self) -> None:
        """Drop the request, which has been answered."""
        self._request_bytes = 0
        self._blocks.clear()
        self._update()

    def close(self) -> None:
        """Keep and count nothing more, as no request will be read."""
        self._parser = None
        self._blocks.clear()
        self._share.close()

    def _find_unparsed_limit(self) -> int:
        if self._request_bytes:
            return BEHIND_REQUEST_LIMIT_BYTES
        return UNPARSED_LIMIT_BYTES

    def _update(self) -> int:
        """Count what the connection keeps now; return the unparsed bytes."""
        unparsed_bytes = self.unparsed_bytes
        self._share.resize(
            unparsed_bytes + self._blocks.size + self._request_bytes,
            is_receiving=not self._request_bytes,
        )
        return unparsed_bytes

    def _give_up(self) -> None:
        self._has_given_up = True
        self._blocks.clear()
        self._wake()
