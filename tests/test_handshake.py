"""Handshakes, invalid frames and heartbeats of inner connections."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import cbor2
import pytest
from result import Ok, Result
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed

from figspread.clock import ManualClock
from figspread.ids import DataCentreId, PeerId, UpstreamId
from figspread.inner.codec import decode, encode
from figspread.inner.connection import (
    BAD_FRAME_LIMIT,
    Connection,
    Timeouts,
    listen,
)
from figspread.inner.handshake import (
    Acceptor,
    Opener,
    OpenFault,
    OpenFaultKind,
    accept_connection,
    open_connection,
)
from figspread.inner.heartbeat import keep_alive
from figspread.inner.messages import (
    MESSAGE_LIMIT_BYTES,
    PROTOCOL_VERSION,
    Challenge,
    Fault,
    FaultCode,
    Heartbeat,
    Hello,
    UpstreamKind,
)
from figspread.inner.secret import Role, make_proof, new_nonce

SECRET = b'a shared secret'
SHORT_TIMEOUTS = Timeouts(open_s=0.3, close_s=0.3)
OPENER = Opener(PeerId('entry-1'), DataCentreId('mu-1'), 4)
ACCEPTOR = Acceptor(
    PeerId('agent-1'),
    UpstreamId('engine-1'),
    UpstreamKind.ENGINE,
    DataCentreId('mu-1'),
    7,
)


class AcceptingPeer:
    """An accepting side that records its handshakes and received messages."""

    def __init__(self) -> None:
        """Start with nothing recorded."""
        self.handshakes: asyncio.Queue[
            Result[tuple[Connection, Hello], OpenFault]
        ] = asyncio.Queue()
        self.received_messages: list[object] = []

    async def handle(self, ws: ServerConnection) -> None:
        """Accept one connection and read it until it is closed."""
        outcome = await accept_connection(
            ws, lambda: ACCEPTOR, secret=SECRET, timeouts=SHORT_TIMEOUTS
        )
        self.handshakes.put_nowait(outcome)
        if isinstance(outcome, Ok):
            async for message in outcome.ok_value[0].messages():
                self.received_messages.append(message)


def run_against_acceptor(
    test: Callable[[AcceptingPeer, str], Awaitable[None]],
) -> AcceptingPeer:
    """Run `test` with a new accepting side and its URI."""
    side = AcceptingPeer()

    async def run_test() -> None:
        server = await listen(
            side.handle, '127.0.0.1', 0, timeouts=SHORT_TIMEOUTS
        )
        port = server.sockets[0].getsockname()[1]
        async with asyncio.timeout(20):
            await test(side, 'ws://127.0.0.1:{0}'.format(port))
        server.close()
        await server.wait_closed()

    asyncio.run(run_test())
    return side


def test_handshake_exchanges_identities() -> None:
    """With the same secret each side learns the other's identity."""

    async def check(side: AcceptingPeer, uri: str) -> None:
        opened = await open_connection(uri, OPENER, secret=SECRET)
        conn, welcome = opened.unwrap()
        _, hello = (await side.handshakes.get()).unwrap()
        assert (hello.peer, hello.config_number) == ('entry-1', 4)
        assert (welcome.upstream, welcome.config_number) == ('engine-1', 7)
        assert conn.control_bytes > 0
        assert not conn.data_bytes
        await conn.close()

    run_against_acceptor(check)


def test_wrong_secret_is_refused_on_both_sides() -> None:
    """Both sides report the secret as the reason."""

    async def check(side: AcceptingPeer, uri: str) -> None:
        opened = await open_connection(uri, OPENER, secret=b'another')
        assert opened.unwrap_err().kind is OpenFaultKind.WRONG_SECRET
        refused = (await side.handshakes.get()).unwrap_err()
        assert refused.kind is OpenFaultKind.WRONG_SECRET

    run_against_acceptor(check)


def test_unreachable_agent_is_returned_as_a_fault() -> None:
    """A refused connection is returned as a fault and raises nothing."""

    async def check(side: AcceptingPeer, uri: str) -> None:
        opened = await open_connection(
            'ws://127.0.0.1:1',
            OPENER,
            secret=SECRET,
        )
        assert opened.unwrap_err().kind is OpenFaultKind.UNREACHABLE

    run_against_acceptor(check)


