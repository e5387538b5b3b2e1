"""Encoding and decoding of inner protocol messages."""

import cbor2
import msgspec
import pytest
from result import Err, Ok

from figspread.ids import AttemptId, ModelName
from figspread.inner.base import Message
from figspread.inner.codec import decode, encode
from figspread.inner.messages import (
    Cancel,
    Chunk,
    FaultCode,
    Finished,
    Heartbeat,
    Load,
)
from figspread.outcome import NotRun, NotRunReason

ATTEMPT = AttemptId('att-1')


@pytest.mark.parametrize(
    'message',
    [
        Cancel(ATTEMPT),
        Chunk(ATTEMPT, 3, b'\x00\xff', tokens=2),
        Finished(ATTEMPT, NotRun(NotRunReason.OVERLOAD, 2.5)),
    ],
)
def test_encoded_message_decodes_to_an_equal_one(message: Message) -> None:
    """Encoding and decoding a message gives an equal one."""
    assert decode(encode(message)) == Ok(message)


@pytest.mark.parametrize(
    ('frame', 'code'),
    [
        (b'', FaultCode.BAD_MESSAGE),
        (b'\xff', FaultCode.BAD_MESSAGE),
        (b'\x9f' * 100_000, FaultCode.BAD_MESSAGE),
        (cbor2.dumps([]), FaultCode.BAD_MESSAGE),
        (cbor2.dumps({'type': 'Nonsense'}), FaultCode.UNKNOWN_MESSAGE),
        (cbor2.dumps({'type': 'Cancel'}), FaultCode.BAD_MESSAGE),
        (cbor2.dumps({'type': 'Cancel', 'attempt': 4}), FaultCode.BAD_MESSAGE),
        (cbor2.dumps({'type': []}), FaultCode.BAD_MESSAGE),
        (encode(Cancel(ATTEMPT))[:-2], FaultCode.BAD_MESSAGE),
    ],
)
def test_invalid_frame_decodes_to_a_fault(
    frame: bytes,
    code: FaultCode,
) -> None:
    """Decoding never raises; each invalid frame gives the matching code."""
    match decode(frame):
        case Err(fault):
            assert fault.code is code
        case other:
            pytest.fail(str(other))


def test_unknown_fields_are_ignored() -> None:
    """A peer of a newer version may send fields that are unknown here."""
    frame = cbor2.dumps({'type': 'Cancel', 'attempt': 'att-1', 'new': 1})
    assert decode(frame) == Ok(Cancel(ATTEMPT))


def test_idle_heartbeat_is_small_and_complete() -> None:
    """Each connection carries one each second, so zeros are omitted."""
    idle = Heartbeat(9_900, load=Load(free_kv_tokens=1_000_000))
    frame = encode(idle)
    assert len(frame) < 70
    assert decode(frame) == Ok(idle)


def test_load_survives_omission_of_zeros() -> None:
    """All defaults of `Load` are zeros, so omitted fields decode as sent."""
    assert not any(msgspec.to_builtins(Load()).values())
    full = Load(1, 2, 3, 4, 5, 6.5, 7, (ModelName('caption-7b'),), (0, 9))
    for load in (Load(), full):
        heartbeat = Heartbeat(1, leaving=True, load=load)
        assert decode(encode(heartbeat)) == Ok(heartbeat)
