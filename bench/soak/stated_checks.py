"""Checks that entries keep to what upstreams state in their answers."""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from typing import Final

import msgspec

from bench.giftwrap.upstream import REQUEST_ID, Upstream
from bench.soak.calls import Call
from bench.soak.checks import RECOVERY_TIME_S, InjectedFault
from bench.soak.faults import (
    ENTRY_FAULTS,
    LEAVING_FAULT,
    LIMIT_FAULT,
    PAUSE_FAULT,
    STATED_LIMITS,
    STATED_PAUSE_S,
    select_entry,
    select_upstream,
)
from bench.soak.fleet import Fleet
from figspread.http1.fields import find_field

# The platform's bounds: a limit is kept from this time on, half as much again
# and five requests are allowed in each window, requests that were sent this long
# after an upstream has said that it leaves don't reach it, and two requests do
# from half a second after it has asked for a pause.
SETTLING_S: Final = 3.0
WINDOW_S: Final = 4.0
ALLOWED_FACTOR: Final = 1.5
ALLOWED_REQUESTS: Final = 5
LEAVING_S: Final = 2.0
PAUSE_SLACK_S: Final = 0.5
PAUSED_REQUESTS: Final = 2


class _Arrival(msgspec.Struct, frozen=True):
    at_s: float
    call: Call


def find_stated_violations(
    fleet: Fleet,
    calls: Sequence[Call],
    injected_faults: Sequence[InjectedFault],
    started_s: float,
) -> list[str]:
    """Return a line for each upstream whose terms were not kept.

    `started_s` is the event loop's time at the run's start. Requests of entries
    with a fault of their own at that time don't count.
    """
    by_request = {call.request: call for call in calls}
    checks = {
        LIMIT_FAULT: _check_limit,
        LEAVING_FAULT: _check_leaving,
        PAUSE_FAULT: _check_pauses,
    }
    violations: list[str] = []
    for injected in injected_faults:
        check = checks.get(injected.fault.kind)
        if check is None or _overlaps_same_target(
            fleet, injected, injected_faults
        ):
            continue
        upstream = fleet.upstreams[select_upstream(fleet, injected.fault)]
        if _has_crashed(upstream, injected, started_s):
            continue
        arrivals = [
            arrival
            for arrival in _list_arrivals(upstream, by_request, started_s)
            if not _is_excused(fleet, arrival, injected_faults)
        ]
        problem = check(injected, arrivals, upstream, started_s)
        if problem:
            violations.append('{0}: {1}'.format(upstream.name, problem))
    return violations


def _list_arrivals(
    upstream: Upstream, by_request: dict[str, Call], started_s: float
) -> Iterator[_Arrival]:
    for at_s, request in zip(
        upstream.arrivals_s, upstream.received_requests, strict=True
    ):
        call = by_request.get(find_field(request.fields, REQUEST_ID) or '')
        if call is not None:
            yield _Arrival(at_s - started_s, call)


def _is_excused(
    fleet: Fleet, arrival: _Arrival, injected_faults: Sequence[InjectedFault]
) -> bool:
    return any(
        injected.fault.kind in ENTRY_FAULTS
        and select_entry(fleet, injected.fault)
        is fleet.entries[arrival.call.entry]
        and injected.started_s <= arrival.at_s
        and arrival.call.sent_s <= injected.ended_s + RECOVERY_TIME_S
        for injected in injected_faults
    )


def _overlaps_same_target(
    fleet: Fleet,
    injected: InjectedFault,
    injected_faults: Sequence[InjectedFault],
) -> bool:
    """Return whether another fault has changed the same upstream's terms."""
    target = select_upstream(fleet, injected.fault)
    same_target = [
        other
        for other in injected_faults
        if other is not injected
        and other.fault.kind not in ENTRY_FAULTS
        and select_upstream(fleet, other.fault) == target
    ]
    return any(
        other.started_s <= injected.ended_s
        and injected.started_s <= other.ended_s
        for other in same_target
    )


def _has_crashed(
    upstream: Upstream, injected: InjectedFault, started_s: float
) -> bool:
    """Return whether a deadly part has ended this start of the upstream.

    Entries have not heard what its next start states.
    """
    return any(
        injected.started_s <= crashed_s - started_s <= injected.ended_s
        for crashed_s, _ in upstream.deadly_crashes
    )


def _check_limit(
    injected: InjectedFault,
    arrivals: Sequence[_Arrival],
    upstream: Upstream,
    started_s: float,
) -> str:
    rate_limit = STATED_LIMITS[injected.fault.selector % len(STATED_LIMITS)]
    times_s = [
        arrival.at_s
        for arrival in arrivals
        if injected.started_s + SETTLING_S <= arrival.at_s <= injected.ended_s
    ]
    worst = max(
        (
            end + 1 - bisect_left(times_s, times_s[end] - WINDOW_S)
            for end in range(len(times_s))
        ),
        default=0,
    )
    allowed = ALLOWED_FACTOR * rate_limit * WINDOW_S + ALLOWED_REQUESTS
    if worst <= allowed:
        return ''
    return 'limit {0}: {1} requests in {2} s, allowed {3}'.format(
        rate_limit, worst, WINDOW_S, allowed
    )


def _check_leaving(
    injected: InjectedFault,
    arrivals: Sequence[_Arrival],
    upstream: Upstream,
    started_s: float,
) -> str:
    told = [
        arrival.call.ended_s
        for arrival in arrivals
        if arrival.at_s >= injected.started_s
        and arrival.call.answer is not None
        and arrival.call.answer.status == 200
    ]
    if not told:
        return ''
    late = [
        arrival
        for arrival in arrivals
        if arrival.call.sent_s > min(told) + LEAVING_S
        and arrival.at_s < injected.ended_s
    ]
    return (
        'requests after it has said that it leaves: {0}'.format(late)
        if late
        else ''
    )


def _check_pauses(
    injected: InjectedFault,
    arrivals: Sequence[_Arrival],
    upstream: Upstream,
    started_s: float,
) -> str:
    entry_of = {
        arrival.call.request: arrival.call.entry for arrival in arrivals
    }
    for rejected_s, request in upstream.rejections:
        entry = entry_of.get(request)
        since_s = rejected_s - started_s
        if entry is None or not (
            injected.started_s <= since_s <= injected.ended_s
        ):
            continue
        until_s = since_s + STATED_PAUSE_S
        reached = [
            arrival
            for arrival in arrivals
            if arrival.call.entry == entry
            and since_s + PAUSE_SLACK_S < arrival.at_s < until_s
        ]
        if len(reached) > PAUSED_REQUESTS:
            return 'requests in a pause: {0}'.format(reached)
    return ''
