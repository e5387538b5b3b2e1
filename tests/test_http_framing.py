"""The HTTP server rejects requests with ambiguous framing.

Otherwise a request could be smuggled in the body of another one.
"""

import socket

import pytest

from figspread.http.server import HttpServer, ListenOptions

SMUGGLED = b'GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n'


class Root:
    """Records the paths that were served."""

    def __init__(self) -> None:
        """Start with no paths."""
        self.paths: list[str] = []

    def default(self, *parts: str) -> str:
        """Serve any path."""
        self.paths.append('/'.join(parts))
        return 'served'

    default.exposed = True  # type: ignore[attr-defined]


def _post(*fields: bytes) -> bytes:
    lines = [b'POST /a HTTP/1.1', b'Host: x', *fields]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


CASES = {
    'two lengths': _post(b'Content-Length: 4', b'Content-Length: 5') + b'abcd',
    'length and coding': (
        _post(b'Content-Length: 4', b'Transfer-Encoding: chunked')
        + b'0\r\n\r\n'
    ),
    'space before the colon': (
        _post(b'Transfer-Encoding : chunked') + b'0\r\n\r\n'
    ),
}


@pytest.mark.parametrize('case', CASES)
def test_ambiguous_framing_is_rejected(case: str) -> None:
    """The request gets status 400; the one after it isn't served."""
    root = Root()
    server = HttpServer(root, ListenOptions('127.0.0.1', 0))
    server.start()
    received = b''
    try:
        with socket.create_connection(('127.0.0.1', server.port), 5) as sock:
            sock.sendall(CASES[case] + SMUGGLED)
            while data := sock.recv(65_536):
                received += data
    except ConnectionResetError:
        # Bytes after the rejected request were not read.
        pass  # noqa: WPS420
    finally:
        server.stop()
    assert received.startswith(b'HTTP/1.1 400')
    assert received.count(b'HTTP/1.1 ') == 1
    assert not root.paths
