"""The chain of handlers that a checked request passes through.

AdmissionStep (limits, metrics, traces) -> IdempotentRunner (idempotency keys)
-> SpanRunner (prompts larger than one engine)
-> Dispatcher (all other requests).
"""

import msgspec

from figspread.config.holder import FleetHolder
from figspread.entry.admission import AdmissionContext, AdmissionStep
from figspread.entry.caller_request import RequestRunner
from figspread.entry.dependencies import EntryDependencies
from figspread.entry.directory import Directory
from figspread.entry.dispatch import DispatchContext, Dispatcher
from figspread.entry.idempotency import IdempotencyContext, IdempotentRunner
from figspread.entry.links import Links
from figspread.entry.span import SpanContext, SpanRunner
from figspread.ids import PeerId


class FleetAccess(msgspec.Struct, frozen=True):
    """The handlers' access to the fleet, passed in by `EntryApp`.

    `holder` has the current configuration, `links` the connections to agents,
    and `directory` lists the upstreams that can take a request.
    """

    holder: FleetHolder
    links: Links
    directory: Directory


def build_request_chain(
    parts: EntryDependencies, fleet_access: FleetAccess
) -> RequestRunner:
    """Return the first handler; each handler calls the next one."""
    run_dispatch = _make_dispatcher(parts, fleet_access).run
    span_runner = SpanRunner(
        SpanContext(
            home=parts.cfg.data_centre,
            clock=parts.clock,
            rng=parts.rng,
            holder=fleet_access.holder,
            links=fleet_access.links,
            trail=parts.trail,
            run=run_dispatch,
        ),
    )
    idempotent_runner = IdempotentRunner(
        IdempotencyContext(
            store=parts.store,
            wall_clock=parts.wall_clock,
            claimant=PeerId(parts.cfg.vm),
            run=span_runner.run,
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
            find_wait_s=fleet_access.directory.estimate_wait_s,
            run=idempotent_runner.run,
        ),
    ).run


def _make_dispatcher(
    parts: EntryDependencies, fleet_access: FleetAccess
) -> Dispatcher:
    return Dispatcher(
        DispatchContext(
            home=parts.cfg.data_centre,
            clock=parts.clock,
            rng=parts.rng,
            links=fleet_access.links,
            directory=fleet_access.directory,
            router=parts.router,
            budget=parts.budget,
            suspects=parts.suspects,
            trail=parts.trail,
            metrics=parts.metrics,
            tracer=parts.tracer,
        ),
    )
