"""What an agent is made of and how it is set."""

import ssl as tls
from collections.abc import Callable
from typing import Protocol

import msgspec

from figspread.agent.isolation import SuspectTable
from figspread.agent.journal import Journal
from figspread.clock import Clock
from figspread.config.holder import FleetHolder
from figspread.ids import DataCentreId, PeerId, UpstreamId
from figspread.inner.connection import DEFAULT_TIMEOUTS, Timeouts
from figspread.policy.types import JobQueue
from figspread.upstream.types import Engine, Service


class AgentQueue(JobQueue, Protocol):
    """A queue whose bounds follow the configuration and the upstream."""

    def reserve(self, kv_tokens: int) -> None:
        """Keep `kv_tokens` in all away from jobs."""

    def limit_running(self, requests: int) -> None:
        """Start no job while `requests` or more run, from now on."""

    def set_rate(self, prefill_tokens_per_s: float) -> None:
        """Estimate with the rate that the engine reports from now on."""


class AgentOptions(msgspec.Struct, frozen=True):
    """Who the agent is, where it listens and its bounds.

    Without an `operator_port` there are no pages for operators.
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
    threads: int = 512
    operator_port: int | None = None


class EngineBehind(msgspec.Struct, frozen=True):
    """The agent stands beside a model engine."""

    engine: Engine


class ServiceBehind(msgspec.Struct, frozen=True):
    """The agent stands beside a plain service."""

    service: Service


class AgentParts(msgspec.Struct, frozen=True):
    """What an agent is made of, passed in."""

    behind: EngineBehind | ServiceBehind
    queue: AgentQueue
    suspects: SuspectTable
    holder: FleetHolder
    clock: Clock
    secret: bytes
    journal: Journal
    ask_stop: Callable[[], None]
    ssl: tls.SSLContext | None = None
