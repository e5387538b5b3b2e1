"""The dependencies and options of an agent."""

import ssl as tls
from collections.abc import Callable
from typing import Protocol

import msgspec

from figspread.agent.isolation import SuspectTable
from figspread.agent.telemetry import AgentTelemetry
from figspread.clock import Clock
from figspread.config.holder import FleetHolder
from figspread.ids import DataCentreId, PeerId, UpstreamId
from figspread.inner.connection import DEFAULT_TIMEOUTS, Timeouts
from figspread.policy.types import JobQueue
from figspread.upstream.types import Engine, Service


class AgentQueue(JobQueue, Protocol):
    """A job queue whose limits can be changed while it runs."""

    def set_reserved_kv_tokens(self, kv_tokens: int) -> None:
        """Set the total KV cache reserved for spans, in tokens.

        Replaces the earlier value. Jobs can't use reserved tokens.
        """

    def set_running_limit(self, requests: int) -> None:
        """Set how many requests may run at once."""

    def set_prefill_rate(self, prefill_tokens_per_s: float) -> None:
        """Set the prefill rate, in tokens per second, used for estimates."""


class AgentOptions(msgspec.Struct, frozen=True):
    """The identity of an agent, its listening address and its limits.

    `join_s`, `reconcile_s` and `drain_limit_s` are in seconds.
    `answer_threads` bounds the upstream calls made at once. There is no
    operator server if `operator_port` is `None`.
    """

    peer: PeerId
    upstream: UpstreamId
    data_centre: DataCentreId
    host: str = '127.0.0.1'
    port: int = 0
    timeouts: Timeouts = DEFAULT_TIMEOUTS
    join_s: float = 0.005
    reconcile_s: float = 5
    drain_limit_s: float = 600
    answer_threads: int = 512
    operator_port: int | None = None


class EngineUpstream(msgspec.Struct, frozen=True):
    """The agent's upstream is a model engine."""

    engine: Engine


class PlainServiceUpstream(msgspec.Struct, frozen=True):
    """The agent's upstream is a plain service."""

    service: Service


class AgentDependencies(msgspec.Struct, frozen=True):
    """The dependencies of an agent.

    `request_stop` asks the process to drain and stop; it is thread-safe.
    Without `ssl` the agent listens without TLS.
    """

    upstream: EngineUpstream | PlainServiceUpstream
    queue: AgentQueue
    suspects: SuspectTable
    holder: FleetHolder
    clock: Clock
    secret: bytes
    telemetry: AgentTelemetry
    request_stop: Callable[[], None]
    ssl: tls.SSLContext | None = None
