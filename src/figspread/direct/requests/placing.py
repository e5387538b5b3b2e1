"""Assigns requests to upstreams, or queues them until one is free."""

import asyncio
import itertools
from collections.abc import Callable, Collection
from functools import partial
from typing import Final

import msgspec

from figspread.direct.components import EntryComponents
from figspread.direct.model import Service, Upstream
from figspread.direct.peers.placement_news import (
    PlacementAnnouncer,
    make_placement_id,
)
from figspread.direct.requests.candidates import build_candidates
from figspread.direct.requests.claims import (
    PlacementRequest,
    build_claim,
    count_servers,
)
from figspread.direct.requests.evacuation_checks import (
    WaitingCheck,
    make_leaving_refusal,
)
from figspread.direct.requests.home_regions import (
    check_ready,
    list_ready,
    make_wait_check,
)
from figspread.direct.requests.send_gate import SendGate
from figspread.direct.requests.upstream_options import UpstreamOptions
from figspread.direct.state.admission_queue import AdmissionRefused, Claim
from figspread.direct.state.placements import (
    make_placements,
)
from figspread.ids import PlacementId, UpstreamId
from figspread.policy.contention import SETTLE_S, is_contended
from figspread.policy.placement import (
    PLACEMENTS,
    choose_service_upstream,
)
from figspread.policy.retry_schedule import RetrySchedule
from figspread.policy.upstream_load import (
    PlacementChoice,
    PlacementRequirements,
)

# Requests assigned to an upstream of a plain service at most, as a multiple of
# its slots: it queues a few requests besides those that it runs.
PLAIN_SLOTS_FACTOR: Final = 2.0
# Time beyond the estimate after which a request is sent although prefills that
# should be done before are not, as far as this entry knows.
TURN_MARGIN_S: Final = 0.3


class Assignment(msgspec.Struct, frozen=True):
    """The upstream and helpers that a request is assigned to.

    Whoever gets one passes it to `Placer.release` when the attempt has ended.
    `held_tokens` is how many tokens of KV cache each helper stores, in
    the order of `helpers`. `first_token_s` is the estimated time to the first
    token in seconds. `placements` has the id of the upstream's placement
    first, then those of the helpers. `requests_at_upstream` counts the
    requests that were there before this one. `prefills_before` are those that
    the helpers should finish first, which is expected after `turn_s` seconds.
    """

    upstream: Upstream
    helpers: tuple[Upstream, ...]
    held_tokens: tuple[int, ...]
    first_token_s: float
    placements: tuple[PlacementId, ...]
    requests_at_upstream: int
    prefills_before: tuple[PlacementId, ...] = ()
    turn_s: float = 0

    @property
    def engines(self) -> tuple[Upstream, ...]:
        """The upstream and the helpers."""
        return (self.upstream, *self.helpers)


