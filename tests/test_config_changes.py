"""Requests that run or wait while their route, service or engines change."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from bench.giftwrap.caller import Answer
from bench.giftwrap.deployment import (
    DESK,
    POOL,
    make_configuration,
    make_route,
)
from bench.giftwrap.upstream import Pace

from tests.giftwrap_fleet import Fleet, wait_until

TIME_LIMIT_S = 1.5
ANSWER_DELAY_S = 0.5
CALLER_COUNT = 4
SLOW = Pace(prefill_s=0.2, event_s=0.05, plain_s=0.3)
ROUTES = make_configuration(1)['routes']


def configure(fleet: Fleet, version: int, **overrides: Any) -> None:
    """Write a configuration version."""
    configuration = make_configuration(version, **overrides)
    fleet.store.put('config', 'main', configuration)


def remove_routes(fleet: Fleet) -> None:
    """Remove all routes but one that nobody uses."""
    configure(fleet, 9, routes=[make_route('other', 'safe', DESK)])


def move_routes(fleet: Fleet) -> None:
    """Give each route the other service."""
    moved = {POOL: DESK, DESK: POOL}
    configure(
        fleet,
        9,
        routes=[
            {**route, 'service': moved[route['service']]} for route in ROUTES
        ],
    )


def remove_services(fleet: Fleet) -> None:
    """Remove the services together with their routes."""
    configure(
        fleet,
        9,
        routes=[make_route('other', 'safe', 'other')],
        services=[{'name': 'other', 'connectionLimit': 1}],
    )


def revoke_key(fleet: Fleet) -> None:
    """Replace the workspace's key."""
    configure(fleet, 9, tenants=[{'name': 'studio', 'apiKeys': ['key-2']}])


def drain_upstreams(fleet: Fleet) -> None:
    """Let all upstreams leave."""
    for upstream in fleet.upstreams.values():
        upstream.state = 'draining'
        fleet.register(upstream)


def delete_upstreams(fleet: Fleet) -> None:
    """Delete the records of all upstreams."""
    for name in fleet.upstreams:
        fleet.store.delete('servers', name)


def change_often(fleet: Fleet) -> None:
    """Remove every other route, in turns, and put all back."""
    for version in range(9, 18):
        configure(fleet, version, routes=ROUTES[version % 2 :: 2])
    configure(fleet, 18)


@asynccontextmanager
async def start_slow_fleet(folder: Path) -> AsyncIterator[Fleet]:
    """Yield a fleet in which all requests but one of each service wait."""
    fleet = Fleet(folder)
    await fleet.store.start()
    configure(fleet, 8)
    for name, service in (('e-1', POOL), ('d-1', DESK)):
        await fleet.add_upstream(name, service, pace=SLOW, slots=1)
    try:
        await fleet.add_entry()
        await wait_until(lambda: fleet.entries[0].is_ready)
        yield fleet
    finally:
        await fleet.stop()


async def call_within_limit(fleet: Fleet, route: str) -> tuple[Answer, float]:
    """Call the entry and return the answer and its duration."""
    started_s = time.monotonic()
    answer = await fleet.callers[0].call(
        route,
        usage='100,92' if route == 'caption' else '',
        limit_ms=int(TIME_LIMIT_S * 1000),
    )
    return answer, time.monotonic() - started_s


@pytest.mark.parametrize('route', ['caption', 'order'])
@pytest.mark.parametrize(
    'change',
    [
        remove_routes,
        move_routes,
        remove_services,
        revoke_key,
        drain_upstreams,
        delete_upstreams,
        change_often,
    ],
)
def test_changes_leave_no_request_without_an_answer(
    tmp_path: Path, route: str, change: Callable[[Fleet], None]
) -> None:
    """Guard against requests that are dropped with what they waited for."""

    async def run() -> list[tuple[Answer, float]]:
        async with start_slow_fleet(tmp_path) as fleet:
            calls = [
                asyncio.create_task(call_within_limit(fleet, route))
                for _ in range(CALLER_COUNT)
            ]
            await asyncio.sleep(0.1)
            change(fleet)
            return await asyncio.gather(*calls)

    answers = asyncio.run(run())
    for answer, duration_s in answers:
        assert answer.is_complete
        assert answer.status in {200, 503, 504}
        assert duration_s < TIME_LIMIT_S + ANSWER_DELAY_S
    assert any(answer.status == 200 for answer, _ in answers)
