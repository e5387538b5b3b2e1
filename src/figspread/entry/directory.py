"""The upstreams that could take a request, as this entry sees them now."""

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
from figspread.entry.call import CallerRequest
from figspread.entry.link import LinkState
from figspread.entry.links import Links
from figspread.entry.members import Leaving
from figspread.ids import (
    AttemptId,
    ModelName,
    ServiceName,
    UpstreamId,
    WorkspaceId,
)
from figspread.inner.messages import UpstreamKind
from figspread.policy.types import Candidate, Work
from figspread.policy.wait import fair_wait_s

_Engines: TypeAlias = Mapping[ModelName, Sequence[EngineRecord]]


class _Sent(msgspec.Struct, frozen=True):
    upstream: UpstreamId
    work: Work
    sent_at: float


class Directory:
    """Joins configuration, links and the VM list into candidates."""

    def __init__(
        self,
        holder: FleetHolder,
        links: Links,
        clock: Clock,
    ) -> None:
        """Start with nothing sent and no VM leaving."""
        self._clock = clock
        self._holder = holder
        self._links = links
        self._lock = threading.Lock()
        self._sent: dict[AttemptId, _Sent] = {}
        self._leaving = Leaving()
        self._by_model: tuple[Fleet, _Engines] = (EMPTY_FLEET, {})

    def note_leaving(self, leaving: Leaving) -> None:
        """Take the VMs that the platform says are leaving."""
        self._leaving = leaving

    def list_candidates(self, req: CallerRequest) -> Sequence[Candidate]:
        """Return the upstreams that can be asked for `req` now.

        What this entry has sent to one since its last report is counted
        with it; what it sent before is in the report.
        """
        outstanding = self._group_sent()
        candidates = [
            self._candidate(record, outstanding[record.upstream])
            for record in self._list_records(req)
        ]
        return [candidate for candidate in candidates if candidate]

    def least_wait_s(self, req: CallerRequest) -> float:
        """Return about how soon `req` can be through prefill anywhere."""
        with self._lock:
            sent = tuple(self._sent.values())
        outstanding: Counter[WorkspaceId] = Counter()
        for one in sent:
            outstanding[one.work.workspace] += one.work.prompt_tokens
        known = self._holder.fleet.workspaces
        return fair_wait_s(
            self.list_candidates(req),
            req.work,
            outstanding=outstanding,
            weights={
                workspace: known[workspace].weight
                for workspace in (*outstanding, req.work.workspace)
                if workspace in known
            },
        )

    def is_known(self, req: CallerRequest) -> bool:
        """Tell whether the configuration has any upstream for `req`."""
        return bool(self._list_records(req))

    def record_sent(
        self,
        attempt: AttemptId,
        upstream: UpstreamId,
        work: Work,
    ) -> None:
        """Count an attempt as on its way to `upstream`."""
        sent = _Sent(upstream, work, self._clock.now())
        with self._lock:
            self._sent[attempt] = sent

    def record_finished(self, attempt: AttemptId) -> None:
        """Take back what `record_sent` counted."""
        with self._lock:
            self._sent.pop(attempt, None)

    def _list_records(
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
        """Return the engines of `model`, grouped once a configuration."""
        known_fleet, by_model = self._by_model
        if known_fleet is not fleet:
            by_model = _group_engines(fleet)
            self._by_model = (fleet, by_model)
        return by_model.get(model, ())

    def _group_sent(self) -> defaultdict[UpstreamId, list[_Sent]]:
        with self._lock:
            sent = tuple(self._sent.values())
        grouped: defaultdict[UpstreamId, list[_Sent]] = defaultdict(list)
        for one in sent:
            grouped[one.upstream].append(one)
        return grouped

    def _candidate(
        self,
        record: EngineRecord | ServiceUpstream,
        outstanding: Sequence[_Sent],
    ) -> Candidate | None:
        link = self._links.get(record.upstream)
        if link is None or link.state is not LinkState.OPEN:
            return None
        if self._leaving.has(record.upstream, record.agent):
            return None
        since = [
            sent.work for sent in outstanding if sent.sent_at > link.load_at
        ]
        return Candidate(
            upstream=record.upstream,
            data_centre=record.data_centre,
            load=link.load,
            kv_tokens=_kv_tokens(record),
            own_prefill_tokens=sum(work.prompt_tokens for work in since),
            own_decode_tokens=sum(work.output_tokens for work in since),
            own_requests=len(since),
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
    """Return the upstreams that run `service`."""
    return [
        upstream
        for upstream in fleet.service_upstreams.values()
        if upstream.service == service
    ]


def list_model_names(fleet: Fleet) -> Sequence[ModelName]:
    """Return the names of all models, sorted."""
    return sorted(fleet.models())


def _kv_tokens(record: EngineRecord | ServiceUpstream) -> int:
    match record:
        case EngineRecord():
            return record.kv_tokens
        case ServiceUpstream():
            return 0