async def send_wrong_version(ws: ClientConnection, nonce: bytes) -> None:
    """Send a hello with an unknown protocol version."""
    await ws.send(encode(make_hello(nonce, version=PROTOCOL_VERSION + 1)))


async def send_short_nonce(ws: ClientConnection, nonce: bytes) -> None:
    """Send a hello with an empty nonce."""
    hello = make_hello(nonce, own_nonce=b'')
    await ws.send(encode(hello))


async def send_other_peer(ws: ClientConnection, nonce: bytes) -> None:
    """Send a hello with the proof of another peer."""
    await ws.send(encode(make_hello(nonce, peer='entry-2')))


async def send_truncated(ws: ClientConnection, nonce: bytes) -> None:
    """Send a valid hello without its last bytes."""
    await ws.send(encode(make_hello(nonce))[:-5])


async def send_garbage(ws: ClientConnection, nonce: bytes) -> None:
    """Send bytes that are not CBOR."""
    await ws.send(b'\xff\x00\xff')


async def send_text(ws: ClientConnection, nonce: bytes) -> None:
    """Send a text frame."""
    await ws.send('hello')


async def send_other_message(ws: ClientConnection, nonce: bytes) -> None:
    """Send a heartbeat instead of the hello."""
    await ws.send(encode(Heartbeat(9)))


async def send_nothing(ws: ClientConnection, nonce: bytes) -> None:
    """Send nothing."""


async def send_close(ws: ClientConnection, nonce: bytes) -> None:
    """Close the connection."""
    await ws.close()


def make_hello(
    nonce: bytes,
    *,
    version: int = PROTOCOL_VERSION,
    own_nonce: bytes | None = None,
    peer: str = 'entry-1',
) -> Hello:
    """Return a hello whose proof is valid for `entry-1`."""
    own_nonce = new_nonce() if own_nonce is None else own_nonce
    proof = make_proof(
        SECRET,
        Role.OPENER,
        PeerId('entry-1'),
        peer_nonce=nonce,
        own_nonce=own_nonce,
    )
    return Hello(version, PeerId(peer), DataCentreId('mu-1'), own_nonce, proof)


@pytest.mark.parametrize(
    ('send_hello', 'kind'),
    [
        (send_wrong_version, OpenFaultKind.WRONG_VERSION),
        (send_short_nonce, OpenFaultKind.BAD_HANDSHAKE),
        (send_other_peer, OpenFaultKind.WRONG_SECRET),
        (send_truncated, OpenFaultKind.BAD_HANDSHAKE),
        (send_garbage, OpenFaultKind.BAD_HANDSHAKE),
        (send_text, OpenFaultKind.BAD_HANDSHAKE),
        (send_other_message, OpenFaultKind.BAD_HANDSHAKE),
        (send_nothing, OpenFaultKind.TIMEOUT),
        (send_close, OpenFaultKind.BAD_HANDSHAKE),
    ],
)
def test_invalid_hello_is_refused(
    send_hello: Callable[[ClientConnection, bytes], Awaitable[None]],
    kind: OpenFaultKind,
) -> None:
    """The accepting side reports the fault and closes the connection."""

    async def check(side: AcceptingPeer, uri: str) -> None:
        async with connect(uri, proxy=None) as ws:
            challenge = decode(await ws.recv(decode=False)).unwrap()
            assert isinstance(challenge, Challenge)
            await send_hello(ws, challenge.nonce)
            refused = await side.handshakes.get()
            assert refused.unwrap_err().kind is kind
            await ws.wait_closed()

    run_against_acceptor(check)


