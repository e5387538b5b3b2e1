"""`figspread-entry`: runs an entry process until it is told to stop."""

import os
import random
import sys
import time
from pathlib import Path
from typing import Final

import click

from figspread.cli.settings import print_example_option
from figspread.cli.start import (
    print_ports,
    require_settings,
    settings_option,
    version_option,
)
from figspread.cli.stop_signal import StopSignal
from figspread.cli.tls import make_tls_context
from figspread.clock import MonotonicClock
from figspread.config.secret import resolve_secret
from figspread.config.settings import EntrySettings
from figspread.entry.app import EntryApp
from figspread.entry.dependencies import EntryDependencies
from figspread.http.client import ClientPool
from figspread.inner.tls import make_opening_context
from figspread.platform.objects import HttpObjectStore
from figspread.platform.vms import HttpVmList
from figspread.policy.limits import EntryAdmission, EntryLimits
from figspread.policy.retry import RetryBudget
from figspread.policy.routing import RouterName, make_router
from figspread.policy.suspects import SuspectRegistry
from figspread.telemetry.logs import open_log
from figspread.telemetry.metrics import Metrics
from figspread.telemetry.traces import make_tracer
from figspread.telemetry.trail import Trail

STORE_CONNECTIONS: Final = 32


@click.command()
@version_option('figspread-entry')
@settings_option
@click.option(
    '--router',
    type=click.Choice([name.value for name in RouterName]),
    default=RouterName.TOKEN_WORK.value,
    show_default=True,
    help='Routing policy that selects upstreams; all but the default are '
    'baselines for comparison.',
)
@click.option(
    '--check-wait/--no-check-wait',
    default=True,
    show_default=True,
    help='Refuse requests that cannot finish before their deadline; off as a '
    'baseline for comparison.',
)
@print_example_option(EntrySettings)
def main(path: Path, router: str, *, check_wait: bool) -> None:
    """Serve callers: admit, limit, route and stream their requests."""
    _run_or_exit(
        require_settings(path, EntrySettings),
        RouterName(router),
        checks_wait=check_wait,
    )


def _run_or_exit(
    cfg: EntrySettings,
    router: RouterName,
    *,
    checks_wait: bool,
) -> None:
    try:
        _serve(cfg, router, checks_wait=checks_wait)
    except OSError as exc:
        # The address is in use, or a certificate file can't be read.
        click.echo('cannot start: {0}'.format(exc), err=True)
        sys.exit(1)


def _serve(
    cfg: EntrySettings,
    router: RouterName,
    *,
    checks_wait: bool,
) -> None:
    stop = StopSignal()
    dependencies = _build_dependencies(
        cfg, router, stop, checks_wait=checks_wait
    )
    log = dependencies.log
    app = EntryApp(dependencies)
    app.start()
    print_ports(app.port, app.operator_port)
    log.info('process started', port=app.port, operator_port=app.operator_port)
    stop.wait()
    log.info('drain started')
    # `is_whole`: whether all requests ended within `drain_limit_s`.
    log.info('drain finished', is_whole=app.drain())
    app.stop()


def _build_dependencies(
    cfg: EntrySettings,
    router: RouterName,
    stop: StopSignal,
    *,
    checks_wait: bool,
) -> EntryDependencies:
    clock = MonotonicClock()
    rng = random.Random()  # noqa: S311 - load balancing only
    secret = resolve_secret(cfg.inner_secret, os.environ).unwrap()
    store = HttpObjectStore(
        cfg.object_api.url,
        timeout_s=cfg.object_api.timeout_s,
        pool=ClientPool(maxsize=STORE_CONNECTIONS),
    )
    endpoint = cfg.otlp.endpoint if cfg.otlp else ''
    return EntryDependencies(
        cfg=cfg,
        secret=secret.get_secret_value(),
        clock=clock,
        rng=rng,
        wall_clock=time.time,
        store=store,
        vms=HttpVmList(
            cfg.vm_list.url,
            timeout_s=cfg.vm_list.timeout_s,
            pool=ClientPool(),
        ),
        router=make_router(router, rng),
        admission=EntryAdmission(
            clock,
            EntryLimits(cfg.http.admitted_requests, checks_wait),
        ),
        budget=RetryBudget(),
        suspects=SuspectRegistry(clock),
        trail=Trail(cfg.vm),
        metrics=Metrics(cfg.vm, endpoint=endpoint),
        tracer=make_tracer(cfg.vm, endpoint=endpoint),
        log=open_log(cfg.log_level.value, cfg.vm, sys.stderr),
        request_stop=stop.request_exit,
        ssl=make_tls_context(cfg.tls, make_opening_context),
    )
