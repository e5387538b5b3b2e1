"""Refuses requests without upstreams, as in an evacuation of data centres."""

from collections.abc import Callable
from typing import Final

from figspread.direct.components import EntryComponents
from figspread.direct.model import Upstream, UpstreamState
from figspread.direct.state.admission_queue import AdmissionRefused
from figspread.direct.state.evacuations import Evacuations
from figspread.ids import ServiceName
from figspread.policy.evacuations import evacuation_retry_after_s

# Retry-After if no upstream of the service accepts requests: none is known, or
# all known ones are leaving.
NO_UPSTREAM_RETRY_AFTER_S: Final = 0.5


def make_no_upstream_refusal(
    components: EntryComponents, service: ServiceName
) -> AdmissionRefused:
    """Return the refusal of a request whose service has no ready upstream."""
    evacuated = _list_evacuated(components, service)
    if not evacuated:
        # Also if upstreams are known but all of them are leaving.
        return AdmissionRefused(
            'no upstream is known', NO_UPSTREAM_RETRY_AFTER_S
        )
    components.evacuations.metrics.record_refused()
    # Of several evacuations, the one that began last is expected to end first.
    lasted_s = min(
        components.evacuations.lasted_s(known.data_centre)
        for known in evacuated
    )
    return AdmissionRefused(
        'all data centres with its upstreams are evacuated',
        evacuation_retry_after_s(lasted_s),
    )


def make_leaving_refusal() -> AdmissionRefused:
    """Return the refusal of a request whose upstreams say that they leave."""
    return AdmissionRefused(
        'all upstreams are leaving', NO_UPSTREAM_RETRY_AFTER_S
    )


class WaitingCheck:
    """Checks whether a queued request may wait on.

    Its wait is estimated again after each start or end of an evacuation.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        check: Callable[[], None],
        check_wait: Callable[[], None],
    ) -> None:
        """Call `check` each time, and `check_wait` after such changes.

        Both may raise `AdmissionRefused`.
        """
        self._evacuations = evacuations
        self._check = check
        self._check_wait = check_wait
        self._changes = evacuations.changes

    def __call__(self) -> None:
        """Raise `AdmissionRefused` if the request should wait no longer."""
        self._check()
        if self._evacuations.changes != self._changes:
            self._changes = self._evacuations.changes
            self._check_wait()


def _list_evacuated(
    components: EntryComponents, service: ServiceName
) -> list[Upstream]:
    """Return the upstreams of `service` in evacuated data centres."""
    return [
        known
        for known in components.registry.upstreams_by_id.values()
        if known.service == service
        and known.state is UpstreamState.READY
        and components.evacuations.is_evacuated(known.data_centre)
    ]
