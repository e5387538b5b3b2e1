"""Interfaces of engines and plain services, as used by an agent.

All calls block and are made from worker threads; each ends within the
client's timeouts.
"""

from collections.abc import Iterator, Mapping, Sequence
from enum import Enum
from typing import Protocol

import msgspec
from result import Result

from figspread.ids import AttemptId, ModelName


class UpstreamFaultKind(Enum):
    """How a call to an upstream failed."""

    NOT_SENT = 'not_sent'
    REFUSED = 'refused'
    BROKEN = 'broken'
    TIMED_OUT = 'silent'
    ERROR = 'error'


class UpstreamFault(msgspec.Struct, frozen=True):
    """A failed call.

    `NOT_SENT` means that no byte reached the upstream, `REFUSED` that the
    upstream reported that it did not run the call. After any other fault it
    may have run: `BROKEN` is a lost connection or an invalid or truncated
    answer, `TIMED_OUT` a timeout and `ERROR` an error status or invalid
    content. `status` is the HTTP status, or 0 without one.
    """

    kind: UpstreamFaultKind
    detail: str = ''
    status: int = 0
    retry_after_s: float = 0


class UpstreamCall(msgspec.Struct, frozen=True):
    """One request to an upstream, as an agent makes it."""

    attempt: AttemptId
    path: str
    body: bytes
    method: str = 'POST'
    headers: Mapping[str, str] = {}
    priority: int = 0
    resume_from: int = 0


class Answer(Protocol):
    """An answer that is being read.

    Iterating yields bytes as they arrive and never raises. After a complete
    answer `fault` is `None`; after a truncated one it is set.
    """

    status: int
    headers: Mapping[str, str]
    fault: UpstreamFault | None

    def __iter__(self) -> Iterator[bytes]:
        """Yield the answer's bytes as they arrive."""

    def close(self) -> None:
        """Stop reading; may be called from another thread."""


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's report of its own load, as it was `age_ms` ago.

    `boot_id` is a new id after each start of the engine.
    """

    running: int
    prefill_tokens: int
    decode_tokens: int
    kv_used_tokens: int
    kv_limit_tokens: int
    prefill_tokens_per_s: float
    models: tuple[ModelName, ...]
    age_ms: int = 0
    boot_id: str = ''


class KvHolding(msgspec.Struct, frozen=True):
    """KV cache memory that a request or a KV handle holds on an engine.

    `name` is the attempt id or, if `is_handle` is set, the handle.
    """

    name: str
    kv_tokens: int
    is_handle: bool = False


class CacheEvent(msgspec.Struct, frozen=True):
    """A prompt prefix that an engine has cached or evicted.

    `seq` increases with each event and may have gaps.
    """

    seq: int
    prefix: str
    is_cached: bool


class EngineOrderKind(Enum):
    """The control orders that an engine accepts."""

    LOAD_MODEL = 'load_model'
    UNLOAD_MODEL = 'unload_model'
    LOAD_ADAPTER = 'load_adapter'
    CHANGE_ROLE = 'change_role'


class EngineOrder(msgspec.Struct, frozen=True):
    """A control order from the holder of a lease.

    `fencing` is the lease's fencing number, by which an engine can refuse
    orders of former holders.
    """

    kind: EngineOrderKind
    target: str
    version: str
    fencing: int


class Engine(Protocol):
    """Calls to a model engine."""

    def submit(self, call: UpstreamCall) -> Result[Answer, UpstreamFault]:
        """Send a request; the answer streams server-sent events."""

    def cancel(self, attempt: AttemptId) -> Result[None, UpstreamFault]:
        """Stop a request and free its memory; idempotent."""

    def list_holdings(self) -> Result[Sequence[KvHolding], UpstreamFault]:
        """List the requests and KV handles that hold memory on the engine."""

    def report(self) -> Result[EngineReport, UpstreamFault]:
        """Return the engine's report of its load."""

    def export_kv(self, attempt: AttemptId) -> Result[str, UpstreamFault]:
        """Export the KV cache of a finished prefill; return its handle."""

    def import_kv(
        self,
        handle: str,
        source: str,
    ) -> Result[None, UpstreamFault]:
        """Import the KV cache `handle` from the engine at URL `source`."""

    def free_kv(self, handle: str) -> Result[None, UpstreamFault]:
        """Free an exported or imported KV cache; idempotent."""

    def list_cache_events(
        self,
        after: int,
    ) -> Result[Sequence[CacheEvent], UpstreamFault]:
        """Return the cache events after number `after`."""

    def send_order(self, order: EngineOrder) -> Result[None, UpstreamFault]:
        """Send a control order.

        One with an old fencing number may be refused.
        """


class Service(Protocol):
    """Calls to a plain service."""

    def call(self, call: UpstreamCall) -> Result[Answer, UpstreamFault]:
        """Send a request and return its answer once the header is read."""
