"""Typed messages of the inner protocol, version 1.

A connection is opened by the entry. The agent sends `Challenge`, the entry
`Hello`, the agent `Welcome`; each proves that it holds the shared secret.
After that both sides send what they have to say, in any order. Fields that a
reader doesn't know are passed over; a message that it doesn't know is answered
with `Fault`.

An attempt goes `Submit` -> `Accepted` (-> `BodyPiece`...) -> `Head` (plain
services only) -> `Chunk`... -> `Finished`, or `Submit` -> `Finished` when the
agent refuses it. The sender of chunks spends credit in bytes, which the
receiver gives back by `Credit`.
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
from figspread.inner.entry_messages import (
    EntryHello,
    EntryNews,
    FetchUpstreams,
    UpstreamRows,
)
from figspread.outcome import Outcome

PROTOCOL_VERSION: Final = 1
INLINE_BODY_BYTES: Final = 65_536
BODY_PIECE_BYTES: Final = 65_536
INITIAL_CREDIT_BYTES: Final = 262_144
MESSAGE_LIMIT_BYTES: Final = 2_097_152


class UpstreamKind(Enum):
    """What stands behind an agent."""

    ENGINE = 'engine'
    SERVICE = 'service'


class FaultCode(Enum):
    """What was wrong with a message."""

    UNKNOWN_MESSAGE = 'unknown_message'
    BAD_MESSAGE = 'bad_message'
    WRONG_VERSION = 'wrong_version'
    WRONG_SECRET = 'wrong_secret'
    UNEXPECTED = 'unexpected'


class Load(msgspec.Struct, frozen=True):
    """What an agent has before and in its upstream.

    Tokens to prefill and to decode count both queued and running requests;
    `age_ms` is how old the upstream's own part of the report is.
    `lane_tokens` splits the prefill tokens by class of prompt length, the
    shortest first; it is empty if the agent has no lanes.
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
    """Who opens the connection; `proof` is made from the other side's nonce."""

    version: int
    peer: PeerId
    data_centre: DataCentreId
    nonce: bytes
    proof: bytes
    config_number: int = 0


class Welcome(Message, frozen=True):
    """Who accepted the connection; `proof` is made from the opener's nonce.

    `boot` is another one after each start of the accepting process.
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

    `time_left_ms` is what was left of the request's time when this was sent.
    A body up to `INLINE_BODY_BYTES` is in `body`; a larger one follows in
    `BodyPiece` messages after `Accepted`. `resume_from` is the number of
    tokens of the answer that the caller has already. `crashes` counts the
    upstreams that this very request has brought down before.
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
    """The agent has taken the attempt and will run it in its turn."""

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
    """Bytes of an answer: whole events of an engine, any bytes of a service.

    `seq` counts the chunks of the attempt from 0; `tokens` says how many
    tokens the bytes hold.
    """

    attempt: AttemptId
    seq: int
    data: bytes
    tokens: int = 0


class Finished(Message, frozen=True):
    """The attempt's outcome; `chunks` is how many were sent before it."""

    attempt: AttemptId
    outcome: Outcome
    chunks: int = 0
    tokens: int = 0


class Credit(Message, frozen=True):
    """The receiver of an attempt's chunks can take `size` more bytes."""

    attempt: AttemptId
    size: int


class Cancel(Message, frozen=True):
    """Nobody waits for the attempt; also when it has not arrived yet."""

    attempt: AttemptId


class Settle(Message, frozen=True):
    """Ask what became of an attempt.

    `boot` is that of the welcome on the connection it was sent over. An agent
    of that boot which has never seen it answers `NotRun` and refuses it from
    then on, so the answer stays true. One that has started since can't know.
    """

    attempt: AttemptId
    boot: str = ''


class Settled(Message, frozen=True):
    """What became of an attempt, or `None` while it runs."""

    attempt: AttemptId
    outcome: Outcome | None


class Heartbeat(Message, frozen=True, omit_defaults=True):
    """Sent by both sides at an interval and whenever `leaving` changes."""

    config_number: int
    leaving: bool = False
    load: Load | None = None


class FetchConfig(Message, frozen=True):
    """Ask for the newest configuration if it is above `above`."""

    above: int


class ConfigCopy(Message, frozen=True):
    """A configuration as kept in the Object API, complete."""

    number: int
    document: bytes


class SuspectRow(msgspec.Struct, frozen=True):
    """A request's fingerprint and how many upstreams it has brought down.

    `crash_ids` names the crashes it was part of, `forgiven` those of them that
    a good answer has shown to be another request's doing.
    """

    fingerprint: Fingerprint
    crashes: int
    expires_in_ms: int
    crash_ids: tuple[CrashId, ...] = ()
    forgiven: tuple[CrashId, ...] = ()


class Suspects(Message, frozen=True):
    """Suspects that the sender has learnt of, passed on between peers."""

    rows: tuple[SuspectRow, ...]


class Reserve(Message, frozen=True):
    """Hold `tokens` of KV memory for a span, for `expires_in_ms`."""

    span: SpanId
    tokens: int
    expires_in_ms: int


class Reserved(Message, frozen=True):
    """Whether the memory is held."""

    span: SpanId
    granted: bool
    retry_after_ms: int = 0


class Release(Message, frozen=True):
    """Give back all that the span holds on this upstream."""

    span: SpanId


class Fault(Message, frozen=True):
    """An error about a message that could not be used."""

    code: FaultCode
    detail: str = ''


EntryMessage: TypeAlias = EntryHello | EntryNews | FetchUpstreams | UpstreamRows
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
