"""Socket options and wake-ups, for connections of callers and upstreams."""

import asyncio
import fcntl
import socket
import sys
import termios
from typing import Final

# A connection is closed when sent bytes or keep-alive probes stay
# unacknowledged for this long. That is longer than a few retransmissions take,
# and shorter than callers wait for the first event of an answer.
DEAD_PEER_TIMEOUT_S: Final = 2
# What a peer's kernel takes whether or not its process reads: one segment.
SEGMENT_BYTES: Final = 1460
_PROBE_IDLE_S: Final = 1
_PROBE_INTERVAL_S: Final = 1
_PROBE_COUNT: Final = 2
_MS_PER_S: Final = 1000
# Size of a C `int`.
_INT_BYTES: Final = 4


def enable_dead_peer_detection(
    transport: asyncio.BaseTransport, *, may_leave_unread: bool = False
) -> None:
    """Have the kernel close the connection when its peer stops responding.

    For `may_leave_unread` see `set_unread_limit`. Also disables Nagle's
    algorithm.
    """
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT),
    )
    for level, option, setting in options:
        sock.setsockopt(level, option, setting)
    set_unread_limit(transport, may_leave_unread=may_leave_unread)


def set_unread_limit(
    transport: asyncio.BaseTransport, *, may_leave_unread: bool
) -> None:
    """Set whether the peer may leave what is sent unread for longer.

    The kernel's limit for unacknowledged bytes also ends the connection of a
    peer that responds but has its window full. Without the limit, only probes
    of an idle connection show that a peer doesn't respond.
    """
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    timeout_s = 0 if may_leave_unread else DEAD_PEER_TIMEOUT_S
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_s * _MS_PER_S
    )


def has_error(transport: asyncio.BaseTransport) -> bool:
    """Return whether the connection has failed; it is reported only once."""
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return False
    return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))


def count_unreceived_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many bytes the kernel keeps until the peer's has them."""
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return 0
    count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT_BYTES))
    return int.from_bytes(count, sys.byteorder)


# Chunks of a body that are parsed before other tasks get their turn. Parsing one
# takes some ten microseconds, however few bytes it holds.
CHUNKS_PER_TURN: Final = 64


class Wakeup:
    """Lets one task wait for the callbacks of its connection's protocol."""

    def __init__(self) -> None:
        """Start without a waiting task."""
        self._waiter: asyncio.Future[None] | None = None

    def notify(self) -> None:
        """Wake the task if it is waiting."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def wait(self) -> None:
        """Wait for the next call of `notify`; earlier calls don't count."""
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
