"""Tests that no request is read on a connection that is closed as it is accepted.

asyncio creates the protocol of a connection before it hands it the transport. An
entry that stopped in between read the request and exited without an answer.
"""

import asyncio
from collections.abc import Callable

from figspread.direct.lifecycle.caller_connections import CallerConnections
from figspread.http1.caller import CallerConnection
from figspread.http1.requests import CallerLimits, Request

REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


class Server:
    """Answers requests, which are in `requests`."""

    def __init__(self) -> None:
        """Start without connections."""
        self.requests: list[Request] = []
        self.conns = CallerConnections(self._make_connection)

    async def exchange(self, accept: Callable[[], CallerConnection]) -> bytes:
        """Return the first byte that a caller receives for one request."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(accept, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        try:
            async with asyncio.timeout(5):
                writer.write(REQUEST)
                return await reader.read(1)
        except ConnectionError:
            return b''
        finally:
            writer.close()
            server.close()

    def _make_connection(self) -> CallerConnection:
        return CallerConnection(self._serve, CallerLimits, bool)

    async def _serve(self, request: Request, conn: CallerConnection) -> None:
        self.requests.append(request)
        await conn.respond(200, [], b'answer')


def test_request_is_not_read_when_the_entry_stops_while_it_accepts() -> None:
    """Leave the request unread, so that its caller may send it again."""
    server = Server()

    def accept() -> CallerConnection:
        conn = server.conns.accept()
        server.conns.close()
        return conn

    received = asyncio.run(server.exchange(accept))
    assert (received, server.requests) == (b'', [])


def test_request_is_not_read_when_the_entry_accepts_after_its_stop() -> None:
    """The kernel's queue may yield connections after the others are closed."""
    server = Server()
    server.conns.close()
    received = asyncio.run(server.exchange(server.conns.accept))
    assert (received, server.requests) == (b'', [])


def test_request_on_an_accepted_connection_is_answered() -> None:
    """Answer requests as long as nothing closes their connection."""
    server = Server()
    received = asyncio.run(server.exchange(server.conns.accept))
    assert (received, len(server.requests)) == (b'H', 1)