class Placer:
    """Selects upstreams for requests and registers the placements."""

    def __init__(
        self,
        components: EntryComponents,
        announcer: PlacementAnnouncer,
        gate: SendGate,
    ) -> None:
        """Place requests and announce them through `announcer`.

        `gate` says which upstreams take requests now.
        """
        self._components = components
        self._gate = gate
        self._options = UpstreamOptions(components, gate)
        self._clock = components.clock
        self._placements = components.placements
        self._announcer = announcer
        self._placement_numbers = itertools.count()
        self._retry_times = RetrySchedule(components.clock)

    async def place(
        self,
        req: PlacementRequest,
        excluded: Collection[UpstreamId] = (),
        *,
        check: Callable[[], None],
    ) -> Assignment:
        """Return an assignment, after a wait in the queue if necessary.

        Upstreams in `excluded` are used only if no others are usable. `check`
        may raise `AdmissionRefused` during the wait. Raises it also at once if
        the expected wait exceeds the deadline or no upstream accepts requests,
        and `TimeoutError` if the deadline passes while the request waits.
        """
        queue = self._components.queue
        claim = self._build_claim(req)
        while True:
            assignment: Assignment | None = None
            if not len(queue):
                assignment = self._try_place(req, excluded)
            has_waited = assignment is None
            if assignment is None:
                self._check_wait(req)
                assignment = await queue.wait(
                    claim,
                    partial(self._try_place, req, excluded),
                    self.release,
                    WaitingCheck(
                        self._components.evacuations,
                        make_wait_check(self._components, req, check),
                        partial(self._check_wait, req),
                    ),
                )
            if await self._settle(req, assignment, has_waited=has_waited):
                return assignment
            self.release(assignment)

    async def _settle(
        self,
        req: PlacementRequest,
        assignment: Assignment,
        *,
        has_waited: bool,
    ) -> bool:
        """Return whether the request keeps its slot at the engine."""
        slots = assignment.upstream.slots
        # Waiting requests of all entries are placed at the same moment, when
        # an engine becomes free.
        is_shared = has_waited or is_contended(
            slots, assignment.requests_at_upstream
        )
        if req.service.engine is None or not is_shared:
            return True
        self._announcer.hurry()
        try:
            await asyncio.sleep(SETTLE_S)
        except asyncio.CancelledError:
            self.release(assignment)
            raise
        occupancy = self._placements.occupancy(assignment.upstream.upstream)
        return occupancy.keeps_slot(
            assignment.placements[0], slots, self._clock.now()
        )

    def record_first_output(self, assignment: Assignment) -> None:
        """Record the first event or complete response.

        The prefill is done at the upstream and at the helpers. What these hold
        for the request stays reserved until it ends.
        """
        for name in assignment.placements:
            self._placements.record_prefill_end(name)
            self._announcer.announce_prefill_end(name)

    def release(self, assignment: Assignment) -> None:
        """End the placements of an assignment; a second call does nothing."""
        for name in assignment.placements:
            if self._placements.is_registered(name):
                self._placements.end(name)
                self._announcer.announce_end(name)

    def _try_place(
        self,
        req: PlacementRequest,
        excluded: Collection[UpstreamId],
    ) -> Assignment | None:
        requirements = PlacementRequirements(
            req.prompt_tokens,
            req.output_tokens,
            req.route.target_latency_s,
            req.route.target_gap_s,
            self._components.home_data_centre,
            req.first_token_due_s - self._clock.now(),
        )
        late: PlacementChoice | None = None
        for option in self._options.list_for(req, excluded):
            choice = self._choose(req.service, requirements, option.upstreams)
            if choice is None:
                continue
            is_late = choice.first_token_s > req.route.target_latency_s
            if is_late and option.must_be_on_time:
                late = choice
                continue
            if is_late and late is not None:
                choice = late
            return self._register_choice(requirements, choice)
        return (
            None if late is None else self._register_choice(requirements, late)
        )

    def _choose(
        self,
        service: Service,
        requirements: PlacementRequirements,
        upstreams: list[Upstream],
    ) -> PlacementChoice | None:
        candidates = build_candidates(
            self._components, service, requirements, upstreams
        )
        if service.engine is None:
            return choose_service_upstream(
                candidates, requirements.home, PLAIN_SLOTS_FACTOR
            )
        choose = PLACEMENTS[self._components.placement]
        return choose(
            candidates, service.engine, requirements, self._components.rng
        )

    def _register_choice(
        self, requirements: PlacementRequirements, choice: PlacementChoice
    ) -> Assignment:
        upstreams = self._components.registry.upstreams_by_id
        requests_before = self._placements.occupancy(choice.upstream).requests
        prefills_before = tuple(
            name
            for helper in choice.helpers
            for name in self._placements.occupancy(helper).prefilling
        )
        turn_s = max(
            map(self._placements.estimate_prefill_left_s, choice.helpers),
            default=0,
        )
        placements = make_placements(
            choice, requirements, self._make_placement_id
        )
        for placement in placements:
            self._placements.start(placement)
            self._announcer.announce_start(placement)
        self._gate.begin_asking(upstreams[choice.upstream])
        return Assignment(
            upstreams[choice.upstream],
            tuple(upstreams[name] for name in choice.helpers),
            choice.helper_kv_tokens,
            choice.first_token_s,
            tuple(registered.placement for registered in placements),
            requests_before,
            prefills_before,
            turn_s,
        )

    def _make_placement_id(self) -> PlacementId:
        return make_placement_id(
            self._components.entry, next(self._placement_numbers)
        )

    def _build_claim(self, req: PlacementRequest) -> Claim:
        usable = self._components.registry.prefer_healthy(
            list_ready(self._components, req)
        )
        return build_claim(req, len(usable))

    def _check_wait(self, req: PlacementRequest) -> None:
        claim = self._build_claim(req)
        registry = self._components.registry
        check_ready(self._components, req)
        ready = list_ready(self._components, req)
        pause_s = self._gate.estimate_pause_s(ready)
        if pause_s == float('inf'):
            raise make_leaving_refusal()
        now = self._clock.now()
        # A request that would be late is told when an upstream takes requests
        # again, instead of waiting for that here.
        if now + pause_s > claim.target_start_s and pause_s:
            raise self._refuse('all upstreams are paused', claim, pause_s)
        usable = registry.prefer_healthy(ready)
        queue = self._components.queue
        rate = self._gate.estimate_rate(ready)
        wait_s = max(
            queue.estimate_backlog_s(claim) / count_servers(req, usable),
            queue.count_before(claim) / rate,
        )
        excess_s = now + wait_s - claim.start_deadline_s
        if excess_s > 0:
            raise self._refuse(
                'the wait is too long',
                claim,
                excess_s,
                max(claim.work_s / len(usable), 1 / rate),
            )

    def _refuse(
        self,
        detail: str,
        claim: Claim,
        excess_s: float,
        service_s: float | None = None,
    ) -> AdmissionRefused:
        retry_after_s = self._retry_times.next_retry_after_s(
            excess_s=excess_s,
            service_s=claim.work_s if service_s is None else service_s,
        )
        return AdmissionRefused(detail, retry_after_s)
