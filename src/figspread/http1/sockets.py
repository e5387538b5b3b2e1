"""What connections of both sides need: noticing silence, being woken."""

import asyncio
import socket
from typing import Final

# Unacknowledged bytes and unanswered probes end a connection after this time:
# above a few retransmissions, below what callers wait for a first event.
SILENCE_S: Final = 2
_PROBE_IDLE_S: Final = 1
_PROBE_INTERVAL_S: Final = 1
_PROBES: Final = 2
_MS_PER_S: Final = 1000


def notice_silence(transport: asyncio.BaseTransport) -> None:
    """Let the kernel end the connection when its peer is silent."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_S * _MS_PER_S),
    )
    for level, option, number in options:
        sock.setsockopt(level, option, number)


class Wakeup:
    """Lets the one task of a connection wait for its protocol's callbacks."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._waiting: asyncio.Future[None] | None = None

    def notify(self) -> None:
        """Wake the task, if it waits."""
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result(None)

    async def wait(self) -> None:
        """Wait for the next `notify`."""
        self._waiting = asyncio.get_running_loop().create_future()
        try:
            await self._waiting
        finally:
            self._waiting = None
