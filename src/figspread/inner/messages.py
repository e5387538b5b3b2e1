"""Typed messages of the inner protocol, version 1.

The entry opens the connection. The agent sends `Challenge`, the entry `Hello`
and the agent `Welcome`; each side proves that it holds the shared secret.
After the handshake both sides send messages in any order. Unknown fields are
ignored; an unknown message is answered with `Fault`.

The messages of an attempt are `Submit` -> `Accepted` (-> `BodyPiece`...) ->
`Head` (plain services only) -> `Chunk`... -> `Finished`, or `Submit` ->
`Finished` when the agent refuses it. Each chunk uses up credit of its sender,
counted in bytes, which the receiver returns with `Credit`.
"""

from enum import Enum
from typing import Final, TypeAlias

import msgspec

from figspread.ids import (
    AttemptId,
    CrashId,
    DataCentreId,
    Fingerprint,
    ModelName,
    PeerId,
    RequestId,
    SpanId,
    UpstreamId,
    WorkspaceId,
)
from figspread.inner.base import Message
from figspread.inner.entry_messages import EntryMessage
from figspread.outcome import Outcome

PROTOCOL_VERSION: Final = 1
# Largest request body that is sent within `Submit`.
INLINE_BODY_BYTES: Final = 65_536
# Largest part of a body in one `BodyPiece` or `Chunk`.
BODY_PIECE_BYTES: Final = 65_536
# Bytes of an answer that may be sent before the first `Credit`.
INITIAL_CREDIT_BYTES: Final = 262_144
# Largest encoded message; larger frames are rejected.
MESSAGE_LIMIT_BYTES: Final = 2_097_152


class UpstreamKind(Enum):
    """The kind of upstream that an agent serves."""

    ENGINE = 'engine'
    SERVICE = 'service'


class FaultCode(Enum):
    """Why a message was rejected."""

    UNKNOWN_MESSAGE = 'unknown_message'
    BAD_MESSAGE = 'bad_message'
    WRONG_VERSION = 'wrong_version'
    WRONG_SECRET = 'wrong_secret'
    UNEXPECTED = 'unexpected'


class Load(msgspec.Struct, frozen=True):
    """Load of an agent: requests in its queue and in its upstream.

    `prefill_tokens` and `decode_tokens` count queued and running requests;
    `age_ms` is the age of the figures that the upstream itself reported.
    `lane_tokens` splits the prefill tokens by class of prompt length, the
    shortest first; it is empty if the agent has no separate queues (lanes)
    for these classes.
    """

    queued: int = 0
    running: int = 0
    prefill_tokens: int = 0
    decode_tokens: int = 0
    free_kv_tokens: int = 0
    prefill_tokens_per_s: float = 0
    age_ms: int = 0
    models: tuple[ModelName, ...] = ()
    lane_tokens: tuple[int, ...] = ()


class Challenge(Message, frozen=True):
    """The accepting side's nonce, sent first on a new connection."""

    version: int
    nonce: bytes


class Hello(Message, frozen=True):
    """Identity of the opening side, and its answer to the challenge.

    `proof` covers the nonces of both sides.
    """

    version: int
    peer: PeerId
    data_centre: DataCentreId
    nonce: bytes
    proof: bytes
    config_number: int = 0


class Welcome(Message, frozen=True):
    """Identity of the accepting side; completes the handshake.

    `proof` covers the nonces of both sides. `boot` is a new id after each
    start of the accepting process.
    """

    peer: PeerId
    upstream: UpstreamId
    kind: UpstreamKind
    data_centre: DataCentreId
    proof: bytes
    config_number: int = 0
    leaving: bool = False
    boot: str = ''


class Submit(Message, frozen=True):
    """One attempt of a request.

    `time_left_ms` is the time until the request's deadline when the message
    was sent. A body of up to `INLINE_BODY_BYTES` is in `body`; a larger one
    follows in `BodyPiece` messages after `Accepted`. `resume_from` is the
    number of tokens of the answer that the caller already has. `crashes`
    counts the upstreams that this same request has crashed before.
    """

    attempt: AttemptId
    request: RequestId
    workspace: WorkspaceId
    kind: UpstreamKind
    path: str
    time_left_ms: int
    method: str = 'POST'
    model: ModelName = ModelName('')
    headers: dict[str, str] = {}
    prompt_tokens: int = 0
    output_tokens: int = 0
    priority: int = 0
    weight: float = 1
    repeatable: bool = True
    resume_from: int = 0
    fingerprint: Fingerprint = Fingerprint('')
    crashes: int = 0
    span: SpanId = SpanId('')
    prefix: str = ''
    traceparent: str = ''
    config_number: int = 0
    body_size: int = 0
    body: bytes = b''


