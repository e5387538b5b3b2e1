"""`figspread-agent`: runs the agent process of one upstream."""

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Final

import click
from result import Err, Ok

from figspread.agent.app import AgentApp
from figspread.agent.parts import (
    AgentDependencies,
    AgentOptions,
    AgentQueue,
    EngineUpstream,
    PlainServiceUpstream,
)
from figspread.agent.telemetry import AgentTelemetry
from figspread.cli.settings import print_example_option
from figspread.cli.start import (
    print_ports,
    require_settings,
    settings_option,
    version_option,
)
from figspread.cli.tls import make_tls_context
from figspread.clock import Clock, MonotonicClock
from figspread.config.holder import FleetHolder
from figspread.config.secret import resolve_secret
from figspread.config.settings import AgentKind, AgentSettings
from figspread.ids import PeerId
from figspread.inner.connection import Timeouts
from figspread.inner.tls import make_accepting_context
from figspread.policy.arrival import QueueName, make_queue
from figspread.policy.queue import QueueLimits, TokenQueue
from figspread.policy.suspects import SuspectRegistry
from figspread.telemetry.logs import open_log
from figspread.telemetry.metrics import Metrics
from figspread.telemetry.traces import make_tracer
from figspread.telemetry.trail import Trail
from figspread.upstream.engine import HttpEngine
from figspread.upstream.service import HttpService
from figspread.upstream.transport import TimeLimits
from figspread.upstream.types import EngineReport

ENGINE_POLL_INTERVAL_S: Final = 0.5
SERVICE_CONCURRENT_CALLS: Final = 8
# Plain services have no KV cache; only the number of concurrent calls limits.
SERVICE_TOKEN_LIMIT: Final = 1_000_000_000
_MS_PER_S: Final = 1000


@click.command()
@version_option('figspread-agent')
@settings_option
@click.option(
    '--queue',
    type=click.Choice([name.value for name in QueueName]),
    default=QueueName.TOKENS.value,
    show_default=True,
    help="Queueing policy for an engine's requests; all but the default are "
    'baselines for comparison.',
)
@print_example_option(AgentSettings)
def main(path: Path, queue: str) -> None:
    """Run the agent of one engine or plain service."""
    _run_or_exit(require_settings(path, AgentSettings), QueueName(queue))


def _run_or_exit(cfg: AgentSettings, queue: QueueName) -> None:
    try:
        asyncio.run(_serve(cfg, queue))
    except OSError as exc:
        # The address is in use, or a certificate file can't be read.
        click.echo('cannot start: {0}'.format(exc), err=True)
        sys.exit(1)


class _StopEvent:
    """Event that SIGTERM, SIGINT or a call from another thread sets.

    Create it inside the running event loop.
    """

    def __init__(self) -> None:
        self.event = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.event.set)
        # Settings are read at the start only.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def request_exit(self) -> None:
        self._loop.call_soon_threadsafe(self.event.set)


async def _serve(cfg: AgentSettings, queue: QueueName) -> None:
    stop = _StopEvent()
    dependencies = await _build_dependencies(cfg, stop, queue)
    if dependencies is None:
        return
    app = AgentApp(dependencies, _make_options(cfg))
    await app.start()
    print_ports(app.port, app.operator_port)
    await stop.event.wait()
    await app.drain()
    await app.stop()


async def _build_dependencies(
    cfg: AgentSettings,
    stop: _StopEvent,
    queue_name: QueueName,
) -> AgentDependencies | None:
    clock = MonotonicClock()
    secret = resolve_secret(cfg.inner_secret, os.environ).unwrap()
    upstream: EngineUpstream | PlainServiceUpstream
    if cfg.kind is AgentKind.SERVICE:
        limits = TimeLimits(
            head_s=cfg.progress_timeout_s,
            progress_s=cfg.progress_timeout_s,
        )
        upstream = PlainServiceUpstream(HttpService(cfg.upstream_url, limits))
        queue: AgentQueue = _make_service_queue(clock)
    else:
        report = await _wait_for_engine(cfg, stop)
        if report is None:
            return None
        upstream = EngineUpstream(_make_engine(cfg, report))
        queue = _make_engine_queue(queue_name, report, clock)
    return AgentDependencies(
        upstream,
        queue,
        SuspectRegistry(clock),
        FleetHolder(),
        clock,
        secret.get_secret_value(),
        _build_telemetry(cfg),
        stop.request_exit,
        make_tls_context(cfg.tls, make_accepting_context),
    )


def _build_telemetry(cfg: AgentSettings) -> AgentTelemetry:
    endpoint = cfg.otlp.endpoint if cfg.otlp else ''
    return AgentTelemetry(
        Trail(cfg.vm),
        make_tracer(cfg.vm, endpoint=endpoint),
        Metrics(cfg.vm, endpoint=endpoint),
        open_log(cfg.log_level.value, cfg.vm, sys.stderr),
    )


async def _wait_for_engine(
    cfg: AgentSettings,
    stop: _StopEvent,
) -> EngineReport | None:
    """Poll the engine until it sends a report.

    Returns `None` if the process is told to stop before that.
    """
    engine = HttpEngine(cfg.upstream_url)
    while not stop.event.is_set():
        match await asyncio.to_thread(engine.report):
            case Ok(report):
                return report
            case Err(_):
                await asyncio.sleep(ENGINE_POLL_INTERVAL_S)
    return None


def _make_engine(cfg: AgentSettings, report: EngineReport) -> HttpEngine:
    # An engine sends nothing during prefill. The timeout therefore includes
    # the prefill time of the largest prompt that fits into its KV cache.
    prefill_s = report.kv_limit_tokens / max(1, report.prefill_tokens_per_s)
    timeout_s = cfg.progress_timeout_s + prefill_s
    limits = TimeLimits(head_s=timeout_s, progress_s=timeout_s)
    return HttpEngine(cfg.upstream_url, limits)


def _make_engine_queue(
    name: QueueName,
    report: EngineReport,
    clock: Clock,
) -> AgentQueue:
    limits = QueueLimits(report.kv_limit_tokens, report.prefill_tokens_per_s)
    return make_queue(name, limits, clock)


def _make_service_queue(clock: Clock) -> TokenQueue:
    limits = QueueLimits(
        SERVICE_TOKEN_LIMIT, running_requests=SERVICE_CONCURRENT_CALLS
    )
    return TokenQueue(limits, clock)


def _make_options(cfg: AgentSettings) -> AgentOptions:
    return AgentOptions(
        PeerId(cfg.vm),
        cfg.upstream,
        cfg.data_centre,
        cfg.inner.host,
        cfg.inner.port,
        Timeouts(heartbeat_s=cfg.heartbeat_s, silence_s=cfg.silence_s),
        cfg.join_ms / _MS_PER_S,
        cfg.reconcile_s,
        cfg.drain_limit_s,
        operator_port=cfg.operator_port,
    )


if __name__ == '__main__':
    main()
