"""Routers, wait estimates and prefix affinity."""

import random

import msgspec
import pytest

from figspread.ids import (
    DataCentreId,
    ModelName,
    RequestId,
    UpstreamId,
    WorkspaceId,
)
from figspread.inner.messages import Load
from figspread.policy.cost import (
    REMOTE_PENALTY_S,
    estimate_shortest_wait_s,
    estimate_wait_s,
)
from figspread.policy.fair_wait import estimate_fair_wait_s
from figspread.policy.prefixes import MAX_PREFIXES, RecentPrefixes
from figspread.policy.rendezvous import choose_bounded, order_upstreams
from figspread.policy.routing import RouterName, make_router
from figspread.policy.types import Candidate, RequestProfile

HOME = DataCentreId('home')
RATE = 10_000


def make_work(*, prompt: int = 1000, prefix: str = '') -> RequestProfile:
    """Return a request with a prompt of `prompt` tokens."""
    return RequestProfile(
        RequestId('req-1'),
        WorkspaceId('studio'),
        ModelName('m'),
        prompt,
        100,
        prefix,
    )


def make_candidate(
    name: str,
    *,
    ahead_s: float = 0,
    centre: DataCentreId = HOME,
    kv_tokens: int = 100_000,
    own_prefill_tokens: int = 0,
    free_tokens: int = 50_000,
) -> Candidate:
    """Return an upstream with `ahead_s` seconds of reported work."""
    return Candidate(
        UpstreamId(name),
        centre,
        Load(
            prefill_tokens=int(ahead_s * RATE),
            prefill_tokens_per_s=RATE,
            free_kv_tokens=free_tokens,
        ),
        kv_tokens,
        own_prefill_tokens=own_prefill_tokens,
    )


@pytest.mark.parametrize('name', RouterName)
def test_every_router_ranks_each_fitting_upstream_once(
    name: RouterName,
) -> None:
    """Only upstreams too small for the request are left out."""
    candidates = [make_candidate('e{0}'.format(num)) for num in range(9)]
    small = make_candidate('small', kv_tokens=1000)
    router = make_router(name, random.Random(1))
    ranked = router.rank(make_work(), [*candidates, small], home=HOME)
    assert sorted(ranked) == sorted(
        candidate.upstream for candidate in candidates
    )
    assert not router.rank(make_work(), [small], home=HOME)


@pytest.mark.parametrize(
    ('home_s', 'own_tokens', 'first'),
    [
        (0, 0, 'near'),
        (REMOTE_PENALTY_S * 0.9, 0, 'near'),
        (REMOTE_PENALTY_S * 1.1, 0, 'far'),
        (0, int(RATE * REMOTE_PENALTY_S * 2), 'far'),
    ],
)
def test_home_data_centre_ranks_first_within_penalty(
    home_s: float,
    own_tokens: int,
    first: str,
) -> None:
    """Reported work and work sent since the report both count."""
    candidates = [
        make_candidate('near', ahead_s=home_s, own_prefill_tokens=own_tokens),
        make_candidate('far', centre=DataCentreId('away')),
    ]
    router = make_router(RouterName.TOKEN_WORK, random.Random(1))
    assert router.rank(make_work(), candidates, home=HOME)[0] == first


def test_wait_of_short_prompt_excludes_longer_prompts() -> None:
    """With tokens by lane, only equal and shorter classes count as wait."""
    load = Load(
        prefill_tokens=1_111_000,
        prefill_tokens_per_s=RATE,
        lane_tokens=(1000, 10_000, 100_000, 1_000_000),
    )
    candidate = Candidate(UpstreamId('e'), HOME, load, 100_000)
    waits = [
        estimate_wait_s(candidate, make_work(prompt=prompt))
        for prompt in (2000, 20_000, 50_000, 200_000)
    ]
    assert waits == pytest.approx([0.1, 1.1, 11.1, 111.1])


def test_prefix_keeps_engine_when_another_leaves() -> None:
    """Only keys of the upstream that left move, to their second choice."""
    names = [UpstreamId('e{0}'.format(num)) for num in range(8)]
    for num in range(200):
        order = order_upstreams(str(num), names)
        remaining = [name for name in names if name != names[num % 8]]
        expected = [name for name in order if name in remaining]
        assert order_upstreams(str(num), remaining) == expected
        assert choose_bounded(str(num), dict.fromkeys(names, 1)) == order[0]