class Accepted(Message, frozen=True):
    """The agent has queued the attempt."""

    attempt: AttemptId


class BodyPiece(Message, frozen=True):
    """A part of the request's body; the last one completes `body_size`."""

    attempt: AttemptId
    seq: int
    data: bytes


class Head(Message, frozen=True):
    """Status and headers of a plain service's answer."""

    attempt: AttemptId
    status: int
    headers: dict[str, str]


class Chunk(Message, frozen=True):
    """Bytes of an answer: whole events of an engine, or any bytes of a service.

    `seq` numbers the chunks of the attempt from 0; `tokens` is the number of
    tokens in `data`.
    """

    attempt: AttemptId
    seq: int
    data: bytes
    tokens: int = 0


class Finished(Message, frozen=True):
    """The attempt's outcome; `chunks` is how many chunks were sent before."""

    attempt: AttemptId
    outcome: Outcome
    chunks: int = 0
    tokens: int = 0


class Credit(Message, frozen=True):
    """The receiver of an attempt's chunks can take `size` more bytes."""

    attempt: AttemptId
    size: int


class Cancel(Message, frozen=True):
    """Cancel an attempt; its `Submit` may not have arrived yet."""

    attempt: AttemptId


class Settle(Message, frozen=True):
    """Ask for the outcome of an attempt.

    `boot` is the boot id in the `Welcome` of the connection over which the
    attempt was submitted. An agent with this boot id that has no record of
    the attempt answers `NotRun` and records that, to refuse the attempt if it
    arrives later. It answers `Unknown` instead if it has restarted since, so
    that its records are lost, or if it keeps too many records.
    """

    attempt: AttemptId
    boot: str = ''


class Settled(Message, frozen=True):
    """Answer to `Settle`: the outcome, or `None` while the attempt runs."""

    attempt: AttemptId
    outcome: Outcome | None


class Heartbeat(Message, frozen=True, omit_defaults=True):
    """Sent by both sides at an interval, and when `leaving` changes."""

    config_number: int
    leaving: bool = False
    load: Load | None = None


class FetchConfig(Message, frozen=True):
    """Request the newest configuration if its number is above `above`.

    `reads_compressed` says that the answer may be compressed.
    """

    above: int
    reads_compressed: bool = False


class ConfigCopy(Message, frozen=True):
    """A complete configuration, as stored in the Object API.

    If `is_compressed`, `document` is in the format of zlib.
    """

    number: int
    document: bytes
    is_compressed: bool = False


class SuspectRow(msgspec.Struct, frozen=True):
    """A request that is suspected of crashing upstreams.

    `crashes` counts the upstreams that crashed while serving a request with
    this fingerprint. `crash_ids` names these crashes; `forgiven` lists those
    of them that another request caused, as a successful answer has shown.
    """

    fingerprint: Fingerprint
    crashes: int
    expires_in_ms: int
    crash_ids: tuple[CrashId, ...] = ()
    forgiven: tuple[CrashId, ...] = ()


class Suspects(Message, frozen=True):
    """Suspected requests that the sender knows of, shared between peers."""

    rows: tuple[SuspectRow, ...]


class Reserve(Message, frozen=True):
    """Reserve `tokens` of KV cache memory on this engine for a span.

    A span is a prompt that is run over several engines because no single one
    can hold it. The reservation expires after `expires_in_ms`.
    """

    span: SpanId
    tokens: int
    expires_in_ms: int


class Reserved(Message, frozen=True):
    """Answer to `Reserve`: whether the memory was reserved."""

    span: SpanId
    granted: bool
    retry_after_ms: int = 0


class Release(Message, frozen=True):
    """Release the KV cache memory reserved on this engine for the span."""

    span: SpanId


class Fault(Message, frozen=True):
    """Reports that a message was rejected, to the peer that sent it."""

    code: FaultCode
    detail: str = ''


AnyMessage: TypeAlias = (
    EntryMessage
    | Challenge
    | Hello
    | Welcome
    | Submit
    | Accepted
    | BodyPiece
    | Head
    | Chunk
    | Finished
    | Credit
    | Cancel
    | Settle
    | Settled
    | Heartbeat
    | FetchConfig
    | ConfigCopy
    | Suspects
    | Reserve
    | Reserved
    | Release
    | Fault
)
