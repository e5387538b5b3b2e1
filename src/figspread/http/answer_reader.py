"""Reads the bytes of one answer, and raises for those that are no answer.

The parser of `http.client` takes a line that ends with its connection for a whole
one, and much for a head or for chunks that is neither (RFC 9112). It reads
informational answers and trailers without end.
"""

import io
import re
from enum import Enum, auto
from http.client import HTTPException, RemoteDisconnected
from typing import Any, Final

from figspread.http1.answers import HEAD_LIMIT_BYTES

_LINE_END: Final = b'\r\n'
_CHUNK_SIZE: Final = re.compile(rb'([0-9A-Fa-f]{1,15})[ \t]*(;[^\r\n]*)?\r\n')
_TRAILER: Final = re.compile(
    rb"([!#$%&'*+.^_`|~\w-]+:[^\0\r\n]*)?\r\n", re.ASCII
)


class _Part(Enum):
    """What of the answer comes next."""

    HEAD = auto()
    BODY = auto()
    CHUNK_SIZE = auto()
    CHUNK = auto()
    TRAILER = auto()


class AnswerReader(io.BufferedReader):
    """Checks what `http.client` reads of an answer.

    `head` has the lines read before `begin_body`, of all informational answers
    and the final one. Raises `RemoteDisconnected` for a line that ends with its
    connection, `HTTPException` for other bytes that are no answer.
    """

    def __init__(self, raw: io.RawIOBase) -> None:
        """Read from `raw`."""
        super().__init__(raw)
        self.head = bytearray()
        self._part = _Part.HEAD
        # Of the current chunk, with its line end.
        self._chunk_left = 0
        self._trailer_bytes = 0

    def begin_body(self, *, is_chunked: bool) -> None:
        """Expect the body after the final head."""
        self._part = _Part.CHUNK_SIZE if is_chunked else _Part.BODY

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line of a head, of a chunk's size or of a trailer."""
        line = super().readline(size)
        is_at_limit = size is not None and 0 <= size <= len(line)
        if not line.endswith(b'\n') and not is_at_limit:
            raise RemoteDisconnected('the connection ended within a line')
        match self._part:
            case _Part.HEAD:
                self.head += line
                _check_size(len(self.head))
            case _Part.CHUNK_SIZE:
                self._begin_chunk(line)
            case _Part.TRAILER:
                self._trailer_bytes += len(line)
                _check_size(self._trailer_bytes)
                _match(_TRAILER, line)
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Return the next bytes of the body."""
        return self._check_chunk(super().read(size))

    def read1(self, size: int = -1, /) -> bytes:
        """Return bytes of the body that have arrived."""
        return self._check_chunk(super().read1(size))

    def readinto(self, buffer: Any, /) -> int:
        """Read the next bytes of the body into `buffer`."""
        count = super().readinto(buffer)
        self._check_chunk(bytes(memoryview(buffer)[:count]))
        return count

    def _begin_chunk(self, line: bytes) -> None:
        size = int(_match(_CHUNK_SIZE, line)[1], 16)
        self._chunk_left = size + len(_LINE_END)
        self._part = _Part.CHUNK if size else _Part.TRAILER

    def _check_chunk(self, octets: bytes) -> bytes:
        if self._part is not _Part.CHUNK:
            return octets
        data_left = self._chunk_left - len(_LINE_END)
        ending = octets[max(0, data_left) :]
        due = _LINE_END[max(0, -data_left) :]
        if not due.startswith(ending):
            raise HTTPException('a chunk without a line end')
        self._chunk_left -= len(octets)
        if not self._chunk_left:
            self._part = _Part.CHUNK_SIZE
        return octets


def _check_size(size: int) -> None:
    if size > HEAD_LIMIT_BYTES:
        raise HTTPException('a head or trailer is too large')


def _match(pattern: re.Pattern[bytes], line: bytes) -> re.Match[bytes]:
    matched = pattern.fullmatch(line)
    if matched is None:
        raise HTTPException('no line of an answer: {0!r}'.format(line[:80]))
    return matched
