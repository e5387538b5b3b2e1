"""Restricts the upstreams of a request to the home regions of its owner."""

from collections.abc import Callable, Iterable
from functools import partial

from figspread.direct.components import EntryComponents
from figspread.direct.model import Route, Upstream, Workspace
from figspread.direct.requests.claims import PlacementRequest
from figspread.direct.requests.evacuation_checks import (
    NO_UPSTREAM_RETRY_AFTER_S,
    make_no_upstream_refusal,
)
from figspread.direct.state.admission_queue import AdmissionRefused
from figspread.ids import RegionId


def find_home_regions(
    route: Route, workspace: Workspace | None
) -> frozenset[RegionId] | None:
    """Return the regions that may run a request, `None` for all of them.

    If both the route and the workspace have home regions, both must agree.
    """
    stated = [
        owner.home_regions
        for owner in (route, workspace)
        if owner is not None and owner.home_regions
    ]
    return frozenset.intersection(*stated) if stated else None


def is_at_home(
    components: EntryComponents,
    home_regions: frozenset[RegionId] | None,
    upstreams: Iterable[Upstream],
) -> bool:
    """Return whether all `upstreams` are in the home regions."""
    return home_regions is None or all(
        components.regions.get(upstream.data_centre) in home_regions
        for upstream in upstreams
    )


def list_ready(
    components: EntryComponents, req: PlacementRequest
) -> list[Upstream]:
    """Return the upstreams that may run a request and aren't leaving."""
    ready = components.registry.list_ready(req.service.name)
    if req.home_regions is None:
        return ready
    return [
        upstream
        for upstream in ready
        if is_at_home(components, req.home_regions, (upstream,))
    ]


def check_ready(components: EntryComponents, req: PlacementRequest) -> None:
    """Raise `AdmissionRefused` if no upstream may run a request."""
    if list_ready(components, req):
        return
    if components.registry.list_ready(req.service.name):
        raise AdmissionRefused(
            'no upstream in the home regions', NO_UPSTREAM_RETRY_AFTER_S
        )
    raise make_no_upstream_refusal(components, req.service.name)


def make_wait_check(
    components: EntryComponents,
    req: PlacementRequest,
    check: Callable[[], None],
) -> Callable[[], None]:
    """Return `check`, with that of the home regions if there are any."""
    if req.home_regions is None:
        return check
    return partial(_check_both, check, partial(check_ready, components, req))


def _check_both(one: Callable[[], None], other: Callable[[], None]) -> None:
    one()
    other()
