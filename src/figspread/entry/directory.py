"""The upstreams that can take a request, as seen by this entry."""

import threading
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import TypeAlias

import msgspec

from figspread.clock import Clock
from figspread.config.fleet import (
    EMPTY_FLEET,
    EngineRecord,
    Fleet,
    ServiceUpstream,
)
from figspread.config.holder import FleetHolder
from figspread.entry.caller_request import CallerRequest
from figspread.entry.link import LinkState
from figspread.entry.links import Links
from figspread.entry.vm_list import LeavingVms
from figspread.ids import (
    AttemptId,
    ModelName,
    ServiceName,
    UpstreamId,
    WorkspaceId,
)
from figspread.inner.messages import UpstreamKind
from figspread.policy.fair_wait import estimate_fair_wait_s
from figspread.policy.types import Candidate, RequestProfile

_Engines: TypeAlias = Mapping[ModelName, Sequence[EngineRecord]]


class _InFlight(msgspec.Struct, frozen=True):
    upstream: UpstreamId
    work: RequestProfile
    sent_at: float


class Directory:
    """Lists candidates from the configuration, the links and the VM list.

    It also tracks the attempts that this entry has in flight, because load
    reports lag behind them. Safe to call from any thread.
    """

    def __init__(
        self,
        holder: FleetHolder,
        links: Links,
        clock: Clock,
    ) -> None:
        """Start with no attempts in flight and no VM leaving."""
        self._clock = clock
        self._holder = holder
        self._links = links
        self._lock = threading.Lock()
        self._in_flight: dict[AttemptId, _InFlight] = {}
        self._leaving_vms = LeavingVms()
        self._engines_by_model: tuple[Fleet, _Engines] = (EMPTY_FLEET, {})

    def update_leaving_vms(self, leaving: LeavingVms) -> None:
        """Replace the VMs that the platform reports as leaving."""
        self._leaving_vms = leaving

    def list_candidates(self, req: CallerRequest) -> Sequence[Candidate]:
        """Return the upstreams that can take `req` now, with their load.

        Attempts that this entry sent after an upstream's last load report
        are added to the candidate; the report includes earlier ones.
        """
        outstanding = self._group_in_flight()
        candidates = [
            self._build_candidate(record, outstanding[record.upstream])
            for record in self._list_upstream_records(req)
        ]
        return [candidate for candidate in candidates if candidate]

    def estimate_wait_s(self, req: CallerRequest) -> float:
        """Estimate the shortest time in seconds until `req` ends prefill."""
        with self._lock:
            sent = tuple(self._in_flight.values())
        outstanding: Counter[WorkspaceId] = Counter()
        for attempt in sent:
            outstanding[attempt.work.workspace] += attempt.work.prompt_tokens
        known_workspaces = self._holder.fleet.workspaces
        return estimate_fair_wait_s(
            self.list_candidates(req),
            req.work,
            outstanding=outstanding,
            weights={
                workspace: known_workspaces[workspace].weight
                for workspace in (*outstanding, req.work.workspace)
                if workspace in known_workspaces
            },
        )

    def has_upstreams(self, req: CallerRequest) -> bool:
        """Tell whether any upstream is configured for `req`."""
        return bool(self._list_upstream_records(req))

    def record_sent(
        self,
        attempt: AttemptId,
        upstream: UpstreamId,
        work: RequestProfile,
    ) -> None:
        """Count an attempt as in flight to `upstream` from now on."""
        sent = _InFlight(upstream, work, self._clock.now())
        with self._lock:
            self._in_flight[attempt] = sent

    def record_finished(self, attempt: AttemptId) -> None:
        """Stop counting an attempt as in flight."""
        with self._lock:
            self._in_flight.pop(attempt, None)

    def _list_upstream_records(
        self,
        req: CallerRequest,
    ) -> Sequence[EngineRecord | ServiceUpstream]:
        fleet = self._holder.fleet
        match req.kind:
            case UpstreamKind.ENGINE:
                return self._list_engines(fleet, req.work.model)
            case UpstreamKind.SERVICE:
                return list_service_upstreams(fleet, req.service)

    def _list_engines(
        self,
        fleet: Fleet,
        model: ModelName,
    ) -> Sequence[EngineRecord]:
        """Return the engines of `model`; grouped once per configuration."""
        known_fleet, by_model = self._engines_by_model
        if known_fleet is not fleet:
            by_model = _group_engines(fleet)
            self._engines_by_model = (fleet, by_model)
        return by_model.get(model, ())

    def _group_in_flight(self) -> defaultdict[UpstreamId, list[_InFlight]]:
        with self._lock:
            sent = tuple(self._in_flight.values())
        grouped: defaultdict[UpstreamId, list[_InFlight]] = defaultdict(list)
        for attempt in sent:
            grouped[attempt.upstream].append(attempt)
        return grouped

    def _build_candidate(
        self,
        record: EngineRecord | ServiceUpstream,
        outstanding: Sequence[_InFlight],
    ) -> Candidate | None:
        link = self._links.find_link(record.upstream)
        if link is None or link.state is not LinkState.OPEN:
            return None
        if self._leaving_vms.includes(record.upstream, record.agent):
            return None
        unreported = [
            sent.work
            for sent in outstanding
            if sent.sent_at > link.load_received_at
        ]
        return Candidate(
            upstream=record.upstream,
            data_centre=record.data_centre,
            load=link.load,
            kv_tokens=_read_kv_tokens(record),
            own_prefill_tokens=sum(work.prompt_tokens for work in unreported),
            own_decode_tokens=sum(work.output_tokens for work in unreported),
            own_requests=len(unreported),
        )


def _group_engines(fleet: Fleet) -> _Engines:
    grouped: defaultdict[ModelName, list[EngineRecord]] = defaultdict(list)
    for engine in fleet.engines.values():
        for model in fleet.pools[engine.pool].models:
            grouped[model].append(engine)
    return dict(grouped)


def list_service_upstreams(
    fleet: Fleet,
    service: ServiceName,
) -> Sequence[ServiceUpstream]:
    """Return the upstreams of the plain service `service`."""
    return [
        upstream
        for upstream in fleet.service_upstreams.values()
        if upstream.service == service
    ]


def list_model_names(fleet: Fleet) -> Sequence[ModelName]:
    """Return the names of all configured models, sorted."""
    return sorted(fleet.models())


def _read_kv_tokens(record: EngineRecord | ServiceUpstream) -> int:
    match record:
        case EngineRecord():
            return record.kv_tokens
        case ServiceUpstream():
            return 0