def test_hot_prefix_spills_over_to_next_engine() -> None:
    """Steady traffic of one prefix stays within the load bound."""
    names = [UpstreamId('e{0}'.format(num)) for num in range(8)]
    order = order_upstreams('hot', names)
    loads: dict[UpstreamId, float] = dict.fromkeys(names, 0)
    loads[order[0]] = 1
    assert choose_bounded('hot', loads) == order[1]
    loads = dict.fromkeys(names, 4)
    for _ in range(1000):
        chosen = choose_bounded('hot', loads)
        assert chosen is not None
        loads[chosen] += 0.1
    mean = sum(loads.values()) / len(loads)
    assert max(loads.values()) <= mean * 1.25 + 0.35


def test_requests_without_prefix_spread_over_engines() -> None:
    """Requests routed by one stale load report spread over all engines."""
    router = make_router(RouterName.TOKEN_WORK, random.Random(7))
    candidates = [make_candidate('e{0}'.format(num)) for num in range(10)]
    first_choice = [
        router.rank(make_work(), candidates, home=HOME)[0] for _ in range(400)
    ]
    assert len(set(first_choice)) == 10
    assert max(first_choice.count(name) for name in set(first_choice)) < 80


def test_engine_without_free_memory_ranks_last() -> None:
    """An engine with a second of work ranks before one without memory."""
    router = make_router(RouterName.TOKEN_WORK, random.Random(3))
    candidates = [
        make_candidate('full', free_tokens=500),
        make_candidate('busy', ahead_s=1),
    ]
    ranked = router.rank(make_work(), candidates, home=HOME)
    assert list(ranked) == ['busy', 'full']


def test_least_wait_includes_queue_and_own_prefill() -> None:
    """An engine that is too small is ignored.

    Entries refuse requests by this estimate.
    """
    candidates = [
        make_candidate('busy', ahead_s=3),
        make_candidate('free', ahead_s=1, own_prefill_tokens=RATE),
        make_candidate('small', kv_tokens=10),
    ]
    assert estimate_shortest_wait_s(candidates, make_work(prompt=RATE)) == 3
    assert estimate_shortest_wait_s(candidates[2:], make_work(prompt=RATE)) == 0


@pytest.mark.parametrize(
    ('workspace', 'expected_s'),
    [
        # 40,000 tokens are queued at either engine, which takes 4 s; its own
        # prompt takes 1 s.
        ('flood', 5),
        # 1 s for its prefill on one engine, plus 0.7 s for its own tokens and
        # the flood's weighted share at the rate of the whole fleet.
        ('light', 1.7),
        ('idle', 1.7),
    ],
)
def test_flooding_workspace_delays_only_itself(
    workspace: str,
    expected_s: float,
) -> None:
    """Other workspaces wait for their fair share, not for the backlog."""
    wait_s = estimate_fair_wait_s(
        [make_candidate('a', ahead_s=4), make_candidate('b', ahead_s=4)],
        msgspec.structs.replace(
            make_work(prompt=RATE),
            workspace=WorkspaceId(workspace),
        ),
        outstanding={WorkspaceId('flood'): 8 * RATE},
        weights={WorkspaceId('flood'): 0.4},
    )
    assert wait_s == pytest.approx(expected_s)


def test_fair_wait_ignores_engines_that_are_too_small() -> None:
    """Engines that can't hold the prompt do not lengthen its own prefill."""
    fitting = [make_candidate('a', ahead_s=4), make_candidate('b', ahead_s=4)]
    small = [make_candidate(name, kv_tokens=10) for name in ('c', 'd')]
    waits_s = [
        estimate_fair_wait_s(
            candidates,
            make_work(prompt=RATE),
            outstanding={WorkspaceId('flood'): 8 * RATE},
            weights={WorkspaceId('flood'): 0.4},
        )
        for candidates in (fitting, fitting + small)
    ]
    assert waits_s[1] == pytest.approx(waits_s[0])


def test_prefix_affinity_starts_with_second_prompt() -> None:
    """Affinity starts with a prefix's second prompt; others spread out."""
    router = make_router(RouterName.TOKEN_WORK, random.Random(7))
    names = ['e{0}'.format(num) for num in range(10)]
    candidates = [make_candidate(name) for name in names]
    distinct_first = {
        router.rank(make_work(prefix=str(num)), candidates, home=HOME)[0]
        for num in range(400)
    }
    assert distinct_first == set(names)
    repeated_first = [
        router.rank(make_work(prefix='1'), candidates, home=HOME)[0]
        for _ in range(20)
    ]
    assert set(repeated_first) == {
        order_upstreams('1', sorted(distinct_first))[0]
    }


def test_only_most_recent_prefixes_are_kept() -> None:
    """The oldest prefix is evicted, so that memory use is bounded."""
    prefixes = RecentPrefixes()
    assert not prefixes.add('first')
    assert prefixes.add('first')
    for num in range(MAX_PREFIXES):
        assert not prefixes.add(str(num))
    assert not prefixes.add('first')
