"""Client connections on which only whole lines of the protocol count.

The parser of `http.client` takes the end of a connection for the end of a head, of
a chunk's length and of the last chunk. What had not arrived seems not to be there:
a length that was cut off leaves an answer up to the end of the connection, and a
head cut after `Content-Length: 0` is a whole answer. It also takes informational
answers (1xx) other than 100 for final ones.
"""

import io
import socket
from http.client import HTTPException, HTTPResponse, RemoteDisconnected
from typing import Any, Final

from urllib3 import HTTPConnectionPool, HTTPSConnectionPool, PoolManager
from urllib3.connection import HTTPConnection, HTTPSConnection

# Informational answers before an answer. One or two are usual.
INTERIM_ANSWER_LIMIT: Final = 16
_FIRST_FINAL_STATUS: Final = 200


class _WholeLineReader(io.BufferedReader):
    """Raises `RemoteDisconnected` for a line that ends with its connection."""

    def readline(self, size: int | None = -1, /) -> bytes:
        line = super().readline(size)
        is_at_limit = size is not None and 0 <= size <= len(line)
        if not line.endswith(b'\n') and not is_at_limit:
            raise RemoteDisconnected('the connection ended within a line')
        return line


class WholeHeadResponse(HTTPResponse):
    """An answer whose head and chunks have to be complete.

    Reading it raises `RemoteDisconnected` if they aren't.
    """

    def __init__(
        self, sock: socket.socket, *options: Any, **named: Any
    ) -> None:
        """Read from `sock`; the other arguments are those of the base class."""
        super().__init__(sock, *options, **named)
        self.fp = _WholeLineReader(self.fp.detach())

    def begin(self) -> None:
        """Read the head of the final answer."""
        for _ in range(INTERIM_ANSWER_LIMIT + 1):
            super().begin()
            if self.status >= _FIRST_FINAL_STATUS:
                return
            # The base class reads no other head while there is one.
            self.headers = self.msg = None  # type: ignore[assignment]
        raise HTTPException('informational answers without an answer')


class ClientConnection(HTTPConnection):
    """A connection of urllib3 that reads whole heads only."""

    response_class = WholeHeadResponse


class SecureClientConnection(HTTPSConnection):
    """The same over TLS."""

    response_class = WholeHeadResponse


class _ClientConnectionPool(HTTPConnectionPool):
    ConnectionCls = ClientConnection  # noqa: WPS115 - urllib3's name


class _SecureClientConnectionPool(HTTPSConnectionPool):
    ConnectionCls = SecureClientConnection  # noqa: WPS115 - urllib3's name


class ClientPool(PoolManager):
    """A pool manager of urllib3 whose connections read whole heads only."""

    def __init__(self, *options: Any, **named: Any) -> None:
        """Take the arguments of `urllib3.PoolManager`."""
        super().__init__(*options, **named)
        self.pool_classes_by_scheme = {
            'http': _ClientConnectionPool,
            'https': _SecureClientConnectionPool,
        }
