"""Tests of direct entries whose upstreams end connections within heads.

An entry that takes the end of a connection for the end of a head answers its
callers 200 with an empty body, or ends their streams as complete (MIXED, ORDER).
"""

from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
from bench.giftwrap.caller import Answer
from bench.giftwrap.deployment import (
    DESK,
    POOL,
    make_configuration,
    make_route,
)
from bench.giftwrap.upstream import TOKENS_PER_EVENT, stream_bytes

from tests.giftwrap_fleet import Fleet, run_scenario, wait_until
from tests.head_cutter import EVENTS, Cuts, HeadCutter, make_head

TOKENS = EVENTS * TOKENS_PER_EVENT
USAGE = '5000,{0}'.format(TOKENS)
# Longer than the window of the budget of retries.
WINDOW_S = 30
ROUTES = [
    make_route('caption', 'streaming', POOL, streamResumption=True, attempts=4),
    make_route('status', 'safe', DESK),
    make_route('order', 'unsafe', DESK, attempts=1),
]


class Outcomes:
    """Sends a request for each byte of a head after which it is cut.

    `answers` and `runs`, the upstreams that ran it, are by request id.
    """

    def __init__(self, route: str, cuts: Cuts) -> None:
        """Call `route`, at upstreams that cut answers as `cuts` says."""
        self.answers: dict[str, Answer] = {}
        self.cuts = cuts
        self._route = route
        self._usage = USAGE if route == 'caption' else ''

    async def collect(self, fleet: Fleet) -> None:
        """Replace the upstreams and call an entry that knows no others."""
        fleet.store.put('config', 'main', make_configuration(8, routes=ROUTES))
        for name in fleet.upstreams:
            fleet.store.delete('servers', name)
        service = POOL if self._usage else DESK
        async with AsyncExitStack() as stack:
            for name in ('c-1', 'c-2', 'c-3'):
                cutter = HeadCutter(name, service, self.cuts)
                await stack.enter_async_context(cutter)
                fleet.store.put('servers', name, cutter.record)
            caller = await fleet.add_entry()
            await wait_until(lambda: fleet.entries[-1].is_ready)
            for cut in range(self._count_bytes()):
                self.cuts.cut = cut
                name = 'request-{0:03}'.format(cut)
                self.answers[name] = await caller.call(
                    self._route, usage=self._usage, request_id=name
                )
                fleet.clock.advance(WINDOW_S)

    def _count_bytes(self) -> int:
        return len(make_head(b'request-000', is_stream=bool(self._usage)))


@pytest.fixture(params=[False, True], ids=['close', 'reset'])
def collect(
    request: pytest.FixtureRequest, tmp_path: Path
) -> Callable[[str, bool], Outcomes]:
    """Return a function that cuts the answers of a route."""

    def run(route: str, has_begun: bool) -> Outcomes:
        cuts = Cuts(is_reset=request.param, has_begun=has_begun)
        outcomes = Outcomes(route, cuts)
        run_scenario(tmp_path, outcomes.collect)
        assert outcomes.answers
        return outcomes

    return run


def test_unsafe_call_whose_answer_is_cut_within_its_head_fails(
    collect: Callable[[str, bool], Outcomes],
) -> None:
    """Answer 502, and don't send it again."""
    outcomes = collect('order', False)
    for name, answer in outcomes.answers.items():
        assert (answer.status, answer.is_complete) == (502, True)
        assert len(outcomes.cuts.runs[name]) == 1


RETRIED = {
    'a safe call': ('status', False, 2),
    'a stream before its first event': ('caption', False, 2),
    'a resumed stream': ('caption', True, 3),
}


@pytest.mark.parametrize('case', RETRIED)
def test_request_whose_answer_is_cut_within_its_head_is_retried(
    case: str, collect: Callable[[str, bool], Outcomes]
) -> None:
    """Send what may be repeated to another upstream; end no stream before."""
    route, has_begun, runs = RETRIED[case]
    outcomes = collect(route, has_begun)
    whole = stream_bytes(TOKENS) if route == 'caption' else b'whole'
    for name, answer in outcomes.answers.items():
        assert (answer.status, answer.is_complete) == (200, True)
        assert answer.body == whole
        # Each of them ran it once.
        assert len(outcomes.cuts.runs[name]) == runs
        assert len(set(outcomes.cuts.runs[name])) == runs
