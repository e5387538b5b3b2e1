"""Rejects requests with ambiguous framing, against request smuggling.

cheroot uses the last of two `Content-Length` fields, and takes a field name
that is followed by a space for a different name. Either lets a client hide a
request in the body of another one.
"""

from typing import Any, Protocol

from cheroot.server import (
    HeaderReader,
    HTTPConnection,
    HTTPRequest,
)


class LineSource(Protocol):
    """A stream from which a request's header is read line by line."""

    def readline(self) -> bytes:
        """Return the next line, with its line ending."""


class _FramingFieldRecorder:
    """Passes header lines through and records the body's framing fields."""

    def __init__(self, source: LineSource) -> None:
        self._source = source
        self.content_lengths: set[bytes] = set()
        self.has_transfer_encoding = False

    def readline(self) -> bytes:
        line = self._source.readline()
        name, _, content = line.partition(b':')
        if name != name.rstrip(b' \t'):
            raise ValueError('a space behind the name of a field')
        match name.strip().title():
            case b'Content-Length':
                self.content_lengths.add(content.strip())
            case b'Transfer-Encoding':
                self.has_transfer_encoding = True
        return line


class StrictHeaderReader(HeaderReader):
    """Reads a request's header and rejects ambiguous framing.

    cheroot answers the `ValueError` with status 400 and closes the connection.
    """

    def __call__(
        self,
        rfile: LineSource,
        hdict: dict[bytes, bytes] | None = None,
    ) -> Any:
        """Return the header fields by name.

        Raises `ValueError` on conflicting lengths, or a length together with
        a transfer encoding.
        """
        recorder = _FramingFieldRecorder(rfile)
        fields = super().__call__(recorder, hdict)
        if len(recorder.content_lengths) > 1:
            raise ValueError('two lengths of one body')
        if recorder.content_lengths and recorder.has_transfer_encoding:
            raise ValueError('two framings of one body')
        return fields


class StrictRequest(HTTPRequest):
    """A request that is rejected if its framing is ambiguous."""

    header_reader = StrictHeaderReader()


class StrictConnection(HTTPConnection):
    """A connection that rejects requests with ambiguous framing."""

    RequestHandlerClass = StrictRequest  # noqa: WPS115 - cheroot's name
