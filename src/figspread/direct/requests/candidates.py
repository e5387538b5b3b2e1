"""Collects what placement decides by: the upstreams with their load."""

from collections.abc import Iterable

import msgspec

from figspread.direct.components import EntryComponents
from figspread.direct.model import Service, Upstream
from figspread.direct.state.upstream_notices import identify_run
from figspread.policy.engine_choice import is_short_prompt
from figspread.policy.upstream_load import (
    PlacementRequirements,
    UpstreamLoad,
)


def build_candidates(
    components: EntryComponents,
    service: Service,
    requirements: PlacementRequirements,
    upstreams: Iterable[Upstream],
) -> list[UpstreamLoad]:
    """Return the load of each upstream, as this request is placed by it."""
    is_short = service.engine is not None and is_short_prompt(
        service.engine, requirements.prompt_tokens
    )
    return [
        _build_candidate(components, upstream, is_short=is_short)
        for upstream in upstreams
    ]


def _build_candidate(
    components: EntryComponents, upstream: Upstream, *, is_short: bool
) -> UpstreamLoad:
    name = upstream.upstream
    health = components.registry.health
    load = components.slowdowns.apply(
        components.placements.build_upstream_load(upstream),
        identify_run(upstream),
        is_short=is_short,
    )
    return msgspec.structs.replace(
        load,
        failures=health.consecutive_failures(name),
        failure_rate=health.failure_rate(name),
        is_cold=components.cold.is_limited(upstream),
        has_connection=components.pool.has_idle(upstream.address),
    )
