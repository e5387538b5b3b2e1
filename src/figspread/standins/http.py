"""HTTP helpers of the stand-ins' request handlers."""

import socket
from collections.abc import Mapping
from contextlib import suppress

import cherrypy
import msgspec


def read_body() -> bytes:
    """Return the body of the current request, whatever its content type."""
    if cherrypy.request.rfile is None:
        return b''
    return bytes(cherrypy.request.rfile.read())


def read_headers() -> Mapping[str, str]:
    """Return the headers of the current request."""
    return dict(cherrypy.request.headers)


def answer_json(document: object, status: int = 200) -> bytes:
    """Set the status and return `document` as a JSON body."""
    cherrypy.response.status = status
    cherrypy.response.headers['Content-Type'] = 'application/json'
    return msgspec.json.encode(document)


def answer_error(status: int, detail: str, retry_after_s: float = 0) -> bytes:
    """Set the status and return an error body in the format of engines."""
    if retry_after_s:
        cherrypy.response.headers['Retry-After'] = format(retry_after_s, '.3f')
    return answer_json({'error': {'message': detail}}, status)


class RequestConnection:
    """The connection of the current request, which a fault may break."""

    def __init__(self) -> None:
        """Store the connection; call this in the request's handler."""
        self._stream = cherrypy.request.rfile.rfile.raw

    def end_within_head(self) -> None:
        """Send a part of a head, from which an empty body follows."""
        self._end_with(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Ty')

    def abort(self) -> None:
        """Shut it down, so that the caller gets an incomplete response."""
        self._end_with(b'')

    def _end_with(self, octets: bytes) -> None:
        with suppress(OSError, ValueError):
            sock = socket.fromfd(
                self._stream.fileno(),
                socket.AF_INET,
                socket.SOCK_STREAM,
            )
            with sock:
                sock.sendall(octets)
                sock.shutdown(socket.SHUT_RDWR)
