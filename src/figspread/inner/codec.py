"""Encoding of messages as CBOR, and decoding with validation."""

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

# Message classes by type tag. Converting a document to one known class is far
# cheaper than converting it to the union of all of them.
_MESSAGE_TYPES: Final[Mapping[str, type[AnyMessage]]] = {
    str(message_type.__struct_config__.tag): message_type
    for message_type in get_args(AnyMessage)
}


def encode(message: Message) -> bytes:
    """Return `message` as one CBOR document."""
    document = msgspec.to_builtins(message, builtin_types=(bytes,))
    if isinstance(message, Heartbeat) and message.load is not None:
        # Heartbeats are frequent, so zero and empty figures of the load are
        # left out to keep them small; the decoder restores them as defaults.
        document['load'] = {
            name: figure for name, figure in document['load'].items() if figure
        }
    return cbor2.dumps(document)


def decode(frame: bytes) -> Result[AnyMessage, Fault]:
    """Return the message in `frame`, or the fault to send back to the peer.

    Never raises on bad input: frames over `MESSAGE_LIMIT_BYTES`, malformed
    CBOR, unknown types and invalid fields all become a `Fault`.
    """
    if len(frame) > MESSAGE_LIMIT_BYTES:
        return Err(Fault(FaultCode.BAD_MESSAGE, 'the message is too large'))
    try:
        document = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as exc:
        return Err(Fault(FaultCode.BAD_MESSAGE, str(exc)))
    return _convert_document(document)


def _convert_document(document: object) -> Result[AnyMessage, Fault]:
    if not isinstance(document, dict):
        return Err(Fault(FaultCode.BAD_MESSAGE, 'the message is not a map'))
    type_tag = document.get('type')
    if not isinstance(type_tag, str):
        return Err(Fault(FaultCode.BAD_MESSAGE, 'the message has no type'))
    message_type = _MESSAGE_TYPES.get(type_tag)
    if message_type is None:
        return Err(Fault(FaultCode.UNKNOWN_MESSAGE, 'unknown message'))
    try:
        return Ok(
            msgspec.convert(document, message_type, builtin_types=(bytes,)),
        )
    except (msgspec.ValidationError, TypeError) as exc:
        return Err(Fault(FaultCode.BAD_MESSAGE, str(exc)))
