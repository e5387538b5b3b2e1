"""Reading of settings and the report of ports at process start."""

import json
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, TypeVar

import click
from result import Err, Ok

from figspread import __version__
from figspread.config.settings import AnySettings, load_settings

EXIT_INVALID_SETTINGS: Final = 2
AnyCommand = TypeVar('AnyCommand', bound=Callable[..., Any])

settings_option: Final = click.option(
    '--settings',
    'path',
    type=click.Path(path_type=Path),
    required=True,
    help='The settings file, in TOML.',
)


def version_option(program: str) -> Callable[[AnyCommand], AnyCommand]:
    """Return a decorator that adds `--version` to the command `program`."""
    return click.version_option(__version__, prog_name=program)


def require_settings(path: Path, model: type[AnySettings]) -> AnySettings:
    """Return the settings; print all faults and exit if there are any."""
    match load_settings(path, model, os.environ):
        case Ok(cfg):
            return cfg
        case Err(faults):
            for fault in faults:
                click.echo(str(fault), err=True)
    sys.exit(EXIT_INVALID_SETTINGS)


def print_ports(port: int, operator_port: int) -> None:
    """Print the ports that the process serves, as one line of JSON."""
    click.echo(json.dumps({'port': port, 'operator': operator_port}))
