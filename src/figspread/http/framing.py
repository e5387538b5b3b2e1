"""Requests whose framing could be read in two ways are rejected.

cheroot takes the last of two lengths, and a name with a space behind it as
another name, so that a request can be hidden in the body of another one.
"""

from typing import Any, Protocol

from cheroot.server import (
    HeaderReader,
    HTTPConnection,
    HTTPRequest,
)


class LineSource(Protocol):
    """Where a request's head is read from."""

    def readline(self) -> bytes:
        """Return the next line with its end."""


class _RecordedLines:
    """Passes lines on and keeps those that say how the body is framed."""

    def __init__(self, source: LineSource) -> None:
        self._source = source
        self.lengths: set[bytes] = set()
        self.is_coded = False

    def readline(self) -> bytes:
        line = self._source.readline()
        name, _, field = line.partition(b':')
        if name != name.rstrip(b' \t'):
            raise ValueError('a space behind the name of a field')
        match name.strip().title():
            case b'Content-Length':
                self.lengths.add(field.strip())
            case b'Transfer-Encoding':
                self.is_coded = True
        return line


class StrictHeaderReader(HeaderReader):
    """Reads a head; `ValueError` is answered with 400 and a closed end."""

    def __call__(
        self,
        rfile: LineSource,
        hdict: dict[bytes, bytes] | None = None,
    ) -> Any:
        """Return the fields by their names."""
        lines = _RecordedLines(rfile)
        fields = super().__call__(lines, hdict)
        if len(lines.lengths) > 1:
            raise ValueError('two lengths of one body')
        if lines.lengths and lines.is_coded:
            raise ValueError('two framings of one body')
        return fields


class _StrictRequest(HTTPRequest):
    header_reader = StrictHeaderReader()


class StrictConnection(HTTPConnection):
    """A caller's connection whose requests have one framing each."""

    RequestHandlerClass = _StrictRequest  # noqa: WPS115 - cheroot's name
