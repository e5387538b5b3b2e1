"""Reading of settings and the report of ports at process start."""

import json
import os
import sys
from pathlib import Path
from typing import Final

import click
from result import Err, Ok

from figspread.config.settings import AnySettings, load_settings

EXIT_INVALID_SETTINGS: Final = 2

settings_option: Final = click.option(
    '--settings',
    'path',
    type=click.Path(path_type=Path),
    required=True,
    help='The settings file, in TOML.',
)


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