EXHAUSTING_FRAMES = [
    b'\x9f' * 100_000,
    b'\x9b\x7f\xff\xff\xff\xff\xff\xff\xff',
    b'\x5b\x7f\xff\xff\xff\xff\xff\xff\xff',
    b'\xbb\x7f\xff\xff\xff\xff\xff\xff\xff',
    b'\xd8\x1c' * 5_000,
    cbor2.dumps({'type': 'Cancel', 'attempt': 2**4_000}),
    cbor2.dumps([[] for _item in range(100_000)]),
    b'\xc2\x5b\x00\x00\x00\x7f\xff\xff\xff\xff',
]


@pytest.mark.parametrize('frame', EXHAUSTING_FRAMES)
def test_exhausting_frame_is_answered_with_a_fault(frame: bytes) -> None:
    """A frame built to exhaust the decoder costs one fault.

    Messages after it are still received.
    """

    async def check(side: AcceptingPeer, uri: str) -> None:
        opened = await open_connection(uri, OPENER, secret=SECRET)
        conn, _ = opened.unwrap()
        await conn._ws.send(frame)
        await conn.send(Heartbeat(1))
        answer = await conn.receive()
        assert isinstance(answer, Ok)
        assert isinstance(answer.ok_value, Fault)
        assert answer.ok_value.code is FaultCode.BAD_MESSAGE
        await conn.close()

    assert run_against_acceptor(check).received_messages == [Heartbeat(1)]


def test_too_many_invalid_frames_close_the_connection() -> None:
    """A peer that sends only invalid frames is disconnected."""

    async def check(side: AcceptingPeer, uri: str) -> None:
        opened = await open_connection(uri, OPENER, secret=SECRET)
        conn, _ = opened.unwrap()
        for size in range(BAD_FRAME_LIMIT + 1):
            await conn._ws.send(b'\xff' * (size + 1))
        answers = [message async for message in conn.messages()]
        assert len(answers) == BAD_FRAME_LIMIT + 1

    run_against_acceptor(check)


@pytest.mark.parametrize(
    'start',
    [
        b'',
        b'\x00\xff' * 2_000,
        b'GET / HTTP/1.1\r\n\r\n',
        b'GET / HTTP/1.1\r\n%b' % (b'X: y\r\n' * 10_000),
        b'GET / HTTP/1.1\r\nX: %b' % (b'y' * 1_000_000),
    ],
)
def test_client_without_web_socket_is_disconnected(start: bytes) -> None:
    """Such connections time out, and peers can connect meanwhile."""

    async def check(side: AcceptingPeer, uri: str) -> None:
        port = int(uri.rpartition(':')[2])
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(start)
        opened = await open_connection(uri, OPENER, secret=SECRET)
        await opened.unwrap()[0].close()
        with suppress(ConnectionError):
            await reader.read()
        writer.close()

    run_against_acceptor(check)


def test_frame_over_the_limit_closes_the_connection() -> None:
    """The library rejects the frame before all of it is in memory."""

    async def check(side: AcceptingPeer, uri: str) -> None:
        opened = await open_connection(uri, OPENER, secret=SECRET)
        conn, _ = opened.unwrap()
        with suppress(ConnectionClosed):
            await conn._ws.send(b'x' * (MESSAGE_LIMIT_BYTES + 1))
        answer = await conn.receive()
        assert answer is None

    assert not run_against_acceptor(check).received_messages


@pytest.mark.parametrize('is_opener', [True, False])
def test_silent_peer_is_disconnected(is_opener: bool) -> None:
    """Either side drops a connection on which nothing is received."""

    async def check(side: AcceptingPeer, uri: str) -> None:
        clock = ManualClock()
        opened = await open_connection(uri, OPENER, secret=SECRET, clock=clock)
        conn, _ = opened.unwrap()
        accepted, _ = (await side.handshakes.get()).unwrap()
        watched = conn if is_opener else accepted
        watched._clock = clock
        watched.last_received = clock.now()

        async def sleep(seconds: float) -> None:
            clock.advance(seconds)
            await asyncio.sleep(0)

        await keep_alive(watched, lambda: Heartbeat(1), sleep=sleep)
        assert watched.is_closed
        assert clock.now() <= watched.timeouts.silence_s + 1
        async for message in conn.messages():
            assert isinstance(message, Heartbeat)
        assert conn.is_closed

    run_against_acceptor(check)
