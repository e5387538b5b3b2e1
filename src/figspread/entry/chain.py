"""The steps that a checked request goes through, put together in order.

AdmissionStep (limits, measures) -> IdempotentRunner -> Spans (prompts larger
than one engine) -> Dispatcher (all others).
"""

import msgspec

from figspread.config.holder import FleetHolder
from figspread.entry.admission import AdmissionContext, AdmissionStep
from figspread.entry.call import Run
from figspread.entry.directory import Directory
from figspread.entry.dispatch import Dispatcher, DispatchNeeds
from figspread.entry.idempotency import IdempotencyContext, IdempotentRunner
from figspread.entry.links import Links
from figspread.entry.parts import AppParts
from figspread.entry.span import SpanNeeds, Spans
from figspread.ids import PeerId


class Reach(msgspec.Struct, frozen=True):
    """What the steps know of the fleet."""

    holder: FleetHolder
    links: Links
    directory: Directory


def make_run(parts: AppParts, reach: Reach) -> Run:
    """Return the first step, which leads to all others."""
    dispatch = _make_dispatcher(parts, reach).run
    spans = Spans(
        SpanNeeds(
            home=parts.cfg.data_centre,
            clock=parts.clock,
            rng=parts.rng,
            holder=reach.holder,
            links=reach.links,
            trail=parts.trail,
            run=dispatch,
        ),
    )
    idempotent = IdempotentRunner(
        IdempotencyContext(
            store=parts.store,
            wall_clock=parts.wall_clock,
            claimant=PeerId(parts.cfg.vm),
            run=spans.run,
            trail=parts.trail,
        ),
    )
    return AdmissionStep(
        AdmissionContext(
            clock=parts.clock,
            admission=parts.admission,
            trail=parts.trail,
            metrics=parts.metrics,
            tracer=parts.tracer,
            log=parts.log,
            find_wait_s=reach.directory.least_wait_s,
            run=idempotent.run,
        ),
    ).run


def _make_dispatcher(parts: AppParts, reach: Reach) -> Dispatcher:
    return Dispatcher(
        DispatchNeeds(
            home=parts.cfg.data_centre,
            clock=parts.clock,
            rng=parts.rng,
            links=reach.links,
            directory=reach.directory,
            router=parts.router,
            budget=parts.budget,
            suspects=parts.suspects,
            trail=parts.trail,
            metrics=parts.metrics,
            tracer=parts.tracer,
        ),
    )
