"""Command line of the stand-ins for outside systems."""

import os
import signal
import sys
import threading
from collections.abc import Callable
from typing import Final, Protocol

import click
import msgspec
from urllib3.util import parse_url

from figspread.cli.start import version_option
from figspread.http.server import ListenOptions
from figspread.platform.weights import RateLimit
from figspread.standins.engine import EngineStandIn, engine_listen_options
from figspread.standins.engine_settings import EngineSettings
from figspread.standins.objects import ObjectStandIn
from figspread.standins.service import ServiceStandIn
from figspread.standins.vms import VmStandIn
from figspread.standins.weights import WeightStandIn

DEFAULT_LIFETIME_S: Final = 120
LIFETIME_LIMIT_S: Final = 3600
EXIT_CRASHED: Final = 70
# Each open watch occupies a server thread.
PLATFORM_THREADS: Final = 64
# Fields of `EngineSettings` by the name of the option that sets them.
_ENGINE_SETTING_NAMES: Final = {
    'models': 'models',
    'kv_tokens': 'kv_limit_tokens',
    'prefill_rate': 'prefill_tokens_per_s',
    'time_scale': 'time_scale',
}


class StandIn(Protocol):
    """Interface that all stand-ins share."""

    @property
    def url(self) -> str:
        """Return the URL that it serves."""

    def start(self) -> None:
        """Listen and serve."""

    def stop(self) -> None:
        """Stop listening."""


Command = Callable[..., None]


@click.group()
@version_option('figspread-standin')
def main() -> None:
    """Stand-ins for outside systems; each stops after its lifetime."""


def _add_common_options(command: Command) -> Command:
    lifetime = click.option(
        '--lifetime-s',
        type=click.FloatRange(0, LIFETIME_LIMIT_S, min_open=True),
        default=DEFAULT_LIFETIME_S,
        show_default=True,
        help='Stop after this many seconds.',
    )
    host = click.option('--host', default='127.0.0.1', show_default=True)
    port = click.option(
        '--port',
        type=click.IntRange(0, 65_535),
        default=0,
        help='0 selects any free port.',
    )
    return host(port(lifetime(command)))


def _add_engine_options(command: Command) -> Command:
    options = (
        click.option(
            '--model',
            'models',
            multiple=True,
            help='Model that is loaded at start; may be given several times.',
        ),
        click.option('--kv-tokens', type=click.IntRange(1)),
        click.option('--prefill-rate', type=click.FloatRange(1)),
        click.option('--time-scale', type=click.FloatRange(0.01, 1000)),
    )
    for option in options:
        command = option(command)
    return command


@main.command()
@_add_common_options
@_add_engine_options
@click.option(
    '--ignore-fencing',
    is_flag=True,
    help='Also accept orders with an outdated fencing number.',
)
@click.option('--weight-store', default='', help='URL to load models from.')
def engine(
    host: str,
    port: int,
    lifetime_s: float,
    *,
    weight_store: str,
    ignore_fencing: bool,
    **overrides: object,
) -> None:
    """Run a model engine."""
    changes = {
        _ENGINE_SETTING_NAMES[name]: setting
        for name, setting in overrides.items()
        if setting
    }
    settings = msgspec.structs.replace(
        EngineSettings(
            weight_store=weight_store,
            checks_fencing=not ignore_fencing,
        ),
        **changes,
    )
    listen = engine_listen_options(host, port)
    _serve(
        EngineStandIn(listen, settings, on_death=_exit_as_crashed), lifetime_s
    )


@main.command()
@_add_common_options
def service(host: str, port: int, lifetime_s: float) -> None:
    """Run a plain service."""
    _serve(ServiceStandIn(ListenOptions(host, port)), lifetime_s)


@main.command()
@_add_common_options
def objects(host: str, port: int, lifetime_s: float) -> None:
    """Run the Object API."""
    listen = ListenOptions(host, port, threads=PLATFORM_THREADS)
    _serve(ObjectStandIn(listen), lifetime_s)


@main.command()
@_add_common_options
@click.option('--lag-s', type=click.FloatRange(0), default=0)
def vms(host: str, port: int, lifetime_s: float, *, lag_s: float) -> None:
    """Run the VM list."""
    _serve(VmStandIn(ListenOptions(host, port), lag_s=lag_s), lifetime_s)


@main.command()
@_add_common_options
@click.option('--rate', type=click.FloatRange(0, min_open=True), default=2)
@click.option('--burst', type=click.IntRange(1), default=4)
def weights(
    host: str,
    port: int,
    lifetime_s: float,
    *,
    rate: float,
    burst: int,
) -> None:
    """Run the weight store, which accepts RATE calls a second."""
    limit = RateLimit(calls_per_s=rate, burst=burst)
    _serve(WeightStandIn(ListenOptions(host, port), limit=limit), lifetime_s)


def _serve(stand_in: StandIn, lifetime_s: float) -> None:
    is_stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: is_stopped.set())
    signal.signal(signal.SIGINT, lambda *_: is_stopped.set())
    try:
        stand_in.start()
    except OSError as exc:
        raise click.ClickException(str(exc)) from exc
    port = parse_url(stand_in.url).port
    click.echo(msgspec.json.encode({'port': port, 'url': stand_in.url}))
    sys.stdout.flush()
    is_stopped.wait(lifetime_s)
    stand_in.stop()


def _exit_as_crashed() -> None:
    os._exit(EXIT_CRASHED)
