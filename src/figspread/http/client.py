"""Client connections on which only whole and valid answers count.

The parser of `http.client` takes the end of a connection for the end of a head, of
a chunk's length and of the last chunk. What had not arrived seems not to be there:
a length that was cut off leaves an answer up to the end of the connection, and a
head cut after `Content-Length: 0` is a whole answer. It also takes informational
answers (1xx) other than 100 for final ones, and heads for valid that are not.
"""

import socket
from http.client import HTTPException, HTTPResponse
from typing import Any, Final

from urllib3 import HTTPConnectionPool, HTTPSConnectionPool, PoolManager
from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.response import HTTPResponse as PooledResponse

from figspread.http.answer_reader import AnswerReader
from figspread.http1.answers import ExchangeError, check_head

# Informational answers before an answer. One or two are usual.
INTERIM_ANSWER_LIMIT: Final = 16
_FIRST_FINAL_STATUS: Final = 200
_FIRST_ERROR_STATUS: Final = 400


class WholeHeadResponse(HTTPResponse):
    """An answer whose head and chunks have to be complete and valid.

    Reading it raises `RemoteDisconnected` or another `HTTPException` if they
    aren't.
    """

    def __init__(
        self, sock: socket.socket, *options: Any, **named: Any
    ) -> None:
        """Read from `sock`; the other arguments are those of the base class."""
        super().__init__(sock, *options, **named)
        self._reader = AnswerReader(self.fp.detach())
        self.fp = self._reader

    def begin(self) -> None:
        """Read the head of the final answer."""
        for _ in range(INTERIM_ANSWER_LIMIT + 1):
            super().begin()
            if self.status >= _FIRST_FINAL_STATUS:
                self._check_head()
                return
            # The base class reads no other head while there is one.
            self.headers = self.msg = None  # type: ignore[assignment]
        raise HTTPException('informational answers without an answer')

    def _check_head(self) -> None:
        method = self._method or 'GET'  # type: ignore[attr-defined]
        try:
            check_head(method.encode(), bytes(self._reader.head))
        except ExchangeError as exc:
            raise HTTPException(str(exc)) from exc
        self._reader.begin_body(is_chunked=bool(self.chunked))


class _WholeExchange(HTTPConnection):
    """A connection on which an answer to a request sent in part is not whole.

    The kernel reports the reset of a connection once. If sending the request
    has met it, reading the answer ends like an orderly close.
    """

    response_class = WholeHeadResponse

    def __init__(self, *options: Any, **named: Any) -> None:
        """Take the arguments of the base class."""
        super().__init__(*options, **named)
        self._is_request_cut = False

    def send(self, data: Any) -> None:
        """Send a part of the request."""
        try:
            super().send(data)
        except (BrokenPipeError, ConnectionResetError):
            self._is_request_cut = True
            raise

    def getresponse(self) -> PooledResponse:  # type: ignore[override]
        """Return the answer once its head is read.

        Raises `HTTPException` for a success whose end nothing shows.
        """
        response = super().getresponse()
        is_framed = response.chunked or response.length_remaining is not None
        is_success = response.status < _FIRST_ERROR_STATUS
        if self._is_request_cut and is_success and not is_framed:
            raise HTTPException('the connection was lost within the request')
        return response


class ClientConnection(_WholeExchange):
    """A connection of urllib3 that reads whole answers only."""


class SecureClientConnection(_WholeExchange, HTTPSConnection):
    """The same over TLS."""


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
