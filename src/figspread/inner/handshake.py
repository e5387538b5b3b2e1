"""Mutually authenticated handshake: Challenge, Hello, Welcome."""

import asyncio
import ssl as tls
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Final, TypeAlias, TypeVar

import msgspec
from result import Err, Ok, Result
from websockets.asyncio.server import ServerConnection

from figspread.clock import Clock
from figspread.ids import DataCentreId, PeerId, UpstreamId
from figspread.inner.base import Message
from figspread.inner.connection import (
    DEFAULT_TIMEOUTS,
    Connection,
    Timeouts,
    dial,
)
from figspread.inner.messages import (
    PROTOCOL_VERSION,
    Challenge,
    Fault,
    FaultCode,
    Hello,
    UpstreamKind,
    Welcome,
)
from figspread.inner.secret import (
    NONCE_BYTES,
    Role,
    is_valid_proof,
    make_proof,
    new_nonce,
)


class OpenFaultKind(Enum):
    """Why a connection was not opened."""

    UNREACHABLE = 'unreachable'
    TIMEOUT = 'timeout'
    WRONG_SECRET = 'wrong_secret'
    WRONG_VERSION = 'wrong_version'
    BAD_HANDSHAKE = 'bad_handshake'


class OpenFault(msgspec.Struct, frozen=True):
    """A connection that was not opened; no request was sent over it."""

    kind: OpenFaultKind
    detail: str = ''


class Opener(msgspec.Struct, frozen=True):
    """Identity of the side that opens a connection."""

    peer: PeerId
    data_centre: DataCentreId
    config_number: int = 0


class Acceptor(msgspec.Struct, frozen=True):
    """Identity of the side that accepts a connection, and its upstream.

    The fields are sent in `Welcome`.
    """

    peer: PeerId
    upstream: UpstreamId
    kind: UpstreamKind
    data_centre: DataCentreId
    config_number: int = 0
    leaving: bool = False
    boot: str = ''


_OpenedConnection: TypeAlias = tuple[Connection, Welcome]
_AcceptedConnection: TypeAlias = tuple[Connection, Hello]
_ExpectedMessage = TypeVar('_ExpectedMessage', bound=Message)
_Established = TypeVar('_Established')

_FAULT_KINDS: Final = {
    FaultCode.WRONG_SECRET: OpenFaultKind.WRONG_SECRET,
    FaultCode.WRONG_VERSION: OpenFaultKind.WRONG_VERSION,
}
_FAULT_CODES: Final = {
    OpenFaultKind.WRONG_SECRET: FaultCode.WRONG_SECRET,
    OpenFaultKind.WRONG_VERSION: FaultCode.WRONG_VERSION,
}


async def open_connection(
    uri: str,
    opener: Opener,
    *,
    secret: bytes,
    ssl: tls.SSLContext | None = None,
    timeouts: Timeouts = DEFAULT_TIMEOUTS,
    clock: Clock | None = None,
) -> Result[_OpenedConnection, OpenFault]:
    """Open a connection to the agent at `uri` and authenticate both sides.

    Takes at most `timeouts.open_s` for the socket and the same again for the
    messages of the handshake. After `Err` the connection is closed.
    """
    match await dial(uri, ssl=ssl, timeouts=timeouts, clock=clock):
        case Ok(conn):
            return await _run_handshake(
                conn, _perform_opener_handshake(conn, opener, secret)
            )
        case Err(detail):
            return Err(OpenFault(OpenFaultKind.UNREACHABLE, detail))


async def accept_connection(
    ws: ServerConnection,
    acceptor: Callable[[], Acceptor],
    *,
    secret: bytes,
    timeouts: Timeouts = DEFAULT_TIMEOUTS,
    clock: Clock | None = None,
) -> Result[_AcceptedConnection, OpenFault]:
    """Authenticate the peer on `ws` and this side to it.

    `acceptor` is called when the welcome is built, so that its configuration
    number and `leaving` are current. After `Err` the connection is closed.
    """
    conn = Connection(ws, clock=clock, timeouts=timeouts)
    return await _run_handshake(
        conn, _perform_acceptor_handshake(conn, acceptor, secret)
    )


async def _run_handshake(
    conn: Connection,
    handshake: Awaitable[Result[_Established, OpenFault]],
) -> Result[_Established, OpenFault]:
    try:
        async with asyncio.timeout(conn.timeouts.open_s):
            outcome = await handshake
    except TimeoutError:
        outcome = Err(OpenFault(OpenFaultKind.TIMEOUT, 'no handshake in time'))
    if isinstance(outcome, Err):
        await _send_fault_and_close(conn, outcome.err_value)
    return outcome


