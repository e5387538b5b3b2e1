"""Routers, which rank the upstreams that could take a request."""

import itertools
import random
from collections.abc import Sequence
from enum import Enum
from typing import assert_never

from figspread.ids import DataCentreId, UpstreamId
from figspread.policy.cost import can_hold, estimate_cost_s
from figspread.policy.prefixes import RecentPrefixes
from figspread.policy.rendezvous import choose_bounded
from figspread.policy.types import Candidate, RequestProfile, Router


class RouterName(Enum):
    """The routers that can be selected."""

    ROUND_ROBIN = 'round_robin'
    RANDOM = 'random'
    FEWEST_REQUESTS = 'fewest_requests'
    TOKEN_WORK = 'token_work'


def make_router(name: RouterName, rng: random.Random) -> Router:
    """Create the router `name`; `rng` is its only source of randomness."""
    match name:
        case RouterName.ROUND_ROBIN:
            return RoundRobin()
        case RouterName.RANDOM:
            return RandomOrder(rng)
        case RouterName.FEWEST_REQUESTS:
            return FewestRequests(rng)
        case RouterName.TOKEN_WORK:
            return TokenWork(rng)
        case _:
            assert_never(name)


class RoundRobin:
    """Cycles through the upstreams."""

    def __init__(self) -> None:
        """Start with the first upstream."""
        self._calls = itertools.count()

    def rank(
        self,
        work: RequestProfile,
        candidates: Sequence[Candidate],
        *,
        home: DataCentreId,
    ) -> Sequence[UpstreamId]:
        """Return the upstreams that fit, rotated by one more at each call."""
        upstreams = [
            candidate.upstream
            for candidate in candidates
            if can_hold(candidate, work)
        ]
        if not upstreams:
            return ()
        first = next(self._calls) % len(upstreams)
        return upstreams[first:] + upstreams[:first]


class RandomOrder:
    """Ranks the upstreams in random order."""

    def __init__(self, rng: random.Random) -> None:
        """Use `rng` to shuffle."""
        self._rng = rng

    def rank(
        self,
        work: RequestProfile,
        candidates: Sequence[Candidate],
        *,
        home: DataCentreId,
    ) -> Sequence[UpstreamId]:
        """Return the upstreams that fit, shuffled."""
        return [
            candidate.upstream
            for candidate in _shuffle_fitting(self._rng, work, candidates)
        ]


class FewestRequests:
    """Ranks the upstreams by outstanding requests, fewest first."""

    def __init__(self, rng: random.Random) -> None:
        """Use `rng` to break ties."""
        self._rng = rng

    def rank(
        self,
        work: RequestProfile,
        candidates: Sequence[Candidate],
        *,
        home: DataCentreId,
    ) -> Sequence[UpstreamId]:
        """Return the upstreams by requests queued, running and just sent."""
        fitting = _shuffle_fitting(self._rng, work, candidates)
        return [
            candidate.upstream
            for candidate in sorted(fitting, key=_count_requests)
        ]


class TokenWork:
    """Ranks upstreams by outstanding work in tokens, with prefix affinity.

    A prefix that was seen before goes first to the engine chosen for it by
    rendezvous hashing with bounded load. Any other prompt goes first to the
    less loaded of two random engines, so that entries which see the same
    stale load report don't all choose one engine. The rest follow by cost,
    which includes `REMOTE_PENALTY_S` outside the data centre `home`.
    """

    def __init__(self, rng: random.Random) -> None:
        """Use `rng` for tie-breaking and the choice of two engines."""
        self._rng = rng
        self._recent_prefixes = RecentPrefixes()

    def rank(
        self,
        work: RequestProfile,
        candidates: Sequence[Candidate],
        *,
        home: DataCentreId,
    ) -> Sequence[UpstreamId]:
        """Return the upstreams that fit `work`, the best first."""
        fitting = _rotate_fitting(self._rng, work, candidates)
        if not fitting:
            return ()
        costs_s = {
            candidate.upstream: estimate_cost_s(candidate, work, home=home)
            for candidate in fitting
        }
        by_cost = sorted(costs_s, key=costs_s.__getitem__)
        home_costs_s = {
            candidate.upstream: costs_s[candidate.upstream]
            for candidate in fitting
            if candidate.data_centre == home
        }
        # Costs include the penalty for a remote data centre. If the cheapest
        # upstream is remote all the same, the home data centre is overloaded
        # and all upstreams are candidates.
        is_cheapest_home = by_cost[0] in home_costs_s
        first = self._choose_first(
            work, home_costs_s if is_cheapest_home else costs_s
        )
        return [first] + [other for other in by_cost if other != first]

    def _choose_first(
        self,
        work: RequestProfile,
        loads_s: dict[UpstreamId, float],
    ) -> UpstreamId:
        if work.prefix and self._recent_prefixes.add(work.prefix):
            preferred = choose_bounded(work.prefix, loads_s)
            if preferred is not None:
                return preferred
        upstreams = list(loads_s)
        pair = self._rng.sample(upstreams, min(2, len(upstreams)))
        return min(pair, key=loads_s.__getitem__)


def _shuffle_fitting(
    rng: random.Random,
    work: RequestProfile,
    candidates: Sequence[Candidate],
) -> list[Candidate]:
    fitting = [
        candidate for candidate in candidates if can_hold(candidate, work)
    ]
    rng.shuffle(fitting)
    return fitting


def _rotate_fitting(
    rng: random.Random,
    work: RequestProfile,
    candidates: Sequence[Candidate],
) -> list[Candidate]:
    # Spreads ties over the engines with a single random draw; a shuffle would
    # draw once per candidate.
    fitting = [
        candidate for candidate in candidates if can_hold(candidate, work)
    ]
    first = rng.randrange(len(fitting)) if fitting else 0
    return fitting[first:] + fitting[:first]


def _count_requests(candidate: Candidate) -> int:
    load = candidate.load
    return load.queued + load.running + candidate.own_requests
