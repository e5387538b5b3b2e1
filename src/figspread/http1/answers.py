"""Parses the answers that arrive on a connection to an upstream."""

from typing import Final

import h11

from figspread.http1.fields import Fields

# Largest header of an answer.
HEAD_LIMIT_BYTES: Final = 65_536
# How each answer begins, whatever its version.
_ANSWER_BEGIN: Final = b'HTTP/1.'
_MAJOR_VERSION: Final = b'1.'
_OLD_VERSION: Final = b'1.0'
_STATUSES: Final = range(100, 600)


class ExchangeError(Exception):
    """The connection was lost, or the answer on it is invalid or truncated.

    The upstream may have run the request.
    """


def check_head(method: bytes, head: bytes) -> None:
    """Check the head of an answer to a request with this method.

    `head` may have informational answers before it. Raises `ExchangeError`.
    """
    parser = AnswerParser()
    parser.encode_request(method, b'/', [(b'host', b'')], b'')
    parser.receive(head)
    event = parser.next_event()
    while isinstance(event, h11.InformationalResponse):
        event = parser.next_event()
    if not isinstance(event, h11.Response):
        raise ExchangeError('no answer where one is due')


class AnswerParser:
    """Parses one answer after the other; each follows its request.

    Its methods raise `ExchangeError` for bytes that are no answer.
    """

    def __init__(self) -> None:
        """Start before the first request."""
        self._parser = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=HEAD_LIMIT_BYTES,
        )
        # What ended the last sequence of chunks, for the next call.
        self._held: h11.Event | ExchangeError | None = None

    @property
    def unparsed_bytes(self) -> int:
        """How many bytes have arrived that no event has covered yet."""
        return len(self._parser.trailing_data[0])

    def encode_request(
        self, method: bytes, target: bytes, fields: Fields, body: bytes
    ) -> bytes:
        """Return the bytes of a request, whose answer follows."""
        request = h11.Request(
            method=method, target=target, headers=list(fields)
        )
        parts = [self._parser.send(request) or b'']
        if body:
            parts.append(self._parser.send(h11.Data(data=body)) or b'')
        self._parser.send(h11.EndOfMessage())
        return b''.join(parts)

    def receive(self, octets: bytes) -> None:
        """Add what has arrived; nothing means that the peer has closed."""
        self._parser.receive_data(octets)

    def next_event(self) -> h11.Event | None:
        """Return the next event, `None` if its bytes haven't arrived yet."""
        held = self._held
        self._held = None
        if isinstance(held, ExchangeError):
            raise held
        return held or self._parse()

    def list_chunks(self, limit: int) -> list[bytes]:
        """Return the chunks of a body that have arrived, up to `limit`."""
        chunks: list[bytes] = []
        while self._held is None and len(chunks) < limit:
            try:
                event = self._parse()
            except ExchangeError as exc:
                self._held = exc
                break
            if event is None:
                break
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            else:
                self._held = event
        return chunks

    def check_begin(self) -> None:
        """Check what has arrived of an answer whose header isn't complete."""
        if self._parser.their_state is not h11.SEND_RESPONSE:
            return
        arrived = self._parser.trailing_data[0][: len(_ANSWER_BEGIN)]
        if not _ANSWER_BEGIN.startswith(arrived):
            raise ExchangeError('bytes that are no answer')

    def start_next_exchange(self) -> bool:
        """Return whether another request may follow the complete answer."""
        states = {self._parser.our_state, self._parser.their_state}
        if states != {h11.DONE}:
            return False
        self._parser.start_next_cycle()
        return True

    def _parse(self) -> h11.Event | None:
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as exc:
            raise ExchangeError(str(exc)) from exc
        if event is h11.PAUSED:
            raise ExchangeError('the answer goes on after its end')
        if event is h11.NEED_DATA:
            return None
        if isinstance(event, h11.Response | h11.InformationalResponse):
            _check_response(event)
        assert not isinstance(event, type)  # noqa: S101
        return event


def _check_response(head: h11.Response | h11.InformationalResponse) -> None:
    """Check what the parser lets pass (RFC 9110, section 15; RFC 9112, 6.1)."""
    version = head.http_version
    if not version.startswith(_MAJOR_VERSION):
        raise ExchangeError('an answer of another version of the protocol')
    if head.status_code not in _STATUSES:
        raise ExchangeError('status {0} is none'.format(head.status_code))
    names = {name for name, _ in head.headers}
    if b'transfer-encoding' in names and (
        version == _OLD_VERSION or b'content-length' in names
    ):
        raise ExchangeError('an answer with ambiguous framing')
