"""Components of one entry without network, to test where it places requests."""

from typing import cast
from unittest.mock import Mock

from figspread.clock import ManualClock
from figspread.direct.adapter import PlatformCodec, StoreClient
from figspread.direct.components import EntryComponents
from figspread.direct.lifecycle.assembly import build_components
from figspread.direct.lifecycle.settings import DirectSettings
from figspread.direct.model import (
    CallKind,
    Route,
    Service,
    Upstream,
    UpstreamState,
)
from figspread.direct.peers.permits import Permits
from figspread.direct.requests.claims import PlacementRequest
from figspread.direct.requests.send_gate import SendGate
from figspread.http1.pool import ConnectionPool
from figspread.ids import DataCentreId, ServiceName, UpstreamId
from figspread.policy.engine_time import EngineProfile
from figspread.telemetry.logs import Level, Log

POOL = ServiceName('pool')
PROFILE = EngineProfile(
    slots=6, kv_tokens=197_200, step_ms=1.02, prefill_tokens_per_ms=206
)
SERVICE = Service(POOL, PROFILE)
TARGET_S = 0.3
ROUTE = Route('r', 'h', '/', CallKind.STREAM, (), 10, TARGET_S, 0.25)


def make_upstream(number: int) -> Upstream:
    """Return an engine in one of three data centres."""
    return Upstream(
        UpstreamId(f'e-{number}'),
        POOL,
        f'10.0.{number // 250}.{number % 250}:80',
        DataCentreId('abc'[number % 3]),
        PROFILE.slots,
        UpstreamState.READY,
        1,
    )


def make_components(engines: int) -> EntryComponents:
    """Return an entry's components at clock time 100, with idle engines."""
    address = '127.0.0.1:1'
    cfg = DirectSettings(
        vm='vm',
        data_centre=DataCentreId('a'),
        callers=address,
        readiness=address,
        peers=address,
        metrics=address,
        seeds=(),
        grace_s=8,
        repeat_ratio=0.2,
        repeat_slack=100,
        repeat_window_s=10,
    )
    components = build_components(
        cfg,
        cast(PlatformCodec, Mock()),
        cast(StoreClient, Mock()),
        Log(Level.ERROR, {}),
        ManualClock(100),
        lambda: None,
        ConnectionPool(ManualClock(100)),
    )
    for number in range(engines):
        components.registry.put(make_upstream(number), number + 1)
    return components


def make_gate(components: EntryComponents) -> SendGate:
    """Return the gate of one of three entries."""
    return SendGate(components, cast(Permits, Mock()), lambda: 3, lambda: 1)


def make_request(
    prompt_tokens: int, deadline_s: float = 110
) -> PlacementRequest:
    """Return a request that arrives at clock time 100."""
    return PlacementRequest(
        'q', ROUTE, SERVICE, prompt_tokens, 1500, 1, 100, deadline_s
    )