async def _send_fault_and_close(conn: Connection, fault: OpenFault) -> None:
    code = _FAULT_CODES.get(fault.kind, FaultCode.UNEXPECTED)
    try:
        async with asyncio.timeout(conn.timeouts.close_s):
            await conn.send(Fault(code, fault.detail))
    except TimeoutError:
        conn.abort()
    await conn.close()


async def _perform_opener_handshake(
    conn: Connection,
    opener: Opener,
    secret: bytes,
) -> Result[_OpenedConnection, OpenFault]:
    received = await _receive_expected(conn, Challenge)
    if isinstance(received, Err):
        return received
    challenge = received.ok_value
    fault = _check_version_and_nonce(challenge.version, challenge.nonce)
    if fault:
        return Err(fault)
    nonce = new_nonce()
    proof = make_proof(
        secret,
        Role.OPENER,
        opener.peer,
        peer_nonce=challenge.nonce,
        own_nonce=nonce,
    )
    await conn.send(
        Hello(
            PROTOCOL_VERSION,
            opener.peer,
            opener.data_centre,
            nonce,
            proof,
            opener.config_number,
        ),
    )
    answer = await _receive_expected(conn, Welcome)
    if isinstance(answer, Err):
        return answer
    welcome = answer.ok_value
    expected_proof = make_proof(
        secret,
        Role.ACCEPTOR,
        welcome.peer,
        peer_nonce=nonce,
        own_nonce=challenge.nonce,
    )
    if not is_valid_proof(expected_proof, welcome.proof):
        return Err(OpenFault(OpenFaultKind.WRONG_SECRET, 'wrong proof'))
    return Ok((conn, welcome))


async def _perform_acceptor_handshake(
    conn: Connection,
    acceptor: Callable[[], Acceptor],
    secret: bytes,
) -> Result[_AcceptedConnection, OpenFault]:
    nonce = new_nonce()
    await conn.send(Challenge(PROTOCOL_VERSION, nonce))
    received = await _receive_expected(conn, Hello)
    if isinstance(received, Err):
        return received
    hello = received.ok_value
    fault = _check_version_and_nonce(hello.version, hello.nonce)
    if fault:
        return Err(fault)
    expected_proof = make_proof(
        secret,
        Role.OPENER,
        hello.peer,
        peer_nonce=nonce,
        own_nonce=hello.nonce,
    )
    if not is_valid_proof(expected_proof, hello.proof):
        return Err(OpenFault(OpenFaultKind.WRONG_SECRET, 'wrong proof'))
    identity = acceptor()
    proof = make_proof(
        secret,
        Role.ACCEPTOR,
        identity.peer,
        peer_nonce=hello.nonce,
        own_nonce=nonce,
    )
    welcome = Welcome(
        identity.peer,
        identity.upstream,
        identity.kind,
        identity.data_centre,
        proof,
        identity.config_number,
        identity.leaving,
        identity.boot,
    )
    await conn.send(welcome)
    return Ok((conn, hello))


def _check_version_and_nonce(version: int, nonce: bytes) -> OpenFault | None:
    if version != PROTOCOL_VERSION:
        return OpenFault(
            OpenFaultKind.WRONG_VERSION,
            'this side speaks version {0}'.format(PROTOCOL_VERSION),
        )
    if len(nonce) != NONCE_BYTES:
        return OpenFault(OpenFaultKind.BAD_HANDSHAKE, 'bad nonce')
    return None


async def _receive_expected(
    conn: Connection,
    message_type: type[_ExpectedMessage],
) -> Result[_ExpectedMessage, OpenFault]:
    match await conn.receive():
        case Ok(message) if isinstance(message, message_type):
            return Ok(message)
        case Ok(Fault(code, detail)):
            fault_kind = _FAULT_KINDS.get(code, OpenFaultKind.BAD_HANDSHAKE)
            return Err(OpenFault(fault_kind, detail))
        case Ok(other):
            return _build_bad_handshake(
                '{0} out of turn'.format(type(other).__name__)
            )
        case Err(fault):
            return _build_bad_handshake(fault.detail)
        case _:
            return _build_bad_handshake('closed in the handshake')


def _build_bad_handshake(detail: str) -> Err[OpenFault]:
    return Err(OpenFault(OpenFaultKind.BAD_HANDSHAKE, detail))
