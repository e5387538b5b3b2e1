"""Messages to CBOR and back."""

from collections.abc import Mapping
from typing import Final, get_args

import cbor2
import msgspec
from result import Err, Ok, Result

from figspread.inner.base import Message
from figspread.inner.messages import (
    MESSAGE_LIMIT_BYTES,
    AnyMessage,
    Fault,
    FaultCode,
    Heartbeat,
)

# Converting to one known class is far cheaper than to the union of all.
_KINDS: Final[Mapping[str, type[AnyMessage]]] = {
    kind.__name__: kind for kind in get_args(AnyMessage)
}


def encode(message: Message) -> bytes:
    """Return `message` as one CBOR document."""
    document = msgspec.to_builtins(message, builtin_types=(bytes,))
    if isinstance(message, Heartbeat) and message.load is not None:
        # It goes over each connection each second; all its defaults are zeros.
        document['load'] = {
            name: amount for name, amount in document['load'].items() if amount
        }
    return cbor2.dumps(document)


def decode(frame: bytes) -> Result[AnyMessage, Fault]:
    """Return the message in `frame`, or the fault to answer it with."""
    if len(frame) > MESSAGE_LIMIT_BYTES:
        return Err(Fault(FaultCode.BAD_MESSAGE, 'the message is too large'))
    try:
        document = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as exc:
        return Err(Fault(FaultCode.BAD_MESSAGE, str(exc)))
    return _to_message(document)


def _to_message(document: object) -> Result[AnyMessage, Fault]:
    if not isinstance(document, dict):
        return Err(Fault(FaultCode.BAD_MESSAGE, 'the message is not a map'))
    kind = document.get('type')
    if not isinstance(kind, str):
        return Err(Fault(FaultCode.BAD_MESSAGE, 'the message has no type'))
    known = _KINDS.get(kind)
    if known is None:
        return Err(Fault(FaultCode.UNKNOWN_MESSAGE, 'unknown message'))
    try:
        return Ok(msgspec.convert(document, known, builtin_types=(bytes,)))
    except (msgspec.ValidationError, TypeError) as exc:
        return Err(Fault(FaultCode.BAD_MESSAGE, str(exc)))
