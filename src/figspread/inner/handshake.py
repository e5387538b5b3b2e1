"""How two processes open a connection: Challenge, Hello, Welcome."""

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
    is_proof,
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
    """A connection that was not opened; nothing was sent over it."""

    kind: OpenFaultKind
    detail: str = ''


class Opener(msgspec.Struct, frozen=True):
    """Who opens a connection."""

    peer: PeerId
    data_centre: DataCentreId
    config_number: int = 0


class Acceptor(msgspec.Struct, frozen=True):
    """Who accepts a connection and what stands behind it."""

    peer: PeerId
    upstream: UpstreamId
    kind: UpstreamKind
    data_centre: DataCentreId
    config_number: int = 0
    leaving: bool = False
    boot: str = ''


_Opened: TypeAlias = tuple[Connection, Welcome]
_Greeted: TypeAlias = tuple[Connection, Hello]
_Wanted = TypeVar('_Wanted', bound=Message)
_Made = TypeVar('_Made')

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
) -> Result[_Opened, OpenFault]:
    """Open a connection to the agent at `uri` and prove who we are.

    The whole handshake ends within `timeouts.open_s` for the socket and the
    same again for the messages. After `Err` nothing stays open.
    """
    match await dial(uri, ssl=ssl, timeouts=timeouts, clock=clock):
        case Ok(conn):
            return await _bound(conn, _greet(conn, opener, secret))
        case Err(problem):
            return Err(OpenFault(OpenFaultKind.UNREACHABLE, problem))


async def accept(
    ws: ServerConnection,
    acceptor: Callable[[], Acceptor],
    *,
    secret: bytes,
    timeouts: Timeouts = DEFAULT_TIMEOUTS,
    clock: Clock | None = None,
) -> Result[_Greeted, OpenFault]:
    """Prove who we are to the peer on `ws` and have it do the same.

    `acceptor` is asked when the welcome is made, so that its configuration
    number and `leaving` are fresh.
    """
    conn = Connection(ws, clock=clock, timeouts=timeouts)
    return await _bound(conn, _welcome(conn, acceptor, secret))


async def _bound(
    conn: Connection,
    handshake: Awaitable[Result[_Made, OpenFault]],
) -> Result[_Made, OpenFault]:
    try:
        async with asyncio.timeout(conn.timeouts.open_s):
            done = await handshake
    except TimeoutError:
        done = Err(OpenFault(OpenFaultKind.TIMEOUT, 'no handshake in time'))
    if isinstance(done, Err):
        await _refuse(conn, done.err_value)
    return done


async def _refuse(conn: Connection, fault: OpenFault) -> None:
    code = _FAULT_CODES.get(fault.kind, FaultCode.UNEXPECTED)
    try:
        async with asyncio.timeout(conn.timeouts.close_s):
            await conn.send(Fault(code, fault.detail))
    except TimeoutError:
        conn.abort()
    await conn.close()


async def _greet(
    conn: Connection,
    opener: Opener,
    secret: bytes,
) -> Result[_Opened, OpenFault]:
    asked = await _expect(conn, Challenge)
    if isinstance(asked, Err):
        return asked
    challenge = asked.ok_value
    problem = _check_terms(challenge.version, challenge.nonce)
    if problem:
        return Err(problem)
    nonce = new_nonce()
    proof = make_proof(
        secret,
        Role.OPENER,
        opener.peer,
        theirs=challenge.nonce,
        ours=nonce,
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
    answered = await _expect(conn, Welcome)
    if isinstance(answered, Err):
        return answered
    welcome = answered.ok_value
    due = make_proof(
        secret,
        Role.ACCEPTOR,
        welcome.peer,
        theirs=nonce,
        ours=challenge.nonce,
    )
    if not is_proof(due, welcome.proof):
        return Err(OpenFault(OpenFaultKind.WRONG_SECRET, 'wrong proof'))
    return Ok((conn, welcome))


async def _welcome(
    conn: Connection,
    acceptor: Callable[[], Acceptor],
    secret: bytes,
) -> Result[_Greeted, OpenFault]:
    nonce = new_nonce()
    await conn.send(Challenge(PROTOCOL_VERSION, nonce))
    asked = await _expect(conn, Hello)
    if isinstance(asked, Err):
        return asked
    hello = asked.ok_value
    problem = _check_terms(hello.version, hello.nonce)
    if problem:
        return Err(problem)
    due = make_proof(
        secret,
        Role.OPENER,
        hello.peer,
        theirs=nonce,
        ours=hello.nonce,
    )
    if not is_proof(due, hello.proof):
        return Err(OpenFault(OpenFaultKind.WRONG_SECRET, 'wrong proof'))
    us = acceptor()
    proof = make_proof(
        secret,
        Role.ACCEPTOR,
        us.peer,
        theirs=hello.nonce,
        ours=nonce,
    )
    welcome = Welcome(
        us.peer,
        us.upstream,
        us.kind,
        us.data_centre,
        proof,
        us.config_number,
        us.leaving,
        us.boot,
    )
    await conn.send(welcome)
    return Ok((conn, hello))


def _check_terms(version: int, nonce: bytes) -> OpenFault | None:
    if version != PROTOCOL_VERSION:
        return OpenFault(
            OpenFaultKind.WRONG_VERSION,
            'this side speaks version {0}'.format(PROTOCOL_VERSION),
        )
    if len(nonce) != NONCE_BYTES:
        return OpenFault(OpenFaultKind.BAD_HANDSHAKE, 'bad nonce')
    return None


async def _expect(
    conn: Connection,
    kind: type[_Wanted],
) -> Result[_Wanted, OpenFault]:
    match await conn.receive():
        case Ok(message) if isinstance(message, kind):
            return Ok(message)
        case Ok(Fault(code, detail)):
            reason = _FAULT_KINDS.get(code, OpenFaultKind.BAD_HANDSHAKE)
            return Err(OpenFault(reason, detail))
        case Ok(other):
            return _bad('{0} out of turn'.format(type(other).__name__))
        case Err(fault):
            return _bad(fault.detail)
        case _:
            return _bad('closed in the handshake')


def _bad(detail: str) -> Err[OpenFault]:
    return Err(OpenFault(OpenFaultKind.BAD_HANDSHAKE, detail))
