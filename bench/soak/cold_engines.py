"""Restarts engines of a soak during traffic, and checks their cold limit."""

import asyncio
from bisect import bisect_left
from typing import Final

from bench.giftwrap.deployment import POOL
from bench.soak.faults import PlannedFault
from bench.soak.fleet import (
    COLD_FACTOR,
    COLD_PER_S,
    COLD_SLACK,
    COLD_START_S,
    Fleet,
)

# Longest time for which a crashed engine stays down.
DOWN_S: Final = 0.5


async def restart_engine(fleet: Fleet, fault: PlannedFault) -> None:
    """Crash an engine and start it again, which leaves it cold for a while."""
    names = sorted(
        name
        for name, upstream in fleet.upstreams.items()
        if upstream.service == POOL
    )
    name = names[fault.selector % len(names)]
    await fleet.upstreams[name].stop()
    await asyncio.sleep(min(DOWN_S, fault.duration_s))
    await fleet.restart_upstream(name)
    await asyncio.sleep(COLD_START_S)


def find_cold_violations(fleet: Fleet) -> list[str]:
    """Return a line for each engine that got too much while it was cold.

    All requests count, whatever faults their entries had.
    """
    allowed = COLD_PER_S * COLD_FACTOR + COLD_SLACK
    violations = []
    for period in fleet.cold_periods:
        times_s = [
            arrived_s
            for arrived_s in fleet.upstreams[period.upstream].arrivals_s
            if period.started_s <= arrived_s <= period.ended_s
        ]
        worst = max(
            (
                end + 1 - bisect_left(times_s, times_s[end] - 1)
                for end in range(len(times_s))
            ),
            default=0,
        )
        if worst > allowed:
            violations.append(
                '{0}: {1} requests in 1 s while cold, allowed {2}'.format(
                    period.upstream, worst, allowed
                )
            )
    return violations
