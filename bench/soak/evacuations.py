"""A fault of the soak: evacuations of data centres, and their check."""

import asyncio
from collections.abc import Iterator, Sequence
from typing import Final

import msgspec

from bench.giftwrap.upstream import REQUEST_ID, Upstream
from bench.soak.calls import Call
from bench.soak.checks import RECOVERY_TIME_S, InjectedFault
from bench.soak.faults import ENTRY_FAULTS, PlannedFault, select_entry
from bench.soak.fleet import EVACUATION_S, ZONES, Fleet
from figspread.http1.fields import find_field

# Time that a request may take from the entry to the upstream.
SLACK_S: Final = 0.5
# Faults of the store, in which entries may hear of changes later.
STORE_FAULTS: Final = frozenset(
    (
        'fail the store',
        'slow the store',
        'forget the store history',
        'restore the store',
    )
)
# A request may wait on the link after it was sent.
LINK_FAULT: Final = 'cut an upstream'
# How much an unstable store extends the bound: a requirement of the platform.
OUTER_BOUND_S: Final = 6.0


class Evacuation(msgspec.Struct, frozen=True):
    """A data centre, and the event loop times of start and end."""

    zone: str
    started_s: float
    ended_s: float


class EvacuationPlay:
    """Evacuates data centres and checks that no request arrives there."""

    def __init__(self) -> None:
        """Start without evacuations."""
        self._evacuations: list[Evacuation] = []
        self._counts: dict[str, int] = dict.fromkeys(ZONES, 0)

    async def evacuate(self, fleet: Fleet, fault: PlannedFault) -> None:
        """Evacuate a data centre for the duration of the fault.

        One that is evacuated twice at a time comes back at the later end.
        """
        loop = asyncio.get_running_loop()
        zone = ZONES[fault.selector % len(ZONES)]
        self._counts[zone] += 1
        fleet.evacuated.add(zone)
        fleet.write_evacuations()
        started_s = loop.time()
        await asyncio.sleep(fault.duration_s)
        self._evacuations.append(Evacuation(zone, started_s, loop.time()))
        self._counts[zone] -= 1
        if not self._counts[zone]:
            fleet.evacuated.discard(zone)
            fleet.write_evacuations()

    def find_violations(
        self,
        fleet: Fleet,
        calls: Sequence[Call],
        injected_faults: Sequence[InjectedFault],
        started_s: float,
    ) -> list[str]:
        """Return a line for each request that arrived after the bound.

        `started_s` is the event loop's time at the run's start. Requests of
        entries with a fault of their own at that time don't count.
        """
        by_request = {call.request: call for call in calls}
        violations = []
        for evacuation in self._evacuations:
            since_s = evacuation.started_s - started_s
            bound_s = _find_bound_s(since_s, injected_faults)
            late = [
                (round(at_s, 2), call.request, call.entry)
                for upstream in fleet.upstreams.values()
                if upstream.zone == evacuation.zone
                for at_s, call in _list_arrivals(upstream, by_request)
                if since_s + bound_s < at_s - started_s
                and at_s < evacuation.ended_s
                and not _is_excused(
                    fleet, at_s - started_s, call, injected_faults
                )
            ]
            if late:
                violations.append(
                    '{0} evacuated at {1:.2f} s for {2:.2f} s, bound {3} s: '
                    '{4}'.format(
                        evacuation.zone,
                        since_s,
                        evacuation.ended_s - evacuation.started_s,
                        bound_s,
                        late,
                    )
                )
        return violations


def _find_bound_s(since_s: float, faults: Sequence[InjectedFault]) -> float:
    bound_s = EVACUATION_S + SLACK_S
    is_unstable = any(
        injected.fault.kind in STORE_FAULTS
        and injected.started_s <= since_s + bound_s
        and since_s <= injected.ended_s + RECOVERY_TIME_S
        for injected in faults
    )
    return bound_s + OUTER_BOUND_S if is_unstable else bound_s


def _list_arrivals(
    upstream: Upstream, by_request: dict[str, Call]
) -> Iterator[tuple[float, Call]]:
    for at_s, request in zip(
        upstream.arrivals_s, upstream.received_requests, strict=True
    ):
        call = by_request.get(find_field(request.fields, REQUEST_ID) or '')
        if call is not None:
            yield at_s, call


def _is_excused(
    fleet: Fleet,
    at_s: float,
    call: Call,
    faults: Sequence[InjectedFault],
) -> bool:
    """Return whether the entry was disturbed, or the upstream's link."""
    return any(
        injected.started_s <= at_s
        and call.sent_s <= injected.ended_s + RECOVERY_TIME_S
        and (
            injected.fault.kind == LINK_FAULT
            or (
                injected.fault.kind in ENTRY_FAULTS
                and select_entry(fleet, injected.fault)
                is fleet.entries[call.entry]
            )
        )
        for injected in faults
    )
