"""Tests that a rejection which is sent once more is not taken for a new one.

A faulty engine wrote an earlier rejection again on a kept connection, while it ran
the next request. Its caller was told that the request had not run (REFUSED), or it
ran at a second engine (TWICE).
"""

import asyncio
from pathlib import Path

import pytest
from bench.giftwrap.caller import Answer
from bench.giftwrap.deployment import DESK
from bench.giftwrap.upstream import REPEATED_REJECTIONS, Fault

from tests.giftwrap_fleet import Fleet, run_scenario

NOT_RUN = frozenset((408, 421, 429, 503))
CALLS = 12


async def _call_all(
    fleet: Fleet, route: str, fault: Fault
) -> list[tuple[str, Answer]]:
    for name in ('d-1', 'd-2'):
        fleet.upstreams[name].fault = fault
    # Rejections are not retried for ever, so that some calls are refused.
    await fleet.add_upstream('d-3', DESK)
    fleet.upstreams['d-3'].fault = fault
    calls = []
    for number in range(CALLS):
        name = '{0}-{1}'.format(route, number)
        answer = await fleet.callers[0].call(route, request_id=name)
        calls.append((name, answer))
    await asyncio.sleep(0)
    return calls


@pytest.mark.parametrize('fault', sorted(REPEATED_REJECTIONS, key=str))
@pytest.mark.parametrize('route', ['status', 'order'])
def test_refused_request_has_not_run(
    route: str, fault: Fault, tmp_path: Path
) -> None:
    """Tell a caller that a request has not run only if that is true."""

    async def scenario(fleet: Fleet) -> dict[str, tuple[int, int]]:
        calls = await _call_all(fleet, route, fault)
        return {
            name: (
                answer.status,
                sum(each.runs[name] for each in fleet.upstreams.values()),
            )
            for name, answer in calls
        }

    outcomes = run_scenario(tmp_path, scenario)
    refused_runs = [
        runs for status, runs in outcomes.values() if status in NOT_RUN
    ]
    assert not any(refused_runs)
    if route == 'order':
        assert max(runs for _, runs in outcomes.values()) <= 1
