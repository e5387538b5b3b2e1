"""Lists the upstreams that a request may use, the preferred ones first."""

from collections.abc import Collection, Iterator, Sequence

import msgspec

from figspread.direct.components import EntryComponents
from figspread.direct.model import Upstream
from figspread.direct.requests.claims import PlacementRequest
from figspread.direct.requests.home_regions import list_ready
from figspread.direct.requests.send_gate import SendGate
from figspread.ids import UpstreamId
from figspread.policy.candidate_sample import sample_candidates
from figspread.policy.engine_choice import is_short_prompt


class Option(msgspec.Struct, frozen=True):
    """Upstreams to choose from.

    If the first token `must_be_on_time` and isn't, the next option is preferred
    if it is on time there.
    """

    upstreams: list[Upstream]
    must_be_on_time: bool = False


class UpstreamOptions:
    """Selects upstreams by their limits, health and temperature."""

    def __init__(self, components: EntryComponents, gate: SendGate) -> None:
        """Select from the registry what `gate` lets through."""
        self._components = components
        self._gate = gate

    def list_for(
        self,
        req: PlacementRequest,
        excluded: Collection[UpstreamId],
    ) -> Iterator[Option]:
        """Yield the upstreams to choose from, the preferred ones first."""
        usable = self._list_open(req)
        others = [
            upstream for upstream in usable if upstream.upstream not in excluded
        ]
        upstreams = others or usable
        engine = req.service.engine
        if engine is not None and not is_short_prompt(
            engine, req.prompt_tokens
        ):
            # A long prompt's permit may be denied after the wait for its turn.
            unlimited = [
                upstream
                for upstream in upstreams
                if not self._gate.is_limited(upstream)
            ]
            warm = [
                upstream
                for upstream in unlimited
                if not self._components.cold.is_limited(upstream)
            ]
            if len(warm) < len(unlimited):
                yield Option(warm, must_be_on_time=True)
            if len(unlimited) < len(upstreams):
                yield Option(unlimited)
        yield Option(upstreams)

    def _list_open(self, req: PlacementRequest) -> list[Upstream]:
        ready = list_ready(self._components, req)
        healthy = self._components.registry.prefer_healthy(ready)
        sample = sample_candidates(healthy, self._components.rng)
        return self._filter_open(sample) or self._filter_open(ready)

    def _filter_open(self, ready: Sequence[Upstream]) -> list[Upstream]:
        registry = self._components.registry
        is_full = self._components.full_upstreams.is_full
        usable = registry.prefer_healthy(
            list(filter(self._gate.is_open, ready))
        )
        # Requests wait for a full upstream rather than try an unhealthy one.
        return [known for known in usable if not is_full(known.upstream)]
