"""The dependencies that are passed to an entry."""

import random
import ssl as tls
from collections.abc import Callable

import msgspec

from figspread.clock import Clock
from figspread.config.settings import EntrySettings
from figspread.platform.types import ObjectStore, VmList
from figspread.policy.limits import EntryAdmission
from figspread.policy.retry import RetryBudget
from figspread.policy.suspects import SuspectRegistry
from figspread.policy.types import Router
from figspread.telemetry.logs import Log
from figspread.telemetry.metrics import Metrics
from figspread.telemetry.traces import Tracer
from figspread.telemetry.trail import Trail


class EntryDependencies(msgspec.Struct, frozen=True):
    """Settings, platform clients, policies and telemetry of an entry.

    Built by the command line, used by `EntryApp`. `wall_clock` returns seconds
    since 1970 (Unix time), `request_stop` asks the process to drain and exit,
    and `ssl` is `None` where connections to agents are not encrypted.
    """

    cfg: EntrySettings
    secret: bytes
    clock: Clock
    wall_clock: Callable[[], float]
    rng: random.Random
    store: ObjectStore
    vms: VmList
    router: Router
    admission: EntryAdmission
    budget: RetryBudget
    suspects: SuspectRegistry
    trail: Trail
    metrics: Metrics
    tracer: Tracer
    log: Log
    request_stop: Callable[[], None]
    ssl: tls.SSLContext | None = None
